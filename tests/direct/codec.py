"""Packet format of the tests: msgpack in place of the platform's headers."""

from __future__ import annotations

import msgspec

from bramleydyke.direct.types import FlowTuple, Packet, RouteAddress


class Wire(msgspec.Struct, frozen=True, kw_only=True):
    """Fields of a packet as encoded in a datagram."""

    flow: bytes
    opening: bool = False
    accepting: bool = False
    bounced: bool = False
    reset: bool = False
    finish: bool = False
    copies: int = 0
    sequence: int = 0
    acknowledged: int = 0
    payload: bytes = b""


def pack(**fields: object) -> bytes:
    return msgspec.msgpack.encode(Wire(**fields))


def unpack(datagram: bytes) -> Wire:
    return msgspec.msgpack.decode(datagram, type=Wire)


def flow_tuple(number: int, *, route: bytes = b"rrrrpp") -> FlowTuple:
    return FlowTuple(number.to_bytes(6, "big") + route)


class TestCodec:
    """``PacketCodec`` for the test format."""

    __test__ = False  # Keeps pytest from collecting the class.

    def from_caller(self, datagram: bytes) -> Packet | None:
        try:
            wire = unpack(datagram)
        except msgspec.MsgspecError:
            return None
        return Packet(
            flow=FlowTuple(wire.flow),
            route=RouteAddress(wire.flow[6:]),
            opening=wire.opening,
            accepting=wire.accepting,
            bounced=wire.bounced,
            reset=wire.reset,
            finish=wire.finish,
            copies=wire.copies,
            sequence=wire.sequence,
            acknowledged=wire.acknowledged,
            payload_bytes=len(wire.payload),
            datagram=datagram,
        )

    from_upstream = from_caller

    def reset_for(self, packet: Packet) -> bytes:
        return pack(flow=packet.flow, reset=True, sequence=packet.acknowledged)

    def packet_for_upstream(self, packet: Packet) -> bytes:
        wire = unpack(packet.datagram)
        return pack(**{**msgspec.structs.asdict(wire), "bounced": False})
