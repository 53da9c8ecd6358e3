"""Import rules: modules of unused features are not loaded, and packages import only packages of lower layers."""

from __future__ import annotations

import ast
import subprocess
import sys

from tests.source_trees import syntax_tree
from tests.standins import ROOT

OPTIONAL_MODULES = (
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
SERVE_ON_PLATFORM_CODE = """
import sys
from tests.standins import SETTINGS, endpoint_list
from decklb import config
from decklb.cli import main
from twisted.internet import reactor
from decklb.daemon.service import Service
c = config.from_raw({"name": "n", "listen": "127.0.0.1:0", "settings": SETTINGS, "known": endpoint_list(1)})
service = Service(reactor, c, lambda: c)
service.start()
print(",".join(sys.modules))
"""


def test_serve_on_the_platform_does_not_import_optional_modules():
    out = subprocess.run(
        [sys.executable, "-c", SERVE_ON_PLATFORM_CODE], cwd=ROOT, capture_output=True, text=True, check=True
    ).stdout
    loaded = set(out.strip().split(","))
    assert {"decklb.net.listener", "decklb.policy.gateway"} <= loaded
    assert not [name for name in OPTIONAL_MODULES if name in loaded]


def test_protocol_packages_do_not_import_one_another():
    for package in ("net", "pg", "bgp", "middleware"):
        others = [f"decklb.{x}" for x in ("net", "pg", "bgp", "middleware", "daemon", "cli", "lab") if x != package]
        for path in (ROOT / "decklb" / package).glob("*.py"):
            found = [
                line
                for line in path.read_text().splitlines()
                if line.strip().startswith(("import ", "from ")) and any(o in line for o in others)
            ]
            assert not found, f"{path.name}: {found}"


def test_cluster_logic_does_no_io():
    allowed = {"runtime.py", "keyfile.py"}  # they do the I/O: on the socket, on the key file
    for path in (ROOT / "decklb" / "cluster").glob("*.py"):
        text = path.read_text()
        if path.name not in allowed:
            for name in ("twisted", "loguru", "import time", "import os", "import socket", "open("):
                # The sealer's `open` decrypts a datagram; it opens no file.
                assert name not in text.replace(".open(", "").replace("def open(", ""), f"{path.name}: {name}"


def test_handoff_locality_and_maintenance_logic_does_no_io():
    for package, allowed in (
        ("handoff", {"runtime.py", "peer_connection.py", "store.py", "protected_dispatcher.py"}),
        ("locality", {"runtime.py"}),
        ("maintenance", {"runtime.py", "store.py"}),
    ):
        for path in (ROOT / "decklb" / package).glob("*.py"):
            if path.name not in allowed:
                for name in ("twisted", "loguru", "import time", "import os", "import socket", "lmdb", " open("):
                    assert name not in path.read_text(), f"{path.name}: {name}"


# Packages and modules of decklb from the lowest layer to the highest. A layer imports only lower layers, and packages
# of the same layer don't import one another. `X.settings` stands for the module `settings` of any package X, which
# defines frozen dataclasses.
LAYERS = (
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
# Known violations of this rule, with the reason. A violation that no longer exists fails the test until it is removed
# here, so that the list shrinks.
UPWARD_IMPORTS = {
    ("X.settings", "pg"): "errors of rejected values carry the error code that is sent to clients",
    ("X.settings", "bgp"): "prefixes are parsed by the code of the protocol",
}
SAME_LAYER_IMPORTS = {
    ("handoff", "cluster"): "messages between members use the cluster's links",
    ("locality", "cluster"): "votes between members use the cluster's links",
    ("maintenance", "cluster"): "votes between members use the cluster's links",
    ("maintenance", "handoff"): "both store records on disk",
    ("maintenance", "locality"): "budgets depend on zones and their load",
}
# Packages with cyclic imports between their modules, with the modules concerned. A package that no longer has a cycle
# fails the test too.
IMPORT_CYCLES = {
    "handoff": "connections to peers and the service that owns them",
    "net": "connections and the listener or pool that owns them, on both sides",
    "pg": "connections to engines and the pool that owns them",
    "wire": "connections to engines and the pool that owns them",
}


def module_imports():
    """Map each module of decklb by its dotted name to the modules of decklb that it imports, also within functions."""
    paths = {}
    for path in (ROOT / "decklb").rglob("*.py"):
        name = ".".join(path.relative_to(ROOT).with_suffix("").parts)
        paths[name.removesuffix(".__init__")] = path
    return {name: imported_modules(path, paths) - {name} for name, path in paths.items()}


def imported_modules(path, module_paths):
    found = set()
    for node in ast.walk(syntax_tree(path)):
        if isinstance(node, ast.Import):
            found |= {alias.name for alias in node.names if alias.name in module_paths}
        elif isinstance(node, ast.ImportFrom):
            assert node.level == 0, f"{path}: a relative import"
            for alias in node.names:
                found |= {f"{node.module}.{alias.name}", node.module} & module_paths.keys()
                if f"{node.module}.{alias.name}" in module_paths:
                    found.discard(node.module)
    return found


def package(module):
    """Return the name under which LAYERS lists a module."""
    parts = module.split(".")
    return "X.settings" if parts[2:] == ["settings"] else parts[1]


def layer(name):
    return next(number for number, names in enumerate(LAYERS) if name in names)


def package_imports():
    """Map each pair (importing package, imported package) to an example of such an import."""
    return {
        (package(importer), package(target)): f"{importer} imports {target}"
        for importer, targets in module_imports().items()
        if importer != "decklb"
        for target in targets
        if package(importer) != package(target)
    }


def test_every_module_is_in_a_layer():
    assert {package(name) for name in module_imports() if name != "decklb"} <= {
        name for names in LAYERS for name in names
    }


def test_packages_import_higher_layers_only_where_listed():
    upward = {pair: example for pair, example in package_imports().items() if layer(pair[1]) > layer(pair[0])}
    assert upward.keys() == UPWARD_IMPORTS.keys(), upward


def test_packages_of_one_layer_import_one_another_only_where_listed():
    assert {pair for pair in package_imports() if layer(pair[0]) == layer(pair[1])} == SAME_LAYER_IMPORTS.keys()


def import_cycles():
    """Return the sets of modules that import one another, directly or through other modules."""
    imports = module_imports()
    reachable = {}
    for start in imports:
        found, pending = set(), [start]
        while pending:
            for target in imports[pending.pop()] - found:
                found.add(target)
                pending.append(target)
        reachable[start] = found
    return {
        frozenset(other for other in reachable[name] if name in reachable[other])
        for name in imports
        if name in reachable[name]
    }


def test_modules_have_cyclic_imports_only_where_listed():
    packages = [{package(module) for module in cycle} for cycle in import_cycles()]
    assert all(len(names) == 1 for names in packages), f"import cycles across packages: {packages}"
    assert {name for names in packages for name in names} == IMPORT_CYCLES.keys()
