#!/bin/sh
# After the build of the deploy file: the project's own optional requirements for several instances and for settings in
# XML (docs/operations/duties.md, 'Setting up'). The stand-ins of the cases 6 to 10 are Python and need no other build.
set -eu
cd "$(dirname "$0")/.."
.venv/bin/pip -q install -r requirements-cluster.txt
.venv/bin/python -m compileall -q review/rig2
