"""Cluster membership: VMs, entry daemons, operator marks and handovers."""

from anvilford.membership._directory import KnownEntry
from anvilford.membership._directory import KnownVm
from anvilford.membership._directory import MembershipDirectory

__all__ = ["MembershipDirectory", "KnownEntry", "KnownVm"]
