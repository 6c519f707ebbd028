"""Simulated callers of one TCP service, which download documents."""

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
from bramleydyke.standins.documents import Download, document_content
from bramleydyke.types import ServiceId

SIZE_BYTES = 480_000
"""Length of a document in bytes: more than one stream window."""

CHUNK_PAUSE_S = 0.05
"""Seconds between chunks; a download takes about 1.5 s."""


MAX_ATTEMPTS = 4
"""Maximum number of connections for one download, as for HTTP requests."""


@dataclass(slots=True, kw_only=True)
class TcpTraffic:
    """Downloads documents from one service as a Poisson process.

    A balancer refuses a connection by a reset before the first byte. Such a
    download is tried again; it counts as broken if all attempts are refused.

    Attributes:
        address: Endpoint of the service.
        rate: Mean number of new downloads per second.
        used_killed_balancer: Returns whether the connection from a caller
            port went through a killed balancer.
        counts: ``flows``, the flows by result, and ``refused_connections``.
        errors: Number of broken flows by cause.
        open_downloads: Number of downloads in progress.
    """

    environment: Environment
    service_id: ServiceId
    address: str
    rate: float
    random_source: random.Random
    used_killed_balancer: Callable[[int], bool]
    counts: Counter[str] = field(default_factory=Counter)
    errors: Counter[str] = field(default_factory=Counter)
    open_downloads: int = 0
    stopped: bool = False

    def start(self) -> None:
        """Starts downloading."""
        self._schedule_next()

    def stop(self) -> None:
        """Starts no new download; downloads in progress continue."""
        self.stopped = True

    def ended(self) -> bool:
        """Returns whether traffic has stopped and all downloads have ended."""
        return self.stopped and self.open_downloads == 0

    def download_ended(
        self, download: Download, data: bytes, port: int | None, *, attempt: int
    ) -> None:
        """Counts the result of a connection, or tries the download again.

        Args:
            download: The requested download.
            data: Bytes received before the connection ended.
            port: The caller's port, or None if it could not connect.
            attempt: Number of this connection for the download, from 1.
        """
        expected = document_content(download)
        if data == expected:
            self.counts["downloads"] += 1
        elif not expected.startswith(data):
            self.counts["wrong_answer"] += 1
        elif port is not None and self.used_killed_balancer(port):
            self.counts["flows_lost_with_balancer"] += 1
        elif not data and attempt < MAX_ATTEMPTS:
            self.counts["refused_connections"] += 1
            pause = self.random_source.uniform(0.1, 0.5)
            self.environment.clock.callLater(
                pause, self._connect, download, attempt + 1
            )
            return
        else:
            self.errors["download broken" if data else "download refused"] += 1
            self.counts["broken_flows"] += 1
        self.open_downloads -= 1

    def _schedule_next(self) -> None:
        delay = self.random_source.expovariate(self.rate)
        self.environment.clock.callLater(delay, self._new_download)

    def _new_download(self) -> None:
        if self.stopped:
            return
        self._schedule_next()
        self.counts["flows"] += 1
        self.open_downloads += 1
        name = str(self.counts["flows"])
        download = Download(self.service_id, name, SIZE_BYTES, CHUNK_PAUSE_S)
        self._connect(download, 1)

    def _connect(self, download: Download, attempt: int) -> None:
        address = parse_endpoint(self.address)
        assert address is not None, self.address
        factory = _DownloadFactory(self, download, attempt)
        self.environment.reactor.connectTCP(*address, factory)


class _DownloadFactory(ClientFactory):
    noisy = False

    def __init__(self, traffic: TcpTraffic, download: Download, attempt: int) -> None:
        self.traffic = traffic
        self.download = download
        self.attempt = attempt

    def download_ended(self, data: bytes, port: int | None) -> None:
        """Reports the received bytes to the traffic."""
        self.traffic.download_ended(self.download, data, port, attempt=self.attempt)

    def buildProtocol(self, _: object) -> Protocol:  # noqa: N802
        return _DownloadProtocol(self)

    def clientConnectionFailed(  # noqa: N802 - name given by twisted
        self, connector: object, reason: Failure
    ) -> None:
        self.download_ended(b"", None)


class _DownloadProtocol(Protocol):
    def __init__(self, factory: _DownloadFactory) -> None:
        self.factory = factory
        self.data = bytearray()
        self.port = 0

    def connectionMade(self) -> None:  # noqa: N802
        self.port = self.transport.getHost().port
        self.transport.write(msgspec.json.encode(self.factory.download) + b"\n")

    def dataReceived(self, data: bytes) -> None:  # noqa: N802
        self.data += data

    def connectionLost(  # noqa: N802 - name given by twisted
        self, reason: Failure = connectionDone
    ) -> None:
        self.factory.download_ended(bytes(self.data), self.port)
