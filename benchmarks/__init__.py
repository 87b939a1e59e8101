"""Benchmarks that compare runs without a subsystem to runs with it: `python -m benchmarks NAME`."""
