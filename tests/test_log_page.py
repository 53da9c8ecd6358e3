"""The page of log events, docs/operations/logs.md, and the code name the same event codes."""

from __future__ import annotations

import ast
import re

from tests.source_trees import syntax_tree
from tests.standins import ROOT

PAGE = (ROOT / "docs" / "operations" / "logs.md").read_text()
SOURCES = [
    syntax_tree(path) for path in sorted((ROOT / "decklb").rglob("*.py")) if "lab" not in path.relative_to(ROOT).parts
]
# Calls whose first argument is an event code.
CODE_FIRST = {"Notice", "HandoffEvent", "log", "_log_error"}


def strings(node: ast.AST) -> set[str]:
    """All literal strings in an expression, parts of f-strings included."""
    return {part.value for part in ast.walk(node) if isinstance(part, ast.Constant) and isinstance(part.value, str)}


def event_codes(node: ast.AST) -> set[str]:
    """The event codes that one node of the code names: event="...", event = "...", or a call that takes one first."""
    if isinstance(node, ast.keyword) and node.arg == "event":
        return strings(node.value)
    if isinstance(node, ast.Assign) and "event" in map(ast.unparse, node.targets):
        return strings(node.value) if isinstance(node.value, ast.Constant | ast.IfExp) else set()
    if isinstance(node, ast.Call) and node.args and ast.unparse(node.func).rpartition(".")[2] in CODE_FIRST:
        return strings(node.args[0])
    return set()


def column(text: str, header: str, index: int) -> list[str]:
    """The codes in one column of the tables whose first row begins with a header."""
    tables = [part.splitlines()[2:] for part in text.split("\n\n") if part.startswith(f"| {header} |")]
    cells = [row.strip("| ").split(" | ")[index] for rows in tables for row in rows]
    return [code for cell in cells for code in re.findall(r"`([^`]+)`", cell)]


def test_page_has_each_event_code_of_the_code_once_and_no_other():
    in_code = set().union(*(event_codes(node) for tree in SOURCES for node in ast.walk(tree)))
    assert sorted(column(PAGE, "event", 0)) == sorted(in_code)


def test_reasons_on_the_page_are_literals_of_the_code():
    literals = set().union(*(strings(tree) for tree in SOURCES))
    # X, C and S stand for what the code puts in; the literal goes before them.
    fixed_parts = {re.split("X|C/S", reason)[0] for reason in column(PAGE, "reason", 0)} - {""}
    assert fixed_parts and not fixed_parts - literals


def test_new_names_of_renamed_events_and_reasons_are_on_the_page():
    assert set(column(PAGE, "old event", 1)) <= set(column(PAGE, "event", 0))
    assert set(column(PAGE, "old reason", 1)) <= set(column(PAGE, "reason", 0))
