"""Settings and injected faults of the engine stand-in."""

from attrs import Factory, define, frozen

from boragespring.standins.engine_core import EngineCoreSettings
from boragespring.standins.engine_dialects import EngineDialect

__all__ = ["EngineFaults", "EngineStandInSettings"]


@frozen
class EngineStandInSettings:
    """Settings of the stand-in for a model engine.

    Parameters
    ----------
    dialect : EngineDialect
        Vendor whose HTTP interface is served.
    core : EngineCoreSettings
        Memory, batch size and speed of the simulated engine.
    host : str
        IP address to listen on.
    port : int
        TCP port to listen on; 0 selects a free one.
    models : tuple of str
        Models loaded at the start; if empty, requests for any model are accepted.
    report_lag_s : float
        Age of the reported load in seconds.
    checks_fencing : bool
        Whether orders with an outdated fencing number are rejected.
    cache_event_port : int or None
        TCP port on which cache events are published; 0 selects a free one, None
        disables the events.
    cache_event_lag_s : float
        Delay of the cache events in seconds.
    cache_event_loss_probability : float
        Probability that a batch of cache events is lost, which leaves a gap in the
        sequence numbers.
    seed : int
        Seed of the generation ids, output lengths and lost events.
    """

    dialect: EngineDialect = EngineDialect.VLLM
    core: EngineCoreSettings = Factory(EngineCoreSettings)
    host: str = "127.0.0.1"
    port: int = 0
    models: tuple[str, ...] = ()
    report_lag_s: float = 0.0
    checks_fencing: bool = False
    cache_event_port: int | None = None
    cache_event_lag_s: float = 0.0
    cache_event_loss_probability: float = 0.0
    seed: int = 0


@define
class EngineFaults:
    """Faults that an `EngineStandIn` injects; ``POST /faults`` changes them.

    Parameters
    ----------
    is_frozen : bool
        Whether decoding and the reported load stand still.
    refuses : bool
        Whether new generations are rejected with status 503.
    slow_factor : float
        Factor on the duration of each decoding step.
    report : str or None
        Text that ``/metrics`` returns instead of the load report.
    """

    is_frozen: bool = False
    refuses: bool = False
    slow_factor: float = 1.0
    report: str | None = None
