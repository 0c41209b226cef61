"""Check the platform's deploy file, which says where each program runs."""

import tomllib
from pathlib import Path

from attrs import frozen

from boragespring.platform.settings_file import METRICS_PORT
from boragespring.settings import FieldError, FieldErrorGroup, structure

__all__ = ["check_deploy_file", "is_deploy_file"]

SERVABLE = frozenset({"front", "side", "control"})


@frozen
class _WireRole:
    run: str
    on: str
    serves: list[str]
    share: float = 1.0
    # Port and path of the role's metrics.
    metrics: str | None = None


@frozen
class _WireDeployFile:
    build: str
    roles: dict[str, _WireRole]


def is_deploy_file(path: Path) -> bool:
    """Return whether a file is TOML with a table of roles."""
    try:
        return "roles" in tomllib.loads(path.read_text(encoding="utf-8"))
    except (OSError, ValueError):
        # Whoever loads the file as something else reports why it is unreadable.
        return False


def check_deploy_file(path: Path) -> None:
    """Check the fields of a deploy file.

    Raises
    ------
    FieldErrorGroup
        When fields are missing or have the wrong type or value.
    """
    document = tomllib.loads(path.read_text(encoding="utf-8"))
    deploy = structure(document, _WireDeployFile, str(path), ignore_unknown=True)
    errors = [
        error
        for name, role in deploy.roles.items()
        for error in _role_errors(str(path), f"roles.{name}", role)
    ]
    if errors:
        raise FieldErrorGroup(str(path), errors)


def _role_errors(source: str, field: str, role: _WireRole) -> list[FieldError]:
    errors = []

    def add(name: str, found: object, allowed: str) -> None:
        errors.append(FieldError(source, f"{field}.{name}", repr(found), allowed))

    unknown = sorted(set(role.serves) - SERVABLE)
    if unknown:
        add("serves", unknown, ", ".join(sorted(SERVABLE)))
    if not 0 < role.share <= 1:
        add("share", role.share, "above 0, up to 1")
    if role.metrics and role.metrics.partition("/")[0] != str(METRICS_PORT):
        add("metrics", role.metrics, f"port {METRICS_PORT} and a path")
    return errors
