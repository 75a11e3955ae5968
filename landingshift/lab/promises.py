"""What was promised of policies, as predicates over a history; knows nothing of how it is kept.

A history is a list of tuples in order of time (ms): `(at, "decided", server, version, text)` for each RPC
that was started or pushed back by a version, `(at, "end", server, id, end, version)` for each answer about
a change.
"""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

History = list[tuple[Any, ...]]
ROUND = 1.0  # ms by which times in a history may be off


def one_order(history: History, overlap: float) -> list[str]:
    """A version has one text everywhere; what was not taken was decided by nowhere."""
    texts: dict[int, Any] = {}
    taken = {0}
    broken = []
    for entry in history:
        if entry[1] == "decided":
            _, _, who, version, text = entry
            if texts.setdefault(version, text) != text:
                broken.append(f"version {version} at {who} is another than elsewhere")
        elif entry[1] == "end" and entry[4] == "taken":
            taken.add(entry[5])
    unknown = set(texts) - taken
    if unknown and any(e[1] == "end" for e in history):
        broken.append(f"decided by {sorted(unknown)}, which nobody says was taken")
    return broken


def all_or_none(history: History, overlap: float) -> list[str]:
    """Once one decided by a version, nobody decides by an older one more than `overlap` later."""
    first: dict[int, float] = {}
    newest, broken = -1, []
    for at, what, *rest in history:
        if what != "decided":
            continue
        who, version = rest[0], rest[1]
        if version > newest:
            newest = version
            first[version] = at
        elif version < newest:
            since = min(t for v, t in first.items() if v > version)
            if at - since > overlap + ROUND:
                broken.append(
                    f"{who} decided by {version} at {at:.0f}, {at - since:.0f} ms after a newer one"
                )
    return broken


def no_way_back(history: History, overlap: float) -> list[str]:
    """No server, nor a later run of it, decides by a version older than one it had."""
    had: dict[str, int] = {}
    broken = []
    for at, what, *rest in history:
        if what == "decided":
            who, version = rest[0], rest[1]
            if version < had.get(who, -1):
                broken.append(f"{who} went from {had[who]} back to {version} at {at:.0f}")
            had[who] = max(version, had.get(who, -1))
    return broken


def one_answer(history: History, overlap: float) -> list[str]:
    """A change ended in one way, whoever tells it and whenever."""
    ends: dict[str, tuple[bool, int]] = {}
    broken = []
    for _, what, *rest in history:
        if what == "end":
            who, id, end, version = rest
            told = (end == "taken", version)
            if ends.setdefault(id, told) != told:
                broken.append(f"{id} is {told} at {who} and {ends[id]} elsewhere")
    return broken


PROMISES: dict[str, Callable[[History, float], list[str]]] = {
    "one_order": one_order,
    "all_or_none": all_or_none,
    "no_way_back": no_way_back,
    "one_answer": one_answer,
}


def broken(history: History, overlap: float) -> list[str]:
    return [f"{name}: {text}" for name, check in PROMISES.items() for text in check(history, overlap)[:2]]
