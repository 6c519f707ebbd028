"""Tests of decoding and encoding the platform's packets."""

from __future__ import annotations

import struct

from hypothesis import given, strategies as st

from bramleydyke.platform.packets import (
    ACK,
    BOUNCED,
    FIN,
    HEADER_BYTES,
    RST,
    SYN,
    PlatformPackets,
)

CALLER = bytes((100, 64, 3, 9)) + (40_123).to_bytes(2, "big")
ROUTE = bytes((198, 18, 5, 2)) + (8_443).to_bytes(2, "big")
CODEC = PlatformPackets()


def packet_bytes(
    *,
    source: bytes = CALLER,
    target: bytes = ROUTE,
    flags: int = 0,
    sequence: int = 0,
    acknowledged: int = 0,
    payload: bytes = b"",
    echo: bytes = bytes(4),
    pad: bytes = bytes(5),
) -> bytes:
    fields = (
        echo,
        target[4:],
        source[:4],
        source[4:],
        target[:4],
        sequence.to_bytes(4, "big"),
        acknowledged.to_bytes(4, "big"),
        bytes((flags,)),
        pad,
        len(payload).to_bytes(2, "big"),
        b"\xa1\xb2\xc3\xd4",
    )
    return b"".join(fields) + payload


def test_reads_an_opening_packet_and_the_number_of_its_copy():
    packet = CODEC.from_caller(packet_bytes(flags=SYN, sequence=7, acknowledged=2))
    assert packet is not None
    assert packet.opening and not packet.accepting
    assert packet.copies == 2
    assert packet.flow == CALLER + ROUTE
    assert packet.route == ROUTE


def test_reads_an_upstreams_answer_with_the_caller_first():
    datagram = packet_bytes(
        source=ROUTE, target=CALLER, flags=SYN | ACK, sequence=99, payload=b""
    )
    packet = CODEC.from_upstream(datagram)
    assert packet is not None
    assert packet.accepting and not packet.opening
    assert packet.flow == CALLER + ROUTE
    assert packet.sequence == 99


def test_a_packet_that_an_upstream_returned_keeps_its_flow():
    packet = CODEC.from_upstream(packet_bytes(flags=ACK | BOUNCED, payload=b"abc"))
    assert packet is not None
    assert packet.bounced
    assert packet.flow == CALLER + ROUTE


def test_delivers_a_packet_without_the_fields_that_the_system_wrote():
    sent = packet_bytes(flags=ACK | FIN, payload=b"abc")
    marked = packet_bytes(
        flags=ACK | FIN | BOUNCED, payload=b"abc", echo=b"mark", pad=b"marks"
    )
    packet = CODEC.from_caller(marked)
    assert packet is not None
    assert CODEC.packet_for_upstream(packet) == sent
    plain = CODEC.from_caller(sent)
    assert plain is not None
    assert CODEC.packet_for_upstream(plain) == sent


def test_a_reset_comes_from_the_route_and_is_close_to_the_acknowledgement():
    packet = CODEC.from_caller(packet_bytes(flags=ACK, acknowledged=123_456))
    assert packet is not None
    reset = CODEC.reset_for(packet)
    assert len(reset) == HEADER_BYTES
    assert reset[4:6] == CALLER[4:]
    assert reset[6:12] == ROUTE
    assert reset[12:16] == CALLER[:4]
    assert struct.unpack(">I", reset[16:20]) == (123_456,)
    assert reset[24] == RST
    assert reset[25:] == bytes(11)


def test_a_reset_of_an_opening_is_ignored_by_a_caller_whose_flow_is_open():
    """Guards against a reset of a flow that opened by way of another balancer.

    The number of the copy stands in the field of the acknowledgement; an open
    flow takes only resets near its last acknowledgement.
    """
    packet = CODEC.from_caller(packet_bytes(flags=SYN, acknowledged=2))
    assert packet is not None and packet.copies == 2
    assert struct.unpack(">I", CODEC.reset_for(packet)[16:20]) == (0,)


def test_wrong_lengths_are_refused():
    good = packet_bytes(payload=b"abcdef")
    assert CODEC.from_caller(good) is not None
    assert CODEC.from_caller(good[:-1]) is None
    assert CODEC.from_caller(good + b"x") is None
    assert CODEC.from_caller(good[:20]) is None
    assert CODEC.from_caller(b"") is None
    assert CODEC.from_caller(packet_bytes(payload=bytes(1_201))) is None
    assert CODEC.from_caller(packet_bytes(payload=bytes(1_200))) is not None


@given(st.binary(max_size=1_500))
def test_any_bytes_are_read_or_refused(datagram):
    for read in (CODEC.from_caller, CODEC.from_upstream):
        packet = read(datagram)
        if packet is not None:
            assert len(CODEC.packet_for_upstream(packet)) == len(datagram)
            assert len(CODEC.reset_for(packet)) == HEADER_BYTES
