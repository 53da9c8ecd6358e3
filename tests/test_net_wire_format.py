"""Bytes of the platform's wires against recorded ones: frames, RESP, DNS, and whole exchanges with clients and engines.

Each file under tests/golden/ is a list of cases: what goes in, and what came out of the code that wrote the file. Bytes
are hex, in exchanges latin-1 text.
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
from tests.exchanges import ClientExchange, EngineExchange, ProbeExchange
from tests.standins import SETTINGS

GOLDEN = Path(__file__).parent / "golden"


def cases(name):
    return [
        pytest.param(case, id=f"{name}-{number}")
        for number, case in enumerate(json.loads((GOLDEN / f"net_{name}.json").read_text()))
    ]


def pieces(data, size):
    return [data[at : at + size] for at in range(0, len(data), size)]


def frame_encoding(case):
    """A frame by its parts; answers by code, fields and body."""
    if "code" in case:
        body = bytes.fromhex(case["body"])
        return frames.pack_answer(case["stream"], case["code"], case["fields"], body).hex()
    payload = frames.pack_fields(case["fields"]) if "fields" in case else b""
    return frames.pack(case["type"], case["stream"], payload + bytes.fromhex(case["body"])).hex()


def frame_decoding(data, size):
    """Frames that come of a stream in pieces, and the error that ends it."""
    reader, found, error = frames.FrameReader(), [], None
    try:
        for piece in pieces(data, size):
            for frame in reader.feed(piece):
                found.append([frame.type, frame.stream, frame.payload.hex()])
    except frames.FrameError as raised:
        error = raised.reason
    return {"frames": found, "error": error}


def request_decoding(case):
    """The values of a request's fields in their order, or why it can't be taken."""
    payload = frames.pack_fields(case["fields"]) if "fields" in case else b""
    try:
        work = frames.read_request(payload + bytes.fromhex(case["body"]), parse_settings(SETTINGS))
    except frames.InvalidRequestError as error:
        return {"error": str(error)}
    return {"work": [v.hex() if isinstance(v, bytes) else v for v in dataclasses.astuple(work)]}


def resp_decoding(data, size):
    """Arrays that come of a stream in pieces, and the error that ends it."""
    reader, found, error = resp.RespReader(), [], None
    try:
        for piece in pieces(data, size):
            found += [[part.hex() for part in array] for array in reader.feed(piece)]
    except resp.RespError as raised:
        error = str(raised)
    return {"arrays": found, "error": error}


def resp_fields(case):
    return {"packed": resp.pack_fields(case["fields"]).hex(), "read": resp.read_fields(bytes.fromhex(case["text"]))}


def plain(value):
    return value.value if isinstance(value, Enum) else value


def dns_decoding(data):
    """The records of an answer and the engines that they name, or why it can't be used."""
    try:
        reply = dns.read_reply(data)
        records = [dataclasses.astuple(reply)]
        engines = [[plain(v) for v in dataclasses.astuple(row)] for row in from_reply(reply).values()]
    except (dns.DnsError, ValueError) as error:
        return {"error": str(error)}
    return json.loads(json.dumps({"reply": records, "engines": engines}))


@pytest.mark.parametrize("case", cases("frames"))
def test_frames_are_encoded_as_recorded(case):
    assert frame_encoding(case) == case["bytes"]


@pytest.mark.parametrize("case", cases("frame_streams"))
def test_frames_are_cut_from_a_stream_in_pieces_as_recorded(case):
    for size in (1, 3, 7, 1 << 20):
        assert frame_decoding(bytes.fromhex(case["stream"]), size) == case["decoded"]


@pytest.mark.parametrize("case", cases("requests"))
def test_requests_are_read_or_turned_down_as_recorded(case):
    assert request_decoding(case) == case["decoded"]


@pytest.mark.parametrize("case", cases("resp_commands"))
def test_resp_arrays_are_encoded_as_recorded(case):
    assert resp.pack(*[bytes.fromhex(part) for part in case["parts"]]).hex() == case["bytes"]


@pytest.mark.parametrize("case", cases("resp_streams"))
def test_resp_arrays_are_cut_from_a_stream_in_pieces_as_recorded(case):
    for size in (1, 3, 7, 1 << 20):
        assert resp_decoding(bytes.fromhex(case["stream"]), size) == case["decoded"]


@pytest.mark.parametrize("case", cases("resp_fields"))
def test_resp_fields_are_written_and_read_as_recorded(case):
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
    for step, done in exchange.play([step for step, _ in case["steps"]]):
        assert [step, done] == case["steps"].pop(0)


@pytest.mark.parametrize("case", cases("client_exchanges"))
def test_exchanges_with_clients_run_as_recorded(case):
    for step, done in ClientExchange(case["most_buffered"]).play([step for step, _ in case["steps"]]):
        assert [step, done] == case["steps"].pop(0)


@pytest.mark.parametrize("case", cases("probes"))
def test_probes_of_engines_run_as_recorded(case):
    for step, done in ProbeExchange(case["front"]).play([step for step, _ in case["steps"]]):
        assert [step, done] == case["steps"].pop(0)
