"""Commands that generate and replay traces."""

import asyncio
import json
import time
from pathlib import Path
from typing import Annotated

import pyjson5
import typer
from attrs import asdict
from rich.progress import Progress

from boragespring.engines import EngineError, VendorName, engine_client
from boragespring.replay import (
    AnswerRecord,
    Deployment,
    TraceRequest,
    TraceSettings,
    generate_trace,
    read_trace,
    write_trace,
)
from boragespring.replay.outcomes import check_outcomes, read_outcomes
from boragespring.replay.player import TracePlayer, TracePlayerSettings
from boragespring.replay.report import format_report, measure_groups

__all__ = ["add_commands"]


def add_commands(app: typer.Typer) -> None:
    """Add the commands to the root."""
    app.command()(replay)
    app.command()(trace)


def trace(
    output: Annotated[Path, typer.Argument(help="File to write, JSON Lines.")],
    deployment: Annotated[
        Deployment, typer.Option(help="Deployment whose traffic it is like.")
    ] = Deployment.SIERRA_NORTE,
    duration_s: Annotated[float, typer.Option(help="Length in seconds.")] = 300.0,
    demand: Annotated[
        float, typer.Option(help="Memory needed against the capacity.")
    ] = 1.1,
    memory_tokens: Annotated[
        int, typer.Option(help="Memory of all engines, in tokens.")
    ] = 96_000,
    token_interval_s: Annotated[
        float, typer.Option(help="Time between tokens at the engines.")
    ] = 0.03,
    workspaces: Annotated[int, typer.Option(help="Number of workspaces.")] = 10,
    flood_factor: Annotated[
        float, typer.Option(help="Factor on the last workspace's requests.")
    ] = 1.0,
    seed: Annotated[int, typer.Option(help="Seed of the trace.")] = 0,
) -> None:
    """Generate a seeded trace with heavy-tailed answers."""
    settings = TraceSettings(
        deployment,
        duration_s,
        demand,
        memory_tokens,
        token_interval_s,
        workspaces,
        flood_factor,
        seed,
    )
    requests = generate_trace(settings)
    write_trace(output, requests)
    typer.echo(f"{output}: {len(requests)} requests over {duration_s:g} s")


def replay(
    trace_file: Annotated[Path, typer.Argument(help="Trace, JSON Lines.")],
    entry: Annotated[list[str], typer.Option(help="Address of an entry.")],
    model: Annotated[str, typer.Option(help="Model that generates.")],
    key: Annotated[str, typer.Option(help="API key of all other workspaces.")] = "",
    keys: Annotated[
        Path | None,
        typer.Option(help="API keys by workspace, JSON with comments."),
    ] = None,
    vllm: Annotated[
        list[str] | None,
        typer.Option(help="Address of a vLLM engine whose preemptions are counted."),
    ] = None,
    speed: Annotated[float, typer.Option(help="Factor on the recorded pace.")] = 1.0,
    interval_max_s: Annotated[
        float, typer.Option(help="Time between tokens that is no stall yet.")
    ] = 0.1,
    outcomes: Annotated[
        Path | None, typer.Option(help="Stated outcomes, JSON with comments.")
    ] = None,
    as_json: Annotated[bool, typer.Option("--json", help="Print JSON.")] = False,
) -> None:
    """Replay a trace; exit with 1 when a stated outcome is not kept."""
    stated = read_outcomes(outcomes) if outcomes is not None else []
    requests = list(read_trace(trace_file))
    settings = TracePlayerSettings(
        entry_urls=tuple(entry),
        api_keys=pyjson5.decode(keys.read_text(encoding="utf-8")) if keys else {},
        api_key=key,
        model=model,
        speed=speed,
    )
    started_s = time.monotonic()
    records, preemptions = asyncio.run(_replay(settings, requests, vllm or []))
    duration_s = time.monotonic() - started_s
    groups = measure_groups(records, interval_max_s, preemptions)
    lines = check_outcomes(stated, groups)
    if as_json:
        shown = {name: asdict(group) for name, group in groups.items()}
        typer.echo(json.dumps({"groups": shown, "broken": lines}, indent=2))
    else:
        typer.echo("\n".join(format_report(groups, duration_s)))
        for line in lines:
            typer.echo(f"not kept: {line}", err=True)
    raise typer.Exit(1 if lines else 0)


async def _replay(
    settings: TracePlayerSettings, requests: list[TraceRequest], engine_urls: list[str]
) -> tuple[list[AnswerRecord], int]:
    before = await _preemptions(engine_urls)
    with Progress(transient=True) as progress:
        bar = progress.add_task("replay", total=len(requests))
        player = TracePlayer(settings, lambda: progress.advance(bar))
        records = await player.play(requests)
    return records, await _preemptions(engine_urls) - before


async def _preemptions(engine_urls: list[str]) -> int:
    clients = [engine_client(VendorName.VLLM, url) for url in engine_urls]
    try:
        reports = await asyncio.gather(*(client.load_report() for client in clients))
        return sum(report.preemptions for report in reports)
    except EngineError as error:
        raise typer.BadParameter(f"engine's load report: {error}") from error
    finally:
        for client in clients:
            await client.close()
