"""Logging configuration of the commands."""

from enum import StrEnum

from absl import flags, logging

__all__ = ["LogLevel", "configure_logging"]


class LogLevel(StrEnum):
    """Log levels, with the names used by `absl.logging`."""

    DEBUG = "debug"
    INFO = "info"
    WARNING = "warning"
    ERROR = "error"


def configure_logging(level: LogLevel = LogLevel.INFO) -> None:
    """Write log lines of the given level and above to standard error."""
    # The programs define no absl flags, but absl warns at startup unless they are
    # marked as parsed.
    flags.FLAGS.mark_as_parsed()
    logging.use_absl_handler()
    logging.set_verbosity(level.value)
    logging.set_stderrthreshold(level.value)
