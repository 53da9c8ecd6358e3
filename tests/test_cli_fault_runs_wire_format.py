"""Arguments and printed lines of the fault-run commands for given results, compared with a recording."""

from __future__ import annotations

import json

import pytest
from click.testing import CliRunner

from decklb.cli import main
from decklb.lab.checks.execution_verdict import Verdict
from decklb.lab.checks.zone_verdict import ZoneVerdict
from decklb.lab.fault_runs import handoff_run, key_cost, maintenance_run, zone_run
from decklb.lab.faults.fault_schedule import FleetFault, FleetFaultKind
from tests.standins import ROOT

RECORDED = json.loads((ROOT / "tests" / "golden" / "cli_fault_runs.json").read_text())
FAULTS = [
    FleetFault(120.4, FleetFaultKind.KILL, "m1"),
    FleetFault(900.0, FleetFaultKind.HEAL, "m1"),
    FleetFault(1500.6, FleetFaultKind.CUT, "m2", "m3"),
    FleetFault(2100.0, FleetFaultKind.HEAL, "m2"),
]
UNCLEAN = Verdict(
    requests=40, served=38, lost=["k1"], doubled=["k2"], repeated=["k3"], overlapping=["k4"], came_back=2, late_ms=1.5
)
CLEAN = Verdict(requests=30, served=29, failed=1, came_back=4)
FAILING_FLEETS = 7  # with this number of fleets the campaigns of this test fail


class Campaigns:
    """Test double of the campaigns of real processes: records their arguments and returns made-up results."""

    def __init__(self):
        self.arguments = []

    def _start(self, *arguments, fleets=1):
        self.arguments.append([*arguments, fleets])
        if fleets == FAILING_FLEETS:
            raise OSError("no process can be started")

    async def handoff(self, setup, seeds, fleets, on_run, logs=""):
        size = [setup.managers, setup.engines, setup.rate, setup.span, setup.faults, setup.data]
        self._start(size, [kind.value for kind in setup.kinds], list(setup.work), seeds, logs, fleets=fleets)
        verdicts = [UNCLEAN if seed % 2 else CLEAN for seed in seeds]
        for seed, verdict in zip(seeds, verdicts, strict=True):
            on_run(seed, verdict, FAULTS)
        return verdicts, {"handoff.claimed": 3}

    async def handoff_cost(self, setup, requests, session_count, seed):
        self._start(setup.managers, requests, session_count, seed)
        return {"with": {"p50_ms": 1.25, "p99_ms": 4}, "without": {"p50_ms": 1, "p99_ms": 3}, "memory": {"kib": 7}}

    async def zones(self, cases, seeds, decision_modes, fleets, on_run, logs=""):
        self._start(cases, seeds, decision_modes, logs, fleets=fleets)
        verdicts = [
            ZoneVerdict(case, mode, seed, requests=90, served=80, errors=6, lost=4, stayed=60, left=20, changes=5)
            for case in cases
            for mode in decision_modes
            for seed in seeds
        ]
        for verdict in verdicts:
            verdict.flood, verdict.late_ms, verdict.wrong = 1.25, 12.6, 1
            on_run(verdict)
        return verdicts

    async def maintenance(self, cases, seeds, fleets, on_run, logs=""):
        self._start(cases, seeds, logs, fleets=fleets)
        runs = [
            maintenance_run.MaintenanceResult(
                case, seed, requests=50, ended=True, seconds=3.25, again=1, seen=["drained"]
            )
            for case in cases
            for seed in seeds
        ]
        for run in runs:
            run.doubled = ["step 4"] if run.seed == 3 else []
            on_run(run)
        return runs


def output_of(command, monkeypatch):
    """Run a command and return its exit status, the arguments of its campaign and the printed lines."""
    campaigns = Campaigns()
    monkeypatch.setattr(handoff_run, "campaign", campaigns.handoff)
    monkeypatch.setattr(key_cost, "measure_key_cost", campaigns.handoff_cost)
    monkeypatch.setattr(zone_run, "campaign", campaigns.zones)
    monkeypatch.setattr(maintenance_run, "campaign", campaigns.maintenance)
    result = CliRunner().invoke(main, ["lab", *command.split()])
    return json.loads(json.dumps([result.exit_code, campaigns.arguments, *result.output.splitlines()]))


@pytest.mark.parametrize("command", RECORDED)
def test_fault_run_commands_print_the_recorded_lines(command, monkeypatch):
    assert output_of(command, monkeypatch) == RECORDED[command]
