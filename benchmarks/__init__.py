"""Benchmarks of subsystems, in pairs of runs without and with the subsystem: `python -m benchmarks NAME`."""
