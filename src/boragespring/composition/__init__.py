"""Composition root: the one place that wires the parts of each program.

Each program has a module here; the package itself imports none of them, so
that a program loads its own parts only.
"""
