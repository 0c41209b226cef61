"""Parsing of the vendors' load reports into a common `LoadReport`."""

import math
from collections.abc import Mapping
from enum import StrEnum
from functools import singledispatch

from attrs import frozen
from prometheus_client.parser import text_string_to_metric_families

from boragespring.engines.client import EngineError, LoadReport
from boragespring.engines.vendors import Orca, Sglang, Tgi, Vendor, Vllm
from boragespring.json_document import parse_json

__all__ = [
    "ORCA_HEADER",
    "LoadReportError",
    "LoadReportFault",
    "RawLoadReport",
    "load_report_path",
    "parse_load_report",
]

ORCA_HEADER = "endpoint-load-metrics"
MAX_METRIC_VALUE = 1e12


class LoadReportFault(StrEnum):
    """Fault of a load report; also the label value of the counter of faults."""

    UNREACHABLE = "unreachable"
    MALFORMED = "malformed"
    MISSING_FIELD = "missing_field"
    ABSURD_VALUE = "absurd_value"


class LoadReportError(EngineError):
    """A load report could not be fetched or is unusable.

    Parameters
    ----------
    fault : LoadReportFault
        Kind of fault.
    detail : str
        Description for the error message.
    """

    def __init__(self, fault: LoadReportFault, detail: str) -> None:
        super().__init__(f"{fault.value}: {detail}")
        self.fault = fault


@frozen
class RawLoadReport:
    """HTTP response that contains a load report.

    Parameters
    ----------
    text : str
        Body of the response.
    headers : mapping of str to str
        Headers of the response.
    received_at_s : float
        Monotonic time in seconds at which the response arrived.
    """

    text: str
    headers: Mapping[str, str]
    received_at_s: float


@singledispatch
def load_report_path(vendor: Vendor) -> str:
    """Return the URL path from which the vendor's load report is fetched."""
    return "/metrics"


@load_report_path.register
def _(vendor: Orca) -> str:
    return "/health"


@singledispatch
def parse_load_report(vendor: Vendor, raw: RawLoadReport) -> LoadReport:
    """Parse the load report of a vendor.

    Parameters
    ----------
    vendor : Vendor
        Vendor of the backend server.
    raw : RawLoadReport
        HTTP response that contains the report.

    Raises
    ------
    LoadReportError
        If the report is malformed, incomplete or implausible.
    """
    raise NotImplementedError(type(vendor).__name__)


@parse_load_report.register
def _(vendor: Vllm, raw: RawLoadReport) -> LoadReport:
    samples = _Samples.parse_prometheus(raw.text, "vllm:")
    usage_name = "vllm:kv_cache_usage_perc"
    if usage_name not in samples.values:
        # vLLM releases before 0.10 use this name for the same gauge.
        usage_name = "vllm:gpu_cache_usage_perc"
    usage = samples.fraction(usage_name)
    memory_tokens = samples.cache_capacity_tokens() or vendor.memory_tokens
    queries = samples.total("vllm:prefix_cache_queries_total", default=0.0)
    hits = samples.total("vllm:prefix_cache_hits_total", default=0.0)
    return LoadReport(
        running=int(samples.total("vllm:num_requests_running")),
        waiting=int(samples.total("vllm:num_requests_waiting")),
        used_memory_tokens=round(usage * memory_tokens),
        memory_tokens=memory_tokens,
        preemptions=int(samples.total("vllm:num_preemptions_total")),
        cache_hit_ratio=min(1.0, hits / queries) if queries else 0.0,
        received_at_s=raw.received_at_s,
    )


@parse_load_report.register
def _(vendor: Sglang, raw: RawLoadReport) -> LoadReport:
    samples = _Samples.parse_prometheus(raw.text, "sglang:")
    memory_tokens = int(
        samples.total("sglang:max_total_num_tokens", vendor.memory_tokens or None)
    )
    return LoadReport(
        running=int(samples.total("sglang:num_running_reqs")),
        waiting=int(samples.total("sglang:num_queue_reqs")),
        used_memory_tokens=int(samples.total("sglang:num_used_tokens")),
        memory_tokens=memory_tokens,
        preemptions=int(samples.total("sglang:num_retracted_requests_total", 0.0)),
        cache_hit_ratio=samples.fraction("sglang:cache_hit_rate", default=0.0),
        received_at_s=raw.received_at_s,
    )


@parse_load_report.register
def _(vendor: Tgi, raw: RawLoadReport) -> LoadReport:
    samples = _Samples.parse_prometheus(raw.text, "tgi_")
    return LoadReport(
        running=int(samples.total("tgi_batch_current_size")),
        waiting=int(samples.total("tgi_queue_size")),
        used_memory_tokens=int(samples.total("tgi_batch_current_max_tokens")),
        memory_tokens=vendor.memory_tokens,
        preemptions=0,
        cache_hit_ratio=0.0,
        received_at_s=raw.received_at_s,
    )


@parse_load_report.register
def _(vendor: Orca, raw: RawLoadReport) -> LoadReport:
    samples = _Samples.parse_orca_header(raw.headers.get(ORCA_HEADER, ""))
    memory_tokens = int(samples.total("max_total_num_tokens", vendor.memory_tokens))
    usage = samples.fraction("kv_cache_usage_perc", default=0.0)
    return LoadReport(
        running=int(samples.total("num_requests_running")),
        waiting=int(samples.total("num_requests_waiting")),
        used_memory_tokens=round(usage * memory_tokens),
        memory_tokens=memory_tokens,
        preemptions=int(samples.total("num_preemptions_total", 0.0)),
        cache_hit_ratio=0.0,
        received_at_s=raw.received_at_s,
    )


@frozen
class _Samples:
    """Samples of a load report.

    Parameters
    ----------
    values : dict of str to list of float
        Values by metric name, one for each label set.
    block_counts : tuple of (str, str)
        Block size in tokens and number of GPU blocks from each sample of vLLM's
        cache configuration.
    """

    values: dict[str, list[float]]
    block_counts: tuple[tuple[str, str], ...] = ()

    @classmethod
    def parse_prometheus(cls, text: str, prefix: str) -> "_Samples":
        """Parse the metrics that start with a prefix from the Prometheus text format.

        Histogram buckets are skipped: they make up most of an engine's metrics
        and are not needed.
        """
        selected_lines = [
            line
            for line in text.splitlines()
            if line.startswith(prefix) and "_bucket{" not in line
        ]
        values: dict[str, list[float]] = {}
        block_counts = []
        try:
            for family in text_string_to_metric_families(
                "\n".join(selected_lines) + "\n"
            ):
                for sample in family.samples:
                    values.setdefault(sample.name, []).append(float(sample.value))
                    if sample.name == "vllm:cache_config_info":
                        labels = sample.labels
                        block_counts.append(
                            (
                                labels.get("block_size", ""),
                                labels.get("num_gpu_blocks", ""),
                            )
                        )
        except (ValueError, KeyError, IndexError) as error:
            raise LoadReportError(LoadReportFault.MALFORMED, str(error)) from error
        return cls(values, tuple(block_counts))

    @classmethod
    def parse_orca_header(cls, header: str) -> "_Samples":
        """Parse the JSON or the text encoding of the ORCA header."""
        if not header:
            raise LoadReportError(LoadReportFault.MISSING_FIELD, ORCA_HEADER)
        encoding, _, payload = header.partition(" ")
        try:
            if encoding == "JSON":
                metrics = parse_json(payload)["named_metrics"]
            else:
                metrics = dict(
                    pair.strip().removeprefix("named_metrics.").split("=", 1)
                    for pair in payload.split(",")
                )
            values = {name: [float(value)] for name, value in metrics.items()}
        except (ValueError, LookupError, TypeError, AttributeError) as error:
            raise LoadReportError(LoadReportFault.MALFORMED, header[:200]) from error
        return cls(values)

    def total(self, name: str, default: float | None = None) -> float:
        """Return the sum of a metric over its label sets.

        Raises
        ------
        LoadReportError
            If the metric is missing and has no default, or a value is negative,
            not finite or implausibly large.
        """
        values = self.values.get(name)
        if not values:
            if default is None:
                raise LoadReportError(LoadReportFault.MISSING_FIELD, name)
            return default
        if not all(math.isfinite(v) and 0 <= v <= MAX_METRIC_VALUE for v in values):
            raise LoadReportError(LoadReportFault.ABSURD_VALUE, f"{name}={values}")
        return sum(values)

    def fraction(self, name: str, default: float | None = None) -> float:
        """Return the mean over the label sets of a metric between 0 and 1.

        Raises
        ------
        LoadReportError
            If the metric is missing and has no default, or its value is out of
            range.
        """
        value = self.total(name, default) / max(1, len(self.values.get(name, ())))
        if value > 1.0:
            raise LoadReportError(LoadReportFault.ABSURD_VALUE, f"{name}={value}")
        return value

    def cache_capacity_tokens(self) -> int:
        """Return the KV cache capacity in tokens from vLLM's cache configuration.

        It is 0 if the report does not contain the cache configuration.
        """
        try:
            return sum(int(size) * int(count) for size, count in self.block_counts)
        except ValueError as error:
            raise LoadReportError(
                LoadReportFault.ABSURD_VALUE, f"cache_config_info={self.block_counts}"
            ) from error
