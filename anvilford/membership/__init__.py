"""Membership: VMs, entries, operator marks and handovers, merged."""

from anvilford.membership._directory import Directory
from anvilford.membership._directory import KnownEntry
from anvilford.membership._directory import KnownVm

__all__ = ["Directory", "KnownEntry", "KnownVm"]
