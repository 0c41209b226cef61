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

from boragespring.engines import EngineError, VendorName, create_engine_client
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
    """Add the commands to the root command."""
    app.command()(replay)
    app.command()(trace)


def trace(
    output: Annotated[Path, typer.Argument(help="File to write, in JSON Lines.")],
    deployment: Annotated[
        Deployment, typer.Option(help="Deployment whose traffic is modeled.")
    ] = Deployment.SIERRA_NORTE,
    duration_s: Annotated[float, typer.Option(help="Duration in seconds.")] = 300.0,
    demand: Annotated[
        float, typer.Option(help="Average memory demand relative to the capacity.")
    ] = 1.1,
    memory_tokens: Annotated[
        int, typer.Option(help="Total memory of all engines, in tokens.")
    ] = 96_000,
    token_interval_s: Annotated[
        float, typer.Option(help="Time between tokens at the engines, in seconds.")
    ] = 0.03,
    workspaces: Annotated[int, typer.Option(help="Number of workspaces.")] = 10,
    flood_factor: Annotated[
        float,
        typer.Option(
            help="Multiplier for the number of the last workspace's requests."
        ),
    ] = 1.0,
    seed: Annotated[int, typer.Option(help="Random seed of the trace.")] = 0,
) -> None:
    """Generate a reproducible trace with heavy-tailed answer lengths."""
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
    trace_file: Annotated[Path, typer.Argument(help="Trace to replay, in JSON Lines.")],
    entry: Annotated[
        list[str], typer.Option(help="Base URL of an entry; may be repeated.")
    ],
    model: Annotated[str, typer.Option(help="Name of the model to request.")],
    key: Annotated[
        str, typer.Option(help="API key of all workspaces that are not in --keys.")
    ] = "",
    keys: Annotated[
        Path | None,
        typer.Option(help="File with the API keys by workspace, JSON with comments."),
    ] = None,
    vllm: Annotated[
        list[str] | None,
        typer.Option(help="Base URL of a vLLM engine whose preemptions to count."),
    ] = None,
    speed: Annotated[
        float, typer.Option(help="Playback speed relative to the trace.")
    ] = 1.0,
    interval_max_s: Annotated[
        float,
        typer.Option(
            help="Longest time between tokens that is not a stall, in seconds."
        ),
    ] = 0.1,
    outcomes: Annotated[
        Path | None,
        typer.Option(help="File with the expected outcomes, JSON with comments."),
    ] = None,
    as_json: Annotated[bool, typer.Option("--json", help="Print JSON.")] = False,
) -> None:
    """Replay a trace and exit with 1 if an expected outcome is not met."""
    expected = read_outcomes(outcomes) if outcomes is not None else []
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
    lines = check_outcomes(expected, groups)
    if as_json:
        measures_by_group = {name: asdict(group) for name, group in groups.items()}
        typer.echo(json.dumps({"groups": measures_by_group, "broken": lines}, indent=2))
    else:
        typer.echo("\n".join(format_report(groups, duration_s)))
        for line in lines:
            typer.echo(f"not met: {line}", err=True)
    raise typer.Exit(1 if lines else 0)


async def _replay(
    settings: TracePlayerSettings, requests: list[TraceRequest], engine_urls: list[str]
) -> tuple[list[AnswerRecord], int]:
    preemptions_before = await _count_preemptions(engine_urls)
    with Progress(transient=True) as progress:
        task_id = progress.add_task("replay", total=len(requests))
        player = TracePlayer(settings, lambda: progress.advance(task_id))
        records = await player.play(requests)
    return records, await _count_preemptions(engine_urls) - preemptions_before


async def _count_preemptions(engine_urls: list[str]) -> int:
    clients = [create_engine_client(VendorName.VLLM, url) for url in engine_urls]
    try:
        reports = await asyncio.gather(
            *(client.fetch_load_report() for client in clients)
        )
        return sum(report.preemptions for report in reports)
    except EngineError as error:
        raise typer.BadParameter(
            f"cannot read an engine's load report: {error}"
        ) from error
    finally:
        for client in clients:
            await client.close()
