"""Callers of one TCP service, which download documents."""

from __future__ import annotations

import random
from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass, field

import msgspec
from twisted.internet.protocol import ClientFactory, Protocol, connectionDone
from twisted.python.failure import Failure

from bramleydyke.daemons.environment import Environment
from bramleydyke.endpoints import parse_endpoint
from bramleydyke.standins.documents import Download, document
from bramleydyke.types import ServiceId

SIZE_BYTES = 480_000
"""Length of a document: more than one stream window."""

PAUSE_S = 0.05
"""Pause after each piece, so that a download takes about 1.5 s."""


MAX_TRIES = 4
"""Tries of a download that is refused, as of a request that is not run."""


@dataclass(slots=True, kw_only=True)
class TcpTraffic:
    """Poisson arrivals of downloads from one service.

    A balancer refuses a connection by a reset before the first byte. Such a
    download is tried again; it counts as broken if it is refused each time.

    Attributes:
        rate: Downloads a second.
        lost: Tells whether a caller port's balancer was killed.
        counts: ``flows``, how they ended, and ``refused_connections``.
        errors: Breaks by where they came from.
    """

    environment: Environment
    service_id: ServiceId
    address: str
    rate: float
    random_source: random.Random
    lost: Callable[[int], bool]
    counts: Counter[str] = field(default_factory=Counter)
    errors: Counter[str] = field(default_factory=Counter)
    open: int = 0
    stopped: bool = False

    def start(self) -> None:
        """Starts to download."""
        self._schedule()

    def stop(self) -> None:
        """Starts no new download; what is open goes on."""
        self.stopped = True

    def ended(self) -> bool:
        """Tells whether no download is open."""
        return self.stopped and self.open == 0

    def finished(
        self, download: Download, data: bytes, port: int | None, *, tries: int
    ) -> None:
        """Judges a download.

        Args:
            download: What was asked for.
            data: What came until the connection ended.
            port: The caller's port, or None if it could not connect.
            tries: How often it was asked for.
        """
        whole = document(download)
        if data == whole:
            self.counts["downloads"] += 1
        elif not whole.startswith(data):
            self.counts["wrong_answer"] += 1
        elif port is not None and self.lost(port):
            self.counts["flows_lost_with_balancer"] += 1
        elif not data and tries < MAX_TRIES:
            self.counts["refused_connections"] += 1
            pause = self.random_source.uniform(0.1, 0.5)
            self.environment.clock.callLater(pause, self._try, download, tries + 1)
            return
        else:
            self.errors["download broken" if data else "download refused"] += 1
            self.counts["broken_flows"] += 1
        self.open -= 1

    def _schedule(self) -> None:
        delay = self.random_source.expovariate(self.rate)
        self.environment.clock.callLater(delay, self._arrive)

    def _arrive(self) -> None:
        if self.stopped:
            return
        self._schedule()
        self.counts["flows"] += 1
        self.open += 1
        name = str(self.counts["flows"])
        download = Download(self.service_id, name, SIZE_BYTES, PAUSE_S)
        self._try(download, 1)

    def _try(self, download: Download, tries: int) -> None:
        address = parse_endpoint(self.address)
        assert address is not None, self.address
        caller = _Caller(self, download, tries)
        self.environment.reactor.connectTCP(*address, caller)


class _Caller(ClientFactory):
    noisy = False

    def __init__(self, traffic: TcpTraffic, download: Download, tries: int) -> None:
        self.traffic = traffic
        self.download = download
        self.tries = tries

    def finished(self, data: bytes, port: int | None) -> None:
        """Hands what came to the traffic."""
        self.traffic.finished(self.download, data, port, tries=self.tries)

    def buildProtocol(self, _: object) -> Protocol:  # noqa: N802
        return _Reader(self)

    def clientConnectionFailed(  # noqa: N802 - name given by twisted
        self, connector: object, reason: Failure
    ) -> None:
        self.finished(b"", None)


class _Reader(Protocol):
    def __init__(self, caller: _Caller) -> None:
        self.caller = caller
        self.data = bytearray()
        self.port = 0

    def connectionMade(self) -> None:  # noqa: N802
        self.port = self.transport.getHost().port
        self.transport.write(msgspec.json.encode(self.caller.download) + b"\n")

    def dataReceived(self, data: bytes) -> None:  # noqa: N802
        self.data += data

    def connectionLost(  # noqa: N802 - name given by twisted
        self, reason: Failure = connectionDone
    ) -> None:
        self.caller.finished(bytes(self.data), self.port)
