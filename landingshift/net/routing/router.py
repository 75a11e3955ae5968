"""Creates and connects the components of a server; handles no RPC events itself."""

from __future__ import annotations

import resource
import socket
from collections.abc import Callable
from dataclasses import replace

from landingshift.admission.controller import AdmissionController
from landingshift.net.protocol.engine import Hello
from landingshift.net.routing.actions import RouterActions
from landingshift.net.routing.admission_driver import AdmissionDriver
from landingshift.net.routing.answers import AnswerWriter
from landingshift.net.routing.check_runner import CheckRunner
from landingshift.net.routing.database_events import DatabaseEventHandler
from landingshift.net.routing.database_pool import DatabasePool
from landingshift.net.routing.dedup import DedupTable
from landingshift.net.routing.duplicates import DuplicateResolver
from landingshift.net.routing.engine_events import EngineEventHandler
from landingshift.net.routing.engine_link import EngineLink
from landingshift.net.routing.gateways import Gateways
from landingshift.net.routing.health import HealthReporter
from landingshift.net.routing.observers import RpcObservers
from landingshift.net.routing.reload import keys_requiring_restart, reloaded_config
from landingshift.net.routing.request_validation import MAX_WAIT_FACTOR, RequestValidator
from landingshift.net.routing.rpc_intake import RpcIntake
from landingshift.net.routing.rpc_table import RpcTable
from landingshift.net.routing.server_config import ServerConfig
from landingshift.net.routing.shutdown import GracefulShutdown
from landingshift.net.routing.started_ids import StartedIds
from landingshift.net.transport.datagram import DatagramSender
from landingshift.net.transport.loop import Loop

RESERVED_DESCRIPTOR_COUNT = 64  # file descriptors for the database, engine, roster and log
MIN_CONNECTIONS = 8
DEDUP_MEMORY_FRACTION = 0.25  # fraction of the memory limit for the deduplication table
UNSENT_MEMORY_FRACTION = 0.25  # fraction of the memory limit for answers that gateways have not read
UNDECODED_MEMORY_FRACTION = 0.125  # fraction of the memory limit for requests that are not decoded yet
RPC_MEMORY_FRACTION = 0.25  # fraction of the memory limit for RPCs in flight
RPC_BYTES = 4000  # size of an RPC in flight with the largest body, and of the command that runs it
BYTES_PER_MB = 1048576.0


class Router:
    """One server: its gateway connections, its links to engine and database, and its admission controller.

    Args:
        loop: The event loop; the controller settles (decides and acts) at the end of each pass.
        config: The configuration at startup.
        log: The function that logs events; called with the name and the fields of an event.
        listener: The listening socket of the old process in a hot restart, which also takes over the link to
            the engine; otherwise None.

    Raises:
        OSError: The server cannot listen at the configured address.

    Attributes:
        config: The configuration in effect; a reload replaces it.
        before_decisions: Called in order at the end of each loop pass, before the controller settles; the
            loop's clock has just been read.
    """

    def __init__(
        self,
        loop: Loop,
        config: ServerConfig,
        log: Callable[..., None],
        listener: socket.socket | None = None,
    ) -> None:
        self.loop = loop
        self.config = config
        self.log = log
        self.before_decisions: list[Callable[[], None]] = []
        self.driver = AdmissionDriver(loop)
        self.table = RpcTable()
        self.request_validator = RequestValidator(loop, config, self.table)
        self.dedup = _dedup_table(config)
        self.started_ids = StartedIds(self.dedup.max_age_ms)
        self.gateways = _gateways(loop, config, log, listener)
        self.database = DatabasePool(loop, config.database, log)
        self.engine = EngineLink(loop, config.engine, log)
        self.health_reporter = HealthReporter(
            loop, config.name, DatagramSender(config.roster), self.engine, config.runs_deep_checks
        )
        self.observers = RpcObservers(log)
        self.answers = AnswerWriter(self.gateways.connections, self.observers, log)
        self.duplicates = DuplicateResolver(
            loop, self.driver, self.dedup, self.engine, self.answers, self.gateways.connections
        )
        self.check_runner = CheckRunner(loop, self.driver, self.engine, config.gauge_names)
        self.shutdown = GracefulShutdown(loop, self.driver, self.gateways, self.answers, config.stop_ms)
        self.actions = self._make_actions()
        self.intake = self._make_intake()
        self.gateways.start(self.intake)
        self.database.start(DatabaseEventHandler(self.driver, self.engine, self.observers))
        self.engine.start(self._make_engine_events(), attach=listener is None)
        loop.settle = self.settle

    def _make_actions(self) -> RouterActions:
        return RouterActions(
            loop=self.loop,
            settings=self.config.settings,
            table=self.table,
            dedup=self.dedup,
            gateways=self.gateways,
            database=self.database,
            engine=self.engine,
            health_reporter=self.health_reporter,
            observers=self.observers,
            answers=self.answers,
            duplicates=self.duplicates,
            check_runner=self.check_runner,
            started_ids=self.started_ids,
            log=self.log,
        )

    def _make_intake(self) -> RpcIntake:
        return RpcIntake(
            validator=self.request_validator,
            driver=self.driver,
            table=self.table,
            dedup=self.dedup,
            engine=self.engine,
            database=self.database,
            answers=self.answers,
            observers=self.observers,
            health_reporter=self.health_reporter,
            started_ids=self.started_ids,
            max_rpcs=int(self.config.memory_mb * RPC_MEMORY_FRACTION * BYTES_PER_MB / RPC_BYTES),
            release=self.actions.release,
            log=self.log,
        )

    def _make_engine_events(self) -> EngineEventHandler:
        return EngineEventHandler(
            driver=self.driver,
            table=self.table,
            dedup=self.dedup,
            gateways=self.gateways,
            database=self.database,
            engine=self.engine,
            observers=self.observers,
            answers=self.answers,
            duplicates=self.duplicates,
            check_runner=self.check_runner,
            start_admission=self._start_admission,
            log=self.log,
        )

    @property
    def admission(self) -> AdmissionController | None:
        """Return the admission controller; None until the engine is up."""
        return self.driver.controller

    @property
    def is_draining(self) -> bool:
        """Return whether the graceful shutdown has begun."""
        return self.shutdown.is_draining

    def request_settle(self) -> None:
        """Makes the controller settle (decide and act) at the end of this loop pass.

        Call this if the inputs of the controller's decisions have changed without an event.
        """
        self.driver.needs_settle = True

    def settle(self) -> None:
        """Ends a loop pass: the controller decides on the events, and its actions are carried out.

        Afterwards, pending cancellations are sent to the database.
        """
        for prepare in self.before_decisions:
            prepare()
        self.driver.settle()
        self.database.flush(self._is_calling)

    def _is_calling(self, rpc_id: bytes) -> bool:
        rpc = self.table.find(rpc_id)
        return rpc is not None and rpc in self.database.calls

    def _start_admission(self, hello: Hello) -> None:
        """Creates the admission controller when the engine answers for the first time.

        The start time of the engine is passed to the controller as its own start time, because the engine's
        cores warm up from that time on.
        """
        if self.is_draining:
            return  # the server stops without running any RPC, so it must not report to the roster
        settings = replace(self.config.settings, starts_cold=hello.is_cold)
        started_ms = self.loop.now_ms - hello.age_ms
        self.driver.controller = AdmissionController(settings, self.config.seed, self.actions, started_ms)
        self.health_reporter.start()

    def reload(self, config: ServerConfig) -> None:
        """Applies the parts of a new configuration that can take effect while the server runs.

        The log names the changed keys that take effect only at the next start, except `settings`.
        """
        postponed = keys_requiring_restart(self.config, config)
        self.config = reloaded_config(self.config, config)
        self.log("reloaded", engine=config.engine, db=config.database, roster=config.roster, kept=postponed)
        self.shutdown.stop_ms = config.stop_ms
        self.engine.change_address(config.engine)
        self.database.change_address(config.database)
        self.health_reporter.change_address(config.roster)

    def drain(self, notice_ms: float | None = None) -> None:
        """Starts the graceful shutdown.

        Args:
            notice_ms: The time of the shutdown signal on the loop's clock; now by default.
        """
        self.shutdown.start(notice_ms)


def _dedup_table(config: ServerConfig) -> DedupTable:
    settings = config.settings
    max_age_ms = MAX_WAIT_FACTOR * max(method.deadline_ms for method in settings.methods)
    max_bytes = int(config.memory_mb * DEDUP_MEMORY_FRACTION * BYTES_PER_MB)
    return DedupTable(max_bytes, settings.response_cache_ttl_ms, max_age_ms)


def _gateways(
    loop: Loop, config: ServerConfig, log: Callable[..., None], listener: socket.socket | None
) -> Gateways:
    system_limit = resource.getrlimit(resource.RLIMIT_NOFILE)[0]
    max_sockets = min(config.max_sockets, system_limit)
    return Gateways(
        loop,
        config.listen,
        max_connections=max(MIN_CONNECTIONS, max_sockets - RESERVED_DESCRIPTOR_COUNT),
        max_unsent_bytes=int(config.memory_mb * UNSENT_MEMORY_FRACTION * BYTES_PER_MB),
        max_undecoded_bytes=int(config.memory_mb * UNDECODED_MEMORY_FRACTION * BYTES_PER_MB),
        idle_limit_ms=config.settings.connection_idle_timeout_ms,
        log=log,
        sock=listener,
    )
