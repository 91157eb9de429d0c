"""The decision module: every decision of one gateway, free of I/O. Events in, actions out
(`api`).
"""

from dockthread.policy import api
from dockthread.policy.engine import Gateway

__all__ = ["Gateway", "api"]
