"""Limits on the requests and connections of a listener."""

import attrs

# The kernel probes connections once a second at most, so that it can tell after
# two seconds that a client is lost. This bounds how long a job goes on for a caller
# whose FIN or reset was lost on the way, before its deadline. It does not prevent a
# second run: callers send a job again 1.3 s after their connection broke.
PEER_LOSS_TIMEOUT_S = 2.0


@attrs.frozen
class ListenerLimits:
    """Limits on requests and connections.

    Attributes:
        max_header_bytes: Largest total length of names and values of a
            request's headers.
        max_body_bytes: Largest body of a request.
        max_url_bytes: Largest request target. RFC 9110 recommends to support
            at least 8,000 bytes.
        idle_timeout_s: Time after which an idle connection is closed, in
            seconds.
        request_timeout_s: Time in which a request must become complete, in
            seconds from its first byte.
        min_request_rate: Least bytes per second that an incomplete request must
            have brought on average, from `rate_grace_s` on.
        rate_grace_s: Age of a request, in seconds, from which
            `min_request_rate` applies.
        max_unread_answer_bytes: Answers of a connection that wait in this
            process for the client to read, in bytes, at which its further
            requests wait.
        unread_answer_timeout_s: Time that such a connection may take to read
            them before it is closed, in seconds.
        max_connections: Most connections that are open at once.
        max_incomplete_connections: Most connections without a complete request
            that are open at once: those that never sent one and those that are
            sending one.
        max_pipelined_requests: Number of waiting requests at which reading from
            a connection is paused.
        backlog: Length of the socket's queue of connections that are not yet
            accepted.
        peer_loss_timeout_s: Time without an acknowledgement after which a
            connection ends, in seconds.
        receive_buffer_bytes: Kernel buffer for received data of a connection;
            0 leaves it to the system, which lets it grow to some megabytes.
        send_buffer_bytes: The same for data to be sent.
    """

    max_header_bytes: int = 16384
    max_body_bytes: int = 262144
    max_url_bytes: int = 8192
    idle_timeout_s: float = 30.0
    request_timeout_s: float = 30.0
    min_request_rate: float = 512.0
    rate_grace_s: float = 10.0
    max_unread_answer_bytes: int = 65536
    unread_answer_timeout_s: float = 10.0
    max_connections: int = 4096
    max_incomplete_connections: int = 2048
    max_pipelined_requests: int = 8
    backlog: int = 1024
    peer_loss_timeout_s: float = PEER_LOSS_TIMEOUT_S
    receive_buffer_bytes: int = 0
    send_buffer_bytes: int = 0
