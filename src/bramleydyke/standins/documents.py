"""A TCP upstream that serves documents.

A document's content follows from its service, name and size, so that a caller
can check every byte.
"""

from __future__ import annotations

import random
from typing import Any

import msgspec
from twisted.internet.protocol import Factory, connectionDone
from twisted.protocols.basic import LineOnlyReceiver
from twisted.python.failure import Failure

from bramleydyke.endpoints import parse_endpoint
from bramleydyke.ports import Clock, DelayedCall
from bramleydyke.standins.work_counts import WorkCounts
from bramleydyke.types import ServiceId

CHUNK_BYTES = 16 * 1024
"""Bytes of a document sent at a time when a download asks for pauses."""


class Download(msgspec.Struct, frozen=True):
    """A caller's request, sent as one line of JSON."""

    service: ServiceId
    """Service that the caller addressed.

    The upstream compares it with its own service.
    """

    name: str
    size: int
    """Length of the document in bytes."""

    pause_s: float = 0.0
    """Pause after each chunk in seconds; 0 sends the document at once."""


def document_content(download: Download) -> bytes:
    """Returns the content of a document, the same for each call."""
    return random.Random(f"{download.service}/{download.name}").randbytes(download.size)


class DocumentServer:
    """TCP server of one document upstream.

    Attributes:
        open_connections: Number of open connections.
    """

    def __init__(
        self,
        *,
        service_id: ServiceId,
        work_counts: WorkCounts,
        clock: Clock,
        reactor: Any,
        listen: str,
    ) -> None:
        self.service_id = service_id
        self.work_counts = work_counts
        self.clock = clock
        self.open_connections = 0
        address = parse_endpoint(listen)
        assert address is not None, listen
        factory = Factory.forProtocol(lambda: _DownloadConnection(self))
        factory.noisy = False
        self.port = reactor.listenTCP(address[1], factory, interface=address[0])

    def stop(self) -> None:
        """Stops listening; open connections continue."""
        self.port.stopListening()


class _DownloadConnection(LineOnlyReceiver):
    delimiter = b"\n"

    def __init__(self, server: DocumentServer) -> None:
        self.server = server
        self.unsent = b""
        self.timer: DelayedCall | None = None

    def connectionMade(self) -> None:  # noqa: N802 - name given by twisted
        self.server.open_connections += 1

    def lineReceived(self, line: bytes) -> None:  # noqa: N802 - as above
        """Starts sending the requested document; aborts on invalid JSON."""
        try:
            download = msgspec.json.decode(line, type=Download)
        except msgspec.DecodeError:
            self.server.work_counts.unrecognised += 1
            self.transport.abortConnection()
            return
        server = self.server
        server.work_counts.check_service(download.service, service_id=server.service_id)
        # Uses the server's own service, so that the caller gets wrong content
        # if its connection reached another service.
        served = msgspec.structs.replace(download, service=server.service_id)
        self.unsent = document_content(served)
        self._send_next_chunk(download.pause_s)

    def connectionLost(  # noqa: N802 - name given by twisted
        self, reason: Failure = connectionDone
    ) -> None:
        self.server.open_connections -= 1
        if self.timer is not None and self.timer.active():
            self.timer.cancel()

    def _send_next_chunk(self, pause_s: float) -> None:
        size = CHUNK_BYTES if pause_s else len(self.unsent)
        self.transport.write(self.unsent[:size])
        self.unsent = self.unsent[size:]
        if self.unsent:
            self.timer = self.server.clock.callLater(
                pause_s, self._send_next_chunk, pause_s
            )
        else:
            self.transport.loseConnection()
