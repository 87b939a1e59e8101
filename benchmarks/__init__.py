"""Benchmarks of subsystems, which pair runs without and with a subsystem: `python -m benchmarks NAME`."""
