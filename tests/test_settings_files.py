"""The operators' XML: the settings read from it, and a table of invalid files with the line and text of each fault."""

from __future__ import annotations

import json
import tempfile
import unittest
from pathlib import Path

import pytest
from click.testing import CliRunner

from decklb import config
from decklb.cli import main
from decklb.config import units
from tests.standins import ROOT, SETTINGS, endpoint_list

HEAD = """<decklb version="1">
<process name="n" listen="127.0.0.1:1"/>
<classes><class name="c" aim="1s" deadline="5s" semantics="idempotent"/></classes>
<tenants><tenant name="t" share="100%"/></tenants>
"""
CLUSTER = '<cluster name="k" bind="127.0.0.1:7" keys="keys.json"/>\n'
LOCALITY = (
    '<locality zone="a" members="5"><region name="r"><zone name="a"/></region>'
    '<region name="s"><zone name="b"/></region></locality>'
)
BROKEN = [  # text after the four lines of HEAD, line of the fault, part of the fault's message
    ("<classess/>", 5, "classess"),
    ('<process name="n"/>', 5, "process"),
    ('<rules tick="5"/>', 5, "a duration such as 250ms"),
    ('<rules max-attempts="5"/>', 5, "maximum value allowed ('4')"),
    ('<rules cold-share="0.3"/>', 5, "a share such as 10%"),
    ('<rules cancelling="yes"/>', 5, "true or false"),
    ('<bgp asn="1" router="10.0.0.1"><prefix>10.0.0.0</prefix><peer address="a:1" asn="2"/></bgp>', 5, "prefix"),
    (
        '<bgp asn="1" router="10.0.0.1" hold="1s"><prefix>10.0.0.0/8</prefix><peer address="a:1" asn="2"/></bgp>',
        5,
        "hold is 0 or 3",
    ),
    (
        '<bgp asn="1" router="10.0.0.1"><prefix>10.0.0.0/8</prefix><peer address="a:99999" asn="2"/></bgp>',
        5,
        "no address",
    ),
    ('<postgres user="u"><user name="x" class="cc"/></postgres>', 5, "nobody defines class 'cc'; one of c"),
    ('<postgres user="u">\n<user name="x" tenant="tt"/></postgres>', 6, "nobody defines tenant 'tt'"),
    ('<postgres user="u" writes="w"/>', 5, "nobody defines writes 'w'"),
    ('<engines><engine id="e" address="h:1"/>\n<engine id="e" address="h:2"/></engines>', 6, "line 5 already"),
    ('<engines><engine id="e" address="h:70000"/></engines>', 5, "no address"),
    (
        '<engines><engine id="e" address="h:1" kind="k"/></engines>\n<kinds><kind name="j" cores="2"/></kinds>',
        5,
        "nobody defines kind 'k'",
    ),
    ('<kinds><kind name="j" cores="0"/></kinds>', 5, "a whole number from 1"),
    ('<probing period="1s"/>', 5, "needs a <cluster>"),
    ('<cluster name="k" bind="127.0.0.1:7" keys="k" timeout="9s"/>', 5, "timeout must be above 0 and below interval"),
    ('<cluster name="k" bind="0.0.0.0:7" keys="k"/>', 5, "others can't reach 0.0.0.0"),
    (
        '<cluster name="k" bind="127.0.0.1:7" advertise="0.0.0.0:8" keys="k"/>',
        5,
        "advertise: others can't reach 0.0.0.0",
    ),
    ('<cluster name="k" bind="127.0.0.1:7"/>', 5, "'keys' is required"),
    ('<handoff members="3"/>', 5, "needs <cluster>"),
    (CLUSTER + '<handoff members="3"/>', 6, "needs <postgres>"),
    (CLUSTER + '<postgres user="u"/>\n<handoff/>', 7, "'members' is required"),
    (CLUSTER + '<postgres user="u"/>\n<handoff members="3" lease="500ms"/>', 7, "at least three beats"),
    (CLUSTER + '<postgres user="u"/>\n<handoff members="3" copies="1" data="d"/>', 7, "at least 2 copies"),
    (CLUSTER + '<postgres user="u"/>\n<handoff members="3" copies="9"/>', 7, "from 1 to 8"),
    (
        '<cluster name="k" bind="127.0.0.1:7" keys="k" lately="5s"/>\n<postgres user="u"/>\n<handoff members="3"/>',
        5,
        "for as long as records live",
    ),
    (LOCALITY, 5, "needs <cluster>"),
    (CLUSTER + LOCALITY.replace('zone="a"', 'zone="c"', 1), 6, "zone 'c' stands in no region; one of a, b"),
    (CLUSTER + LOCALITY.replace('members="5"', ""), 6, "'members' is required"),
    (CLUSTER + LOCALITY.replace('members="5"', 'members="5" out="20%"'), 6, "degraded must be above 0 and below out"),
    (CLUSTER + LOCALITY.replace('members="5"', 'members="5" fresh="1s"'), 6, "three times tick and look"),
    (CLUSTER + LOCALITY.replace('name="b"', 'name="a"'), 6, "one region only"),
    (CLUSTER + LOCALITY + '<engines><engine id="e" address="h:1" zone="z"/></engines>', 6, "no engine of <engines>"),
    ('<maintenance members="5"/>', 5, "needs <locality>"),
    ('<maintenance members="5"/>', 5, "needs <control>"),
    (CLUSTER + LOCALITY + '\n<control socket="c"/>\n<maintenance members="5" absent="1s"/>', 8, "at least fresh"),
    (CLUSTER + LOCALITY + '\n<control socket="c"/>\n<maintenance members="5" most="0"/>', 8, "a whole number from 1"),
    (CLUSTER + '<probing cold-factor="0.5"/>', 6, "at least 1"),
    ('<cluster name="k" bind="127.0.0.1:7" keys="k"><seed>nowhere</seed></cluster>', 5, "HOST:PORT"),
    (f'<control socket="{"x" * 150}"/>', 5, "at most 100"),
    ("<control/>", 5, "'socket' is required"),
    ("<rules", 6, "is no XML"),
]


def write_file(folder, text, name="s.xml"):
    path = Path(folder) / name
    path.write_text(text)
    return str(path)


@pytest.fixture
def folder():
    with tempfile.TemporaryDirectory() as name:
        yield name


@pytest.mark.parametrize(("section", "line", "message"), BROKEN, ids=[message for _, _, message in BROKEN])
def test_a_broken_file_is_rejected_with_the_line_of_each_fault(folder, section, line, message):
    path = write_file(folder, HEAD + section + "\n</decklb>\n")
    with pytest.raises(config.SettingsError) as caught:
        config.load(None, path)
    assert [f for f in caught.value.faults if f.line == line and message in f.text], str(caught.value)
    assert all(f.file == path for f in caught.value.faults)


def test_all_faults_are_reported_at_once(folder):
    path = write_file(folder, HEAD.replace("100%", "1") + '<rules tick="x"/>\n<control/>\n</decklb>')
    with pytest.raises(config.SettingsError) as caught:
        config.load(None, path)
    assert [f.line for f in caught.value.faults] == [4, 5, 6]


@pytest.mark.parametrize(
    "text",
    [
        '<!DOCTYPE decklb [<!ENTITY a "1">]>\n<decklb version="1"><control socket="&a;"/></decklb>',
        '<!DOCTYPE decklb SYSTEM "http://127.0.0.1:1/x.dtd">\n<decklb version="1"/>',
        "<decklb version='1'>" + "<a>" * 50 + "</a>" * 50 + "</decklb>",
        "<decklb version='2'/>",
        "<decklb version='1'/>" + " " * (5 << 20),
    ],
)
def test_entities_doctypes_and_huge_files_are_rejected(folder, text):
    with pytest.raises(config.SettingsError):
        config.load(None, write_file(folder, text))


class SettingsFile(unittest.TestCase):
    def test_handoff_example_is_accepted(self):
        loaded = config.load(None, str(ROOT / "deploy/handoff.xml"))
        assert loaded.handoff is not None and loaded.handoff.fleet_size == 3 and loaded.postgres is not None
        assert loaded.handoff.store_folder == str(ROOT / "deploy/reportes-1.data")

    def test_locality_example_is_accepted(self):
        loaded = config.load(None, str(ROOT / "deploy/locality.xml"))
        assert (
            loaded.locality is not None
            and loaded.locality.home_zone == "sala-lima"
            and loaded.locality.member_count == 5
        )
        assert loaded.locality.region_of == {"sala-lima": "costa", "sala-callao": "costa", "sala-cusco": "sierra"}

    def test_maintenance_example_is_accepted(self):
        loaded = config.load(None, str(ROOT / "deploy/maintenance.xml"))
        assert loaded.maintenance is not None and loaded.maintenance.member_count == 5
        assert loaded.maintenance.max_unavailable_zone_fraction == 1.0

    def test_cluster_example_is_accepted(self):
        loaded = config.load(None, str(ROOT / "deploy/cluster.xml"))
        assert (
            loaded.cluster is not None and loaded.cluster.health_checks is not None and len(loaded.cluster.seeds) == 3
        )

    def test_postgres_example_is_accepted_without_a_platform_file(self):
        loaded = config.load(None, str(ROOT / "deploy/postgres.xml"))
        assert loaded.postgres is not None and loaded.postgres.users["reportes"].budget_ms == 20_000.0
        assert (
            loaded.settings.classes["carga"].ordered_by_key
            and loaded.settings.max_attempts == 4
            and loaded.settings.tick_ms == 5.0
        )
        assert [x["instanceId"] for x in loaded.endpoint_list_updates[0]["endpoints"]["instances"]] == [
            "motor-1",
            "motor-2",
        ]

    def test_settings_override_the_platform_file(self):
        with tempfile.TemporaryDirectory() as folder:
            raw = {"name": "n", "listen": "127.0.0.1:1", "settings": SETTINGS, "known": endpoint_list(1)}
            xml = (
                '<decklb version="1"><process memory="64MiB"/><cluster name="k" bind="127.0.0.1:7" keys="sub/k.json"'
                ' interval="1s" weight="2"><seed>127.0.0.1:8</seed></cluster>'
                '<probing period="250ms" timeout="50ms" doubt-share="75%"/><control socket="c.sock"/></decklb>'
            )
            loaded = config.load(write_file(folder, json.dumps(raw), "c.json"), write_file(folder, xml))
            assert (loaded.name, loaded.memory_mb, loaded.endpoint_list_version) == ("n", 64.0, 1)
            assert loaded.cluster is not None and loaded.cluster.health_checks is not None
            assert loaded.cluster.key_file == str(Path(folder).resolve() / "sub/k.json")
            assert (loaded.cluster.member, loaded.cluster.seeds) == ("n", (("127.0.0.1", 8),))
            assert (loaded.cluster.membership.probe_interval_ms, loaded.cluster.health_checks.mass_failure_ratio) == (
                1000.0,
                0.75,
            )
            assert loaded.control == str(Path(folder).resolve() / "c.sock")

    def test_units_are_converted_and_malformed_values_rejected(self):
        assert [units.parse_duration_ms(x) for x in ("250ms", "2s", "1.5min", "1h")] == [
            250.0,
            2000.0,
            90_000.0,
            3_600_000.0,
        ]
        assert (units.parse_size_bytes("64KiB"), units.parse_fraction("2.5%")) == (65536, 0.025)
        assert [units.format_duration(x) for x in (250.0, 2000.0, 1500.0, 90_000.0)] == [
            "250ms",
            "2s",
            "1.5s",
            "1.5min",
        ]
        for text in ("", "2", "s", "-1s", "1 s", "1e3ms", "2m"):
            self.assertRaises(ValueError, units.parse_duration_ms, text)

    def test_check_prints_a_summary_or_faults_and_schema_prints_the_schema(self):
        run = CliRunner().invoke
        assert "schema" in run(main, ["schema"]).output
        result = run(main, ["check", "--settings", str(ROOT / "deploy/postgres.xml")])
        assert result.exit_code == 0 and "postgres: 2 users" in result.output
        with tempfile.TemporaryDirectory() as folder:
            result = run(main, ["check", "--settings", write_file(folder, HEAD + "<control/></decklb>")])
        assert result.exit_code == 1 and ":5: " in result.output
