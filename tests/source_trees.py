"""Syntax trees of the project's own modules, for tests that read the code."""

from __future__ import annotations

import ast
import gc
from functools import cache
from pathlib import Path


@cache
def syntax_tree(path: Path) -> ast.Module:
    """The tree of a module, parsed once.

    CPython 3.11 raises SystemError, "AST constructor recursion depth mismatch", where a garbage collection during a
    parse runs a finalizer that parses something itself; so nothing is collected meanwhile.
    """
    was_enabled = gc.isenabled()
    gc.disable()
    try:
        return ast.parse(path.read_text())
    finally:
        if was_enabled:
            gc.enable()
