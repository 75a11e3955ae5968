"""Who goes next: greedy for any size, exact by search for a few, the least time of any order. Pure."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import replace
from itertools import combinations
from math import ceil

from landingshift.maintenance.capacity_constraints import CapacityConstraints
from landingshift.maintenance.requests import MaintenanceRequest, RequestState

EXACT = 8  # machines up to which all orders are gone through


def weight(wish: MaintenanceRequest, now: float, back: float) -> float:
    """Urgent and long-waiting ones first; of those alike, what is back soonest."""
    waited = max(0.0, now - wish.since) / 60_000.0 + 1.0  # a wall clock may have been set back
    return wish.urgency * waited / (wish.minutes + back)


def select_next(
    requests: dict[str, MaintenanceRequest],
    floor: CapacityConstraints,
    lost: dict[str, float],
    now: float,
    back: float = 1.0,
    most: int = 1000,
) -> list[str]:
    """Names that may go now, the first first. `lost`: what is out unasked; `back`: minutes until one is warm.

    Nobody goes while the floor does not hold. A group goes whole or waits; one that must be alone goes only
    where nobody is out, and holds the others back once it has waited longest.
    """
    out = {n: w.out() for n, w in requests.items() if w.out() > 0.0} | lost
    if floor.broken(out):
        return []
    able = [
        w for w in requests.values() if w.stage is RequestState.WISHED and w.not_before <= now < w.not_after
    ]
    able = [w for w in able if w.name not in lost and w.name in floor.machines]
    if any(w.alone and w.out() > 0.0 for w in requests.values()):
        return []
    chosen: list[str] = []
    zones: dict[str, int] = {}
    for name in out:
        machine = floor.machines.get(name)
        if machine is not None:
            zones[machine.zone] = zones.get(machine.zone, 0) + 1
    weights = {w.name: weight(w, now, back) for w in able}
    tight = rounds_needed([w.name for w in able], floor)
    line = sorted(able, key=lambda w: (-weights[w.name], w.name))
    margins = floor.margins(out)
    while line and len(chosen) < most:
        if margins[0] < min(floor.machines[w.name].capacity for w in line) - 1e-9:
            break  # no room for any of them
        # Among those that weigh alike those whose floor takes most rounds, whose last one ends all; then
        # zones in turn, the one with fewest out.
        enough = 0.999 * weights[line[0].name]
        alike = [w for w in line if weights[w.name] >= enough]
        first = min(alike, key=lambda w: (-tight[w.name], zones.get(floor.machines[w.name].zone, 0), w.name))
        line.remove(first)
        those = [first]
        if first.group:
            those += [w for w in line if w.group == first.group]
            line = [w for w in line if w.group != first.group]
        if first.alone and (out or chosen):
            if weights[first.name] >= max((weights[w.name] for w in line), default=0.0):
                break  # its turn: the rest waits, so that it is not passed over for ever
            continue
        after = floor.also(margins, out, [w.name for w in those])
        if after is None:
            continue
        margins = after
        out = out | {w.name: 1.0 for w in those}
        chosen += [w.name for w in those]
        for w in those:
            zone = floor.machines[w.name].zone
            zones[zone] = zones.get(zone, 0) + 1
        if first.alone:
            break
    return chosen


def rounds_needed(names: list[str], floor: CapacityConstraints) -> dict[str, float]:
    """For each the rounds that its tightest limit needs for all of these; the whole's room moves with demand
    and is left out."""
    found = dict.fromkeys(names, 0.0)
    for limit in floor.limits[1:]:
        those = [n for n in names if n in limit.of]
        room = floor.capacity({}, limit.of) - limit.least
        if those and room > 0.0:
            need = sum(floor.machines[n].capacity for n in those) / room
            for name in those:
                found[name] = max(found[name], float(ceil(need - 1e-9)))
    voters = [n for n in names if n in floor.voters]
    at_once = len(floor.voters) - floor.voters_in
    for name in voters if at_once else ():
        found[name] = max(found[name], float(ceil(len(voters) / at_once)))
    return found


def refusal_reason(
    wish: MaintenanceRequest, floor: CapacityConstraints, now: float, known: bool = False, whole: bool = True
) -> str:
    """Why a wish can never be met, so that it is refused and not left hanging.

    `known`: the fleet has heard of that machine, though it may say nothing just now; `whole`: nobody is
    missing. While a zone is down its machines, and those that lean on it, are not beyond hope.
    """
    if now >= wish.not_after:
        return "its time is over"
    if wish.name not in floor.machines:
        return "" if known else "there is no such machine"
    return floor.never(wish.name) if whole else ""


def permits_to_withhold(
    requests: dict[str, MaintenanceRequest], floor: CapacityConstraints, lost: dict[str, float]
) -> list[str]:
    """Permissions to be taken back, the youngest first, until the floor holds; who drains goes on."""
    out = {n: w.out() for n, w in requests.items() if w.out() > 0.0} | lost
    back: list[str] = []
    permitted = sorted(
        (w for w in requests.values() if w.stage is RequestState.PERMITTED), key=lambda w: -w.number
    )
    for wish in permitted:
        if not floor.broken(out):
            break
        out.pop(wish.name, None)
        back.append(wish.name)
    return back


def rounds(names: list[str], floor: CapacityConstraints) -> int:
    """Fewest rounds in which all can go, each of the same length: exact, for up to EXACT machines."""
    if len(names) > EXACT:
        raise ValueError(f"{len(names)} machines are too many to go through all orders")
    whole = (1 << len(names)) - 1
    good = [
        sum(1 << i for i in some)
        for size in range(1, len(names) + 1)
        for some in combinations(range(len(names)), size)
        if not floor.broken({names[i]: 1.0 for i in some})
    ]
    reached, count = {0}, 0
    while whole not in reached:
        more = {had | some for had in reached for some in good} - reached
        if not more:
            return -1
        reached |= more
        count += 1
    return count


def greedy_rounds(names: list[str], floor: CapacityConstraints) -> int:
    """The same by `select_next`; -1 where some can never go."""
    left, count = dict.fromkeys(names), 0
    while left:
        requests = {n: MaintenanceRequest(n, 1.0, 0.0) for n in left}
        some = select_next(requests, floor, {}, 0.0)
        if not some:
            return -1
        for name in some:
            del left[name]
        count += 1
    return count


def duration_lower_bound_ms(
    floor_at: Callable[[float], CapacityConstraints], out: float, back: float, step: float = 60_000.0
) -> float:
    """ms before which no order can have all out for `out` ms each and warm again `back` ms later.

    Two bounds from below, the larger counts: of each limit the room adds up to what its machines need, taken
    for divisible and for warming evenly; and taken whole, all need so many rounds, the last of which warms.
    """
    first = floor_at(0.0)
    away = out + back / 2.0
    need = [first.capacity({}, limit.of) * away for limit in first.limits]
    now = 0.0
    while any(left > 0.0 for left in need) and now < 1e9:
        margins = floor_at(now).margins({})
        need = [left - max(0.0, room) * step for left, room in zip(need, margins, strict=True)]
        now += step
    return max(now, whole_rounds(first) * out + back)


def whole_rounds(floor: CapacityConstraints) -> int:
    """Rounds that no order can do without, machines being out whole: of each limit but the demand's, all of
    them over as many as its room holds of the smallest; and of the voters, who keep a majority and one."""
    most = 0
    for limit in floor.limits[1:]:
        room = floor.capacity({}, limit.of) - limit.least
        smallest = min(floor.machines[n].capacity for n in limit.of)
        at_once = int(room / smallest + 1e-9)
        if at_once:
            most = max(most, -(-len(limit.of) // at_once))
    if len(floor.voters) > floor.voters_in:
        most = max(most, -(-len(floor.voters) // (len(floor.voters) - floor.voters_in)))
    return most


def dry_run(
    requests: dict[str, MaintenanceRequest], floor: CapacityConstraints, lost: dict[str, float], back: float
) -> tuple[list[tuple[str, float, float]], float]:
    """Names, the minutes at which each goes and is warm again at this demand; and the least capacity."""
    left = {n: replace(w, not_before=0.0) for n, w in requests.items() if w.stage is RequestState.WISHED}
    away: dict[str, float] = {n: w.minutes + back for n, w in requests.items() if w.out() > 0.0}
    now, found = 0.0, []
    whole = floor.limits[0].of
    least = floor.capacity(lost | dict.fromkeys(away, 1.0), whole)
    while left:
        out = lost | dict.fromkeys(away, 1.0)
        chosen = select_next(left, floor, out, min(w.since for w in left.values()), back)
        for name in chosen:
            end = now + left.pop(name).minutes + back
            found.append((name, now, end))
            away[name] = end
        least = min(least, floor.capacity(lost | dict.fromkeys(away, 1.0), whole))
        if not away or not left:
            break
        now = min(away.values())
        away = {n: end for n, end in away.items() if end > now}
    return found, least
