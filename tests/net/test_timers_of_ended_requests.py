"""Nothing of a request outlives it for as long as its client said it would wait."""

from __future__ import annotations

from tests.loopback import FIRST_REQUEST_ID, Backend, request, run, running_ingress, until

HOURS_MS = 9_000_000


def test_timers_of_answered_requests_do_not_pile_up_until_deadlines_that_clients_made_up() -> None:
    async def scenario() -> None:
        async with running_ingress(Backend()) as (ingress, client, _):
            for first in range(0, 4_000, 100):
                numbers = range(FIRST_REQUEST_ID + first, FIRST_REQUEST_ID + first + 100)
                client.writer.write(b"".join(request(number, d=HOURS_MS) for number in numbers))
                assert {await client.answer() for _ in numbers} <= {b"value", "BUSY 375"}
            await until(lambda: not ingress.requests)
            ingress._run_periodic_maintenance()
            far_ms = ingress.clock.now() + HOURS_MS / 2
            assert sum(entry[0] > far_ms for entry in ingress.timers._heap) <= 1_000

    run(scenario())
