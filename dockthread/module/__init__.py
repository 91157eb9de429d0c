"""The decision module: every decision of one gateway, free of I/O. Events in, actions out (`api`)."""

from dockthread.module import api
from dockthread.module.rules import Gateway

__all__ = ["Gateway", "api"]
