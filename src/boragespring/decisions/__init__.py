"""Structured decision log, rate-limited and written without blocking."""

from boragespring.decisions.log import DecisionLog, LogSettings
from boragespring.decisions.output import LogOutput, open_log_output

__all__ = ["DecisionLog", "LogOutput", "LogSettings", "open_log_output"]
