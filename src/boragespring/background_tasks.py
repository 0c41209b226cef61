"""Start tasks whose result nobody waits for."""

import asyncio
from collections.abc import Coroutine
from typing import Any, TypeVar

from absl import logging

__all__ = ["log_failure", "start_background_task"]

T = TypeVar("T")


def start_background_task(
    coroutine: Coroutine[Any, Any, T], running: set[asyncio.Task[T]]
) -> asyncio.Task[T]:
    """Start a task, keep a reference until it ends, and log an unexpected error.

    Parameters
    ----------
    coroutine : coroutine
        Body of the task.
    running : set of asyncio.Task
        Tasks of the caller that have not ended.
    """
    task = asyncio.create_task(coroutine)
    running.add(task)
    task.add_done_callback(running.discard)
    task.add_done_callback(log_failure)
    return task


def log_failure(task: asyncio.Task[Any]) -> None:
    """Log the error with which a task has ended, if there is one."""
    error = None if task.cancelled() else task.exception()
    if error is not None:
        name = getattr(task.get_coro(), "__qualname__", task.get_name())
        logging.error("event=task_failed task=%s", name, exc_info=error)
