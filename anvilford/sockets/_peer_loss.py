"""Detection of peers that are lost without closing their connections."""

import contextlib
import socket


def set_peer_loss_timeout(sock: socket.socket, seconds: float) -> None:
    """Lets the kernel end a connection whose peer is lost.

    It does so if sent data is not acknowledged within the given time. An idle
    connection is probed at a third of that time, but not more often than the
    kernel allows, which is once a second.

    Args:
        sock: Socket of the connection.
        seconds: Time without an acknowledgement, in seconds.
    """
    probe_interval = max(1, int(seconds / 3))
    for level, option, value in (
        (socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, int(seconds * 1000)),
        (socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1),
        (socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, probe_interval),
        (socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, probe_interval),
    ):
        # Setting an option fails if the connection has already ended; the next
        # read reports that.
        with contextlib.suppress(OSError):
            sock.setsockopt(level, option, value)
