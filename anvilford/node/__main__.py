"""Command line entry point: `python -m anvilford.node SETTINGS`."""

import sys

from anvilford.node import main

sys.exit(main())
