"""Settings of the garbage collector for a process that serves requests."""

from __future__ import annotations

import gc

# Allocations between two collections of the youngest generation. Requests leave no reference
# cycles, so frequent collections would only cost time.
GC_THRESHOLD = 20_000


def tune_garbage_collector() -> None:
    """Exclude the objects created during startup from garbage collection, and collect less often.

    These objects live until the process ends, so scanning them would only cost time.
    """
    gc.collect()
    gc.freeze()
    gc.set_threshold(GC_THRESHOLD)
