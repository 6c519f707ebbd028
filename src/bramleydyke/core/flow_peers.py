"""Messages that tell agents and balancers the owners of datagram flows."""

from __future__ import annotations

from dataclasses import dataclass, field

from bramleydyke.core.config import ConfigStore
from bramleydyke.core.flow_hints import flow_key
from bramleydyke.core.flow_table import Flow, FlowTable
from bramleydyke.core.rendezvous import owner_order
from bramleydyke.errors import ErrorKind, counter_name
from bramleydyke.messages import Count, Envelope, FlowHint, FlowReset
from bramleydyke.types import (
    LOCAL_METRICS,
    LOCAL_UPSTREAM,
    FlowId,
    NodeId,
    ServiceId,
    UpstreamId,
    agent_node,
)

CONCURRENT_ADMISSION_S = 1.0
"""Maximum time between concurrent admissions of one flow by two agents.

Two agents may both admit a new flow when its first packets take different
routes.
"""

RECHECK_INTERVAL_S = 0.1
"""Interval between batches of rechecks; 2,000 flows take 4 s."""

RECHECK_BATCH = 50
"""Flows rechecked in one batch; with 700 upstreams a batch takes 30 ms."""


@dataclass(slots=True, kw_only=True)
class FlowPeers:
    """Keeps other agents' pointers to the flows of this agent up to date.

    Attributes:
        table: Flows held here, and pointers to flows of other agents.
        recheck_queue: Flows to check for a changed first owner.
        recheck_at: Time of the next batch of checks; None if none is due.
    """

    node_id: NodeId
    service_id: ServiceId
    upstream_id: UpstreamId
    config: ConfigStore
    table: FlowTable
    recheck_queue: list[FlowId] = field(default_factory=list)
    recheck_at: float | None = None

    def hinted(
        self, sender: NodeId, message: FlowHint, *, now: float
    ) -> list[Envelope]:
        """Handles a hint: another agent reports that it holds a flow."""
        expected = agent_node(self.service_id, message.owner)
        if message.service_id != self.service_id or sender != expected:
            return self.count(ErrorKind.WRONG_SERVICE)
        flow = self.table.flows.get(message.flow_id)
        if flow is not None:
            return self._resolve_duplicate(flow, message, now=now)
        self.table.set_pointer(message.flow_id, message.owner, holds=True)
        return []

    def _resolve_duplicate(
        self, flow: Flow, message: FlowHint, *, now: float
    ) -> list[Envelope]:
        """Decides which of two agents keeps a flow that both have admitted.

        The agent that admitted the flow earlier keeps it. A flow is admitted
        twice only if its first packets take different routes, so the earlier
        admission belongs to the established flow. If both agents admitted it
        within ``CONCURRENT_ADMISSION_S``, the one with the higher upstream id
        keeps it, so that both reach the same decision.
        """
        older_by_s = now - flow.admitted_at - message.age
        wins_tie = (
            self.upstream_id > message.owner and older_by_s >= -CONCURRENT_ADMISSION_S
        )
        if older_by_s > CONCURRENT_ADMISSION_S or wins_tie:
            receiver = agent_node(self.service_id, message.owner)
            reply = self.hint(flow, receiver, reply=True, now=now)
            return [] if message.reply else [reply]
        self.table.remove(flow.flow_id)
        self.table.set_pointer(flow.flow_id, message.owner, holds=True)
        closed = self.end_at_upstream(flow.flow_id, ErrorKind.MOVED)
        return [closed, *self.count(ErrorKind.MOVED, action="resolved")]

    def peer_restarted(self, upstream_id: UpstreamId, *, now: float) -> list[Envelope]:
        """Sends a restarted agent hints for the flows it is first owner of."""
        receiver = agent_node(self.service_id, upstream_id)
        return [
            self.hint(flow, receiver, now=now)
            for flow in self.table.flows.values()
            if flow.first_owner == upstream_id
        ]

    # Changes of the configuration.

    def configured(self, *, now: float) -> None:
        """Schedules a check of every flow for a changed first owner."""
        self.recheck_queue = list(self.table.flows)
        self.recheck_at = now

    def wake(self, *, now: float) -> list[Envelope]:
        """Sends hints for flows held here to their new first owners.

        The lookup by previous weights covers only the last few changes of a
        service, and an established flow may outlive them.
        """
        if self.recheck_at is None or now < self.recheck_at:
            return []
        batch, self.recheck_queue = (
            self.recheck_queue[:RECHECK_BATCH],
            self.recheck_queue[RECHECK_BATCH:],
        )
        self.recheck_at = now + RECHECK_INTERVAL_S if self.recheck_queue else None
        service = self.config.service(self.service_id)
        weights = {} if service is None else service.weights()
        sent = []
        for flow in map(self.table.flows.get, batch):
            order = [] if flow is None else owner_order(flow_key(flow.flow_id), weights)
            if not order or order[0] == flow.first_owner:
                continue
            flow.first_owner = order[0]
            if order[0] != self.upstream_id:
                receiver = agent_node(self.service_id, order[0])
                sent.append(self.hint(flow, receiver, now=now))
        return sent

    # Messages.

    def hint(
        self, flow: Flow, receiver: NodeId, *, now: float, reply: bool = False
    ) -> Envelope:
        """Returns a ``FlowHint`` that names this agent as a flow's owner."""
        hint = FlowHint(
            flow_id=flow.flow_id,
            service_id=self.service_id,
            address=flow.address,
            caller=flow.caller,
            owner=self.upstream_id,
            age=now - flow.admitted_at,
            reply=reply,
        )
        return Envelope(self.node_id, receiver, hint)

    def reset(
        self,
        receiver: NodeId,
        flow_id: FlowId,
        upstream_id: UpstreamId,
        kind: ErrorKind,
    ) -> Envelope:
        """Returns a ``FlowReset``: an upstream does not hold a flow."""
        reset = FlowReset(
            flow_id=flow_id,
            service_id=self.service_id,
            upstream_id=upstream_id,
            kind=kind,
        )
        return Envelope(self.node_id, receiver, reset)

    def end_at_upstream(self, flow_id: FlowId, kind: ErrorKind) -> Envelope:
        """Returns a ``FlowReset`` that closes the flow's upstream socket."""
        return self.reset(LOCAL_UPSTREAM, flow_id, self.upstream_id, kind)

    def count(self, kind: ErrorKind, *, action: str = "refused") -> list[Envelope]:
        """Returns a message that increments the counter of an error kind."""
        count = Count(name=counter_name(kind, action=action))
        return [Envelope(self.node_id, LOCAL_METRICS, count)]
