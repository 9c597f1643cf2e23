"""Measurements over real sockets."""
