"""The handoff's rules on a simulated network: one request among an owner and its voters, in steps of 10 ms.

A fifth of all messages is lost, one direction of one link carries nothing, one member is cut off for a while (or not
at all), one is killed, and the voters' detector errs now and then, claiming while the holder lives. The run counts the
moments at which more than one member may act on the request; it judges nothing. Seeded: the same seed, the same run.
"""

from __future__ import annotations

import random
from dataclasses import dataclass, field
from typing import Any

from decklb.handoff.fencing import Claim, Lease
from decklb.handoff.records import Record, fingerprint
from decklb.handoff.settings import HandoffSettings
from decklb.handoff.table import Table
from decklb.interface import Effect

KEY = "k"
SUSPECT = 1500.0  # ms without a copy after which a voter may claim
ERRS = 0.002  # chance in a step that a voter claims anyway


@dataclass(slots=True)
class Played:
    seed: int
    overlaps: list[tuple[float, list[str]]] = field(default_factory=list)  # moments at which several may act
    acting: float = 0.0  # share of moments at which one may
    taken: int = 0  # members that hold the request under a term of their own at the end


def play(seed: int, settings: HandoffSettings, voters: tuple[str, ...] = ("s1", "s2", "s3"),
         span: float = 15_000.0, loss: float = 0.2) -> Played:
    rng = random.Random(seed)
    members = ("o", *voters)
    tables = {m: Table(settings) for m in members}
    leases = {m: Lease(settings, m) for m in members}
    tables["o"].take(Record(KEY, "o", 1, 0, "t", "c", Effect.SAFE, 5000.0, fingerprint(KEY.encode()), voters=voters))
    claims: dict[str, Claim] = {}
    heard = dict.fromkeys(members, 0.0)  # when each voter last took a copy
    dead: set[str] = set()
    cut: set[str] = set()
    kill, sever = rng.uniform(500, 4000), rng.uniform(500, 4000)
    victims = rng.sample(members, 2)
    one_way = tuple(rng.sample(members, 2))
    in_flight: list[tuple[float, str, str, str, Any]] = []  # (arrives, kind, sender, receiver, payload)
    played, acting_moments, steps = Played(seed), 0, 0

    def post(now: float, kind: str, sender: str, receiver: str, payload: Any) -> None:
        if sender in cut or receiver in cut or (sender, receiver) == one_way or rng.random() < loss:
            return
        in_flight.append((now + rng.uniform(1, 60), kind, sender, receiver, payload))

    for now in range(0, int(span), 10):
        if now >= kill:
            dead.add(victims[0])
        if sever <= now < sever + rng.choice((0, 3000)):
            cut.add(victims[1])
        else:
            cut.discard(victims[1])
        due = [m for m in in_flight if m[0] <= now]
        in_flight = [m for m in in_flight if m[0] > now]
        for _, kind, sender, receiver, payload in due:
            if receiver in dead:
                continue
            table = tables[receiver]
            if kind == "copy":
                if table.receive(payload[0], 5000.0, now):
                    heard[receiver] = now
                    post(now, "ack", receiver, sender, payload[1])
            elif kind == "ack":
                leases[receiver].acknowledged(sender, payload)
            elif kind == "claim":
                if table.promises.grant(KEY, payload):
                    post(now, "grant", receiver, sender, (payload, table.get(KEY)))
            elif kind == "grant":
                claim = claims.get(receiver)
                if claim is not None and claim.ballot == payload[0]:
                    claim.grant(sender, payload[1], now)
        for m in members:
            if m in dead:
                continue
            claim = claims.get(m)
            begins = None if claim is None else claim.acts_from()
            if claim is not None and begins is not None and now >= begins:
                tables[m].write(claim.newest())
                del claims[m]
            mine = tables[m].get(KEY)
            if mine is not None and mine.owner == m:
                for v in voters:
                    if v != m:
                        post(now, "copy", m, v, (mine, now))
            elif m in voters and m not in claims and (now - heard[m] > SUSPECT and rng.random() < 0.05
                                                      or rng.random() < ERRS):
                made = tables[m].claim(KEY, m)
                if made is None:
                    continue
                claims[m], heard[m] = made, now
                for v in voters:
                    if v != m:
                        post(now, "claim", m, v, made.ballot)
        acting = [m for m in members if m not in dead and (r := tables[m].get(KEY)) is not None
                  and leases[m].holds(r, now, tables[m].promises)]
        if len(acting) > 1:
            played.overlaps.append((float(now), acting))
        acting_moments += bool(acting)
        steps += 1
    played.acting = acting_moments / steps
    played.taken = sum(1 for t in tables.values() if (r := t.get(KEY)) is not None and r.owner != "o")
    return played
