"""Settings files mean what they always meant: values, schema and error texts against recorded ones."""

from __future__ import annotations

import hashlib
import json
import re
from dataclasses import fields, is_dataclass
from enum import Enum

import pytest

from decklb import config
from decklb.config.xml import schema_text
from tests.standins import ROOT, SETTINGS, known
from tests.test_settings_files import BROKEN, HEAD

GOLDEN = ROOT / "tests" / "golden"
FILES = [
    "deploy/cluster.xml",
    "deploy/handoff.xml",
    "deploy/locality.xml",
    "deploy/maintenance.xml",
    "deploy/postgres.xml",
    "tests/golden/config_every_key.xml",
]
# Name of a field in the code -> its name in the recorded values, by class. A renamed field is entered here alone.
RECORDED_NAMES: dict[str, dict[str, str]] = {
    "Config": {
        "max_descriptors": "sockets",
        "memory_mb": "memory",
        "connection_limits": "limits",
        "endpoint_list_version": "index",
        "endpoint_list_updates": "updates",
    }
}
KEYED = {"name": "keyed", "aim": 500.0, "deadline": 900.0, "semantics": "deduplicated", "memory_span": 700.0}
PLATFORM = {
    "name": "n",
    "listen": "127.0.0.1:7",
    "seed": "1f",
    "limits": {"sockets": 4096, "memory_mb": 300},
    "resolver": "127.0.0.1:8",
    "settings": SETTINGS
    | {"categories": [*SETTINGS["categories"], KEYED], "domain": {"kind_cores": [8], "dop": [1, 1, 2]}},
    "known": known(1, 2, index=5),
}


def plain(value):
    """A settings object as plain JSON values, under the recorded names of its fields."""
    if is_dataclass(value):
        names = RECORDED_NAMES.get(type(value).__name__, {})
        return {names.get(f.name, f.name): plain(getattr(value, f.name)) for f in fields(value)}
    if isinstance(value, Enum):
        return value.value
    if isinstance(value, dict):
        return {str(plain(k)): plain(v) for k, v in value.items()}
    if isinstance(value, list | tuple):
        return [plain(v) for v in value]
    if isinstance(value, set | frozenset):
        return sorted(map(plain, value))
    return value.replace(str(ROOT), "<root>") if isinstance(value, str) else value


def recorded(name):
    return json.loads((GOLDEN / f"config_{name}.json").read_text())


def properties(loaded):
    return [loaded.max_clients, loaded.max_extra_clients, loaded.max_client_bytes]


@pytest.mark.parametrize("path", FILES)
def test_settings_file_gives_the_recorded_values(path):
    loaded = config.load(None, str(ROOT / path))
    assert [plain(loaded), properties(loaded)] == recorded("values")[path]


def test_platform_file_gives_the_recorded_values(tmp_path, monkeypatch):
    (tmp_path / "platform.json").write_text(json.dumps(PLATFORM))
    loaded = config.load(str(tmp_path / "platform.json"))
    assert [plain(loaded), properties(loaded)] == recorded("values")["platform"]
    monkeypatch.setenv("LB_NAME", "from-environment")
    monkeypatch.setenv("LB_LISTEN", "127.0.0.1:9")
    (tmp_path / "platform.json").write_text(json.dumps({"settings": SETTINGS}))
    monkeypatch.setenv("LB_CONFIG", str(tmp_path / "platform.json"))
    assert plain(config.load()) == recorded("values")["platform by environment"]


def test_settings_file_over_platform_file_gives_the_recorded_values(tmp_path):
    (tmp_path / "platform.json").write_text(json.dumps(PLATFORM))
    loaded = config.load(str(tmp_path / "platform.json"), str(ROOT / "deploy/postgres.xml"))
    assert plain(loaded) == recorded("values")["postgres over platform"]


@pytest.mark.parametrize("number", range(len(BROKEN)), ids=[words for _, _, words in BROKEN])
def test_broken_file_gives_the_recorded_faults(tmp_path, number):
    path = tmp_path / "s.xml"
    path.write_text(HEAD + BROKEN[number][0] + "\n</decklb>\n")
    with pytest.raises(config.SettingsError) as caught:
        config.load(None, str(path))
    told = str(caught.value).replace(str(path), "s.xml")
    # The length of a path depends on the folder of this run.
    assert re.sub(r"path has \d+ bytes", "path has N bytes", told).splitlines() == recorded("faults")[number]


@pytest.mark.parametrize("number", range(7))
def test_broken_platform_file_gives_the_recorded_error(tmp_path, number):
    body, message = recorded("platform_faults")[number]
    path = tmp_path / "platform.json"
    path.write_text(body)
    with pytest.raises(config.ConfigError) as caught:
        config.load(str(path))
    assert str(caught.value).replace(str(path), "platform.json") == message


def test_schema_is_the_recorded_one():
    digest = hashlib.sha256(schema_text().encode()).hexdigest()
    assert digest == recorded("values")["schema sha256"]
