"""The server's parts, wired together. Decides nothing and handles no event itself."""

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
from landingshift.net.transport.datagram import DatagramSender
from landingshift.net.transport.loop import Loop

RESERVED_DESCRIPTOR_COUNT = 64  # not for gateways: links to the database, engine, roster, log
MIN_CONNECTIONS = 8
DEDUP_MEMORY_FRACTION = 0.25  # of the memory, for results that duplicates are answered from
UNSENT_MEMORY_FRACTION = 0.25  # of the memory, for answers that gateways do not read
BYTES_PER_MB = 1048576.0


class Router:
    """One server: its connections, its links and the admission controller between them.

    Args:
        loop: The loop; the controller settles at the end of each pass.
        config: The configuration at the start.
        log: Takes an event's name and its fields.
        listener: Set by hot restart alone: the listening socket of the old build, which hands over the link
            to the engine, too.

    Raises:
        OSError: The server can't listen where it is told to.

    Attributes:
        config: Changes with a reload.
        before_decisions: Asked in each pass before the controller is told of what has come.
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
        self.before_decisions: Callable[[], None] | None = None
        self.driver = AdmissionDriver(loop)
        self.table = RpcTable()
        self.request_validator = RequestValidator(config, self.table)
        self.dedup = _dedup_table(config)
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
        """The admission controller; None until the engine is up."""
        return self.driver.controller

    @property
    def is_draining(self) -> bool:
        """Whether the notice to leave has come."""
        return self.shutdown.is_draining

    def request_settle(self) -> None:
        """Has the controller settle in this pass: what it decides by has changed."""
        self.driver.needs_settle = True

    def settle(self) -> None:
        """Ends a pass of the loop: the controller acts on what has come."""
        if self.before_decisions is not None:
            self.before_decisions()
        self.driver.settle()
        self.database.flush(self._is_calling)

    def _is_calling(self, rpc_id: bytes) -> bool:
        rpc = self.table.find(rpc_id)
        return rpc is not None and rpc in self.database.calls

    def _start_admission(self, hello: Hello) -> None:
        """The engine is up. The controller's clock starts with the cores, which warm up from then on."""
        if self.is_draining:
            return  # it leaves without having run anything: no list may name it now
        settings = replace(self.config.settings, starts_cold=hello.is_cold)
        started_ms = self.loop.now_ms - hello.age_ms
        self.driver.controller = AdmissionController(settings, self.config.seed, self.actions, started_ms)
        self.health_reporter.start()

    def reload(self, config: ServerConfig) -> None:
        """Takes what a new configuration may change while RPCs are under way.

        The log names the keys that count from the next start only; changed `settings` are not among them.
        """
        postponed = keys_requiring_restart(self.config, config)
        self.config = reloaded_config(self.config, config)
        self.log("reloaded", engine=config.engine, db=config.database, roster=config.roster, kept=postponed)
        self.shutdown.stop_ms = config.stop_ms
        self.engine.change_address(config.engine)
        self.database.change_address(config.database)
        self.health_reporter.change_address(config.roster)

    def drain(self, notice_ms: float | None = None) -> None:
        """The notice to leave, which came at `notice_ms` of the loop's time."""
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
        idle_limit_ms=config.settings.connection_idle_timeout_ms,
        log=log,
        sock=listener,
    )
