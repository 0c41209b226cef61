"""Setting of the C library's memory allocator.

By default, glibc raises the size from which blocks are mapped by themselves to that of
the largest block that was freed. Large bodies then fragment the heap, and the process
holds much more memory than its objects.
"""

import ctypes

from absl import logging

__all__ = ["map_large_blocks"]

#: Parameters of glibc's `mallopt`: size from which a block is mapped by itself, and
#: free memory at the end of the heap from which that is returned.
_M_MMAP_THRESHOLD = -3
_M_TRIM_THRESHOLD = -1
#: Larger than the blocks that are allocated often, as mapping takes a system call.
LARGE_BLOCK_BYTES = 2**20
#: Larger than the buffers that are allocated and freed with each read from a socket.
HEAP_RESERVE_BYTES = 2 * 2**20


def map_large_blocks() -> None:
    """Let large blocks go back to the operating system as soon as they are freed."""
    try:
        set_parameter = ctypes.CDLL(None).mallopt
        is_set = set_parameter(_M_MMAP_THRESHOLD, LARGE_BLOCK_BYTES)
        is_set &= set_parameter(_M_TRIM_THRESHOLD, HEAP_RESERVE_BYTES)
    except (OSError, AttributeError) as error:
        # Other C libraries have no such parameter.
        logging.info("event=allocator_not_set reason=%s", error)
        return
    if not is_set:
        logging.info("event=allocator_not_set reason=refused")
