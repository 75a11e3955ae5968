"""Token bucket that limits the rate of replies to peers."""

from __future__ import annotations


class TokenBucket:
    """Token bucket that is full at first and holds at most the tokens of one second."""

    def __init__(self, tokens_per_second: float) -> None:
        self._tokens_per_second = tokens_per_second
        self._available_tokens = tokens_per_second
        self._refilled_at_ms = 0.0

    def try_consume(self, now_ms: float) -> bool:
        """Consumes one token; returns whether one was available."""
        elapsed_ms = max(0.0, now_ms - self._refilled_at_ms)
        refilled = self._available_tokens + elapsed_ms * self._tokens_per_second / 1000.0
        self._available_tokens = min(self._tokens_per_second, refilled)
        self._refilled_at_ms = now_ms
        if self._available_tokens < 1.0:
            return False
        self._available_tokens -= 1.0
        return True
