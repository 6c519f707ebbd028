"""Codec of the platform's packets: datagrams with a 36-byte header."""

from __future__ import annotations

import struct

from bramleydyke.direct.types import FlowTuple, Packet, RouteAddress

HEADER_BYTES = 36
"""Length of the header."""

MAX_PAYLOAD_BYTES = 1_200
"""Longest payload that the platform allows."""

# echo, dport, src, sport, dst, seq, ack, flags, pad, len, sum
_HEADER = struct.Struct(">4s2s4s2s4sIIB5sHI")

SYN = 64
ACK = 1
FIN = 32
RST = 8
BOUNCED = 16
"""Flag of a packet that an upstream returned instead of accepting it."""

_NO_ECHO = bytes(4)
_NO_PAD = bytes(5)
_FLAGS_OFFSET = 24
_LENGTH_OFFSET = 30


def _decode(datagram: bytes, *, from_upstream: bool) -> Packet | None:
    if len(datagram) < HEADER_BYTES:
        return None
    _, dport, src, sport, dst, seq, ack, flags, _, length, _ = _HEADER.unpack_from(
        datagram
    )
    if length > MAX_PAYLOAD_BYTES or len(datagram) != HEADER_BYTES + length:
        return None
    bounced = bool(flags & BOUNCED)
    # A packet that an upstream returned still has the caller as source.
    if from_upstream and not bounced:
        caller, route = dst + dport, src + sport
    else:
        caller, route = src + sport, dst + dport
    syn = bool(flags & SYN)
    acknowledges = bool(flags & ACK)
    opening = syn and not acknowledges
    return Packet(
        flow=FlowTuple(caller + route),
        route=RouteAddress(route),
        opening=opening,
        accepting=syn and acknowledges,
        bounced=bounced,
        reset=bool(flags & RST),
        finish=bool(flags & FIN),
        # On an opening packet this field holds the number of the
        # retransmission; 0 is the original.
        copies=ack if opening else 0,
        sequence=seq,
        acknowledged=ack,
        payload_bytes=length,
        datagram=datagram,
    )


class PlatformPackets:
    """Stateless ``PacketCodec`` for the platform's packets."""

    def from_caller(self, datagram: bytes) -> Packet | None:
        """Decodes a caller's packet; returns None if its length is wrong."""
        return _decode(datagram, from_upstream=False)

    def from_upstream(self, datagram: bytes) -> Packet | None:
        """Decodes a packet that an upstream sent or returned.

        Returns None if the packet's length is wrong.
        """
        return _decode(datagram, from_upstream=True)

    def packet_for_upstream(self, packet: Packet) -> bytes:
        """Returns a caller's packet in the form that upstreams accept.

        If the packet was returned or its echo field is set, the echo and
        padding fields and the ``BOUNCED`` flag are cleared: the system may
        have written them.
        """
        datagram = packet.datagram
        if not packet.bounced and datagram[:4] == _NO_ECHO:
            return datagram
        flags = datagram[_FLAGS_OFFSET] & ~BOUNCED
        middle = datagram[4:_FLAGS_OFFSET] + bytes((flags,)) + _NO_PAD
        return _NO_ECHO + middle + datagram[_LENGTH_OFFSET:]

    def reset_for(self, packet: Packet) -> bytes:
        """Returns a reset to the caller, with the route as its source."""
        caller, port = packet.flow[:4], packet.flow[4:6]
        # Callers ignore a reset whose sequence number is not close to their
        # latest acknowledgement number.
        sequence = 0 if packet.opening else packet.acknowledged
        return _HEADER.pack(
            _NO_ECHO,
            port,
            packet.route[:4],
            packet.route[4:6],
            caller,
            sequence,
            0,
            RST,
            _NO_PAD,
            0,
            0,
        )
