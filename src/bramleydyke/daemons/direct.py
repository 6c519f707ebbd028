"""Base class and main loop of the processes of the direct mode."""

from __future__ import annotations

import gc
import random
import signal
import socket
from collections.abc import Callable
from pathlib import Path
from typing import Any, Protocol

import msgspec

from bramleydyke.adapters.clock import MonotonicClock, steady_seconds
from bramleydyke.adapters.early_sockets import EarlySockets
from bramleydyke.adapters.event_log import EventLog, LineWriter
from bramleydyke.adapters.http_server import (
    DeferredReply,
    Handler,
    HttpListener,
    HttpReply,
    listen_http,
)
from bramleydyke.adapters.metrics_page import CONTENT_TYPE, MetricsPage
from bramleydyke.adapters.raw_datagrams import RawDatagrams
from bramleydyke.direct.messages import decode, encode
from bramleydyke.direct.ports import Count, Observe
from bramleydyke.direct.settings import DirectSettings, SettingsError, load_settings
from bramleydyke.direct.store import Era, Store
from bramleydyke.direct.types import NodeIp, Packet
from bramleydyke.errors import ErrorKind, counter_name
from bramleydyke.ports import Clock

STDOUT = 1
"""File descriptor of the standard output."""

SETTINGS_CHECK_INTERVAL_S = 1.0
"""Interval between checks of the settings file for changes."""

EXIT_MARGIN_S = 0.5
"""Part of ``stop_within_s`` that is left for the process to exit."""

StoreFactory = Callable[[Any, Clock, Count, Observe], Store]
"""Makes a store client from reactor, clock, counter and histogram function."""


class Role(Protocol):
    """What ``DirectNode`` needs of a balancer or an agent."""

    def message_in(self, sender: NodeIp, message: object, *, now: float) -> None:
        """Handles a message from another node."""

    def next_wakeup(self) -> float | None:
        """Returns the time at which ``wake`` is due; None without a timer.

        The time is in seconds of the node's clock.
        """

    def wake(self, *, now: float) -> None:
        """Runs the timers that are due."""


class DirectNode:
    """Connects a role to sockets, timers, log, metrics and settings.

    Attributes:
        settings: Settings in force; replaced by ``reload``.
        counts: Value of each counter since the start.
        metrics: Renders counters, gauges and latency histograms as a page.
        early_sockets: Sockets that were opened before this module was
            imported, by type and endpoint.
        store: Client of the platform's store.
        role: The balancer or agent; the subclass sets it before ``start``.
        mesh_socket: UDP socket for messages between nodes.
        seed: Seed of the random source, which the start event logs.
        wakeup_at: Time of the next wake-up of the role, in seconds.
        settings_stat: Modification time and size of the settings file when
            it was read last; None if it was missing.
    """

    role: Role

    def __init__(
        self,
        reactor: Any,
        settings: DirectSettings,
        settings_path: Path,
        *,
        new_store: StoreFactory,
        log_descriptor: int = STDOUT,
        early_sockets: EarlySockets | None = None,
    ) -> None:
        self.reactor = reactor
        self.early_sockets = {} if early_sockets is None else early_sockets
        self.settings = settings
        self.settings_path = settings_path
        self.clock = MonotonicClock(reactor)
        self.counts: dict[str, int] = {}
        self.metrics = MetricsPage(counts=self.counts, gauges=self.gauges)
        self.seed = random.SystemRandom().getrandbits(32)
        self.random_source = random.Random(self.seed)
        self.log_writer = LineWriter(
            log_descriptor, node=settings.node, level=settings.log_level
        )
        self.log = EventLog(
            handler=self.log_writer,
            clock=self.clock,
            max_lines_per_s=settings.log_lines_per_s,
            count=self.count,
        )
        self.store = new_store(reactor, self.clock, self.count, self.observe)
        self.store.on_restored = self.store_restored
        self.sockets: list[RawDatagrams] = []
        self.mesh_socket = self.open_datagrams(
            f"{settings.ip}:{settings.mesh_port}", self._receive_message
        )
        self.servers: list[HttpListener] = []
        self.stopped = False
        self.wakeup_timer: Any = None
        self.wakeup_at = float("inf")
        self.settings_stat = self._stat_settings()

    # Callbacks for the role.

    def count(self, name: str, amount: int = 1) -> None:
        """Increments a counter by an amount."""
        self.counts[name] = self.counts.get(name, 0) + amount

    def observe(self, name: str, seconds: float) -> None:
        """Records a latency in seconds in a histogram."""
        self.metrics.observe(name, seconds)

    def send(self, node: NodeIp, message: object) -> None:
        """Sends a message to another node in a datagram, which may be lost."""
        self.mesh_socket.send(encode(message), node, self.settings.mesh_port)

    # For subclasses.

    def open_datagrams(
        self, endpoint: str, receive: Callable[[bytes, str], None]
    ) -> RawDatagrams:
        """Opens a UDP socket; it reads nothing until its ``start`` is called.

        Args:
            endpoint: Address to bind, as ``ip:port``.
            receive: Takes a datagram and the IP address of its sender. An
                exception that it raises is logged.
        """
        opened = RawDatagrams(
            reactor=self.reactor,
            endpoint=endpoint,
            receive=self.log_exceptions(receive),
            count=self.count,
            on_batch_read=self.schedule_wakeup,
            early=self.early_sockets.pop((socket.SOCK_DGRAM, endpoint), None),
        )
        self.sockets.append(opened)
        return opened

    def log_exceptions(self, call: Callable[..., None]) -> Callable[..., None]:
        """Wraps a function so that its exceptions are logged."""

        def call_and_log(*arguments: Any) -> None:
            try:
                call(*arguments)
            except Exception:
                self.log.log_exception("handler_failed")

        return call_and_log

    def listen(self, endpoint: str, handler: Handler) -> None:
        """Serves HTTP at an endpoint.

        An exception of the handler is logged and answered with status 500.
        """

        def call_and_log(
            method: str, path: str, body: bytes
        ) -> HttpReply | DeferredReply:
            try:
                reply = handler(method, path, body)
            except Exception:
                self.log.log_exception("http_handler_failed")
                return HttpReply(500)
            self.schedule_wakeup()
            return reply

        early_socket = self.early_sockets.pop((socket.SOCK_STREAM, endpoint), None)
        listener = listen_http(self.reactor, endpoint, call_and_log, early=early_socket)
        self.servers.append(listener)

    def start(self) -> None:
        """Starts the timers, the metrics page and the mesh socket."""
        settings = self.settings
        if settings.metrics_port:
            endpoint = f"{settings.ip}:{settings.metrics_port}"
            self.listen(endpoint, self.metrics_page)
        self.mesh_socket.start()
        self.log.record(
            "started", role=settings.role.value, ip=settings.ip, seed=self.seed
        )
        self.clock.callLater(SETTINGS_CHECK_INTERVAL_S, self._check_settings)
        self.schedule_wakeup()

    def schedule_wakeup(self) -> None:
        """Sets the timer to the role's next wake-up if that is earlier."""
        at = None if self.stopped else self.role.next_wakeup()
        if at is None or at >= self.wakeup_at:
            return
        if self.wakeup_timer is not None and self.wakeup_timer.active():
            self.wakeup_timer.cancel()
        self.wakeup_at = at
        delay = max(0.0, at - self.clock.seconds())
        self.wakeup_timer = self.clock.callLater(delay, self._run_wakeup)

    def stop(self, *, after_s: float, reason: str) -> None:
        """Stops the process after a delay, during which it keeps serving.

        Args:
            after_s: Delay in seconds.
            reason: Cause of the stop, for the log.
        """
        self.log.record("stopping", reason=reason, after_s=after_s)
        self.clock.callLater(after_s, self._stop_reactor)

    def _stop_reactor(self) -> None:
        for datagrams in self.sockets:
            datagrams.read_pending()
        self.log_exceptions(self.finish)()
        self.close()
        self.reactor.stop()

    def store_restored(self, era: Era) -> None:
        """Handles that the store came back from a copy, without later changes.

        Args:
            era: New era of the store.
        """
        self.log.record("store_restored", era=era)

    def finish(self) -> None:
        """Sends the last messages before the sockets of the node close."""

    def close(self) -> None:
        """Closes all sockets and cancels the wake-up timer."""
        self.log.record("stopped", counts=self.counts)
        self.stopped = True
        if self.wakeup_timer is not None and self.wakeup_timer.active():
            self.wakeup_timer.cancel()
        for server in self.servers:
            server.close()
        for datagrams in self.sockets:
            datagrams.close()

    def _run_wakeup(self) -> None:
        self.wakeup_at = float("inf")
        try:
            self.role.wake(now=self.clock.seconds())
        except Exception:
            self.log.log_exception("wake_failed")
        self.schedule_wakeup()

    def _receive_message(self, datagram: bytes, sender: str) -> None:
        try:
            message = decode(datagram)
        except msgspec.MsgspecError:
            self.count(counter_name(ErrorKind.BAD_FRAME))
            self.log.record("bad_message", peer=sender, size=len(datagram))
            return
        self.role.message_in(NodeIp(sender), message, now=self.clock.seconds())

    def metrics_page(self, method: str, target: str, body: bytes) -> HttpReply:
        """Returns the page with all metrics in text form."""
        return HttpReply(200, self.metrics.render(), CONTENT_TYPE)

    def gauges(self) -> dict[str, float]:
        """Returns the current value of each gauge, by name."""
        return {"store_era": self.store.era}

    # Settings.

    def _stat_settings(self) -> tuple[int, int] | None:
        try:
            status = self.settings_path.stat()
        except OSError:
            return None
        return (status.st_mtime_ns, status.st_size)

    def _check_settings(self) -> None:
        if self.stopped:
            return
        self.clock.callLater(SETTINGS_CHECK_INTERVAL_S, self._check_settings)
        if self._stat_settings() != self.settings_stat:
            self.reload(reason="file")

    def reload(self, *, reason: str) -> None:
        """Reads the settings file again; invalid settings are ignored.

        The role and the addresses of open sockets stay as they were at the
        start of the process.

        Args:
            reason: Trigger of the reload, for the log: ``file`` or ``SIGHUP``.
        """
        self.settings_stat = self._stat_settings()
        try:
            settings = load_settings(self.settings_path)
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
        self.log.max_lines_per_s = settings.log_lines_per_s
        self.log.record("reloaded", reason=reason, changed=changed)


def caller_ip(packet: Packet) -> str:
    """Returns the IPv4 address of the caller of a packet's flow."""
    return ".".join(map(str, packet.flow[:4]))


def end_startup() -> None:
    """Turns garbage collection on, without the objects of the startup.

    Modules and classes live as long as the process. Traversing them takes
    several milliseconds, during which no packet is forwarded.
    """
    gc.freeze()
    gc.enable()


def run_node(
    new_node: Callable[[Any], DirectNode], terminate: Callable[[Any], None]
) -> None:
    """Runs a node until it has stopped after SIGTERM or SIGINT.

    SIGHUP makes the node reload its settings.

    Args:
        new_node: Makes the node for a reactor.
        terminate: Starts the shutdown of the node.
    """
    # Importing the reactor installs it globally, so library modules don't.
    from twisted.internet import reactor as any_reactor

    reactor: Any = any_reactor
    # By default the reactor uses the wall clock, which may jump.
    reactor.seconds = steady_seconds
    node = new_node(reactor)
    with node.log_writer.applicationbound():
        node.start()

        def on_term(number: int, frame: object) -> None:
            signal.signal(signal.SIGTERM, signal.SIG_IGN)
            reactor.callFromThread(terminate, node)

        def on_hup(number: int, frame: object) -> None:
            reactor.callFromThread(node.reload, reason="SIGHUP")

        signal.signal(signal.SIGTERM, on_term)
        signal.signal(signal.SIGINT, on_term)
        signal.signal(signal.SIGHUP, on_hup)
        end_startup()
        reactor.run(installSignalHandlers=False)
