"""Messages that increment counters in the metrics of the process."""

from __future__ import annotations

from bramleydyke.errors import ErrorKind, counter_name
from bramleydyke.messages import Count, Envelope
from bramleydyke.types import LOCAL_METRICS, NodeId


def count(node_id: NodeId, name: str) -> Envelope:
    """Returns a message that increments a counter by one."""
    return Envelope(node_id, LOCAL_METRICS, Count(name=name))


def count_refused(node_id: NodeId, kind: ErrorKind) -> Envelope:
    """Returns a message that counts a refusal of the given kind."""
    return count(node_id, counter_name(kind))
