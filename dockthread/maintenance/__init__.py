"""The order of work: which machine is taken out when, settled among the ingresses of a fleet."""
