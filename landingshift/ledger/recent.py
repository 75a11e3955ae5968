"""Which identities were counted within a window: bounded, and right for at least that window."""

from __future__ import annotations


class Recent:
    """Two generations; one is dropped whole once the other covers the window.

    `most` identities are remembered. Where more than that come within a window it is shortened, never grown:
    a repeated attempt may then be counted again until ledgers are merged, which looks at all.
    """

    def __init__(self, window: int, most: int) -> None:
        self.window, self.most = window, most
        self.young: dict[bytes, int] = {}  # identity to the time it was counted
        self.old: dict[bytes, int] = {}
        self.began: int | None = None  # when the young generation did
        self.shortened = 0  # times that the bound cut the window

    def seen(self, identity: bytes, at: int) -> bool:
        """Whether a use of this identity was counted less than a window away; clocks may step back."""
        first = self.young.get(identity)
        if first is None:
            first = self.old.get(identity)
        return first is not None and abs(at - first) < self.window

    def add(self, identity: bytes, at: int) -> None:
        if self.began is None:
            self.began = at
        full = len(self.young) * 2 >= self.most
        if full or abs(at - self.began) >= self.window:
            self.shortened += full and abs(at - self.began) < self.window
            self.old, self.young, self.began = self.young, {}, at
        self.young[identity] = at
