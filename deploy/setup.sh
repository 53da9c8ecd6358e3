#!/bin/sh
# Makes .venv with all extras, for trying and developing. The platform's own environment is made by build.sh.
set -eu
cd "$(dirname "$0")/.."
rm -rf .venv
python3 -m venv .venv
.venv/bin/pip -q install -r requirements.txt -r requirements-cluster.txt -r requirements-lab.txt -r requirements-dev.txt
