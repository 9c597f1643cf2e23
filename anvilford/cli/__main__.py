"""Runs `anvilctl` as `python -m anvilford.cli`."""

import sys

from anvilford.cli import main

sys.exit(main())
