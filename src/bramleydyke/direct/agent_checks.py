"""Repeats questions to agents that have left a message unanswered.

A balancer that has no flow for an agent sends it nothing, and agents announce
themselves to a few balancers only. Without these checks one unanswered message
could not be told from a long silence.
"""

from __future__ import annotations

from dataclasses import dataclass, field

from bramleydyke.direct.constants import AGENT_CHECK_S, MAX_AGENT_CHECKS
from bramleydyke.direct.directory import Directory
from bramleydyke.direct.messages import HolderQuery
from bramleydyke.direct.ports import Send
from bramleydyke.direct.types import FlowTuple, NodeIp

NO_FLOW = FlowTuple(bytes(12))
"""Flow in the question of a check: no caller has this address.

Agents of every version answer a question about a flow that they do not hold.
"""


@dataclass(slots=True, kw_only=True)
class AgentChecks:
    """Asks silent agents at a fixed interval until they answer.

    Attributes:
        asked: Agents that were asked at the last check, with the time in
            seconds.
        due_at: When the next check is due, in seconds.
    """

    directory: Directory
    send: Send
    asked: dict[NodeIp, float] = field(default_factory=dict)
    due_at: float = 0.0

    def wake(self, *, now: float) -> None:
        """Counts unanswered questions and asks again, when that is due."""
        if now < self.due_at:
            return
        self.due_at = now + AGENT_CHECK_S
        for node, asked_at in self.asked.items():
            self.directory.check_unanswered(node, asked_at=asked_at, now=now)
        silent = self.directory.silent_agents()[:MAX_AGENT_CHECKS]
        self.asked = dict.fromkeys(silent, now)
        for node in silent:
            service = self.directory.entries[node].announcement.service
            self.send(node, HolderQuery(service, [(NO_FLOW, 0)]))

    def answered(self, node: NodeIp, flows: list[FlowTuple]) -> list[FlowTuple]:
        """Handles an agent's answer; returns the flows that a lookup needs.

        Args:
            node: IP address of the agent.
            flows: Flows that the agent was asked about.
        """
        if NO_FLOW not in flows:
            return flows
        self.directory.check_answered(node)
        return [flow for flow in flows if flow != NO_FLOW]

    def resumed(self) -> None:
        """Discards unanswered questions, whose answers may not be read yet."""
        self.asked.clear()
