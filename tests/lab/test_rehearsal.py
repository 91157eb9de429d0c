"""Scenarios of real processes: read, checked, played, and checked by what backends saw."""

from __future__ import annotations

import asyncio
import json
from pathlib import Path

import pytest
from click.testing import CliRunner

from dockthread.cli.lab import lab
from dockthread.lab.maintenance.rehearsal import Rehearsal
from dockthread.lab.maintenance.scenario import (
    ScenarioError,
    Step,
    StepVerb,
    parse_scenario,
    shipped_scenarios,
)
from dockthread.lab.maintenance.stand_in import StandInBackend

SHORT = """
[scenario]
about = the leader dies right after a grant
machines = 3
lasts = 5s
work = 300ms
steps =
    500ms ask m0 m1
    600ms kill leader
    3s start all
"""


@pytest.mark.parametrize(
    ("text", "wrong"),
    [
        ("[scenario]\ningresses = 4", "ingresses: is 4"),
        ("[scenario]\nmachines = 0", "machines: is 0 in 1 zones"),
        ("[scenario]\nlasts = 10ms", "lasts: is not from 1s"),
        ("[scenario]\nsteps =\n  soon ask m0", "'soon' is not a duration"),
        ("[scenario]\nsteps =\n  1s explode m0", "has no word 'explode'"),
        ("[scenario]\nsteps =\n  1s ask m9", "takes targets, and 'm9' is none"),
        ("[scenario]\nsteps =\n  1s kill", "takes ingresses"),
        ("[scenario]\nsteps =\n  1s heal n0", "takes nothing"),
        ("[scenario]\nsteps =\n  1s delay much", "takes a number of ms"),
        ("[faults]\nkinds = kill, flood", "'flood' is none"),
        ("[scenarios]", "is no section"),
    ],
)
def test_a_scenario_that_is_wrong_is_rejected_with_its_key(text: str, wrong: str) -> None:
    with pytest.raises(ScenarioError, match=wrong.replace("(", r"\(")):
        parse_scenario(text, "f.ini")


def test_steps_are_in_order_of_time_and_drawn_faults_depend_on_the_seed_and_end() -> None:
    played = parse_scenario(SHORT, "f.ini")
    assert [step.verb for step in played.steps] == [
        "ask",
        "kill",
        "start",
    ] and played.ingresses == 3
    assert played.steps[0] == Step(500.0, StepVerb.ASK, ("m0", "m1"))
    drawn = "[faults]\nkinds = kill, stop, cut, delay\nevery = 1s\nuntil = 9s"
    first, again, other = (parse_scenario(drawn, "f.ini", 5, seed).steps for seed in (1, 1, 2))
    assert first == again != other
    for begins, ends in (("kill", "start"), ("stop", "continue")):
        assert sum(step.verb == begins for step in first) == sum(
            step.verb == ends for step in first
        )
    for name, text in shipped_scenarios().items():
        assert name.startswith("work-") and parse_scenario(text, name).settings.about


def test_a_short_scenario_plays_on_processes_by_the_command(tmp_path: Path) -> None:
    (tmp_path / "short.ini").write_text(SHORT)
    played = CliRunner().invoke(lab, ["fleet", "run", str(tmp_path / "short.ini"), "--json"])
    assert played.exit_code == 0, played.output
    told = json.loads(played.output)
    assert told["broken"] == [] and told["served"] > 100
    assert sum("is pulled" in line for line in told["record"]) == 2
    assert CliRunner().invoke(lab, ["fleet", "run", "no-such"]).exit_code == 2
    (tmp_path / "bad.ini").write_text("[scenario]\ningresses = 2")
    assert (
        "ingresses: is 2"
        in CliRunner().invoke(lab, ["fleet", "run", str(tmp_path / "bad.ini")]).output
    )


def test_two_switched_off_in_a_zone_and_a_request_to_one_break_rules(tmp_path: Path) -> None:
    async def scenario() -> None:
        rehearsal = Rehearsal(tmp_path, parse_scenario(SHORT, "f.ini"))
        rehearsal._cluster = type("Cluster", (), {"processes": {"n0": None, "n1": None}})()
        for backend in rehearsal._backends.values():
            await backend.open()
        first = asyncio.create_task(rehearsal._work_at("m0", ["n0", "n1"]))
        await asyncio.sleep(0.05)
        await use(rehearsal._backends["m0"])
        # n1 had not confirmed that it drained the backend: what comes is not checked
        await rehearsal._work_at("m1", ["n0"])
        await first
        assert sorted(one.rule for one in rehearsal._result.broken) == ["used", "zone"]
        assert not any(backend.is_switched_off for backend in rehearsal._backends.values())
        for backend in rehearsal._backends.values():
            backend.close()

    asyncio.run(asyncio.wait_for(scenario(), 30))


async def use(backend: StandInBackend) -> None:
    reader, writer = await asyncio.open_connection(backend.address.host, backend.address.port)
    try:
        assert await reader.read(1) == b""
    except ConnectionResetError:
        pass
    finally:
        writer.close()
