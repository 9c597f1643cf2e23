"""What the two programs share."""

import contextlib
import signal


def serve(standin: contextlib.AbstractContextManager) -> None:
    """Serves until SIGTERM or SIGINT; prints the address first."""
    stop = {signal.SIGTERM, signal.SIGINT}
    signal.pthread_sigmask(signal.SIG_BLOCK, stop)
    with standin:
        print(standin.address, flush=True)
        signal.sigwait(stop)
