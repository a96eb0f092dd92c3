"""Randomized soak test of edge instance processes with injected faults."""
