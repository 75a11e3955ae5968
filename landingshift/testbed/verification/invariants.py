"""What was promised, as predicates over a history; knows nothing of how it is kept.

A history is a list of tuples in order of time, `(at in ms, what, server, ...)`:

    decided  version, text     an RPC was started or pushed back by a version
    end      id, end, version  what it says became of a change
    read     number, due       an RPC that it must have answered by then
    answer   number, how
    run      number            its engine was told to run that one
    loan     lender, share, until, place, until    what it believes it may use
    left     number, in force  it goes by that permission; what the voters' leader has in force
    buried, sees               it declares another dead; it sees another come or go
    still    until             it is stopped
    starts, killed, drains, ended                  its process
    begins   kind, place, who, lasts; over  kind, place    what is done to the fleet
    capacity warm, asked, up   of the whole, RPCs a second, and who is there
    size     what, number      of something that could grow
    restless word              it did not come to rest once nothing was done to it any more
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


Check = Callable[[History, float], list[str]]
POLICY_INVARIANTS: dict[str, Check] = {
    "one_order": one_order,
    "all_or_none": all_or_none,
    "no_way_back": no_way_back,
    "one_answer": one_answer,
}


def find_violations(history: History, overlap: float, promises: dict[str, Check] | None = None) -> list[str]:
    found = POLICY_INVARIANTS if promises is None else promises
    return [f"{name}: {text}" for name, check in found.items() for text in check(history, overlap)[:2]]


# Of the whole fleet

SLACK = 60.0  # ms that an answer may be late: clocks run 1 % apart over a wait
STARVED = 12.0  # times its mean that a starved core may be late
DETECT = 15_000.0  # ms after which a death is known to all, where links are whole
CALM = 12_000.0  # ms without a fault after which the floor must hold exactly
COUNTED = 0.75  # of what is asked for, that a sum of counts of one second each may show
HARMLESS = ("pause", "hang", "full", "clock", "store_falls", "list_down", "load")  # nobody is dead by them
STALE = 1.0  # ms by which the end of a loan may be off
BOUNDS = {
    "out": 4096, "errands": 64, "book": 1024, "table": 1000, "words": 32, "answers": 256, "sent": 17,
    "reports": 17, "jobs": 2000, "log": 10_000, "votes": 1024,
}  # fmt: skip
ASKED = ("change", "wish", "voters")  # begun by operators: no fault


def answered(history: History, _overlap: float) -> list[str]:
    """Each RPC that was read has one answer by its time, unless its server was killed; who stands still or
    has no core can't answer meanwhile. What a drain has read is answered before its end."""
    due: dict[tuple[str, int], float] = {}
    till: dict[str, float] = {}  # until when each stands still
    starved: dict[str, float] = {}
    names = starvations(history)
    broken = []
    for at, what, *rest in history:
        if what == "read":
            due[rest[0], rest[1]] = rest[2]
        elif what == "answer":
            at_most: float | None = due.pop((rest[0], rest[1]), None)
            if at_most is None:
                broken.append(f"{rest[0]} answers {rest[1]} twice, or never read it")
            elif at > max(at_most, till.get(rest[0], 0.0)) + SLACK + starved.get(rest[0], 0.0):
                broken.append(f"{rest[0]} answers {rest[1]} {at - at_most:.0f} ms late")
        elif what == "still":
            till[rest[0]] = max(till.get(rest[0], 0.0), rest[1])
        elif what == "begins" and rest[0] == "starved":
            starved |= {f"n{i}": STARVED * names[rest[1]] for i in rest[2]}
        elif what == "killed":
            due = {key: t for key, t in due.items() if key[0] != rest[0]}
        elif what == "ended":
            open_ = [n for name, n in due if name == rest[0]]
            if open_:
                broken.append(f"{rest[0]} ended with {len(open_)} RPCs unanswered, {open_[0]} of them")
            due = {key: t for key, t in due.items() if key[0] != rest[0]}
    end = history[-1][0] if history else 0.0
    lost = [key for key, t in due.items() if t + SLACK < end]
    if lost:
        broken.append(f"{lost[0][0]} never answers {lost[0][1]}, and {len(lost) - 1} more")
    return broken


def starvations(history: History) -> dict[int, float]:
    """Mean lateness by the act's place."""
    return {e[3]: e[6] for e in history if e[1] == "begins" and e[2] == "starved" and len(e) > 6}


def drains(history: History, _overlap: float) -> list[str]:
    """Nothing that comes after the grace of a drain is run, and nothing at all is run twice."""
    grace: dict[str, float] = {}
    read: dict[tuple[str, int], float] = {}  # when each came
    ran: set[int] = set()
    broken = []
    for at, what, *rest in history:
        if what == "drains":
            grace[rest[0]] = at + DRAIN_GRACE_MS
        elif what == "starts":
            grace.pop(rest[0], None)
        elif what == "read":
            read[rest[0], rest[1]] = at
        elif what == "run":
            name, number = rest
            if number in ran:
                broken.append(f"{number} is run twice")
            ran.add(number)
            end = grace.get(name)
            if end is not None and read[name, number] > end + SLACK:
                broken.append(f"{name} runs {number}, {read[name, number] - end:.0f} ms too late")
    return broken


DRAIN_GRACE_MS = 300.0  # ms of a drain: what comes after it is not run


def max_leased(history: History, which: int) -> float:
    """The most that all holders together believed in at one instant; `which`: 0 for shares, 2 for places.

    Each holds from each lender what it noted last, until the end that it noted; who is killed believes on in
    what he had, which only makes the figure larger.
    """
    held: dict[tuple[str, str], tuple[float, float]] = {}
    most = 0.0
    for entry in history:
        if entry[1] == "loan":
            now, _, name, lender, *values = entry
            held[name, lender] = values[which], values[which + 1]
            most = max(most, sum(amount for amount, end in held.values() if end > now + STALE))
    return most


def shares(history: History, _overlap: float) -> list[str]:
    """Never more is believed in than there is, of calls below or of places to start."""
    bounds = next((e[2:4] for e in history if e[1] == "bounds"), None)
    if bounds is None:
        return []
    broken = []
    for which, what, bound in ((0, "calls a second", bounds[0]), (2, "places", bounds[1])):
        most = max_leased(history, which)
        if most > bound * 1.0001:
            broken.append(f"{most:.2f} {what} are believed in, of {bound:.2f}")
    return broken


def permissions(history: History, _overlap: float) -> list[str]:
    """One permission, one holder, once, and only while it is in force."""
    used: dict[int, str] = {}
    broken = []
    for at, what, *rest in history:
        if what == "left":
            name, number, force = rest
            if number in used:
                broken.append(f"permission {number} is used by {used[number]} and by {name}")
            used[number] = name
            if force and force != number:
                broken.append(f"{name} leaves by {number} at {at:.0f}, in force is {force}")
    return broken


def calm(history: History) -> list[tuple[float, float]]:
    """Spans in which no fault was under way, nor for `CALM` ms before."""
    spans, under, since = [], 0, 0.0
    for at, what, *rest in history:
        if what == "begins" and rest[0] not in ASKED:
            if not under and at - since > CALM:
                spans.append((since + CALM, at))
            under += rest[3] > 0.0
            since = at
        elif what == "over":
            under -= 1
            since = at
    end = history[-1][0] if history else 0.0
    return [*spans, (since + CALM, end)] if not under and end > since + CALM else spans


def floor(history: History, _overlap: float) -> list[str]:
    """Who leaves by a permission leaves as much as is asked for, where nothing fell just before."""
    spans, broken = calm(history), []
    warm = asked = 0.0
    for at, what, *rest in history:
        if what == "capacity":
            warm, asked = rest[0], rest[1]
        elif what == "left" and any(a <= at <= b for a, b in spans):
            each = next(e[2] for e in history if e[1] == "each")
            left = warm - each
            if left < COUNTED * asked:
                broken.append(f"{rest[0]} leaves at {at:.0f}: {left:.1f} warm of {asked:.1f} asked for")
            warm = left
    return broken


def members(history: History, _overlap: float) -> list[str]:
    """Nobody who is there is declared dead where no fault or only a short stop is under way; a death is known
    to all in time."""
    broken, under, last = [], dict[int, tuple[str, tuple[int, ...], float]](), -1e9
    there: set[str] = set()
    for at, what, *rest in history:
        if what == "begins" and rest[0] not in ASKED:
            if rest[3] > 0.0:
                under[rest[1]] = rest[0], rest[2], rest[3]
            if rest[0] not in HARMLESS:
                last = at
        elif what == "over":
            kind, _, _ = under.pop(rest[1])
            if kind not in HARMLESS:
                last = at
        elif what == "starts":
            there.add(rest[0])
        elif what in ("killed", "ended"):
            there.discard(rest[0])
            last = at
        elif what == "buried" and rest[1] in there:
            loud = [k for k, _, _ in under.values() if k not in HARMLESS]
            if not loud and at - last > CALM:
                broken.append(f"{rest[0]} declares {rest[1]} dead at {at:.0f}, who is there")
    return broken


def deaths(history: History, _overlap: float) -> list[str]:
    """A death is known to all that were there in time, where nothing else was under way."""
    broken: list[str] = []
    quiet = calm(history)
    knows: dict[str, dict[str, tuple[float, bool]]] = {}
    down: dict[str, float] = {}
    ups: list[str] = []
    for at, what, *rest in history:
        if what == "sees":
            knows.setdefault(rest[1], {})[rest[0]] = at, rest[2]
        elif what == "killed":
            down[rest[0]] = at
            knows[rest[0]] = {n: v for n, v in knows.get(rest[0], {}).items()}
        elif what == "starts":
            down.pop(rest[0], None)
        elif what == "capacity":
            ups = rest[2]
            for name, since in list(down.items()):
                if at - since > DETECT:
                    del down[name]
                    told = knows.get(name, {})
                    blind = [n for n in ups if n != name and told.get(n, (0.0, True))[1]]
                    if blind and any(a <= since + CALM and at <= b for a, b in quiet):
                        broken.append(f"{blind} do not know {DETECT / 1000.0:.0f} s after that {name} died")
    return broken


def bounded(history: History, _overlap: float) -> list[str]:
    """Every table stays within its bound."""
    over = {}
    for _, what, *rest in history:
        if what == "size" and rest[2] > BOUNDS[rest[1]]:
            over[rest[1]] = f"{rest[0]}: {rest[1]} has {rest[2]}, of {BOUNDS[rest[1]]}"
    return list(over.values())


def rests(history: History, _overlap: float) -> list[str]:
    """Once nothing is done to it any more, all are there, warm, decide by one version, and nothing hangs."""
    return [str(e[2]) for e in history if e[1] == "restless"]


CLUSTER_INVARIANTS: dict[str, Check] = POLICY_INVARIANTS | {
    "answered": answered,
    "drains": drains,
    "shares": shares,
    "permissions": permissions,
    "floor": floor,
    "members": members,
    "deaths": deaths,
    "bounded": bounded,
    "rests": rests,
}
PAGE_BY_INVARIANT = {  # where each is promised
    "one_order": "docs/policies.md", "all_or_none": "docs/policies.md", "no_way_back": "docs/policies.md",
    "one_answer": "docs/policies.md", "answered": "docs/design.md", "drains": "docs/design.md",
    "shares": "docs/coldstart.md", "permissions": "docs/upkeep.md", "floor": "docs/upkeep.md",
    "members": "docs/fleet.md", "deaths": "docs/fleet.md", "bounded": "docs/fleet.md",
    "rests": "docs/chance.md",
}  # fmt: skip
