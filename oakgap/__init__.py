"""oakgap: the decisions of a gateway that meters many customers' use of one shared service."""

from oakgap.rules import Gateway

__all__ = ["Gateway"]
