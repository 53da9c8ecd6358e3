"""Compares the platform's protocols with recorded bytes: frames, RESP, DNS, and exchanges with clients and engines.

Each golden file is a list of cases with an input and the output that was recorded for it. Bytes are hex, in exchanges
with engines latin-1 text.
"""

from __future__ import annotations

import dataclasses
import json
from enum import Enum
from pathlib import Path

import pytest

from decklb.net import dns, frames, resp
from decklb.net.endpoints import from_reply
from decklb.settings import parse_settings
from tests.exchanges import ClientExchange, EngineExchange, HealthCheckExchange
from tests.standins import SETTINGS

GOLDEN = Path(__file__).parent / "golden"


def cases(name):
    return [
        pytest.param(case, id=f"{name}-{number}")
        for number, case in enumerate(json.loads((GOLDEN / f"net_{name}.json").read_text()))
    ]


def split(data, size):
    return [data[at : at + size] for at in range(0, len(data), size)]


def frame_encoding(case):
    """Encode a frame from its parts, an answer from code, fields and body."""
    if "code" in case:
        body = bytes.fromhex(case["body"])
        return frames.pack_answer(case["stream"], case["code"], case["fields"], body).hex()
    payload = frames.pack_fields(case["fields"]) if "fields" in case else b""
    return frames.pack(case["type"], case["stream"], payload + bytes.fromhex(case["body"])).hex()


def frame_decoding(data, size):
    """Decode a stream of frames in pieces; returns the frames and the error that ends it."""
    reader, decoded, error = frames.FrameReader(), [], None
    try:
        for piece in split(data, size):
            for frame in reader.feed(piece):
                decoded.append([frame.type, frame.stream, frame.payload.hex()])
    except frames.FrameError as raised:
        error = raised.reason
    return {"frames": decoded, "error": error}


def request_decoding(case):
    """Return the values of a request's attributes in order, or why it is rejected."""
    payload = frames.pack_fields(case["fields"]) if "fields" in case else b""
    try:
        incoming = frames.read_request(payload + bytes.fromhex(case["body"]), parse_settings(SETTINGS))
    except frames.InvalidRequestError as error:
        return {"error": str(error)}
    values = [getattr(incoming, field.name) for field in dataclasses.fields(incoming) if field.compare]
    return {"work": [value.hex() if isinstance(value, bytes) else value for value in values]}


def resp_decoding(data, size):
    """Decode a stream of arrays in pieces; returns the arrays and the error that ends it."""
    reader, decoded, error = resp.RespReader(), [], None
    try:
        for piece in split(data, size):
            decoded += [[part.hex() for part in array] for array in reader.feed(piece)]
    except resp.RespError as raised:
        error = str(raised)
    return {"arrays": decoded, "error": error}


def resp_fields(case):
    return {"packed": resp.pack_fields(case["fields"]).hex(), "read": resp.read_fields(bytes.fromhex(case["text"]))}


def enum_value(value):
    return value.value if isinstance(value, Enum) else value


def dns_decoding(data):
    """Return the records of an answer and the engines in them, or why it is rejected."""
    try:
        reply = dns.read_reply(data)
        records = [dataclasses.astuple(reply)]
        engines = [[enum_value(v) for v in dataclasses.astuple(row)] for row in from_reply(reply).values()]
    except (dns.DnsError, ValueError) as error:
        return {"error": str(error)}
    return json.loads(json.dumps({"reply": records, "engines": engines}))


@pytest.mark.parametrize("case", cases("frames"))
def test_frames_are_encoded_as_recorded(case):
    assert frame_encoding(case) == case["bytes"]


@pytest.mark.parametrize("case", cases("frame_streams"))
def test_frames_are_decoded_from_a_stream_in_pieces_as_recorded(case):
    for size in (1, 3, 7, 1 << 20):
        assert frame_decoding(bytes.fromhex(case["stream"]), size) == case["decoded"]


@pytest.mark.parametrize("case", cases("requests"))
def test_requests_are_decoded_or_rejected_as_recorded(case):
    assert request_decoding(case) == case["decoded"]


@pytest.mark.parametrize("case", cases("resp_commands"))
def test_resp_arrays_are_encoded_as_recorded(case):
    assert resp.pack(*[bytes.fromhex(part) for part in case["parts"]]).hex() == case["bytes"]


@pytest.mark.parametrize("case", cases("resp_streams"))
def test_resp_arrays_are_decoded_from_a_stream_in_pieces_as_recorded(case):
    for size in (1, 3, 7, 1 << 20):
        assert resp_decoding(bytes.fromhex(case["stream"]), size) == case["decoded"]


@pytest.mark.parametrize("case", cases("resp_fields"))
def test_resp_fields_are_encoded_and_decoded_as_recorded(case):
    assert resp_fields(case) == case["result"]


@pytest.mark.parametrize("case", cases("dns_questions"))
def test_dns_questions_are_encoded_as_recorded(case):
    assert dns.pack_query(case["ident"], case["name"]).hex() == case["bytes"]


@pytest.mark.parametrize("case", cases("dns_answers"))
def test_dns_answers_are_decoded_as_recorded(case):
    assert dns_decoding(bytes.fromhex(case["datagram"])) == case["decoded"]


@pytest.mark.parametrize("case", cases("exchanges"))
def test_exchanges_with_engines_run_as_recorded(case):
    exchange = EngineExchange(case["front"])
    for step, effects in exchange.play([step for step, _ in case["steps"]]):
        assert [step, effects] == case["steps"].pop(0)


@pytest.mark.parametrize("case", cases("client_exchanges"))
def test_exchanges_with_clients_run_as_recorded(case):
    for step, effects in ClientExchange(case["most_buffered"]).play([step for step, _ in case["steps"]]):
        assert [step, effects] == case["steps"].pop(0)


@pytest.mark.parametrize("case", cases("probes"))
def test_health_checks_of_engines_run_as_recorded(case):
    for step, effects in HealthCheckExchange(case["front"]).play([step for step, _ in case["steps"]]):
        assert [step, effects] == case["steps"].pop(0)
