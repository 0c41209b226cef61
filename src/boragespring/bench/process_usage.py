"""Resource usage of processes; needs the optional dependencies ``bench``."""

import psutil

__all__ = ["cpu_time_s", "resident_bytes"]


def cpu_time_s(pid: int) -> float:
    """Return the CPU time, in seconds, that a process has used."""
    times = psutil.Process(pid).cpu_times()
    return float(times.user + times.system)


def resident_bytes(pid: int) -> int:
    """Return the resident memory of a process, in bytes."""
    return int(psutil.Process(pid).memory_info().rss)
