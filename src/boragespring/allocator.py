"""Setting of the C library's memory allocator.

By default, glibc raises the size from which blocks are mapped by themselves to that of
the largest block that was freed. Large bodies then fragment the heap, and the process
holds much more memory than its objects.
"""

import ctypes

from absl import logging

__all__ = ["map_large_blocks"]

#: Parameter of glibc's `mallopt`: size from which a block is mapped by itself.
_M_MMAP_THRESHOLD = -3
#: Larger than the blocks that are allocated often, as mapping takes a system call.
LARGE_BLOCK_BYTES = 2**20


def map_large_blocks() -> None:
    """Let large blocks go back to the operating system as soon as they are freed."""
    try:
        is_set = ctypes.CDLL(None).mallopt(_M_MMAP_THRESHOLD, LARGE_BLOCK_BYTES)
    except (OSError, AttributeError) as error:
        # Other C libraries have no such parameter.
        logging.info("event=allocator_not_set reason=%s", error)
        return
    if not is_set:
        logging.info("event=allocator_not_set reason=refused")
