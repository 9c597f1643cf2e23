#!/usr/bin/env bash
# Prepares the stand-ins of the scripts. They are Python modules of this
# repository, so that there is nothing to compile: this checks that they and
# the entry can be imported with the packages of the deploy file's build.
set -eu
cd "$(dirname "$0")/.."
export PYTHONPATH=target/deps:. PYTHONDONTWRITEBYTECODE=1
python3 -c "import anvilford.node, review.common, standins.proxy, standins.rows, standins.runner, standins.site"
