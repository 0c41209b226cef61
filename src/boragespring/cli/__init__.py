"""Command-line interface.

The package itself imports nothing, so that a single command can run as a program
of its own without loading the libraries of the others. The root command is defined
in `boragespring.cli.app`.
"""
