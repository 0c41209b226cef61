"""Composition root: builds each program from its components.

Each program has a module in this package. The package itself imports none of
them, so that a program only loads the components it needs.
"""
