"""Stand-ins for upstreams, callers and the routers in front of the balancers.

They exchange flows of packets through the balancers and agents under test.
"""

from __future__ import annotations

import itertools
import json
import socket
import struct
import zlib
from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Any

from bramleydyke.adapters.http_client import HttpClient
from bramleydyke.adapters.raw_datagrams import RawDatagrams
from bramleydyke.endpoints import parse_endpoint
from bramleydyke.platform.packets import ACK, BOUNCED, FIN, HEADER_BYTES, RST, SYN
from bramleydyke.ports import Clock

# echo, dport, src, sport, dst, seq, ack, flags, pad, len, sum
_HEADER = struct.Struct(">IH4sH4sIIB5sHI")
_SEQUENCE_MASK = 0xFFFF_FFFF

SYN_COPY_DELAYS_S = (0.0, 0.2, 0.6)
"""Seconds after the start of a flow at which its SYN is sent and repeated."""

OPEN_TIMEOUT_S = 1.4
"""Seconds without an answer to the SYN after which a flow is not opened."""

RETRANSMIT_DELAYS_S = (0.2, 0.4, 0.8, 1.6)
"""Seconds before each retransmission of a request without an answer."""

MAX_RESET_DISTANCE = 76_800
"""Bytes between a reset's sequence number and the last acknowledged one."""

CHECK_INTERVAL_S = 0.5
"""Interval and timeout in seconds of the routers' readiness checks."""

MAX_FAILED_CHECKS = 2
"""Failed checks in a row after which a balancer gets no more packets."""

Address = tuple[str, int]
"""IP number and port of one end of a flow."""


@dataclass(frozen=True, slots=True)
class Segment:
    """One packet of a flow, decoded."""

    source: Address
    target: Address
    flags: int = 0
    sequence: int = 0
    acknowledged: int = 0
    payload: bytes = b""

    def checksum(self) -> int:
        """Returns a checksum of all fields but the ``BOUNCED`` flag.

        Only the stand-ins compute it, to detect that a program changed a
        packet while forwarding it. The flag is left out because an upstream
        sets it when it returns a packet.
        """
        fields = (self.source, self.target, self.flags & ~BOUNCED)
        contents = (self.sequence, self.acknowledged, self.payload)
        return zlib.crc32(repr((fields, contents)).encode())

    def encode(self) -> bytes:
        """Returns the packet as a datagram."""
        header = _HEADER.pack(
            0,
            self.target[1],
            socket.inet_aton(self.source[0]),
            self.source[1],
            socket.inet_aton(self.target[0]),
            self.sequence,
            self.acknowledged,
            self.flags,
            bytes(5),
            len(self.payload),
            self.checksum(),
        )
        return header + self.payload


def decode(datagram: bytes) -> tuple[Segment, bool]:
    """Returns the packet of a datagram and whether its checksum is right."""
    fields = _HEADER.unpack_from(datagram)
    _, dport, src, sport, dst, sequence, acknowledged, flags, _, _, sent_checksum = (
        fields
    )
    segment = Segment(
        (socket.inet_ntoa(src), sport),
        (socket.inet_ntoa(dst), dport),
        flags,
        sequence,
        acknowledged,
        datagram[HEADER_BYTES:],
    )
    return segment, sent_checksum == segment.checksum()


@dataclass(slots=True, kw_only=True)
class UpstreamStandIn:
    """An upstream that answers requests and reports its state to its agent.

    Attributes:
        name: Name of this instance in its reports.
        endpoint: Where it receives packets from the agent.
        outbound: Endpoint of the agent that takes its outgoing packets.
        control: Endpoint of the agent that takes its reports.
        born: Start of this instance in milliseconds since 1970.
        report_s: Interval between two reports in seconds.
        acknowledged_drain: True once the agent has acknowledged its drain.
        last_opening_at: When it last received an opening packet, in seconds.
        sequence: Number of the last report.
        half_open: Initial sequence number sent to each flow whose opening is
            not complete.
        open: Flows that are open.
        answered_requests: Number of times that each request was answered, by
            payload.
        corrupted_packets: Number of packets with a wrong checksum.
    """

    reactor: Any
    clock: Clock
    name: str
    service: str
    zone: str
    endpoint: str
    outbound: str
    control: str
    born: int
    report_s: float = 0.2
    slots: int = 2
    draining: bool = False
    alive: bool = True
    acknowledged_drain: bool = False
    last_opening_at: float = 0.0
    sequence: int = 0
    half_open: dict[tuple[Address, Address], int] = field(default_factory=dict)
    open: set[tuple[Address, Address]] = field(default_factory=set)
    answered_requests: Counter[bytes] = field(default_factory=Counter)
    corrupted_packets: int = 0
    sockets: Any = None
    calls: Any = None

    def start(self) -> None:
        """Starts serving and reporting."""
        self.sockets = RawDatagrams(
            reactor=self.reactor,
            endpoint=self.endpoint,
            receive=self._receive,
            count=lambda _: None,
            on_batch_read=lambda: None,
        )
        self.sockets.start()
        self.calls = HttpClient(
            reactor=self.reactor, clock=self.clock, content_type="application/json"
        )
        self._report()

    def stop(self) -> None:
        """Stops at once and without notice, as a crash does."""
        self.alive = False
        self.sockets.close()
        self.calls.close()

    def deregister(self) -> None:
        """Withdraws its report from the agent, then stops."""
        self.calls.request(
            "DELETE",
            self.control,
            f"/instances/{self.name}",
            timeout_s=1.0,
            on_response=lambda status, body: self.stop(),
        )

    def _report(self) -> None:
        if not self.alive:
            return
        self.sequence += 1
        report = {
            "service": self.service,
            "address": self.endpoint,
            "zone": self.zone,
            "version": "v1",
            "slots": self.slots,
            "state": "draining" if self.draining else "ready",
            "cold_remaining_ms": 0,
            "sequence": self.sequence,
            "born": self.born,
        }
        draining = self.draining

        def done(status: int | None, body: bytes) -> None:
            if status == 200 and draining:
                self.acknowledged_drain = True

        self.calls.request(
            "PUT",
            self.control,
            f"/instances/{self.name}",
            timeout_s=1.0,
            on_response=done,
            body=json.dumps(report).encode(),
        )
        self.clock.callLater(self.report_s, self._report)

    def initial_sequence(self, flow: tuple[Address, Address]) -> int:
        """Returns the initial sequence number that it sends to a flow.

        It differs from that of other upstreams. If two of them accept a flow,
        the caller's acknowledgement shows which one it continues with.
        """
        return zlib.crc32(repr((self.name, flow)).encode()) >> 1

    def _receive(self, datagram: bytes, sender: str) -> None:
        segment, intact = decode(datagram)
        self.corrupted_packets += not intact
        flow = (segment.source, segment.target)
        if segment.flags & SYN:
            self.last_opening_at = self.clock.seconds()
            initial = self.half_open.setdefault(flow, self.initial_sequence(flow))
            self._reply(segment, SYN | ACK, sequence=initial)
            return
        if self.half_open.get(flow) == segment.acknowledged - 1 & _SEQUENCE_MASK:
            del self.half_open[flow]
            self.open.add(flow)
        # A packet of an unknown flow is returned with the BOUNCED flag.
        if flow not in self.open:
            self._send(
                datagram[:24] + bytes((segment.flags | BOUNCED,)) + datagram[25:]
            )
        elif segment.flags & FIN:
            self._reply(segment, ACK | FIN)
            self.open.discard(flow)
        elif segment.payload:
            self.answered_requests[segment.payload] += 1
            text = f"{self.service} {segment.payload.decode()}"
            self._reply(segment, ACK, payload=text.encode())

    def _reply(self, segment: Segment, flags: int, **fields: Any) -> None:
        answer = Segment(segment.target, segment.source, flags, **fields)
        self._send(answer.encode())

    def _send(self, datagram: bytes) -> None:
        host, port = parse_endpoint(self.outbound) or ("", 0)
        self.sockets.send(datagram, host, port)


@dataclass(slots=True, kw_only=True)
class Routers:
    """Sends callers' packets to the balancers that pass readiness checks.

    Attributes:
        packet_port: Port on which balancers receive packets.
        ready_port: Port on which balancers answer readiness checks.
        failed_checks: Failed readiness checks in a row of each balancer.
    """

    reactor: Any
    clock: Clock
    packet_port: int
    ready_port: int
    failed_checks: dict[str, int] = field(default_factory=dict)
    calls: Any = None

    def start(self) -> None:
        """Starts checking the readiness of the balancers."""
        self.calls = HttpClient(
            reactor=self.reactor, clock=self.clock, content_type="application/json"
        )
        self._check_readiness()

    def add(self, node: str) -> None:
        """Adds a balancer as not ready until a readiness check succeeds."""
        self.failed_checks[node] = MAX_FAILED_CHECKS

    def choose_balancer(self, datagram: bytes) -> str | None:
        """Returns the balancer for a packet, by a hash of its flow.

        If no balancer is ready, all of them are candidates.
        """
        nodes = [
            node
            for node, failed_checks in self.failed_checks.items()
            if failed_checks < MAX_FAILED_CHECKS
        ]
        nodes = nodes or list(self.failed_checks)
        flow = datagram[4:16]
        return nodes[zlib.crc32(flow) % len(nodes)] if nodes else None

    def _check_readiness(self) -> None:
        self.clock.callLater(CHECK_INTERVAL_S, self._check_readiness)
        for node in self.failed_checks:

            def done(status: int | None, body: bytes, node: str = node) -> None:
                if node in self.failed_checks:
                    ready = status == 200
                    self.failed_checks[node] = (
                        0 if ready else self.failed_checks[node] + 1
                    )

            self.calls.request(
                "GET",
                f"{node}:{self.ready_port}",
                "/readiness",
                timeout_s=CHECK_INTERVAL_S,
                on_response=done,
            )


@dataclass(slots=True, kw_only=True)
class CallerFlow:
    """One flow that a caller opens to a route.

    Attributes:
        source: The caller's address.
        target: The route's address.
        sequence: Initial sequence number of the caller.
        peer_sequence: Initial sequence number of the upstream.
        state: ``opening``, ``open``, ``reset`` or ``not opened``.
        answers: Payload of the answer to each request.
        opened: Called once the flow is open.
    """

    caller: Callers
    source: Address
    target: Address
    sequence: int
    peer_sequence: int = 0
    state: str = "opening"
    answers: dict[bytes, bytes] = field(default_factory=dict)
    opened: Callable[[], None] = lambda: None

    def start(self) -> None:
        """Sends the SYN and schedules its copies."""
        for copy, after in enumerate(SYN_COPY_DELAYS_S):
            self.caller.clock.callLater(after, self._send_syn, copy)
        self.caller.clock.callLater(OPEN_TIMEOUT_S, self._give_up)

    def request(self, text: bytes) -> None:
        """Sends a request and retransmits it until it is answered."""
        self._send_request(text, 0)

    def finish(self) -> None:
        """Sends a FIN: no more requests follow."""
        self._send(FIN | ACK)

    def received(self, segment: Segment) -> None:
        """Processes a packet that arrived for this flow.

        An open flow ignores a reset whose sequence number is not within
        ``MAX_RESET_DISTANCE`` of the last acknowledged one.
        """
        if segment.flags & RST:
            distance = (segment.sequence - self.peer_sequence - 1) & _SEQUENCE_MASK
            distance = min(distance, _SEQUENCE_MASK + 1 - distance)
            if self.state != "open" or distance <= MAX_RESET_DISTANCE:
                self.state = "reset"
        elif segment.flags & SYN and self.state == "opening":
            self.state = "open"
            self.peer_sequence = segment.sequence
            self.opened()
        elif segment.payload:
            text = segment.payload.partition(b" ")[2]
            self.answers[text] = segment.payload

    def _send_syn(self, copy: int) -> None:
        if self.state == "opening":
            # In a SYN the acknowledgement field counts the copies sent before.
            packet = Segment(self.source, self.target, SYN, self.sequence, copy)
            self.caller.send(packet)

    def _give_up(self) -> None:
        if self.state == "opening":
            self.state = "not opened"

    def _send_request(self, text: bytes, attempt: int) -> None:
        if self.state != "open" or text in self.answers:
            return
        self._send(ACK, payload=text)
        if attempt < len(RETRANSMIT_DELAYS_S):
            after = RETRANSMIT_DELAYS_S[attempt]
            self.caller.clock.callLater(after, self._send_request, text, attempt + 1)

    def _send(self, flags: int, *, payload: bytes = b"") -> None:
        self.caller.send(
            Segment(
                self.source,
                self.target,
                flags,
                self.sequence + 1,
                self.peer_sequence + 1,
                payload,
            )
        )


@dataclass(slots=True, kw_only=True)
class Callers:
    """A VM of callers, with one socket for all their flows.

    Attributes:
        ports: Ports of the flows to be opened.
        flows: Flows by caller port.
        corrupted_packets: Number of packets with a wrong checksum. Resets do
            not count: the balancers create them without the stand-ins'
            checksum.
    """

    reactor: Any
    clock: Clock
    ip: str
    routers: Routers
    ports: Any = field(default_factory=lambda: itertools.count(20_000))
    flows: dict[int, CallerFlow] = field(default_factory=dict)
    corrupted_packets: int = 0
    socket: Any = None

    def start(self) -> None:
        """Opens the socket and starts receiving."""
        self.socket = RawDatagrams(
            reactor=self.reactor,
            endpoint=f"{self.ip}:{self.routers.packet_port}",
            receive=self._receive,
            count=lambda _: None,
            on_batch_read=lambda: None,
        )
        self.socket.start()

    def open(self, target: Address) -> CallerFlow:
        """Opens a flow from the next port to a route's address."""
        port = next(self.ports)
        flow = CallerFlow(
            caller=self, source=(self.ip, port), target=target, sequence=port * 1_000
        )
        self.flows[port] = flow
        flow.start()
        return flow

    def send(self, segment: Segment) -> None:
        """Sends a packet to the balancer that the routers choose."""
        datagram = segment.encode()
        node = self.routers.choose_balancer(datagram)
        if node is not None:
            self.socket.send(datagram, node, self.routers.packet_port)

    def _receive(self, datagram: bytes, sender: str) -> None:
        segment, intact = decode(datagram)
        if not intact and not segment.flags & RST:
            self.corrupted_packets += 1
        flow = self.flows.get(segment.target[1])
        if flow is not None and segment.source == flow.target:
            flow.received(segment)
