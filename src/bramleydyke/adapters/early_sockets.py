"""Opens the sockets of a process before its other modules are imported.

The imports take a few tenths of a second. Packets that arrive meanwhile are
buffered in the sockets; without them they would be lost, and callers
retransmit only after 200 ms or more. For this reason the module imports only
the standard library.
"""

from __future__ import annotations

import json
import socket
from pathlib import Path

RECEIVE_BUFFER_BYTES = 1 << 20
"""Size of the receive buffer of a UDP socket.

It holds the datagrams that arrive before the process reads them.
"""

BACKLOG = 50
"""Maximum number of TCP connections that wait to be accepted."""

EarlySockets = dict[tuple[socket.SocketKind, str], socket.socket]
"""Bound sockets by socket type and endpoint (``ip:port``)."""

DATAGRAM_ENDPOINTS = {"balancer": ("packet_endpoint",), "agent": ("egress_endpoint",)}
STREAM_ENDPOINTS = ("ready_endpoint", "control_endpoint")
"""Settings that hold endpoints: for UDP by role, for TCP in all roles."""


def bound_socket(kind: socket.SocketKind, endpoint: str) -> socket.socket:
    """Returns a non-blocking socket that is bound to an ``ip:port``.

    A TCP socket is listening as well.

    Args:
        kind: ``SOCK_DGRAM`` for UDP or ``SOCK_STREAM`` for TCP.
        endpoint: Address to bind, as ``ip:port``.

    Raises:
        OSError: The address is in use or not one of this machine.
        ValueError: The port is not a number.
    """
    ip, _, port = endpoint.rpartition(":")
    bound = socket.socket(socket.AF_INET, kind)
    try:
        bound.setblocking(False)
        if kind is socket.SOCK_DGRAM:
            bound.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER_BYTES)
        else:
            bound.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        bound.bind((ip, int(port)))
        if kind is socket.SOCK_STREAM:
            bound.listen(BACKLOG)
    except OSError:
        bound.close()
        raise
    return bound


def bind_early(path: Path) -> EarlySockets:
    """Opens a socket for each endpoint in a settings file.

    Skips endpoints that cannot be bound, and returns no sockets if the
    settings cannot be read. These errors are not reported here, because the
    process validates its settings later and reports them then.

    Args:
        path: Settings file of a balancer or agent, in JSON.
    """
    try:
        settings = json.loads(path.read_bytes())
        mesh = f"{settings['ip']}:{settings['mesh_port']}"
        names = DATAGRAM_ENDPOINTS[settings["role"]]
    except (OSError, ValueError, LookupError, TypeError):
        return {}
    datagrams = [mesh, *(settings.get(name) for name in names)]
    streams = [settings.get(name) for name in STREAM_ENDPOINTS]
    endpoints = [(socket.SOCK_DGRAM, endpoint) for endpoint in datagrams]
    endpoints += [(socket.SOCK_STREAM, endpoint) for endpoint in streams]
    opened: EarlySockets = {}
    for kind, endpoint in endpoints:
        if not isinstance(endpoint, str):
            continue
        try:
            opened[kind, endpoint] = bound_socket(kind, endpoint)
        except (OSError, ValueError):
            continue
    return opened
