"""Example programs that run on loopback."""
