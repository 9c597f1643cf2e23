"""Main loop of the programs `standins.platform` and `standins.target`."""

import contextlib
import signal


def serve(standin: contextlib.AbstractContextManager) -> None:
    """Prints the address on standard output, then serves until a signal.

    SIGTERM and SIGINT end the program.
    """
    stop = {signal.SIGTERM, signal.SIGINT}
    signal.pthread_sigmask(signal.SIG_BLOCK, stop)
    with standin:
        print(standin.address, flush=True)
        signal.sigwait(stop)
