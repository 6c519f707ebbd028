"""Runs one role: messages in, messages out, wake-ups. It decides nothing."""

from __future__ import annotations

from collections import deque

from bramleydyke.adapters.logs import logger
from bramleydyke.messages import Envelope, Payload
from bramleydyke.ports import Clock, Counter, DelayedCall, Facade, LocalPort, SendRemote
from bramleydyke.types import NodeId

MAX_BATCH = 500
"""Messages that are handled before other work of the process gets a turn."""

FAILED_WAKE_PAUSE_S = 1.0
"""Pause after a wake-up that failed."""


class Runner:
    """Joins a facade, its local ports, other nodes and the clock.

    Attributes:
        ports: Takes the messages to each local port.
        send: Sends to other nodes.
    """

    def __init__(self, *, facade: Facade, clock: Clock, count: Counter) -> None:
        self.facade = facade
        self.clock = clock
        self.count = count
        self.ports: dict[NodeId, LocalPort] = {}
        self.send: SendRemote = lambda _: count("network.none")
        self.stopped = False
        self.log = logger("runner")
        self._queue: deque[Envelope] = deque()
        self._pumping = False
        self._timer: DelayedCall | None = None
        self._arming: DelayedCall | None = None
        self._due_at = 0.0

    def start(self) -> None:
        """Arms the first wake-up."""
        self._arm()

    def stop(self) -> None:
        """Handles no more messages and makes no more wake-ups."""
        self.stopped = True
        self._queue.clear()
        for call in (self._timer, self._arming):
            if call is not None and call.active():
                call.cancel()

    def deliver(self, envelope: Envelope) -> None:
        """Hands a message to the role and passes on what follows from it."""
        if not self.stopped:
            self._queue.append(envelope)
            self._pump()

    def from_port(self, port: NodeId, payload: Payload) -> None:
        """Hands a local port's message to the role."""
        self.deliver(Envelope(port, self.facade.node_id, payload))

    def pass_on(self, envelopes: list[Envelope]) -> None:
        """Sends messages that the role made outside ``receive``."""
        if not self.stopped:
            self._queue.extend(envelopes)
            self._pump()

    def _pump(self) -> None:
        """Handles the queue; a port that delivers at once only adds to it."""
        if self._pumping:
            return
        self._pumping = True
        try:
            for _ in range(MAX_BATCH):
                if not self._queue:
                    break
                self._handle(self._queue.popleft())
        finally:
            self._pumping = False
        if self._queue:
            self.clock.callLater(0, self._pump)
        if self._arming is None:
            self._arming = self.clock.callLater(0, self._arm)

    def _handle(self, envelope: Envelope) -> None:
        if envelope.receiver == self.facade.node_id:
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
        """Gives a message to the role.

        A message that the role fails on must not stop the others, so the
        failure is logged and counted.
        """
        try:
            return self.facade.receive(envelope, now=self.clock.seconds())
        except Exception:
            kind = type(envelope.payload).__name__
            self.count("runner.failed")
            extra = {"sender": envelope.sender, "kind": kind}
            self.log.exception("message handler failed", extra=extra)
            return []

    def _wake(self) -> None:
        self._timer = None
        try:
            out = self.facade.wake(now=self.clock.seconds())
        except Exception:
            self.count("runner.failed")
            self.log.exception("wake-up failed")
            # Without a pause a wake-up that keeps failing would spin.
            self._due_at = self.clock.seconds() + FAILED_WAKE_PAUSE_S
            self._timer = self.clock.callLater(FAILED_WAKE_PAUSE_S, self._wake)
            return
        self.pass_on(out)

    def _arm(self) -> None:
        """Sets the timer to the role's next wake-up, if that is earlier.

        Done once for all messages that are read in one turn of the reactor:
        asking the role took a third of the time of a relayed datagram.
        """
        self._arming = None
        at = self.facade.next_wakeup()
        if at is None or self.stopped:
            return
        if self._timer is not None and self._timer.active():
            if self._due_at <= at:
                return
            self._timer.cancel()
        self._due_at = at
        delay = max(0.0, at - self.clock.seconds())
        self._timer = self.clock.callLater(delay, self._wake)
