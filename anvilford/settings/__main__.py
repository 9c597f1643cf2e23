"""Prints docs/settings.md: `python -m anvilford.settings`."""

import sys

from anvilford.settings import settings_page

sys.stdout.write(settings_page())
