"""Load the settings of a gateway from the platform's settings file."""

import os
import tomllib
from collections.abc import Iterable, Iterator
from pathlib import Path
from typing import Annotated

from absl import logging
from attrs import frozen

from boragespring.external_values import (
    INTEGER_MAX,
    PORT_MAX,
    UnusableValueError,
    check_name,
    parse_address,
)
from boragespring.platform.names import SETTINGS_PATH_VARIABLE
from boragespring.settings import (
    AddressSettings,
    LinkSettings,
    ProcessSettings,
    Range,
    SettingsFileError,
    structure,
)
from boragespring.settings.gateway import (
    GatewayBounds,
    GatewaySettings,
    GatewayStoreSettings,
)
from boragespring.settings.types import Check

__all__ = ["METRICS_PORT", "load_gateway_settings", "settings_path"]

#: Port of the metrics endpoint; it must match `deploy/system.toml`.
METRICS_PORT = 9464

#: Part of the rules under which health checks may be wrong, either way.
HEALTH_CONTRACT = "health"
#: Settings of the links between gateways.
PEER_LINK_SETTINGS = LinkSettings(
    heartbeat_interval_s=0.3,
    heartbeat_deadline_s=1.2,
    connect_timeout_s=0.5,
    reconnect_delay_s=0.1,
    reconnect_delay_max_s=1.0,
)


MEGABYTE = 10**6
DEFAULT_PROCESS = ProcessSettings()

_Name = Annotated[str, Check(check_name)]
_Amount = Annotated[float, Range(0.0, INTEGER_MAX)]


@frozen
class _WireListen:
    front: str
    ready: str


@frozen
class _WireBounds:
    configuration_ms: _Amount = 2000.0
    # Whether to stop accepting API keys while their revocation would go unnoticed
    # because the store cannot be reached.
    strict_revocation: bool = False
    revocation_ms: _Amount = 5000.0
    grace_s: _Amount = 8.0
    budget_ratio: _Amount = 0.2
    budget_window_s: _Amount = 10.0
    budget_slack: _Amount = 50.0


@frozen
class _WirePlatform:
    # Address of the store, the only platform service that a gateway calls.
    address: str
    writes_per_s: _Amount = 400.0
    reads_per_s: _Amount = 2000.0


@frozen
class _WireLimits:
    # Share of a core that the process gets, and the speed of the core as a multiple
    # of the reference machine's.
    cpu_share: _Amount = 1.0
    cores: _Amount = 1.0
    memory_mb: Annotated[float, Range(1, INTEGER_MAX)] = (
        DEFAULT_PROCESS.memory_bytes / MEGABYTE
    )
    file_descriptors: Annotated[int, Range(1, INTEGER_MAX)] = (
        DEFAULT_PROCESS.file_descriptors
    )


@frozen
class _WireSettings:
    node: _Name
    zone: _Name
    region: _Name
    ip_address: str
    # First and last port for traffic between machines of the system.
    internal_ports: list[Annotated[int, Range(1, PORT_MAX)]]
    listen: _WireListen
    platform: _WirePlatform
    bounds: _WireBounds = _WireBounds()
    # Operator addresses of some other machines. Only the hosts are used: link
    # ports are the same on all machines.
    seeds: list[str] | None = None
    limits: _WireLimits = _WireLimits()
    # Parts of the platform's rules that are in force.
    contracts: list[str] | None = None


def settings_path() -> Path | None:
    """Return the path of the platform's settings file, or None if it is not set."""
    value = os.environ.get(SETTINGS_PATH_VARIABLE)
    return Path(value) if value else None


def load_gateway_settings(path: Path) -> GatewaySettings:
    """Load the settings of a gateway.

    Unknown fields are ignored.

    Parameters
    ----------
    path : Path
        Path of the TOML file.

    Raises
    ------
    SettingsFileError
        When the file cannot be read, is not valid TOML, has no internal ports
        or has an address that is not of the form ``HOST:PORT``.
    FieldErrorGroup
        When fields are missing or cannot be used.
    """
    try:
        document = tomllib.loads(path.read_text(encoding="utf-8"))
    except (OSError, ValueError, RecursionError) as error:
        message = f"{path}: cannot be read: {error}; expected a readable TOML file"
        raise SettingsFileError(message) from error
    wire = structure(document, _WireSettings, str(path), ignore_unknown=True)
    if not wire.internal_ports:
        message = (
            f"{path}: internal_ports: found none; expected the first and last port"
        )
        raise SettingsFileError(message)
    return GatewaySettings(
        name=wire.node,
        availability_zone=wire.zone,
        region=wire.region,
        callers=_parse_address(path, "listen.front", wire.listen.front),
        readiness=_parse_address(path, "listen.ready", wire.listen.ready),
        peers=AddressSettings(wire.ip_address, wire.internal_ports[0]),
        metrics=AddressSettings(wire.ip_address, METRICS_PORT),
        store=GatewayStoreSettings(
            url=f"http://{wire.platform.address}",
            writes_per_s=wire.platform.writes_per_s,
            reads_per_s=wire.platform.reads_per_s,
        ),
        bounds=_gateway_bounds(wire.bounds),
        links=PEER_LINK_SETTINGS,
        cpu_cores=wire.limits.cpu_share * wire.limits.cores,
        process=ProcessSettings(
            memory_bytes=round(wire.limits.memory_mb * MEGABYTE),
            file_descriptors=wire.limits.file_descriptors,
        ),
        ejects_outliers=HEALTH_CONTRACT in (wire.contracts or ()),
        seeds=tuple(
            AddressSettings(host, wire.internal_ports[0])
            for host in _seed_hosts(wire.seeds or ())
        ),
    )


def _seed_hosts(seeds: Iterable[str]) -> Iterator[str]:
    """Yield the hosts of the seeds; an unusable one prevents no start."""
    for seed in seeds:
        try:
            yield parse_address(seed)[0]
        except UnusableValueError as error:
            logging.warning("event=seed_unusable reason=%s", error)


def _parse_address(path: Path, field: str, text: str) -> AddressSettings:
    host, _, port = text.rpartition(":")
    if not host or not port.isdecimal() or int(port[:6]) > PORT_MAX:
        message = f"{path}: {field}: found {text!r}; allowed: HOST:PORT"
        raise SettingsFileError(message)
    return AddressSettings(host, int(port))


def _gateway_bounds(wire: _WireBounds) -> GatewayBounds:
    return GatewayBounds(
        catalog_delay_s=wire.configuration_ms / 1000,
        revocation_age_max_s=(
            wire.revocation_ms / 1000 if wire.strict_revocation else float("inf")
        ),
        stop_grace_s=wire.grace_s,
        retry_ratio=wire.budget_ratio,
        retry_slack=wire.budget_slack,
        retry_window_s=wire.budget_window_s,
    )
