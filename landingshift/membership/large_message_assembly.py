"""Reassembly of large messages from fragments that arrive in any order, in bounded memory."""

from __future__ import annotations

from landingshift.membership.errors import InvalidFragmentError
from landingshift.membership.large_message_wire import MAX_FRAGMENT_BYTES, MessageFragment

MAX_MESSAGE_BYTES = 4 << 20  # limit for one message, and for all incomplete messages together
MAX_FRAGMENT_COUNT = MAX_MESSAGE_BYTES // MAX_FRAGMENT_BYTES + 1


class FragmentAssembler:
    """Collects fragments; drops the oldest incomplete messages beyond a total of `MAX_MESSAGE_BYTES`."""

    def __init__(self) -> None:
        self._incomplete: dict[tuple[str, int, int], dict[int, bytes]] = {}

    def add(self, fragment: MessageFragment) -> bytes | None:
        """Adds a fragment.

        Returns:
            The whole message if this fragment completes it, None otherwise.

        Raises:
            InvalidFragmentError: The fragment's index, count or size is out of bounds.
        """
        is_index_valid = 0 <= fragment.fragment_index < fragment.fragment_count <= MAX_FRAGMENT_COUNT
        if not is_index_valid or len(fragment.content) > MAX_FRAGMENT_BYTES:
            raise InvalidFragmentError
        key = fragment.sender_name, fragment.sender_run_id, fragment.transfer_number
        received = self._incomplete.setdefault(key, {})
        received[fragment.fragment_index] = fragment.content
        if len(received) < fragment.fragment_count:
            self._evict_oldest()
            return None
        del self._incomplete[key]
        return b"".join(received[index] for index in sorted(received))

    def _evict_oldest(self) -> None:
        while len(self._incomplete) > 1 and self._incomplete_bytes() > MAX_MESSAGE_BYTES:
            del self._incomplete[next(iter(self._incomplete))]

    def _incomplete_bytes(self) -> int:
        return sum(len(content) for received in self._incomplete.values() for content in received.values())
