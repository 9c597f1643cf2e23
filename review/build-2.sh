#!/usr/bin/env bash
# Checks that the stand-ins of the cases 6 to 10 can be started. They are Python
# and need nothing but the build of the deploy file.
set -euo pipefail
cd "$(dirname "$0")/.."
PYTHONPATH="target/deps:." python3 -c "import review.site_2, anvilford.node._main"
