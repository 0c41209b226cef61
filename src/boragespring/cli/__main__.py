"""Run the command-line interface as ``python -m boragespring.cli``."""

from boragespring.cli.app import main

__all__: list[str] = []

main()
