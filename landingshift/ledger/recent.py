"""Which identities were counted within a window: bounded, and right for at least that window."""

from __future__ import annotations

TIMES = 4  # of one identity: it counts again after a window, or where the clock stepped


class Recent:
    """Two generations of `most` / 2 identities; the older goes whole once the younger is full.

    By number, not by time: a clock that steps forth and back must not make the ledger forget. Where more come
    within a window it is shortened, never grown: a repeated attempt may then be counted again until ledgers
    are merged, which looks at all.
    """

    def __init__(self, window: int, most: int) -> None:
        self.window, self.most = window, most
        self.young: dict[bytes, int | tuple[int, ...]] = {}  # identity to when it was counted
        self.old: dict[bytes, int | tuple[int, ...]] = {}
        self.newest = 0  # time, of the older generation
        self.shortened = 0  # times that the bound cut the window

    def seen(self, identity: bytes, at: int) -> bool:
        """Whether a use of this identity was counted less than a window away; clocks may step back."""
        window = self.window
        for generation in (self.young, self.old):
            times = generation.get(identity)
            if times is None:
                continue
            if isinstance(times, int):
                if abs(at - times) < window:
                    return True
            elif any(abs(at - time) < window for time in times):
                return True
        return False

    def add(self, identity: bytes, at: int) -> None:
        if len(self.young) * 2 >= self.most:
            self.shortened += at - self.newest < self.window
            self.old, self.young, self.newest = self.young, {}, at
        times = self.young.get(identity)
        if times is None:
            self.young[identity] = at
        else:
            self.young[identity] = (*(times if isinstance(times, tuple) else (times,)), at)[-TIMES:]
