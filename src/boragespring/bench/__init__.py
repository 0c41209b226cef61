"""Benchmarks of the components of the package."""
