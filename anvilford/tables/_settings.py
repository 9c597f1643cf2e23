"""Settings of the platform client."""

import attrs


@attrs.frozen
class PlatformSettings:
    """Settings of calls to the platform.

    Attributes:
        address: "IP:port" of the platform.
        timeout_ms: Longest duration of one call in milliseconds, including the
            wait for a free thread.
        connect_timeout_ms: Longest time to open a connection, in milliseconds.
        read_threads: Most reads in flight at once.
        write_threads: Most writes in flight at once. Writes have their own
            threads and connections so that slow reads do not delay them.
        response_bytes: Largest response body accepted, in bytes.
    """

    address: str
    timeout_ms: int = 1000
    connect_timeout_ms: int = 250
    read_threads: int = 4
    write_threads: int = 2
    response_bytes: int = 16 * 1024 * 1024
