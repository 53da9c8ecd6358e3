"""The log in JSON format: one object per line, with a stable event code and typed fields."""

from __future__ import annotations

import io
import json
import unittest

from loguru import logger

from decklb import log


class JsonFormat(unittest.TestCase):
    def test_a_line_has_its_event_code_and_fields_keep_their_types(self):
        out = io.StringIO()
        log.set_up("INFO", "json", out)
        self.addCleanup(log.set_up, "INFO", "text")
        logger.info("engine {engine} ended", event="engine-ended", engine="e/1", count=3, message_="m", level=5)
        logger.debug("not this")
        try:
            raise ValueError("why")
        except ValueError:
            logger.exception("went wrong")
        first, second = map(json.loads, out.getvalue().splitlines())
        assert (first["event"], first["engine"], first["count"]) == ("engine-ended", "e/1", 3)
        assert (first["level"], first["message"]) == ("INFO", "engine e/1 ended")
        assert (second["event"], second["exception"]) == ("log", "ValueError: why")
