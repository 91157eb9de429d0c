"""Tests of scenarios on real processes: parsing, validation, a short run and its rules."""

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

SHORT_SCENARIO = """
[scenario]
about = the leader is killed right after a grant
machines = 3
lasts = 5s
work = 300ms
steps =
    500ms ask m0 m1
    600ms kill leader
    3s start all
"""


@pytest.mark.parametrize(
    ("text", "message"),
    [
        ("[scenario]\ningresses = 4", "ingresses: is 4"),
        ("[scenario]\nmachines = 0", "machines: is 0 in 1 zones"),
        ("[scenario]\nlasts = 10ms", "lasts: is not from 1s"),
        ("[scenario]\nsteps =\n  soon ask m0", "'soon' is not a duration"),
        ("[scenario]\nsteps =\n  1s explode m0", "has the unknown verb 'explode'"),
        ("[scenario]\nsteps =\n  1s ask m9", "takes targets, but 'm9' is unknown"),
        ("[scenario]\nsteps =\n  1s kill", "takes ingresses"),
        ("[scenario]\nsteps =\n  1s heal n0", "takes nothing"),
        ("[scenario]\nsteps =\n  1s delay much", "takes one number of milliseconds"),
        ("[faults]\nkinds = kill, flood", "'flood' is not a fault"),
        ("[scenarios]", "is not a section"),
    ],
)
def test_invalid_scenario_is_rejected_and_the_error_names_its_key(text: str, message: str) -> None:
    with pytest.raises(ScenarioError, match=message.replace("(", r"\(")):
        parse_scenario(text, "f.ini")


def test_steps_are_ordered_by_time_and_drawn_faults_depend_on_the_seed_and_end() -> None:
    scenario = parse_scenario(SHORT_SCENARIO, "f.ini")
    assert [step.verb for step in scenario.steps] == [
        "ask",
        "kill",
        "start",
    ] and scenario.ingresses == 3
    assert scenario.steps[0] == Step(500.0, StepVerb.REQUEST, ("m0", "m1"))
    drawn = "[faults]\nkinds = kill, stop, cut, delay\nevery = 1s\nuntil = 9s"
    first, repeated, other = (parse_scenario(drawn, "f.ini", 5, seed).steps for seed in (1, 1, 2))
    assert first == repeated != other
    for fault_verb, end_verb in (("kill", "start"), ("stop", "continue")):
        assert sum(step.verb == fault_verb for step in first) == sum(
            step.verb == end_verb for step in first
        )
    for name, text in shipped_scenarios().items():
        assert name.startswith("work-") and parse_scenario(text, name).settings.about


def test_command_runs_a_short_scenario_on_processes(tmp_path: Path) -> None:
    (tmp_path / "short.ini").write_text(SHORT_SCENARIO)
    run = CliRunner().invoke(lab, ["fleet", "run", str(tmp_path / "short.ini"), "--json"])
    assert run.exit_code == 0, run.output
    result = json.loads(run.output)
    assert result["broken"] == [] and result["served"] > 100
    assert sum("is switched off" in line for line in result["record"]) == 2
    assert CliRunner().invoke(lab, ["fleet", "run", "no-such"]).exit_code == 2
    (tmp_path / "bad.ini").write_text("[scenario]\ningresses = 2")
    assert (
        "ingresses: is 2"
        in CliRunner().invoke(lab, ["fleet", "run", str(tmp_path / "bad.ini")]).output
    )


def test_second_switched_off_backend_of_a_zone_and_a_request_to_a_drained_one_violate_rules(
    tmp_path: Path,
) -> None:
    async def scenario() -> None:
        rehearsal = Rehearsal(tmp_path, parse_scenario(SHORT_SCENARIO, "f.ini"))
        rehearsal._cluster = type("Cluster", (), {"processes": {"n0": None, "n1": None}})()
        for backend in rehearsal._backends.values():
            await backend.open()
        first = asyncio.create_task(rehearsal._work_at_backend("m0", ["n0", "n1"]))
        await asyncio.sleep(0.05)
        await open_connection_until_closed(rehearsal._backends["m0"])
        # n1 has not confirmed that it drained m1, so requests to m1 would not violate `used`.
        await rehearsal._work_at_backend("m1", ["n0"])
        await first
        assert sorted(violation.rule for violation in rehearsal._result.violations) == [
            "used",
            "zone",
        ]
        assert not any(backend.is_switched_off for backend in rehearsal._backends.values())
        for backend in rehearsal._backends.values():
            backend.close()

    asyncio.run(asyncio.wait_for(scenario(), 30))


async def open_connection_until_closed(backend: StandInBackend) -> None:
    reader, writer = await asyncio.open_connection(backend.address.host, backend.address.port)
    try:
        assert await reader.read(1) == b""
    except ConnectionResetError:
        pass
    finally:
        writer.close()
