"""Runs the measuring tool."""

import sys

from anvilford.experiments._main import main

if __name__ == "__main__":
    sys.exit(main())
