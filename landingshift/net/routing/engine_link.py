"""Maintains the link to the engine: reconnects after a loss and resends commands safely.

A notice is a numbered message from the engine about a run. A gauge query asks the engine for its gauges, such
as core utilization. Guarantee: a command counts as confirmed once the engine has answered a gauge query that
was written after the command. After a reconnect, unconfirmed commands are resent, except withheld commands
and replies to database calls that the run might have received. A withheld command would start a run that must
not be repeated and that the engine might have completed.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass
from typing import Protocol

from landingshift.net.protocol import engine as wire
from landingshift.net.protocol.lines import ProtocolError
from landingshift.net.routing.engine_commands import (
    EngineCommand,
    UnconfirmedCommands,
    known_query_command,
    start_run_command,
)
from landingshift.net.routing.rpc_record import RoutedRpc
from landingshift.net.transport.loop import Loop, Timer
from landingshift.net.transport.stream import Address, Stream, connect

# Larger than the total size of the commands for as many RPCs as a server's memory can hold.
MAX_UNSENT_BYTES = 8 << 20
RECONNECT_DELAY_MS = 50.0
ADDRESS_CHANGE_GRACE_MS = 100.0  # time for the engine to confirm commands before the old link is closed
MAX_OUTAGE_MS = 1500.0  # time without a link after which the engine counts as not working
MAX_SILENCE_MS = 2500.0  # the link is closed if the engine takes longer than this to answer
MAX_SELF_TESTS = 64  # maximum number of self-tests in progress, each for a deep health check
# Reasons for which a link is closed before it is established; such failures are not logged.
CONNECT_FAILURES = ("refused", "unreachable")


class EngineEvents(Protocol):
    """Receives the engine's messages in order.

    A notice is delivered only once, even if the engine repeats it after a reconnect.
    """

    def on_engine_up(self, hello: wire.Hello) -> None:
        """Handles the engine's first answer since the start of this server."""

    def on_run_ended(self, notice: wire.RunEnded) -> None:
        """Handles the end of an RPC's run."""

    def on_call_needed(self, notice: wire.CallNeeded) -> None:
        """Handles a run's request for a database call."""

    def on_command_refused(self, refusal: wire.CommandRefused) -> None:
        """Handles the refusal of a command."""

    def on_gauges(self, values: list[float]) -> None:
        """Handles the gauge values, in the order of the configured gauge names."""


@dataclass(slots=True)
class GaugeQuery:
    """A gauge query that the engine has not answered yet."""

    tag: bytes
    bytes_before: int  # length of the output stream before the query; the answer confirms these bytes


class EngineLink:
    """The single link to the engine; reconnects when the connection is lost.

    A command is in doubt if it was sent on a link that broke, since the engine might have received it. A run
    command in doubt is withheld if resending it could repeat the effect of its RPC. A withheld command is not
    resent until the RPC is answered or abandoned. A reply to a database call in doubt is never resent.

    Args:
        address: The address at which the engine listens.
        log: Receives an event when the link is established, ready or lost, and when notices are missing.

    Attributes:
        last_notice_number: The number of the last notice read.
        is_ready: Whether commands can be written now. After each connect this is False until all notices that
            were missed while there was no link have been read.
        has_reached_engine: Whether the engine has answered at least once since the start of the server.
        is_greeted: Whether the engine has answered on the present link.
        is_changing_address: Whether the link is about to be closed because the engine's address has changed.
        commands: Commands that the engine has not confirmed.
        answered_at_ms: The time from which the engine's silence is measured, for comparison with
            `MAX_SILENCE_MS`. It is set when the engine answers a gauge query, but also when a connect begins
            or a gauge query is written, and at regular checks while no answer is due.
    """

    def __init__(self, loop: Loop, address: Address, log: Callable[..., None]) -> None:
        self.loop = loop
        self.address = address
        self.log = log
        self.events: EngineEvents
        self.last_notice_number = 0
        self.link_count = 0
        self.tag_count = 0
        self.is_ready = False
        self.has_reached_engine = False
        self.is_greeted = False
        self.is_changing_address = False
        self.stream: Stream | None = None
        self.reconnect_timer: Timer | None = None
        self.linked_at_ms = loop.now_ms
        self.lost_at_ms = loop.now_ms
        self.decoder = wire.NoticeDecoder()
        self.commands = UnconfirmedCommands()
        self.gauge_query: GaugeQuery | None = None
        self.self_tests: dict[bytes, Callable[[bool], None]] = {}
        self.answered_at_ms = loop.now_ms

    def start(self, events: EngineEvents, attach: bool = True) -> None:
        """Connects to the engine and delivers the engine's messages to `events`.

        Args:
            events: The receiver of the engine's messages.
            attach: If True, connects now. False only in a hot restart, in which an open link is taken over.
        """
        self.events = events
        if attach:
            self.attach()
        self.loop.after(MAX_SILENCE_MS / 2.0, self._check_silence)

    # Connecting

    def attach(self) -> None:
        """Connects to the engine; if that fails immediately, retries after `RECONNECT_DELAY_MS`."""
        self.reconnect_timer = None
        self.decoder = wire.NoticeDecoder()
        self.linked_at_ms = self.loop.now_ms
        stream = connect(self.loop, self.address, self, MAX_UNSENT_BYTES)
        if isinstance(stream, str):
            self.reconnect_timer = self.loop.after(RECONNECT_DELAY_MS, self.attach)
            return
        self.stream = stream
        self.answered_at_ms = self.loop.now_ms
        self.link_count += 1
        stream.write(wire.encode_attach(self.last_notice_number))

    def change_address(self, address: Address) -> None:
        """Replaces the link by a link to another address of the same engine process.

        The runs and the notice numbers therefore continue.
        """
        if address == self.address:
            return
        self.address = address
        if self.stream is None:
            self.loop.cancel(self.reconnect_timer)
            self.attach()
        elif self.is_changing_address:
            pass  # the link is about to be closed already; the next link uses `self.address`
        elif not self.is_ready:
            self.stream.close("moved")
        else:
            # The link is closed once all commands are confirmed. If the link were closed earlier, the engine
            # might have received unconfirmed commands. Run commands among them might not be resent on the new
            # link (see `withheld` in the class docstring). The timer bounds the wait for confirmation.
            stream = self.stream
            self.is_ready = False
            self.is_changing_address = True
            self.query_gauges()
            self.loop.after(ADDRESS_CHANGE_GRACE_MS, lambda: stream.close("moved"))

    @property
    def is_working(self) -> bool:
        """Return whether the engine counts as working: the link is ready, or was lost only a short time ago.

        An outage of the link that is shorter than `MAX_OUTAGE_MS` is routine and does not count.
        """
        return self.is_ready or (
            self.has_reached_engine and self.loop.now_ms - self.lost_at_ms < MAX_OUTAGE_MS
        )

    def _check_silence(self) -> None:
        """Closes the link if the engine's answer is overdue; repeats every `MAX_SILENCE_MS / 2`.

        No answer is due before the engine has answered for the first time.
        """
        self.loop.after(MAX_SILENCE_MS / 2.0, self._check_silence)
        owes_answer = self.has_reached_engine and (self.gauge_query is not None or not self.is_greeted)
        if self.stream is None or not owes_answer:
            self.answered_at_ms = self.loop.now_ms
        elif self.loop.now_ms - self.answered_at_ms > MAX_SILENCE_MS:
            self.stream.close("silent")

    def on_data(self, data: bytes) -> None:
        """Decodes received bytes and handles the messages in them."""
        try:
            for message in self.decoder.feed(data):
                self._on_message(message)
        except ProtocolError as err:
            if self.stream is not None:
                self.stream.close(err.reason)

    def on_eof(self) -> None:
        """Closes the link when the engine has closed its side."""
        if self.stream is not None:
            self.stream.close("closed")

    def on_closed(self, reason: str) -> None:
        """Marks commands as in doubt if they were sent on the closed link, and schedules a reconnect."""
        sent_bytes = self.stream.sent_bytes if self.stream is not None else 0
        if reason not in CONNECT_FAILURES:
            self.log(
                "engine_link_lost",
                reason=reason,
                notice=self.last_notice_number,
                unsure=len(self.commands.queue),
            )
        reconnect_at_once = self.is_greeted and self.loop.now_ms - self.linked_at_ms > RECONNECT_DELAY_MS
        if self.is_greeted:
            self.lost_at_ms = self.loop.now_ms
        self.stream = None
        self.gauge_query = None
        self.is_ready = False
        self.is_greeted = False
        self.is_changing_address = False
        self.commands.on_link_lost(sent_bytes)
        self.abandon_self_tests()
        delay_ms = 0.0 if reconnect_at_once else RECONNECT_DELAY_MS
        self.reconnect_timer = self.loop.after(delay_ms, self.attach)

    def abandon_self_tests(self) -> None:
        """Ends the self-tests in progress; these count as passed if the engine counts as working."""
        answers = self.self_tests
        self.self_tests = {}
        for answer in answers.values():
            answer(self.is_working)

    # Incoming messages

    def _on_message(self, message: wire.Message) -> None:
        match message:
            case wire.RunEnded() | wire.CallNeeded() | wire.OtherNotice():
                self._on_notice(message)
            case wire.Hello():
                self._on_hello(message)
            case wire.GaugeReport():
                self._on_gauge_report(message)
            case wire.SelfTestResult():
                answer = self.self_tests.pop(message.tag, None)
                if answer is not None:
                    answer(message.has_passed)
            case wire.CommandRefused():
                self.events.on_command_refused(message)

    def _on_notice(self, notice: wire.NumberedNotice) -> None:
        if notice.notice_number <= self.last_notice_number:
            return  # the engine has repeated this notice after a reconnect
        if notice.notice_number > self.last_notice_number + 1:
            self.log("engine_notices_lost", after=self.last_notice_number, before=notice.notice_number)
        self.last_notice_number = notice.notice_number
        if isinstance(notice, wire.RunEnded):
            self.events.on_run_ended(notice)
        elif isinstance(notice, wire.CallNeeded):
            self.events.on_call_needed(notice)

    def _on_hello(self, hello: wire.Hello) -> None:
        self.log(
            "engine_link",
            link=self.link_count,
            cold=hello.is_cold,
            age=hello.age_ms,
            notice=self.last_notice_number,
        )
        self.is_greeted = True
        if not self.has_reached_engine:
            self.has_reached_engine = True
            self.events.on_engine_up(hello)
        # Before the engine answers this query, it sends the notices that were missed while there was no link.
        # Until the answer arrives, it is not known which commands must be resent. A command without a notice
        # may have arrived all the same: a run that is still working sends none.
        self.query_gauges()

    def _on_gauge_report(self, report: wire.GaugeReport) -> None:
        query = self.gauge_query
        if query is None or query.tag != report.tag:
            return
        self.gauge_query = None
        self.answered_at_ms = self.loop.now_ms
        self.commands.confirm(query.bytes_before)
        self.events.on_gauges(report.values)
        if self.is_changing_address and self.stream is not None:
            if self.commands.has_written():
                self.query_gauges()
            else:
                self.stream.close("moved")
        elif not self.is_ready:
            self._resend()
        if self.commands.has_query():
            self.query_gauges()  # a duplicate waits for the confirmation of its `query_known` command

    # Outgoing messages

    def query_gauges(self) -> None:
        """Queries the engine's gauges, unless an earlier query is still unanswered.

        The answer also confirms all commands that were written before the query.
        """
        if self.stream is None or not self.is_greeted or self.gauge_query is not None:
            return
        self.tag_count += 1
        self.answered_at_ms = self.loop.now_ms
        tag = b"s%d" % self.tag_count
        self.gauge_query = GaugeQuery(tag, self.stream.queued_bytes)
        self.stream.write(wire.encode_gauge_query(tag))

    def run_self_test(self, answer: Callable[[bool], None]) -> None:
        """Asks the engine to run its self-test.

        While the link is not ready, the result is `is_working`. If `MAX_SELF_TESTS` tests are already in
        progress, the test counts as failed.

        Args:
            answer: Called with True if the self-test passes, otherwise with False.
        """
        if not self.is_ready or self.stream is None or len(self.self_tests) >= MAX_SELF_TESTS:
            answer(self.is_working and len(self.self_tests) < MAX_SELF_TESTS)
            return
        self.tag_count += 1
        tag = b"t%d" % self.tag_count
        self.self_tests[tag] = answer
        self.stream.write(wire.encode_self_test(tag))

    def send_command(self, command: EngineCommand) -> None:
        """Sends a command for an RPC as soon as the link is ready."""
        self.commands.add(command)
        if self.is_ready:
            self._write(command)

    def halt(self, rpc: RoutedRpc) -> None:
        """Asks the engine to cancel the RPC's run. The controller repeats this until the run has ended."""
        if self.is_ready and self.stream is not None:
            self.stream.write(wire.encode_halt(rpc.rpc_id))

    def query_known(self, rpc: RoutedRpc, on_known: Callable[[], None]) -> None:
        """Asks the engine whether it knows the RPC. An engine that does not know the RPC refuses the query.

        The query is a skip-call command, which makes a run continue without the database call that it asked
        for in a notice. The command contains the number `NO_NOTICE_NUMBER`, which no notice has. The query
        therefore has no effect on an RPC that the engine knows.

        Args:
            rpc: The RPC in question.
            on_known: Called if the engine knows the RPC.
        """
        self.send_command(known_query_command(rpc, on_known))
        self.query_gauges()

    def send_withheld(self, rpc: RoutedRpc) -> None:
        """Sends the run command of an answered or abandoned RPC, if the command has been withheld until now.

        The command was withheld because resending it could have repeated the effect of the RPC. The engine
        now either reports the end of the run or refuses the command. In both cases the controller can release
        the RPC.
        """
        command = self.commands.latest.get(rpc)
        if command is not None and command.is_withheld:
            self.send_command(start_run_command(rpc))

    def _write(self, command: EngineCommand) -> None:
        if self.stream is not None:
            self.stream.write(command.data)
            command.stream_end = self.stream.queued_bytes

    def _resend(self) -> None:
        """Marks the link as ready and resends the unconfirmed commands that are safe to resend."""
        self.is_ready = True
        counts = self.commands.prepare_resend()
        for command in self.commands.queue:
            self._write(command)
        self.log(
            "engine_ready",
            link=self.link_count,
            said_again=len(self.commands.queue),
            of=counts.open,
            replies_in_doubt=counts.replies_in_doubt,
        )
