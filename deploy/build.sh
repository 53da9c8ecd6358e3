#!/bin/sh
# Makes .venv as requirements.txt says, anew whenever that text has changed or a build was cut short.
set -eu
cd "$(dirname "$0")/.."
if ! cmp -s requirements.txt .venv/built-from; then
    rm -rf .venv
    python3 -m venv .venv
    .venv/bin/pip -q install -r requirements.txt
    cp requirements.txt .venv/built-from
fi
# The file system is read-only where the program runs, so it could not keep these itself.
.venv/bin/python -m compileall -q decklb
