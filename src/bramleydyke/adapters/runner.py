"""Event loop of one role: passes messages in and out and schedules wake-ups.

All decisions are made by the role, which does no input or output itself.
"""

from __future__ import annotations

from collections import deque

from bramleydyke.adapters.logs import logger
from bramleydyke.messages import Envelope, Payload
from bramleydyke.ports import Clock, Counter, DelayedCall, LocalPort, Role, SendRemote
from bramleydyke.types import NodeId

MAX_BATCH = 500
"""Messages handled in one reactor iteration, so that other work can run."""

WAKEUP_RETRY_DELAY_S = 1.0
"""Delay before a wake-up that raised an exception is retried."""


class Runner:
    """Connects a role to its local ports, to other nodes and to the clock.

    Messages are handled one after another from a queue, so the role is never
    called while it handles another message.

    Attributes:
        role: The role.
        ports: Handler of the messages to each local port, by its id.
        send: Sends a message to another node. Until the owner sets it,
            messages are counted and dropped.
        stopped: True after ``stop``; later messages are ignored.
    """

    def __init__(self, *, role: Role, clock: Clock, count: Counter) -> None:
        self.role = role
        self.clock = clock
        self.count = count
        self.ports: dict[NodeId, LocalPort] = {}
        self.send: SendRemote = lambda _: count("network.none")
        self.stopped = False
        self.log = logger("runner")
        self._queue: deque[Envelope] = deque()
        self._processing = False
        self._wakeup_call: DelayedCall | None = None
        self._schedule_call: DelayedCall | None = None
        self._wakeup_at = 0.0

    def start(self) -> None:
        """Schedules the role's first wake-up."""
        self._schedule_wakeup()

    def stop(self) -> None:
        """Drops queued messages, cancels timers and ignores later messages."""
        self.stopped = True
        self._queue.clear()
        for call in (self._wakeup_call, self._schedule_call):
            if call is not None and call.active():
                call.cancel()

    def deliver(self, envelope: Envelope) -> None:
        """Queues a message; the role's replies to it are sent in turn.

        The message is handled before this returns, unless the queue is being
        processed already or is longer than ``MAX_BATCH``.
        """
        if not self.stopped:
            self._queue.append(envelope)
            self._process_queue()

    def deliver_from_port(self, port: NodeId, payload: Payload) -> None:
        """Delivers a message from a local port to the role.

        Args:
            port: Id of the local port, as ``local/caller``.
            payload: The message.
        """
        self.deliver(Envelope(port, self.role.node_id, payload))

    def send_all(self, envelopes: list[Envelope]) -> None:
        """Sends messages that the role returned elsewhere than ``receive``."""
        if not self.stopped:
            self._queue.extend(envelopes)
            self._process_queue()

    def _process_queue(self) -> None:
        """Handles up to ``MAX_BATCH`` queued messages.

        A port may call ``deliver`` while it handles a message. That nested
        call only adds to the queue, which avoids recursion.
        """
        if self._processing:
            return
        self._processing = True
        try:
            for _ in range(MAX_BATCH):
                if not self._queue:
                    break
                self._handle(self._queue.popleft())
        finally:
            self._processing = False
        if self._queue:
            self.clock.callLater(0, self._process_queue)
        if self._schedule_call is None:
            self._schedule_call = self.clock.callLater(0, self._schedule_wakeup)

    def _handle(self, envelope: Envelope) -> None:
        if envelope.receiver == self.role.node_id:
            self._queue.extend(self._receive(envelope))
            return
        port = self.ports.get(envelope.receiver)
        if port is not None:
            port(envelope.payload)
        elif envelope.receiver.startswith("local/"):
            self.count("runner.no_port")
        else:
            self.send(envelope)

    def _receive(self, envelope: Envelope) -> list[Envelope]:
        """Passes a message to the role and returns the messages to send.

        An exception is logged and counted, so that one bad message does not
        stop the handling of others.
        """
        try:
            return self.role.receive(envelope, now=self.clock.seconds())
        except Exception:
            kind = type(envelope.payload).__name__
            self.count("runner.failed")
            extra = {"sender": envelope.sender, "kind": kind}
            self.log.exception("message handler failed", extra=extra)
            return []

    def _wake(self) -> None:
        self._wakeup_call = None
        try:
            out = self.role.wake(now=self.clock.seconds())
        except Exception:
            self.count("runner.failed")
            self.log.exception("wake-up failed")
            # Without a delay, a wake-up that keeps failing would use all of
            # the CPU.
            self._wakeup_at = self.clock.seconds() + WAKEUP_RETRY_DELAY_S
            self._wakeup_call = self.clock.callLater(WAKEUP_RETRY_DELAY_S, self._wake)
            return
        self.send_all(out)

    def _schedule_wakeup(self) -> None:
        """Sets the timer to the role's next wake-up if that is earlier.

        Called once for all messages handled in one reactor iteration: after
        each message, computing the next wake-up took a third of the time
        needed to relay a datagram.
        """
        self._schedule_call = None
        at = self.role.next_wakeup()
        if at is None or self.stopped:
            return
        if self._wakeup_call is not None and self._wakeup_call.active():
            if self._wakeup_at <= at:
                return
            self._wakeup_call.cancel()
        self._wakeup_at = at
        delay = max(0.0, at - self.clock.seconds())
        self._wakeup_call = self.clock.callLater(delay, self._wake)
