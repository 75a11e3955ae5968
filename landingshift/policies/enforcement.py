"""Applies new policy versions to the admission controller, and switches the server to standby and back.

Guarantee: at the end of each pass of the event loop, `before_decisions` applies a new policy version, and
puts the server on standby if the server is not allowed to apply its policy version to RPCs. Only then does
the admission controller start or reject RPCs. Failure mode: if the process is paused after
`before_decisions`, a lease can expire during the pause. In this pass, the controller then still applies the
policy version to RPCs, although the server is no longer allowed to do so.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from landingshift import decision_history, failpoints
from landingshift.net.routing.observers import AnswerKind
from landingshift.policies.overlay import PolicyOverlay
from landingshift.policies.participant import ChangeParticipant

if TYPE_CHECKING:
    from landingshift.admission.controller import AdmissionController
    from landingshift.net.program.features import ServiceHost
    from landingshift.net.routing.rpc_record import RoutedRpc


class PolicyEnforcement:
    """Makes the admission controller apply the policy version of a `ChangeParticipant`, or enter standby.

    Attributes:
        name: Name of the readiness gate, and of this object as an RPC observer.
        applied_version: Policy version that the controller applies to RPCs.
    """

    name = "policies"

    def __init__(
        self, host: ServiceHost, server_name: str, overlay: PolicyOverlay, participant: ChangeParticipant
    ) -> None:
        """Registers `before_decisions` with the router, and adds a readiness gate.

        The router calls `before_decisions` at the end of each loop pass, before the admission controller
        starts or rejects RPCs. The gate makes this server report that it is not ready. `before_decisions`
        removes the gate as soon as this server is allowed to apply its policy version to RPCs.
        """
        self.applied_version = 0
        self._router = host.router
        self._loop = host.router.loop
        self._log = host.log
        self._server_name = server_name
        self._overlay = overlay
        self._participant = participant
        self._controller: AdmissionController | None = None  # the controller that was last updated
        self._may_decide = False
        self._checked_at_ms = self._loop.now_ms
        self._router.before_decisions.append(self.before_decisions)
        self._router.health_reporter.add_readiness_gate(self.name)
        if decision_history.is_recording():
            self._router.observers.add(self)

    def before_decisions(self) -> None:
        """Applies a new version, and enters or leaves standby; called at the end of each loop pass."""
        controller, participant = self._router.admission, self._participant
        if controller is None:
            return
        # If a lease is needed, it might have expired since the loop read the clock at the start of the pass.
        now_ms = self._loop.clock_ms() if participant.needs_lease else self._loop.now_ms
        if participant.version > self.applied_version:
            self._apply_version(controller)
        may_decide = participant.may_decide(now_ms)
        self._checked_at_ms = now_ms
        if may_decide != self._may_decide or controller is not self._controller:
            self._may_decide = may_decide
            self._controller = controller
            self._update_controller(controller)

    def _apply_version(self, controller: AdmissionController) -> None:
        failpoints.reach("policies.laid")
        self._overlay.apply(self._participant.policy)
        controller.now_ms = self._loop.now_ms
        controller.on_settings_changed()
        self._router.request_settle()
        self.applied_version = self._participant.version
        self._log("policy_version", version=self.applied_version)

    def _update_controller(self, controller: AdmissionController) -> None:
        may_decide = self._may_decide
        is_shutting_down = controller.stop_at_ms is not None
        if not is_shutting_down or not may_decide:  # a server that is shutting down does not leave standby
            controller.now_ms = self._loop.now_ms
            controller.set_standby(not may_decide)
            self._router.request_settle()
        if may_decide:
            self._router.health_reporter.remove_readiness_gate(self.name)
        reason = "" if may_decide else self.standby_reason()
        self._log("policy_aside", on=not may_decide, version=self._participant.version, why=reason)

    def standby_reason(self) -> str:
        """Returns the reason why this server is on standby, as shown to operators."""
        participant = self._participant
        if participant.refusal_reason:
            return participant.refusal_reason
        if not participant.is_member:
            return "no leader has accepted this server as a member yet"
        if participant.latest_version > participant.version:
            return f"version {participant.latest_version} is in force, but its policy has not arrived yet"
        if participant.change_id:
            return f"no lease from the leader for too long, during change {participant.change_id}"
        return "no lease from the leader for too long"

    # RPC observer, registered only if a decision history is recorded. The history checker uses the records to
    # find servers that applied a wrong or outdated policy version.

    def on_started(self, _rpc: RoutedRpc) -> None:
        """Records which policy version the controller applied when it started an RPC."""
        self._record_decision()

    def on_answered(self, _rpc: RoutedRpc, kind: AnswerKind) -> None:
        """Records which policy version the controller applied when it rejected an RPC.

        Records nothing while this server is on standby, because a rejection then does not depend on the
        policy.
        """
        if kind is AnswerKind.REJECTED and self._may_decide:
            self._record_decision()

    def _record_decision(self) -> None:
        participant = self._participant
        policy = participant.policy if participant.version == self.applied_version else b""
        decision_history.record(
            "decided", self._server_name, self.applied_version, policy, self._checked_at_ms
        )
