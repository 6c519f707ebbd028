"""What balancers and agents of the direct mode have in common."""

from __future__ import annotations

import random
import signal
import socket
import time
from collections.abc import Callable
from pathlib import Path
from typing import Any, Protocol

import msgspec

from bramleydyke.adapters.clock import MonotonicClock
from bramleydyke.adapters.early_sockets import EarlySockets
from bramleydyke.adapters.event_log import EventLog, LineWriter
from bramleydyke.adapters.http_server import (
    Handler,
    HttpListener,
    HttpReply,
    LaterReply,
    listen_http,
)
from bramleydyke.adapters.metrics_page import CONTENT_TYPE, MetricsPage
from bramleydyke.adapters.raw_datagrams import RawDatagrams
from bramleydyke.direct.messages import decode, encode
from bramleydyke.direct.ports import Count, Observe
from bramleydyke.direct.settings import DirectSettings, SettingsError, load_settings
from bramleydyke.direct.store import Store
from bramleydyke.direct.types import NodeIp, Packet
from bramleydyke.errors import ErrorKind, counter_name
from bramleydyke.ports import Clock

STDOUT = 1

SETTINGS_CHECK_S = 1.0
"""Interval at which the settings file is compared with what was read."""


END_MARGIN_S = 0.5
"""Part of the stop time that is left for the end of the process."""

NewStore = Callable[[Any, Clock, Count, Observe], Store]
"""Returns the store's client, from reactor, clock, counter and histograms."""


class Role(Protocol):
    """A role that handles messages and has something to do at times."""

    def message_in(self, sender: NodeIp, message: object, *, now: float) -> None:
        """Takes a message from another node."""

    def next_wakeup(self) -> float | None:
        """Returns when ``wake`` has something to do, in seconds."""

    def wake(self, *, now: float) -> None:
        """Does what is due."""


class DirectNode:
    """Sockets, timers, log and counters around a role.

    Attributes:
        settings: Settings in force.
        counts: Value of each counter since the start.
        metrics: The same, with gauges and latencies, as a page.
        early: Sockets that were opened before this program was loaded.
        role: Set by the program before ``start``.
    """

    role: Role

    def __init__(
        self,
        reactor: Any,
        settings: DirectSettings,
        path: Path,
        *,
        log_descriptor: int = STDOUT,
        early: EarlySockets | None = None,
    ) -> None:
        self.reactor = reactor
        self.early = {} if early is None else early
        self.settings = settings
        self.path = path
        self.clock = MonotonicClock(reactor)
        self.counts: dict[str, int] = {}
        self.metrics = MetricsPage(counts=self.counts, gauges=self.gauges)
        self.seed = random.SystemRandom().getrandbits(32)
        self.random_source = random.Random(self.seed)
        self.handler = LineWriter(
            log_descriptor, node=settings.node, level=settings.log_level
        )
        self.log = EventLog(
            handler=self.handler,
            clock=self.clock,
            lines_per_s=settings.log_lines_per_s,
            count=self.count,
        )
        self.sockets: list[RawDatagrams] = []
        self.mesh = self.datagrams(
            f"{settings.ip}:{settings.mesh_port}", self._mesh_datagram
        )
        self.servers: list[HttpListener] = []
        self.stopped = False
        self.timer: Any = None
        self.due_at = float("inf")
        self.reading = self._stat()

    # For roles.

    def count(self, name: str, amount: int = 1) -> None:
        """Adds to a counter."""
        self.counts[name] = self.counts.get(name, 0) + amount

    def observe(self, name: str, seconds: float) -> None:
        """Adds a latency to a histogram."""
        self.metrics.observe(name, seconds)

    def send(self, node: NodeIp, message: object) -> None:
        """Sends a message to another node; it may be lost."""
        self.mesh.send(encode(message), node, self.settings.mesh_port)

    # For programs.

    def datagrams(
        self, endpoint: str, receive: Callable[[bytes, str], None]
    ) -> RawDatagrams:
        """Opens a UDP socket whose datagrams go to a function once started."""
        opened = RawDatagrams(
            reactor=self.reactor,
            endpoint=endpoint,
            receive=self.guarded(receive),
            count=self.count,
            after_batch=self.arm,
            early=self.early.pop((socket.SOCK_DGRAM, endpoint), None),
        )
        self.sockets.append(opened)
        return opened

    def guarded(self, call: Callable[..., None]) -> Callable[..., None]:
        """Returns a function whose failure stops nothing else."""

        def guard(*arguments: Any) -> None:
            try:
                call(*arguments)
            except Exception:
                self.log.failed("handler_failed")

        return guard

    def listen(self, endpoint: str, handler: Handler) -> None:
        """Serves HTTP; a handler that fails answers 500."""

        def guard(method: str, path: str, body: bytes) -> HttpReply | LaterReply:
            try:
                reply = handler(method, path, body)
            except Exception:
                self.log.failed("http_handler_failed")
                return HttpReply(500)
            self.arm()
            return reply

        early = self.early.pop((socket.SOCK_STREAM, endpoint), None)
        listener = listen_http(self.reactor, endpoint, guard, early=early)
        self.servers.append(listener)

    def start(self) -> None:
        """Starts the role's timers, the metrics page and the signals."""
        settings = self.settings
        if settings.metrics_port:
            endpoint = f"{settings.ip}:{settings.metrics_port}"
            self.listen(endpoint, self.metrics_page)
        self.mesh.start()
        self.log.record(
            "started", role=settings.role.value, ip=settings.ip, seed=self.seed
        )
        self.clock.callLater(SETTINGS_CHECK_S, self._check_settings)
        self.arm()

    def arm(self) -> None:
        """Sets the timer to the role's next wake-up, if that is earlier."""
        at = None if self.stopped else self.role.next_wakeup()
        if at is None or at >= self.due_at:
            return
        if self.timer is not None and self.timer.active():
            self.timer.cancel()
        self.due_at = at
        delay = max(0.0, at - self.clock.seconds())
        self.timer = self.clock.callLater(delay, self._wake)

    def stop(self, *, after_s: float, reason: str) -> None:
        """Ends the process after a time in which it still works."""
        self.log.record("stopping", reason=reason, after_s=after_s)
        self.clock.callLater(after_s, self._end)

    def _end(self) -> None:
        self.close()
        self.reactor.stop()

    def close(self) -> None:
        """Closes all sockets and makes no more calls."""
        self.log.record("stopped", counts=self.counts)
        self.stopped = True
        if self.timer is not None and self.timer.active():
            self.timer.cancel()
        for server in self.servers:
            server.close()
        for datagrams in self.sockets:
            datagrams.close()

    def _wake(self) -> None:
        self.due_at = float("inf")
        try:
            self.role.wake(now=self.clock.seconds())
        except Exception:
            self.log.failed("wake_failed")
        self.arm()

    def _mesh_datagram(self, datagram: bytes, sender: str) -> None:
        try:
            message = decode(datagram)
        except msgspec.MsgspecError:
            self.count(counter_name(ErrorKind.BAD_FRAME))
            self.log.record("bad_message", peer=sender, size=len(datagram))
            return
        self.role.message_in(NodeIp(sender), message, now=self.clock.seconds())

    def metrics_page(self, method: str, target: str, body: bytes) -> HttpReply:
        """Serves the metrics."""
        return HttpReply(200, self.metrics.render(), CONTENT_TYPE)

    def gauges(self) -> dict[str, float]:
        """Returns what the program believes now, by name."""
        return {}

    # Settings.

    def _stat(self) -> tuple[int, int] | None:
        try:
            found = self.path.stat()
        except OSError:
            return None
        return (found.st_mtime_ns, found.st_size)

    def _check_settings(self) -> None:
        if self.stopped:
            return
        self.clock.callLater(SETTINGS_CHECK_S, self._check_settings)
        if self._stat() != self.reading:
            self.reload(reason="file")

    def reload(self, *, reason: str) -> None:
        """Reads the settings again; unusable ones leave the old in force.

        Addresses and roles are fixed for the life of a process.
        """
        self.reading = self._stat()
        try:
            settings = load_settings(self.path)
        except SettingsError as error:
            self.count(counter_name(ErrorKind.BAD_SETTINGS))
            self.log.record("reload_failed", reason=reason, error=str(error))
            return
        changed = [
            name
            for name in settings.__struct_fields__
            if getattr(settings, name) != getattr(self.settings, name)
        ]
        self.settings = settings
        self.log.lines_per_s = settings.log_lines_per_s
        self.log.record("reloaded", reason=reason, changed=changed)


def caller_ip(packet: Packet) -> str:
    """Returns the IP number of the caller of a packet's flow."""
    return ".".join(map(str, packet.flow[:4]))


def run_node(
    make: Callable[[Any], DirectNode], terminate: Callable[[Any], None]
) -> None:
    """Runs a program until SIGTERM has been handled.

    Args:
        make: Returns the program for a reactor.
        terminate: Starts the end of the program.
    """
    # Importing the reactor installs it, so only programs do so.
    from twisted.internet import reactor as any_reactor

    reactor: Any = any_reactor
    # The reactor's own clock is the time of day, which may jump.
    reactor.seconds = time.monotonic
    node = make(reactor)
    with node.handler.applicationbound():
        node.start()

        def on_term(number: int, frame: object) -> None:
            signal.signal(signal.SIGTERM, signal.SIG_IGN)
            reactor.callFromThread(terminate, node)

        def on_hup(number: int, frame: object) -> None:
            reactor.callFromThread(node.reload, reason="SIGHUP")

        signal.signal(signal.SIGTERM, on_term)
        signal.signal(signal.SIGINT, on_term)
        signal.signal(signal.SIGHUP, on_hup)
        reactor.run(installSignalHandlers=False)
