"""The command `decklb maint`."""

from unittest import mock

from click.testing import CliRunner

from decklb.cli.maint import maint


def test_plan_lists_unfinished_machines_with_disrupted_ones_first():
    rows = [("e0", "done"), ("e1", "waiting"), ("e2", "out")]
    answer = {
        "hold": "zone b is not well",
        "jobs": [{"job": "j", "machines": [{"machine": n, "zone": "z", "stage": s} for n, s in rows]}],
    }
    with mock.patch("decklb.cli.maint.query_process", return_value=answer):
        output = CliRunner().invoke(maint, ["plan"]).output
    assert [line.split()[1:2] for line in output.splitlines()[1:3]] == [["e2"], ["e1"]]
    assert "e0" not in output
    assert "waiting: zone b is not well" in output
