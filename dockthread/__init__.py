"""dockthread: an ingress that meters many customers' use of one shared service."""
