"""Entry daemon on the platform.

Connects the decision logic of the packages `leadership`, `placement` and
`routing` to the network, on one event loop.
"""

import signal

__all__ = ["main"]


def main(argv: list[str] | None = None) -> int:
    """Runs an entry until a planned stop is complete.

    Args:
        argv: Command line arguments; None uses those of the process.

    Returns:
        Exit status: 0 after a planned stop or valid `--check`, 2 if the
        settings are invalid.
    """
    # The signal stays pending until `EntryNode` handles it. The import takes
    # most of the start, so it comes after this call.
    signal.pthread_sigmask(signal.SIG_BLOCK, {signal.SIGHUP})
    from anvilford.node._main import run_command

    return run_command(argv)
