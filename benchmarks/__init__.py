"""Benchmarks of the dispatcher, simulated and over real sockets."""
