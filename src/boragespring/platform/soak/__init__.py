"""Soak test of gateway processes under injected external faults.

Each gateway runs in its own process on its own loopback address. The emulated
platform, the callers and the checks run in the current process.
"""

from boragespring.platform.soak.runner import run_soak

__all__ = ["run_soak"]
