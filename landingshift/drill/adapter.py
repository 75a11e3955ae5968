"""Reads batches of events from the simulator, passes them to the simulated servers and writes the replies.

A simulated server is called an instance. An exception in one instance is reported to the simulator with its
traceback and does not affect other instances. A malformed line ends the process.
"""

from __future__ import annotations

import traceback
from collections.abc import Callable
from dataclasses import dataclass
from typing import Any, BinaryIO, TextIO

import msgspec

from landingshift.admission.interface import Settings
from landingshift.drill import wire
from landingshift.drill.errors import (
    InvalidFieldsError,
    InvalidSettingsError,
    MalformedMessageError,
    NestedBatchError,
    NoInstanceError,
    NotAMessageError,
    OutsideBatchError,
    UnknownEventError,
    UnknownInstanceError,
)
from landingshift.drill.instance import SimulatedInstance
from landingshift.settings import decode_settings

EXIT_OK, EXIT_MALFORMED = 0, 2
TRACE_FRAME_COUNT = 4
MAX_QUOTED_BYTES = 200


@dataclass(frozen=True, slots=True)
class Batch:
    """Number of a batch of events, and the simulated time at which all events of the batch happen."""

    now_ms: float
    number: int


class Adapter:
    """Passes the messages of the simulator to the instances of this process."""

    def __init__(self) -> None:
        self._instances: dict[int, SimulatedInstance] = {}
        self._outbox: list[list[Any]] = []
        self._batch: Batch | None = None
        # Instances with an event in the current batch, in the order of their first event.
        self._instances_to_settle: dict[int, SimulatedInstance] = {}

    @property
    def is_in_batch(self) -> bool:
        """Whether a batch has begun and not ended."""
        return self._batch is not None

    def handle_message(self, message: Any) -> bool:
        """Handles one message.

        Returns:
            Whether the message ends a batch. If so, call `close_batch` for the reply.

        Raises:
            MalformedMessageError: The value is not a valid message, or is not allowed at this point.
        """
        if not isinstance(message, list) or not message or not isinstance(message[0], str):
            raise NotAMessageError
        name = message[0]
        if name == wire.BATCH:
            self._begin_batch(message)
            return False
        if self._batch is None:
            raise OutsideBatchError(name)
        if name == wire.END:
            return True
        if len(message) < 2 or not isinstance(message[1], int):
            raise NoInstanceError(name)
        self._handle_instance_message(self._batch.now_ms, name, message[1], message[2:])
        return False

    def close_batch(self) -> list[list[Any]]:
        """Calls `settle` on each controller that had events, ends the batch and returns the reply."""
        assert self._batch is not None
        for instance_id, instance in self._instances_to_settle.items():
            self._run_guarded(instance_id, instance.controller.settle)
        self._instances_to_settle.clear()
        self._outbox.append([wire.YIELD, self._batch.number])
        reply = self._outbox[:]
        self._outbox.clear()  # cleared in place, because the instances append to the same list
        self._batch = None
        return reply

    def _begin_batch(self, message: list[Any]) -> None:
        if self._batch is not None:
            raise NestedBatchError
        if len(message) < 3 or not all(isinstance(value, int | float) for value in message[1:3]):
            raise InvalidFieldsError(wire.BATCH, "a clock and a number")
        self._batch = Batch(float(message[1]), message[2])

    def _handle_instance_message(self, now_ms: float, name: str, instance_id: int, fields: list[Any]) -> None:
        if name == wire.CONFIGURE:
            self._configure(now_ms, instance_id, fields)
            return
        if name == wire.DESTROY:
            self._instances.pop(instance_id, None)
            self._instances_to_settle.pop(instance_id, None)
            return
        if name not in wire.FIELD_COUNTS:
            raise UnknownEventError(name)
        instance = self._instances.get(instance_id)
        if instance is None:
            raise UnknownInstanceError(name, instance_id)
        fields = wire.padded_fields(name, fields)
        wire.validate_event(name, fields, instance.settings)
        self._run_guarded(
            instance_id, lambda: self._deliver_event(now_ms, instance_id, instance, name, fields)
        )

    def _configure(self, now_ms: float, instance_id: int, fields: list[Any]) -> None:
        if len(fields) < 2 or not isinstance(fields[1], dict):
            raise InvalidFieldsError(wire.CONFIGURE, "a seed and settings")
        seed = fields[0]
        try:
            settings = decode_settings(fields[1])
        except (KeyError, IndexError, TypeError, ValueError, AttributeError) as err:
            raise InvalidSettingsError(err) from err
        self._run_guarded(instance_id, lambda: self._start_instance(instance_id, settings, seed, now_ms))

    def _start_instance(self, instance_id: int, settings: Settings, seed: int, now_ms: float) -> None:
        self._instances[instance_id] = SimulatedInstance(instance_id, settings, seed, now_ms, self._outbox)

    def _deliver_event(
        self, now_ms: float, instance_id: int, instance: SimulatedInstance, name: str, fields: list[Any]
    ) -> None:
        instance.controller.now_ms = now_ms
        instance.handle(wire.decode_event(name, fields, instance.settings))
        self._instances_to_settle[instance_id] = instance

    def _run_guarded(self, instance_id: int, function: Callable[[], None]) -> None:
        """Calls a function for an instance.

        If the function raises an exception, the traceback is sent to the simulator. The exception is not
        raised again, so that the other instances continue.
        """
        try:
            function()
        except Exception:
            self._outbox.append([wire.GIVE_IN, instance_id, traceback.format_exc(limit=-TRACE_FRAME_COUNT)])


def main(source: BinaryIO, sink: BinaryIO, errors: TextIO) -> int:
    """Handles messages from the simulator until the input ends or a line is malformed.

    Args:
        source: Input stream with one message per line.
        sink: Output stream for replies.
        errors: Output stream for the description of a malformed line.

    Returns:
        The exit status of the process: `EXIT_MALFORMED` if a line is malformed or the input ends inside a
        batch, else `EXIT_OK`.
    """
    adapter = Adapter()
    decoder, encoder = msgspec.json.Decoder(), msgspec.json.Encoder()
    for number, line in enumerate(source, 1):
        if not line.strip():
            continue
        try:
            is_reply_ready = adapter.handle_message(decoder.decode(line))
        except (MalformedMessageError, msgspec.DecodeError) as err:
            errors.write(f"line {number}: {err}: {line[:MAX_QUOTED_BYTES]!r}\n")
            return EXIT_MALFORMED
        if is_reply_ready:
            sink.write(encoder.encode_lines(adapter.close_batch()))
            sink.flush()
    if adapter.is_in_batch:
        errors.write("input ended inside a batch\n")
        return EXIT_MALFORMED
    return EXIT_OK
