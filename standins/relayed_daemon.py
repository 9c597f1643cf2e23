"""Runs an entry daemon that reaches its peers through relays.

Usage: `python -m standins.relayed_daemon ROUTES SETTINGS`, where ROUTES is a
JSON object of relay addresses by peer address. A daemon connects to the address
that its peer is listed with, and the peer listens on the same address, so the
connection can be redirected only inside the daemon.
"""

import asyncio
import json
import sys

from anvilford import daemon


def main() -> int:
    """Runs the daemon with redirected connections; returns its exit status."""
    routes = json.loads(sys.argv[1])
    open_connection = asyncio.open_connection

    async def open_relayed(host, port, **options):
        address = routes.get(f"{host}:{port}", f"{host}:{port}")
        host, _, port = address.rpartition(":")
        return await open_connection(host, int(port), **options)

    asyncio.open_connection = open_relayed
    return daemon.main(sys.argv[2:])


if __name__ == "__main__":
    sys.exit(main())
