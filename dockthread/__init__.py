"""dockthread: the decisions of a gateway that meters many customers' use of one shared service."""

from dockthread.policy import Gateway, api

__all__ = ["Gateway", "api"]
