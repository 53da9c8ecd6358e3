#!/bin/sh
# Creates .venv with all optional dependencies, for evaluation and development. On the platform, build.sh creates it.
set -eu
cd "$(dirname "$0")/.."
rm -rf .venv
python3 -m venv .venv
.venv/bin/pip -q install -r requirements.txt -r requirements-cluster.txt -r requirements-lab.txt -r requirements-dev.txt
