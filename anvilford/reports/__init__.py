"""HTML reports with plots, generated from captured log lines of entries."""

from anvilford.reports._page import write_page
from anvilford.reports._series import LogSummary
from anvilford.reports._series import summarize_logs

__all__ = ["LogSummary", "summarize_logs", "write_page"]
