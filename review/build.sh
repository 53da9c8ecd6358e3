#!/bin/sh
# Builds the stand-ins of the cases: compiles review/, after the build of the deploy file.
# Case 1 needs the program's packages for several managers (requirements-cluster.txt), which that build leaves out.
# Where .venv lacks them, they go into review/.venv; nothing outside review/ is changed.
set -eu
cd "$(dirname "$0")/.."
.venv/bin/python -m compileall -q review/rig review/[0-9]
needed="import lxml, msgspec, lmdb, cryptography, xxhash, twisted, loguru, ujson, click"
if ! .venv/bin/python -c "$needed" 2>/dev/null && ! review/.venv/bin/python -c "$needed" 2>/dev/null; then
    rm -rf review/.venv
    python3 -m venv review/.venv
    review/.venv/bin/pip -q install -r requirements.txt -r requirements-cluster.txt
fi
