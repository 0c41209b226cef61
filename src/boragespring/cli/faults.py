"""Command that injects seeded faults and reports every violated guarantee."""

import asyncio
from collections import Counter
from logging import CRITICAL, getLogger

import typer
from absl import logging

from boragespring.faults import RunReport, run_many

__all__ = ["add_commands"]


def add_commands(app: typer.Typer) -> None:
    """Add the command to the root command."""
    app.command()(faults)


def faults(
    runs: int = typer.Option(20, help="Number of runs."),
    seed: int = typer.Option(
        0, help="Random seed of the first run; each further run adds 1."
    ),
    concurrency: int = typer.Option(2, help="Number of concurrent runs."),
    verbose: bool = typer.Option(False, help="Print a line for every run."),
) -> None:
    """Run deployments under seeded faults; exit with 1 if a guarantee is violated."""
    # The faults break connections on purpose, so their log lines are only noise.
    logging.set_verbosity(logging.FATAL)
    for name in ("asyncio", "aiohttp.server"):
        getLogger(name).setLevel(CRITICAL)
    failed = asyncio.run(_run(range(seed, seed + runs), concurrency, verbose))
    raise typer.Exit(1 if failed else 0)


async def _run(seeds: range, concurrency: int, verbose: bool) -> int:
    endings: Counter[str] = Counter()
    breaches: Counter[str] = Counter()
    failed = 0
    async for report in run_many(seeds, concurrency):
        endings.update(report.endings)
        breaches.update(breach.kind.value for breach in report.breaches)
        failed += bool(report.breaches)
        if report.breaches or verbose:
            _print_report(report)
    typer.echo(f"runs={len(seeds)} failed={failed} requests={endings.total()}")
    typer.echo(f"endings: {dict(endings.most_common())}")
    typer.echo(f"breaches: {dict(breaches.most_common())}")
    return failed


def _print_report(report: RunReport) -> None:
    typer.echo(f"{report.describe()} {report.duration_s:.1f} s")
    for breach in report.breaches:
        typer.echo(f"  {breach.kind} {breach.marker} {breach.detail}")
