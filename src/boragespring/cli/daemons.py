"""Commands that run agents and entries."""

import asyncio
from pathlib import Path
from typing import Annotated

import typer

from boragespring.cli.logs import LogLevel, configure_logging
from boragespring.composition.agent import build_agent
from boragespring.composition.entry import build_entry
from boragespring.composition.process import run_daemon
from boragespring.settings import AgentSettings, EntrySettings, load_settings

__all__ = ["add_commands"]

SettingsOption = Annotated[
    Path, typer.Option("--settings", help="Settings file, JSON with comments.")
]
LogLevelOption = Annotated[
    LogLevel, typer.Option("--log-level", help="Lowest level to log.")
]


def add_commands(app: typer.Typer) -> None:
    """Add the commands to the root command."""
    app.command()(agent)
    app.command()(entry)


def agent(settings: SettingsOption, log_level: LogLevelOption = LogLevel.INFO) -> None:
    """Run an agent until SIGTERM; finish running requests, then exit with 0.

    A second SIGTERM, or the stop timeout in the settings, ends the agent at once; it
    logs the number of interrupted requests and exits with 1.
    """
    configure_logging(log_level)
    loaded = load_settings(settings, AgentSettings)

    async def serve() -> int:
        return await run_daemon(build_agent(loaded))

    raise typer.Exit(asyncio.run(serve()))


def entry(settings: SettingsOption, log_level: LogLevelOption = LogLevel.INFO) -> None:
    """Run an entry until SIGTERM; finish running requests, then exit with 0.

    A second SIGTERM, or the stop timeout in the settings, ends the entry at once; it
    logs the number of interrupted requests and exits with 1.
    """
    configure_logging(log_level)
    loaded = load_settings(settings, EntrySettings)

    async def serve() -> int:
        return await run_daemon(build_entry(loaded))

    raise typer.Exit(asyncio.run(serve()))
