"""Checks shared by the decoders of the platform's JSON documents."""

from typing import Any

# Exceptions that decoding untrusted JSON raises. `RecursionError` comes from
# deep nesting, and `OverflowError` from numbers such as 1e999, which the JSON
# module decodes to infinity.
DECODE_ERRORS = (
    ValueError,
    KeyError,
    TypeError,
    IndexError,
    AttributeError,
    OverflowError,
    RecursionError,
)
# Integers outside this range cannot be sent to other entries, and the largest
# ones cannot be converted to floats.
_INTEGER_LIMIT = 1 << 63


def require_str(value: Any) -> str:
    """Returns a value that is a string.

    Raises:
        TypeError: The value is of another type.
    """
    if not isinstance(value, str):
        raise TypeError(f"expected a string, got {value!r:.100}")
    return value


# Longest name of a target, service, zone or label; the keys of the store's rows
# have at most 200 bytes.
_NAME_LIMIT = 200


def require_name(value: Any) -> str:
    """Returns a value that is a short printable string.

    Names go into header lines, log lines and messages to other entries.

    Raises:
        TypeError: The value is of another type.
        ValueError: The string is empty, too long, or has control characters or
            lone surrogates.
    """
    text = require_str(value)
    if not text or len(text) > _NAME_LIMIT or not text.isprintable():
        raise ValueError(f"not a name: {text!r:.100}")
    return text


def require_address(value: Any) -> str:
    """Returns a value that is an address, "IP:port".

    Raises:
        TypeError: The value is of another type.
        ValueError: There is no host, or no port from 1 to 65535.
    """
    host, _, port = require_name(value).rpartition(":")
    if not host or not (port.isascii() and port.isdigit()):
        raise ValueError(f"not an address: {value!r:.100}")
    if not 0 < int(port) < 1 << 16:
        raise ValueError(f"port out of range: {value!r:.100}")
    return value


def require_int(value: Any) -> int:
    """Returns a value that is a 64-bit integer.

    Raises:
        TypeError: The value is of another type; booleans count as such.
        ValueError: The integer does not fit into 64 bits.
    """
    if isinstance(value, bool) or not isinstance(value, int):
        raise TypeError(f"expected an integer, got {value!r:.100}")
    if not -_INTEGER_LIMIT <= value < _INTEGER_LIMIT:
        raise ValueError("integer does not fit into 64 bits")
    return value
