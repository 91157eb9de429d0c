"""dockthread: the decisions of a gateway that meters many customers' use of one shared service."""

from dockthread.rules import Gateway

__all__ = ["Gateway"]
