"""Backends that have just started get less than an even share of the requests."""

from __future__ import annotations

from dockthread.policy import (
    Outcome,
)
from tests.policy.harness import UNSAFE, IngressHarness, endpoint


def test_cold_backend_gets_less_than_an_even_share_and_no_retries() -> None:
    ingress = IngressHarness(backends=1)
    ingress.list_endpoints(endpoint(0), endpoint(5, started=ingress.now))
    requests = []
    for _ in range(400):  # all at the same time, as hundreds of ingresses might send them
        requests.append(ingress.send_request(UNSAFE))
        ingress.end_attempt(requests[-1], 0, Outcome.OK)
    # By its slow-start weight, the cold backend gets no more than a warm one in proportion to its
    # capacity. It would withstand three times as much.
    cold_share = 0.3 / 1.3
    assert (
        0
        < sum(ingress.attempts[request][0].backend == 1005 for request in requests)
        < 400 * cold_share * 1.2
    )
    for _ in range(50):
        ingress.engine.delay.smoothed_latency = 0.0  # no rejection because of the expected wait
        request = ingress.send_request(UNSAFE)
        ingress.end_attempt(request, 0, Outcome.AT_CAPACITY)
        assert all(send.backend != 1005 for send in ingress.attempts[request][1:])
