"""Identifier types and enumerations that all packages share."""

from __future__ import annotations

from enum import Enum
from typing import NewType

PartnerId = NewType("PartnerId", str)
"""Name of an organisation that uses the system and owns services."""

ServiceId = NewType("ServiceId", str)
"""Service name in the form ``partner/name``, unique across all partners."""

UpstreamId = NewType("UpstreamId", str)
"""Upstream name from the sheet, unique within its service."""

NodeId = NewType("NodeId", str)
"""Name of a process, as ``balancer/b1``, or local port, as ``local/caller``.

A local port is an adapter in the same process, not a network port.
"""

AvailabilityZone = NewType("AvailabilityZone", str)
"""Name of an availability zone; the field ``place`` of a sheet."""

ServiceAddress = NewType("ServiceAddress", str)
"""Address at which callers reach a service, as ``ip:port``."""

CallerAddress = NewType("CallerAddress", str)
"""Source address of a caller, as ``ip:port``."""

RequestId = NewType("RequestId", str)
"""Id of a request, based on the caller's idempotency key or generated."""

FlowId = NewType("FlowId", int)
"""Id of a datagram flow: 64-bit hash of its service and caller addresses."""

StreamId = NewType("StreamId", str)
"""Id of a byte stream, which carries one TCP connection.

The stream connects a balancer and an agent.
"""

Generation = NewType("Generation", int)
"""Version number of a partner's sheet, assigned by the platform."""

Incarnation = NewType("Incarnation", int)
"""Number of a run of a process, higher than those of its earlier runs."""

LOCAL_CALLER = NodeId("local/caller")
LOCAL_UPSTREAM = NodeId("local/upstream")
LOCAL_PLATFORM = NodeId("local/platform")
LOCAL_METRICS = NodeId("local/metrics")


class Protocol(Enum):
    """Protocol that callers use to reach a service."""

    UDP = "udp"
    TCP = "tcp"
    HTTP = "http"


class Outcome(Enum):
    """Whether a request that failed may have been processed."""

    NOT_RUN = "not-run"
    """The upstream did not process the request; a retry is safe."""

    UNKNOWN = "unknown"
    """The upstream may have processed the request."""


class MemberState(Enum):
    """State of an agent or balancer as other nodes see it."""

    RUNNING = "running"
    DRAINING = "draining"
    SUSPECT = "suspect"
    """The home balancers of the node receive no heartbeats from it."""

    STOPPED = "stopped"


class RecordKnowledge(Enum):
    """What an agent knows about a request with an idempotency key."""

    NEVER = "never"
    """The agent has not processed the request and will not do so."""

    HELD = "held"
    """The request is in progress at this agent, which keeps its record."""

    DONE = "done"
    """The request was processed; the reply has its response if still kept."""

    UNKNOWN = "unknown"
    """The agent cannot tell whether the request was processed.

    It may have run in an earlier incarnation, or failed with unknown outcome.
    """


class PlatformStatus(Enum):
    """Result of a call to the platform's object API."""

    OK = "ok"
    NOT_FOUND = "not_found"
    CONFLICT = "conflict"
    """The object does not have the expected version; nothing was written."""

    FORBIDDEN = "forbidden"
    UNAVAILABLE = "unavailable"
    """The call was refused or could not be sent; nothing was written."""

    LOST = "lost"
    """No reply arrived; a write may have taken effect."""


def agent_node(service_id: ServiceId, upstream_id: UpstreamId) -> NodeId:
    """Returns the node id of the agent of an upstream."""
    return NodeId(f"agent/{service_id}/{upstream_id}")


def balancer_node(name: str) -> NodeId:
    """Returns the node id of the balancer with the given name."""
    return NodeId(f"balancer/{name}")
