"""Writes operators' drain objects into the platform's object API.

Each procedure is a generator. It yields platform calls, and the caller sends
the replies back into it.
"""

from __future__ import annotations

import itertools
from collections.abc import Generator
from dataclasses import dataclass

import msgspec

from bramleydyke.core.config import PartnerConfig
from bramleydyke.core.drain import DRAIN_PREFIX, DrainObject
from bramleydyke.errors import ErrorKind
from bramleydyke.messages import PlatformRead, PlatformReply, PlatformWrite
from bramleydyke.types import (
    NodeId,
    PartnerId,
    PlatformStatus,
    ServiceId,
    UpstreamId,
    agent_node,
    balancer_node,
)

MAX_WRITE_ATTEMPTS = 5
"""Maximum number of times that a write is sent."""

PlatformCall = PlatformRead | PlatformWrite

_call_ids = itertools.count(1)


@dataclass(frozen=True, slots=True, kw_only=True)
class DrainOutcome:
    """Outcome of writing a drain object.

    Attributes:
        kind: None if the object holds the requested state, else the error.
        changed: False if the object already held that state.
        detail: Name or path that the outcome is about.
    """

    kind: ErrorKind | None
    changed: bool = False
    detail: str = ""


Steps = Generator[PlatformCall, PlatformReply, DrainOutcome]


def node_for_name(partner_id: PartnerId, name: str) -> NodeId | None:
    """Returns the node id of ``balancer/NAME`` or ``SERVICE/UPSTREAM``.

    Returns None if the name has another form.
    """
    first, slash, second = name.partition("/")
    if not (first and slash and second) or "/" in second:
        return None
    if first == "balancer":
        return balancer_node(second)
    return agent_node(ServiceId(f"{partner_id}/{first}"), UpstreamId(second))


def drain_path(partner_id: PartnerId, name: str) -> str:
    """Returns the path of a partner's drain object for a node's name."""
    return f"{DRAIN_PREFIX}{partner_id}/{name}"


def write_drain(partner_id: PartnerId, name: str, *, draining: bool) -> Steps:
    """Writes a drain object by a conditional write; safe to repeat.

    Args:
        partner_id: Partner whose operator requests the change.
        name: ``balancer/NAME`` or ``SERVICE/UPSTREAM``.
        draining: True to drain the node, False to end its drain.

    Yields:
        Platform calls; the caller sends back the reply to each.

    Returns:
        The outcome of the write.
    """
    node_id = node_for_name(partner_id, name)
    if node_id is None:
        return DrainOutcome(kind=ErrorKind.BAD_REQUEST, detail=name)
    if draining and node_id.startswith("agent/"):
        refused = yield from _check_declared(partner_id, name)
        if refused is not None:
            return refused
    wanted = DrainObject(node_id=node_id, draining=draining)
    return (yield from _write(drain_path(partner_id, name), wanted))


def _check_declared(
    partner_id: PartnerId, name: str
) -> Generator[PlatformCall, PlatformReply, DrainOutcome | None]:
    """Refuses an upstream that the partner's sheet does not declare.

    A drain of a misspelt name would otherwise be accepted without effect.

    Returns:
        The refusal, or None if the upstream is declared.
    """
    path = f"sheets/{partner_id}"
    reply = yield PlatformRead(call=next(_call_ids), path=path)
    if reply.status is PlatformStatus.OK and reply.value is not None:
        config = msgspec.json.decode(reply.value, type=PartnerConfig)
        names = {
            f"{service.service_id.partition('/')[2]}/{spec.upstream_id}"
            for service in config.services
            if not service.deleted
            for spec in service.upstreams
        }
        if name in names:
            return None
    elif reply.status is not PlatformStatus.NOT_FOUND:
        return DrainOutcome(kind=_failure(reply), detail=path)
    return DrainOutcome(kind=ErrorKind.NO_UPSTREAM, detail=name)


def _write(path: str, wanted: DrainObject) -> Steps:
    """Writes the object; repeats the write after a lost reply or a failure.

    A concurrent write of another operator is not overwritten: if it requests
    the opposite state, the outcome is a conflict.
    """
    value = msgspec.json.encode(wanted)
    reply = yield PlatformRead(call=next(_call_ids), path=path)
    if reply.status not in (PlatformStatus.OK, PlatformStatus.NOT_FOUND):
        return DrainOutcome(kind=_failure(reply), detail=path)
    if reply.value == value:
        return DrainOutcome(kind=None, detail=path)
    expected, lost = reply.version, False
    for _ in range(MAX_WRITE_ATTEMPTS):
        reply = yield PlatformWrite(
            call=next(_call_ids), path=path, value=value, expected=expected
        )
        own = reply.status is PlatformStatus.CONFLICT and reply.value == value
        if reply.status is PlatformStatus.OK or own:
            return DrainOutcome(kind=None, changed=True, detail=path)
        lost = lost or reply.status is PlatformStatus.LOST
        if reply.status in (PlatformStatus.CONFLICT, PlatformStatus.FORBIDDEN):
            break
    # After a lost reply a conflict may also mean that this write took effect
    # and another operator then overwrote it.
    kind = ErrorKind.STORE_ANSWER_LOST if lost else _failure(reply)
    return DrainOutcome(kind=kind, detail=path)


def _failure(reply: PlatformReply) -> ErrorKind:
    if reply.status is PlatformStatus.FORBIDDEN:
        return ErrorKind.WRONG_PARTNER
    if reply.status is PlatformStatus.CONFLICT:
        return ErrorKind.CONFLICT
    return ErrorKind.STORE_UNAVAILABLE
