"""Syntax trees of the project's modules, for tests that inspect the code."""

from __future__ import annotations

import ast
import gc
from functools import cache
from pathlib import Path


@cache
def syntax_tree(path: Path) -> ast.Module:
    """Return the syntax tree of a module; each file is parsed once.

    Garbage collection is disabled during parsing: CPython 3.11 raises SystemError, "AST constructor recursion depth
    mismatch", if a collection during a parse runs a finalizer that itself parses code.
    """
    was_enabled = gc.isenabled()
    gc.disable()
    try:
        return ast.parse(path.read_text())
    finally:
        if was_enabled:
            gc.enable()
