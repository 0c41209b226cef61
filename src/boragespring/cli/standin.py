"""Commands that run stand-ins of external systems as processes."""

import asyncio
import signal
from pathlib import Path
from typing import Annotated, Protocol

import typer

from boragespring.cli.logs import configure_logging
from boragespring.lists import structure_document
from boragespring.local import put_lists
from boragespring.settings import load_document
from boragespring.standins import (
    EngineCoreSettings,
    EngineDialect,
    EngineStandIn,
    EngineStandInSettings,
    ServiceStandIn,
    ServiceStandInSettings,
)
from boragespring.standins.store import StoreStandIn, StoreStandInSettings
from boragespring.store.instances_http import instances_from_json

__all__ = ["app"]

app = typer.Typer(help="Run a stand-in of an external system.", no_args_is_help=True)

HostOption = Annotated[str, typer.Option(help="IP address to listen on.")]
PortOption = Annotated[int, typer.Option(help="TCP port; 0 chooses a free port.")]


class _StandIn(Protocol):
    async def start(self) -> None: ...

    async def stop(self) -> None: ...

    @property
    def url(self) -> str: ...


@app.command()
def store(
    host: HostOption = "127.0.0.1",
    port: PortOption = 0,
    instances: Annotated[
        Path | None, typer.Option(help="Instance list to serve, JSON with comments.")
    ] = None,
    lists: Annotated[
        Path | None, typer.Option(help="Initial lists, JSON with comments.")
    ] = None,
) -> None:
    """Run a stand-in of the key-value store, instance list and weight store."""
    server = StoreStandIn(StoreStandInSettings(host=host, port=port))
    if lists is not None:
        document = structure_document(load_document(lists), str(lists))
        asyncio.run(put_lists(server.keyspace, document))
    if instances is not None:
        server.put_instances(instances_from_json(load_document(instances)))
    _serve(server)


@app.command()
def engine(
    host: HostOption = "127.0.0.1",
    port: PortOption = 0,
    dialect: Annotated[
        EngineDialect, typer.Option(help="Vendor whose API is emulated.")
    ] = EngineDialect.VLLM,
    token_interval_s: Annotated[
        float,
        typer.Option(help="Duration in seconds of a step that decodes one generation."),
    ] = EngineCoreSettings().token_interval_s,
    memory_tokens: Annotated[
        int, typer.Option(help="Memory for running generations, in tokens.")
    ] = EngineCoreSettings().memory_tokens,
) -> None:
    """Run a stand-in of a model engine."""
    core = EngineCoreSettings(
        token_interval_s=token_interval_s, memory_tokens=memory_tokens
    )
    settings = EngineStandInSettings(dialect=dialect, host=host, port=port, core=core)
    _serve(EngineStandIn(settings))


@app.command()
def service(host: HostOption = "127.0.0.1", port: PortOption = 0) -> None:
    """Run a stand-in of a plain service."""
    _serve(ServiceStandIn(ServiceStandInSettings(host=host, port=port)))


def _serve(server: _StandIn) -> None:
    configure_logging()
    asyncio.run(_serve_until_signal(server))


async def _serve_until_signal(server: _StandIn) -> None:
    stopped = asyncio.Event()
    loop = asyncio.get_running_loop()
    for signal_number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(signal_number, stopped.set)
    await server.start()
    typer.echo(f"listening on {server.url}")
    await stopped.wait()
    await server.stop()
