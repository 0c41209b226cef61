"""Command that runs soak tests of gateway processes under seeded faults."""

import asyncio
import shutil
import tempfile
from collections import Counter
from logging import CRITICAL, getLogger
from pathlib import Path
from typing import Annotated

import typer

from boragespring.faults import RunReport
from boragespring.platform.soak import run_soak

__all__ = ["add_commands"]


def add_commands(app: typer.Typer) -> None:
    """Add the command to the root command."""
    app.command()(soak)


def soak(
    runs: Annotated[int, typer.Option(help="Number of runs.")] = 50,
    seed: Annotated[
        int, typer.Option(help="Random seed of the first run; each further run adds 1.")
    ] = 0,
    concurrency: Annotated[int, typer.Option(help="Number of concurrent runs.")] = 2,
) -> None:
    """Run soak tests of gateway processes under seeded faults.

    Exits with 1 and keeps the logs if a run violates a guarantee.
    """
    # The faults break connections on purpose, so their log lines are only noise.
    for name in ("asyncio", "aiohttp.server"):
        getLogger(name).setLevel(CRITICAL)
    reports = asyncio.run(_run(range(seed, seed + runs), concurrency))
    failed = [report for report in reports if report.breaches]
    breach_counts = Counter(
        breach.kind.value for report in failed for breach in report.breaches
    )
    requests = sum(report.endings.total() for report in reports)
    typer.echo(
        f"runs={runs} failed={len(failed)} requests={requests} {dict(breach_counts)}"
    )
    raise typer.Exit(1 if failed else 0)


async def _run(seeds: range, concurrency: int) -> list[RunReport]:
    semaphore = asyncio.Semaphore(concurrency)

    async def run(seed: int) -> RunReport:
        async with semaphore:
            directory = Path(tempfile.mkdtemp(prefix=f"soak-{seed}-"))
            report = await run_soak(seed, directory, seed)
            typer.echo(f"{report.describe()} {report.duration_s:.1f} s")
            for breach in report.breaches:
                typer.echo(f"  {breach.kind} {breach.marker} {breach.detail}")
            if report.breaches:
                typer.echo(f"  logs: {directory}")
            else:
                shutil.rmtree(directory)
            return report

    return await asyncio.gather(*map(run, seeds))
