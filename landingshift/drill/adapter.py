"""Reads batches from the simulator, hands their events to the instances and writes their messages.

A defect in an instance ends that one alone, with its trace; a malformed line ends the process.
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
    MalformedMessageError,
    NestedBatchError,
    NoInstanceError,
    NotAMessageError,
    OutsideBatchError,
    UnknownEventError,
    UnknownInstanceError,
    WrongFieldsError,
    WrongSettingsError,
)
from landingshift.drill.instance import SimulatedInstance
from landingshift.settings import decode_settings

EXIT_OK, EXIT_MALFORMED = 0, 2
TRACE_FRAME_COUNT = 4
MAX_QUOTED_BYTES = 200


@dataclass(frozen=True, slots=True)
class Batch:
    """A moment of the simulation, in which all events of the batch happen."""

    now_ms: float
    number: int


class Adapter:
    """All instances of this process, and the batch in hand."""

    def __init__(self) -> None:
        self._instances: dict[int, SimulatedInstance] = {}
        self._outbox: list[list[Any]] = []
        self._batch: Batch | None = None
        self._touched: dict[int, SimulatedInstance] = {}  # with an event in this batch, in that order

    @property
    def is_in_batch(self) -> bool:
        """Whether a batch was begun and not ended."""
        return self._batch is not None

    def handle_message(self, message: Any) -> bool:
        """Takes one message.

        Returns:
            Whether it closes a batch, whose reply is ready.

        Raises:
            MalformedMessageError: It is no message, or may not come here.
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
        self._handle_for_instance(self._batch.now_ms, name, message[1], message[2:])
        return False

    def close_batch(self) -> list[list[Any]]:
        """Settles the instances that had events, closes the batch and returns all messages of it."""
        assert self._batch is not None
        for instance_id, instance in self._touched.items():
            self._guard(instance_id, instance.controller.settle)
        self._touched.clear()
        self._outbox.append([wire.YIELD, self._batch.number])
        reply = self._outbox[:]
        self._outbox.clear()  # the instances hold this list
        self._batch = None
        return reply

    def _begin_batch(self, message: list[Any]) -> None:
        if self._batch is not None:
            raise NestedBatchError
        if len(message) < 3 or not all(isinstance(value, int | float) for value in message[1:3]):
            raise WrongFieldsError(wire.BATCH, "a clock and a number")
        self._batch = Batch(float(message[1]), message[2])

    def _handle_for_instance(self, now_ms: float, name: str, instance_id: int, fields: list[Any]) -> None:
        if name == wire.CONFIGURE:
            self._configure(now_ms, instance_id, fields)
            return
        if name == wire.DESTROY:
            self._instances.pop(instance_id, None)
            self._touched.pop(instance_id, None)
            return
        if name not in wire.FIELD_COUNTS:
            raise UnknownEventError(name)
        instance = self._instances.get(instance_id)
        if instance is None:
            raise UnknownInstanceError(name, instance_id)
        fields = wire.padded_fields(name, fields)
        wire.check_event(name, fields, instance.settings)
        self._guard(instance_id, lambda: self._deliver(now_ms, instance_id, instance, name, fields))

    def _configure(self, now_ms: float, instance_id: int, fields: list[Any]) -> None:
        if len(fields) < 2 or not isinstance(fields[1], dict):
            raise WrongFieldsError(wire.CONFIGURE, "a seed and settings")
        seed = fields[0]
        try:
            settings = decode_settings(fields[1])
        except (KeyError, IndexError, TypeError, ValueError, AttributeError) as err:
            raise WrongSettingsError(err) from err
        self._guard(instance_id, lambda: self._start_instance(instance_id, settings, seed, now_ms))

    def _start_instance(self, instance_id: int, settings: Settings, seed: int, now_ms: float) -> None:
        self._instances[instance_id] = SimulatedInstance(instance_id, settings, seed, now_ms, self._outbox)

    def _deliver(
        self, now_ms: float, instance_id: int, instance: SimulatedInstance, name: str, fields: list[Any]
    ) -> None:
        instance.controller.now_ms = now_ms
        instance.handle(wire.decode_event(name, fields, instance.settings))
        self._touched[instance_id] = instance

    def _guard(self, instance_id: int, step: Callable[[], None]) -> None:
        """Runs a step of an instance; a defect in it is reported and others go on."""
        try:
            step()
        except Exception:
            self._outbox.append([wire.GIVE_IN, instance_id, traceback.format_exc(limit=-TRACE_FRAME_COUNT)])


def main(source: BinaryIO, sink: BinaryIO, errors: TextIO) -> int:
    """Serves the simulator until its input ends.

    Args:
        source: Lines of messages.
        sink: Where replies go.
        errors: Where a malformed line is told.

    Returns:
        The exit status.
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
