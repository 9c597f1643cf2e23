"""Runs the experiments as `python -m anvilford.experiments`."""

import sys

from anvilford.experiments._main import main

if __name__ == "__main__":
    sys.exit(main())
