"""A complete deployment in one process, for the demo, tests and benchmarks."""

from boragespring.local.deployment import LocalDeployment, LocalSettings
from boragespring.local.lists import (
    LOCAL_API_KEY,
    LOCAL_MODEL,
    LocalAccounts,
    local_document,
    put_lists,
)

__all__ = [
    "LOCAL_API_KEY",
    "LOCAL_MODEL",
    "LocalAccounts",
    "LocalDeployment",
    "LocalSettings",
    "local_document",
    "put_lists",
]
