"""The page of log events, docs/operations/logs.md, lists the same event codes as the code."""

from __future__ import annotations

import ast
import re

from tests.source_trees import syntax_tree
from tests.standins import ROOT

PAGE = (ROOT / "docs" / "operations" / "logs.md").read_text()
SOURCES = [
    syntax_tree(path) for path in sorted((ROOT / "decklb").rglob("*.py")) if "lab" not in path.relative_to(ROOT).parts
]
# Functions whose first argument is an event code.
EVENT_CODE_FUNCTIONS = {"Notice", "HandoffEvent", "log", "_log_error"}


def strings(node: ast.AST) -> set[str]:
    """All string literals in an expression, including the parts of f-strings."""
    return {part.value for part in ast.walk(node) if isinstance(part, ast.Constant) and isinstance(part.value, str)}


def event_codes(node: ast.AST) -> set[str]:
    """The event codes in one syntax node: event="...", event = "..." or the first argument of certain functions."""
    if isinstance(node, ast.keyword) and node.arg == "event":
        return strings(node.value)
    if isinstance(node, ast.Assign) and "event" in map(ast.unparse, node.targets):
        return strings(node.value) if isinstance(node.value, ast.Constant | ast.IfExp) else set()
    if isinstance(node, ast.Call) and node.args and ast.unparse(node.func).rpartition(".")[2] in EVENT_CODE_FUNCTIONS:
        return strings(node.args[0])
    return set()


def column(text: str, header: str, index: int) -> list[str]:
    """The codes in one column of all tables whose first column has that header."""
    tables = [part.splitlines()[2:] for part in text.split("\n\n") if part.startswith(f"| {header} |")]
    cells = [row.strip("| ").split(" | ")[index] for rows in tables for row in rows]
    return [code for cell in cells for code in re.findall(r"`([^`]+)`", cell)]


def test_the_page_lists_each_event_code_of_the_code_exactly_once():
    codes = set().union(*(event_codes(node) for tree in SOURCES for node in ast.walk(tree)))
    assert sorted(column(PAGE, "event", 0)) == sorted(codes)


def test_the_reasons_on_the_page_are_literals_in_the_code():
    literals = set().union(*(strings(tree) for tree in SOURCES))
    # X, C and S are placeholders for values; the code has the part before them as a literal.
    fixed_parts = {re.split("X|C/S", reason)[0] for reason in column(PAGE, "reason", 0)} - {""}
    assert fixed_parts and not fixed_parts - literals


def test_the_new_names_of_renamed_events_and_reasons_are_on_the_page():
    assert set(column(PAGE, "old event", 1)) <= set(column(PAGE, "event", 0))
    assert set(column(PAGE, "old reason", 1)) <= set(column(PAGE, "reason", 0))
