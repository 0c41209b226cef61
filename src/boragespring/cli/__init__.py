"""Command line of the product.

The package itself imports nothing, so that a program of one command starts
without the libraries of all others; the root is `boragespring.cli.app`.
"""
