"""Runs a target: `python -m standins.target --address 127.0.0.1:7300`."""

import argparse

from standins._main import serve
from standins._target import TargetStandin


def main() -> None:
    """Serves one target until SIGTERM or SIGINT."""
    parser = argparse.ArgumentParser(prog="standins.target")
    parser.add_argument("--address", required=True, help="IP:port")
    parser.add_argument("--slots", type=int, default=8)
    parser.add_argument("--connections", type=int, default=64)
    parser.add_argument("--speed", type=float, default=1.0)
    parser.add_argument(
        "--id", default="", help="VM id; the address by default"
    )
    arguments = parser.parse_args()
    serve(
        TargetStandin(
            arguments.address,
            arguments.slots,
            arguments.connections,
            arguments.speed,
            arguments.id,
        )
    )


if __name__ == "__main__":
    main()
