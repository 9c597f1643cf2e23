"""Runs the entry daemon as `python -m anvilford.daemon`."""

import sys

from anvilford.daemon import main

sys.exit(main())
