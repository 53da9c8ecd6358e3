"""The policy may import only its interface, its own modules and modules of the standard library that do no I/O."""

from __future__ import annotations

import ast

from tests.source_trees import syntax_tree
from tests.standins import ROOT

ALLOWED = {"__future__", "bisect", "collections", "dataclasses", "hashlib", "math", "random", "struct", "typing"}


def imported(path):
    for node in ast.walk(syntax_tree(path)):
        if isinstance(node, ast.Import):
            yield from (alias.name for alias in node.names)
        elif isinstance(node, ast.ImportFrom):
            yield node.module


def test_the_policy_imports_no_module_that_does_io():
    for path in (ROOT / "decklb" / "policy").glob("*.py"):
        for module in imported(path):
            own = module in ("decklb", "decklb.interface") or module.startswith("decklb.policy")
            assert own or module.partition(".")[0] in ALLOWED, f"{path.name}: {module}"
