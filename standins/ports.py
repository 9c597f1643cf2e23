"""Reserves ports on loopback for processes that start later."""

import contextlib
import random
import socket

HOST = "127.0.0.1"
# Range of the ports. It lies below the kernel's ephemeral range, because an
# outgoing connection could take a port between its choice and the start of the
# process that listens on it.
PORTS = (10_000, 32_768)


def reserve_addresses(
    stack: contextlib.AsyncExitStack | contextlib.ExitStack, count: int
) -> list[str]:
    """Reserves random ports until the stack closes; returns them as "IP:port".

    Each port stays bound by a socket that does not listen. Other sites, also
    those of other processes, cannot reserve it, but a server can listen on it.
    Without the reservation two test runs at once drew the same ports, and a
    process failed with "address already in use".

    Args:
        stack: Closes the sockets.
        count: Number of ports.
    """
    rng = random.SystemRandom()
    addresses: list[str] = []
    while len(addresses) < count:
        sock = socket.socket()
        try:
            sock.bind((HOST, rng.randrange(*PORTS)))
        except OSError:
            sock.close()
            continue  # The port is in use; try another one.
        stack.enter_context(sock)
        # SO_REUSEADDR is set only after the bind: a server, which sets it too,
        # can share the port, while the bind of another reservation fails.
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        addresses.append(f"{HOST}:{sock.getsockname()[1]}")
    return addresses
