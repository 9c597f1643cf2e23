#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case did not run.
# With TROUBLE=0 there is no disruption. Writes record.txt beside this file.
set -u
cd "$(dirname "$0")/../.." || exit 2
export TROUBLE="${TROUBLE:-1}" PYTHONPATH=target/deps:. PYTHONDONTWRITEBYTECODE=1
exec python3 review/5/case.py
