"""Sockets that a program opens before it has loaded its modules.

Loading takes a few tenths of a second. Packets that arrive meanwhile wait in
the sockets' buffers; without the sockets they would be lost, and callers
repeat them only after 200 ms or more. This module needs the standard library
only.
"""

from __future__ import annotations

import json
import socket
from pathlib import Path

RECEIVE_BUFFER_BYTES = 1 << 20
"""Buffer for datagrams that wait while this process is not scheduled."""

BACKLOG = 50
"""Connections that wait to be accepted."""

EarlySockets = dict[tuple[socket.SocketKind, str], socket.socket]
"""Bound sockets by type and endpoint."""

DATAGRAM_ENDPOINTS = {"balancer": ("packet_endpoint",), "agent": ("egress_endpoint",)}
STREAM_ENDPOINTS = ("ready_endpoint", "control_endpoint")
"""Fields of the settings that name endpoints."""


def bound_socket(kind: socket.SocketKind, endpoint: str) -> socket.socket:
    """Returns a non-blocking socket that is bound to an ``ip:port``.

    Raises:
        OSError: The address cannot be used.
    """
    ip, _, port = endpoint.rpartition(":")
    made = socket.socket(socket.AF_INET, kind)
    try:
        made.setblocking(False)
        if kind is socket.SOCK_DGRAM:
            made.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER_BYTES)
        else:
            made.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        made.bind((ip, int(port)))
        if kind is socket.SOCK_STREAM:
            made.listen(BACKLOG)
    except OSError:
        made.close()
        raise
    return made


def bind_early(path: Path) -> EarlySockets:
    """Opens the sockets that a settings file names.

    Settings that cannot be read and addresses that cannot be used are left
    out: the program meets them again and reports them.
    """
    try:
        settings = json.loads(path.read_bytes())
        mesh = f"{settings['ip']}:{settings['mesh_port']}"
        names = DATAGRAM_ENDPOINTS[settings["role"]]
    except (OSError, ValueError, LookupError, TypeError):
        return {}
    datagrams = [mesh, *(settings.get(name) for name in names)]
    streams = [settings.get(name) for name in STREAM_ENDPOINTS]
    wanted = [(socket.SOCK_DGRAM, endpoint) for endpoint in datagrams]
    wanted += [(socket.SOCK_STREAM, endpoint) for endpoint in streams]
    opened: EarlySockets = {}
    for kind, endpoint in wanted:
        if not isinstance(endpoint, str):
            continue
        try:
            opened[kind, endpoint] = bound_socket(kind, endpoint)
        except (OSError, ValueError):
            continue
    return opened
