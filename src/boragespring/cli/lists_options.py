"""Options shared by the commands for the lists."""

from typing import Annotated

import typer

__all__ = [
    "AuthorOption",
    "DryRunOption",
    "InstancesOption",
    "JsonOption",
    "ReasonOption",
    "StoreOption",
    "WaitOption",
    "YesOption",
]

StoreOption = Annotated[
    list[str],
    typer.Option(
        "--store",
        envvar="BORAGESPRING_STORE_URLS",
        help="Base URL of the key-value store; may be repeated.",
    ),
]
InstancesOption = Annotated[
    str,
    typer.Option(
        "--instances",
        envvar="BORAGESPRING_INSTANCES_URL",
        help="Base URL of the instance list, required by --wait.",
    ),
]
ReasonOption = Annotated[str, typer.Option("--reason", help="Reason for the change.")]
AuthorOption = Annotated[
    str,
    typer.Option("--author", help="Author of the change; the login name by default."),
]
DryRunOption = Annotated[
    bool, typer.Option("--dry-run", help="Print the change without making it.")
]
YesOption = Annotated[
    bool, typer.Option("--yes", help="Remove entries without confirmation.")
]
JsonOption = Annotated[bool, typer.Option("--json", help="Print JSON.")]
WaitOption = Annotated[
    float,
    typer.Option(
        "--wait",
        metavar="SECONDS",
        help="Longest time to wait until the change is active in all processes.",
    ),
]
