"""Soak of real gateway processes under faults from outside them.

Gateways run as processes of their own on addresses of the loopback network; the
emulated platform, the callers and the checks run in one other process.
"""

from boragespring.platform.soak.runner import run_soak

__all__ = ["run_soak"]
