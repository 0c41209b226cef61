"""Command that runs a gateway.

The module imports as little as possible, because a restart must be fast.
"""

import asyncio
import signal
from functools import partial
from pathlib import Path
from typing import Annotated

import typer

from boragespring.composition.gateway import build_gateway
from boragespring.composition.process import run_daemon
from boragespring.decisions import DecisionLog, LogSettings, open_log_output
from boragespring.event_loop import new_event_loop
from boragespring.gateway import Gateway
from boragespring.platform.settings_file import load_gateway_settings, settings_path
from boragespring.settings import SettingsError, SettingsFileError

__all__ = ["add_commands", "gateway"]

#: The platform ends a drain by SIGKILL. It may repeat SIGTERM, which ends none.
INTERRUPT_SIGNALS = (signal.SIGINT,)

SettingsOption = Annotated[
    Path | None,
    typer.Option(
        "--settings", help="Settings file; by default the one set by the platform."
    ),
]


def add_commands(app: typer.Typer) -> None:
    """Add the command to the root command."""
    app.command()(gateway)


def gateway(settings: SettingsOption = None) -> None:
    """Run a gateway until SIGTERM; finish running requests, then exit with 0."""
    path = settings or settings_path()
    if path is None:
        raise SettingsFileError("no settings file: specify one with --settings FILE")
    loaded = load_gateway_settings(path)
    log_settings = LogSettings()
    output = open_log_output(loaded.name, log_settings.queue_lines)

    log = DecisionLog(log_settings)

    async def serve() -> int:
        gateway = build_gateway(loaded, log)
        return await run_daemon(
            gateway, partial(_reload, path, gateway, log), INTERRUPT_SIGNALS
        )

    with asyncio.Runner(loop_factory=new_event_loop) as runner:
        exit_code = runner.run(serve())
    output.close()
    raise typer.Exit(exit_code)


def _reload(path: Path, gateway: Gateway, log: DecisionLog) -> None:
    """Reload the settings; keep the current ones if the file is invalid."""
    try:
        gateway.apply(load_gateway_settings(path))
    except SettingsError as error:
        log.lifecycle("reload_refused", reason=str(error))
