"""Credentials that authenticate an agent's announcement.

Each partner has a secret that its agents and the balancers read from their
settings. The credential is an HMAC over the node id, which names service and
upstream, and the incarnation; the secret itself is never sent.
"""

from __future__ import annotations

import hmac
from collections.abc import Mapping

from bramleydyke.messages import Announcement
from bramleydyke.types import Incarnation, NodeId, PartnerId, agent_node

Credentials = Mapping[PartnerId, bytes]
"""Secret of each partner, as read from the settings."""


def make_credential(secret: bytes, node_id: NodeId, incarnation: Incarnation) -> str:
    """Returns the credential of a process for one incarnation, in hex."""
    message = f"{node_id} {incarnation}".encode()
    return hmac.digest(secret, message, "sha256")[:16].hex()


def has_valid_credential(
    announcement: Announcement, credentials: Credentials | None
) -> bool:
    """Returns whether an announcement is authentic.

    An agent must belong to its partner's service and have a credential made
    with the partner's secret. Balancers belong to no partner and need none.

    Args:
        announcement: Announcement of an agent or a balancer.
        credentials: Secret of each partner; None accepts any credential.
    """
    partner_id = announcement.partner_id
    service_id, upstream_id = announcement.service_id, announcement.upstream_id
    if partner_id is None or service_id is None or upstream_id is None:
        return announcement.node_id.startswith("balancer/") and service_id is None
    if announcement.node_id != agent_node(service_id, upstream_id):
        return False
    if not service_id.startswith(f"{partner_id}/"):
        return False
    if credentials is None:
        return True
    secret = credentials.get(partner_id)
    if secret is None:
        return False
    expected = make_credential(secret, announcement.node_id, announcement.incarnation)
    return hmac.compare_digest(expected.encode(), announcement.credential.encode())
