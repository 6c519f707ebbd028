"""Splitting of configuration deltas into messages, and reassembly."""

from __future__ import annotations

from dataclasses import dataclass, field

import msgspec

from bramleydyke.constants import MAX_DELTA_PART_BYTES
from bramleydyke.core.config import ConfigDelta, ConfigStore, ServiceConfig
from bramleydyke.messages import DeltaRequest, Envelope
from bramleydyke.types import Generation, NodeId, PartnerId, ServiceId

_encoder = msgspec.msgpack.Encoder()


def split_delta(
    delta: ConfigDelta, *, max_bytes: int = MAX_DELTA_PART_BYTES
) -> list[ConfigDelta]:
    """Splits a delta into parts of about ``max_bytes`` at most.

    A larger entry becomes a part of its own. Every process splits the same
    delta in the same way, so that parts from different peers can be combined.
    """
    groups: list[list[ServiceConfig]] = [[]]
    size = 0
    for entry in sorted(delta.services, key=lambda item: item.service_id):
        entry_size = len(_encoder.encode(entry))
        if groups[-1] and size + entry_size > max_bytes:
            groups.append([])
            size = 0
        groups[-1].append(entry)
        size += entry_size
    return [
        msgspec.structs.replace(
            delta, services=tuple(group), part=index, parts=len(groups)
        )
        for index, group in enumerate(groups)
    ]


@dataclass(slots=True)
class _Partial:
    """A delta of which some parts have arrived."""

    base: Generation
    generation: Generation
    parts: int
    received: dict[int, ConfigDelta] = field(default_factory=dict)

    def matches(self, delta: ConfigDelta) -> bool:
        """Returns whether a part belongs to this delta."""
        return (self.base, self.generation, self.parts) == (
            delta.base,
            delta.generation,
            delta.parts,
        )


@dataclass(slots=True, kw_only=True)
class ConfigReceiver:
    """Applies received deltas, after reassembly of those in parts.

    Attributes:
        node_id: This process.
        config: Configuration that deltas are applied to.
        service_id: The only service to request; None requests all.
        partial: Incomplete delta of each partner.
    """

    node_id: NodeId
    config: ConfigStore
    service_id: ServiceId | None = None
    partial: dict[PartnerId, _Partial] = field(default_factory=dict)

    def request(self, partner_id: PartnerId, peer: NodeId) -> Envelope:
        """Returns a message that requests entries newer than those here."""
        message = DeltaRequest(
            partner_id=partner_id,
            base=self.config.generation(partner_id),
            service_id=self.service_id,
        )
        return Envelope(self.node_id, peer, message)

    def apply_delta(
        self, sender: NodeId, delta: ConfigDelta, *, now: float
    ) -> tuple[bool, list[Envelope]]:
        """Applies a delta, or stores a part of one until all have arrived.

        Returns:
            Whether a delta was applied, and a request with this process's
            generation as the base if the base of the delta is newer.
        """
        current = self.config.generation(delta.partner_id)
        if delta.generation <= current:
            return False, []
        if delta.base > current:
            return False, [self.request(delta.partner_id, sender)]
        whole = self._assemble(delta)
        if whole is None or not self.config.apply(whole, now=now):
            return False, []
        self.partial.pop(delta.partner_id, None)
        return True, []

    def _assemble(self, delta: ConfigDelta) -> ConfigDelta | None:
        """Returns the complete delta; None while parts are missing.

        A part of another delta replaces an incomplete one, unless its
        generation is older.
        """
        if delta.parts == 1:
            return delta
        partial = self.partial.get(delta.partner_id)
        if partial is None or not partial.matches(delta):
            if partial is not None and partial.generation > delta.generation:
                return None
            partial = _Partial(delta.base, delta.generation, delta.parts)
            self.partial[delta.partner_id] = partial
        partial.received[delta.part] = delta
        if len(partial.received) < delta.parts:
            return None
        entries = [
            entry
            for index in sorted(partial.received)
            for entry in partial.received[index].services
        ]
        return msgspec.structs.replace(delta, services=tuple(entries), part=0, parts=1)
