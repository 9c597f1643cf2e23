"""Runs a platform: `python -m standins.platform --address 127.0.0.1:7200`."""

import argparse

from standins._main import serve
from standins._platform import PlatformStandin


def main() -> None:
    """Serves the platform until SIGTERM or SIGINT."""
    parser = argparse.ArgumentParser(prog="standins.platform")
    parser.add_argument("--address", required=True, help="IP:port")
    serve(PlatformStandin(parser.parse_args().address))


if __name__ == "__main__":
    main()
