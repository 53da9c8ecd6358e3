"""What may import what: parts that are off are not loaded, and packages know nothing of those above or beside them."""

from __future__ import annotations

import ast
import subprocess
import sys

from tests.source_trees import syntax_tree
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
    "decklb.management",
    "decklb.daemon.subsystems.bgp",
    "decklb.daemon.subsystems.cluster",
    "decklb.daemon.subsystems.handoff",
    "decklb.daemon.subsystems.locality",
    "decklb.daemon.subsystems.maintenance",
    "decklb.daemon.subsystems.health_checkers",
    "decklb.config.xml",
    "decklb.config.operators",
    "decklb.config.document",
    "decklb.config.sections",
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


# Packages and modules of decklb from the lowest floor up. A floor imports those below it alone, and packages of one
# floor don't import one another. `X.settings` stands for the module of frozen dataclasses in each package X.
FLOORS = (
    ("interface", "log"),
    ("settings", "X.settings"),
    ("policy",),
    ("core", "wirehost"),
    ("config", "wire"),
    ("cluster", "handoff", "locality", "maintenance"),
    ("management",),
    ("net", "pg", "middleware", "bgp"),
    ("lab",),
    ("daemon",),
    ("cli",),
    ("__main__",),
)
# What breaks the rule, with the reason. Each must still exist, so that this list shrinks.
UPWARD_IMPORTS = {
    ("X.settings", "pg"): "a rejected value has the error code that clients get",
    ("X.settings", "bgp"): "prefixes are parsed as the protocol has them",
}
NEIGHBOUR_IMPORTS = {
    ("handoff", "cluster"): "messages between members go over the cluster's links",
    ("locality", "cluster"): "votes of members go over the cluster's links",
    ("maintenance", "cluster"): "votes of members go over the cluster's links",
    ("maintenance", "handoff"): "both keep records on disk",
    ("maintenance", "locality"): "budgets go by zones and their load",
}
# Packages that have a cycle of modules that import one another, likewise.
IMPORT_CYCLES = {
    "handoff": "connections to peers and the service that owns them",
    "net": "connections and the listener or pool that owns them, on both sides",
    "pg": "connections to engines and the pool that owns them",
    "wire": "connections to engines and the pool that owns them",
}


def modules():
    """Every module of decklb by its dotted name, with the modules of decklb that it imports anywhere in its text."""
    paths = {}
    for path in (ROOT / "decklb").rglob("*.py"):
        name = ".".join(path.relative_to(ROOT).with_suffix("").parts)
        paths[name.removesuffix(".__init__")] = path
    return {name: imported(path, paths) - {name} for name, path in paths.items()}


def imported(path, known):
    found = set()
    for node in ast.walk(syntax_tree(path)):
        if isinstance(node, ast.Import):
            found |= {alias.name for alias in node.names if alias.name in known}
        elif isinstance(node, ast.ImportFrom):
            assert node.level == 0, f"{path}: a relative import"
            for alias in node.names:
                found |= {f"{node.module}.{alias.name}", node.module} & known.keys()
                if f"{node.module}.{alias.name}" in known:
                    found.discard(node.module)
    return found


def package(module):
    """The name of a module in FLOORS."""
    parts = module.split(".")
    return "X.settings" if parts[2:] == ["settings"] else parts[1]


def floor(name):
    return next(number for number, names in enumerate(FLOORS) if name in names)


def package_imports():
    """Pairs of packages of which one imports the other, with a module that does."""
    return {
        (package(importer), package(target)): f"{importer} imports {target}"
        for importer, targets in modules().items()
        if importer != "decklb"
        for target in targets
        if package(importer) != package(target)
    }


def test_every_module_stands_on_a_floor():
    assert {package(name) for name in modules() if name != "decklb"} <= {name for names in FLOORS for name in names}


def test_packages_import_one_of_a_higher_floor_only_where_listed():
    upward = {pair: why for pair, why in package_imports().items() if floor(pair[1]) > floor(pair[0])}
    assert upward.keys() == UPWARD_IMPORTS.keys(), upward


def test_packages_of_one_floor_import_one_another_only_where_listed():
    assert {pair for pair in package_imports() if floor(pair[0]) == floor(pair[1])} == NEIGHBOUR_IMPORTS.keys()


def cycles():
    """Sets of modules that import one another, directly or over others."""
    imports = modules()
    reachable = {}
    for start in imports:
        found, waiting = set(), [start]
        while waiting:
            for target in imports[waiting.pop()] - found:
                found.add(target)
                waiting.append(target)
        reachable[start] = found
    return {
        frozenset(other for other in reachable[name] if name in reachable[other])
        for name in imports
        if name in reachable[name]
    }


def test_modules_import_one_another_in_a_circle_only_where_listed():
    packages = [{package(module) for module in cycle} for cycle in cycles()]
    assert all(len(names) == 1 for names in packages), f"over packages: {packages}"
    assert {name for names in packages for name in names} == IMPORT_CYCLES.keys()
