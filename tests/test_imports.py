"""What the platform's process must not carry: parts that are off, and the libraries of those."""

from __future__ import annotations

import subprocess
import sys

from tests.standins import ROOT

OFF = (
    "lxml",
    "msgspec",
    "cryptography",
    "xxhash",
    "numpy",
    "pyarrow",
    "matplotlib",
    "simpy",
    "rich",
    "hdrh",
    "lmdb",
    "decklb.cluster",
    "decklb.handoff",
    "decklb.locality",
    "decklb.maintenance",
    "decklb.lab",
    "decklb.pg",
    "decklb.bgp",
    "decklb.middleware",
    "decklb.daemon.control",
    "decklb.config.xml",
    "decklb.config.operators",
    "decklb.wire.health_check",
    "decklb.net.health_check",
)
CODE = """
import sys
from tests.standins import SETTINGS, known
from decklb import config
from decklb.cli import main
from twisted.internet import reactor
from decklb.daemon.service import Service
c = config.from_raw({"name": "n", "listen": "127.0.0.1:0", "settings": SETTINGS, "known": known(1)})
service = Service(reactor, c, lambda: c)
service.start()
print(",".join(sys.modules))
"""


def test_serve_on_the_platform_imports_nothing_that_is_off():
    out = subprocess.run([sys.executable, "-c", CODE], cwd=ROOT, capture_output=True, text=True, check=True).stdout
    loaded = set(out.strip().split(","))
    assert {"decklb.net.listener", "decklb.policy.gateway"} <= loaded
    assert not [name for name in OFF if name in loaded]


def test_wires_do_not_import_one_another():
    for package in ("net", "pg", "bgp", "middleware"):
        others = [f"decklb.{x}" for x in ("net", "pg", "bgp", "middleware", "daemon", "cli", "lab") if x != package]
        for path in (ROOT / "decklb" / package).glob("*.py"):
            found = [
                line
                for line in path.read_text().splitlines()
                if line.strip().startswith(("import ", "from ")) and any(o in line for o in others)
            ]
            assert not found, f"{path.name}: {found}"


def test_decisions_of_the_cluster_know_no_io():
    allowed = {"runtime.py", "keyfile.py"}  # the socket, the file
    for path in (ROOT / "decklb" / "cluster").glob("*.py"):
        text = path.read_text()
        if path.name not in allowed:
            for name in ("twisted", "loguru", "import time", "import os", "import socket", "open("):
                # `open` of the sealer is a cipher's, no file's.
                assert name not in text.replace(".open(", "").replace("def open(", ""), f"{path.name}: {name}"


def test_decisions_of_handoff_locality_and_maintenance_know_no_io():
    for package, io in (
        ("handoff", {"runtime.py", "peer_connection.py", "store.py", "protected_dispatcher.py"}),
        ("locality", {"runtime.py"}),
        ("maintenance", {"runtime.py", "store.py"}),
    ):
        for path in (ROOT / "decklb" / package).glob("*.py"):
            if path.name not in io:
                for name in ("twisted", "loguru", "import time", "import os", "import socket", "lmdb", " open("):
                    assert name not in path.read_text(), f"{path.name}: {name}"
