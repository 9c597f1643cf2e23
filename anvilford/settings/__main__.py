"""Prints the content of docs/settings.md: `python -m anvilford.settings`."""

import sys

from anvilford.settings import render_settings_page

sys.stdout.write(render_settings_page())
