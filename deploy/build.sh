#!/bin/sh
# Creates .venv from requirements.txt, and again when that file has changed or an earlier build was interrupted.
set -eu
cd "$(dirname "$0")/.."
if ! cmp -s requirements.txt .venv/built-from; then
    rm -rf .venv
    python3 -m venv .venv
    .venv/bin/pip -q install -r requirements.txt
    cp requirements.txt .venv/built-from
fi
# The file system is read-only at run time, so Python could not write the compiled files then.
.venv/bin/python -m compileall -q decklb
