"""Proof that an announcement is made for a partner.

Each partner has a secret that its agents and the balancers read from their
settings. The proof is a keyed digest over the node id, which names service
and upstream, and the incarnation; the secret itself is never sent.
"""

from __future__ import annotations

import hmac
from collections.abc import Mapping

from bramleydyke.messages import Announcement
from bramleydyke.types import Incarnation, NodeId, PartnerId, agent_node

Credentials = Mapping[PartnerId, bytes]
"""Secret of each partner."""


def prove(secret: bytes, node_id: NodeId, incarnation: Incarnation) -> str:
    """Returns the credential of one run of a process."""
    message = f"{node_id} {incarnation}".encode()
    return hmac.digest(secret, message, "sha256")[:16].hex()


def has_valid_credential(
    announcement: Announcement, credentials: Credentials | None
) -> bool:
    """Tells whether an announcement is made for its partner.

    Balancers act for no partner and need no proof.

    Args:
        announcement: Of an agent or a balancer.
        credentials: Known secrets; None accepts any proof.
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
    expected = prove(secret, announcement.node_id, announcement.incarnation)
    return hmac.compare_digest(expected.encode(), announcement.credential.encode())
