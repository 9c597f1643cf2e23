"""JSON schema of the settings file, its validator and texts derived from it."""

import importlib.resources
import ipaddress
import json
from typing import Any

import jsonschema


def load_schema() -> dict[str, Any]:
    """Reads the JSON schema of the settings file from schema.json."""
    files = importlib.resources.files("anvilford.settings")
    return json.loads(files.joinpath("schema.json").read_text("utf-8"))


def parse_address(text: str) -> tuple[str, int] | None:
    """Splits "IP:port", where an IPv6 address is written in brackets.

    Args:
        text: Address to split.

    Returns:
        The IP address without brackets and the port; None if the text has
        another form, such as a host name, or is not the canonical spelling.
    """
    host, separator, port = text.rpartition(":")
    if not separator or not (port.isascii() and port.isdigit()):
        return None
    bracketed = host.startswith("[") and host.endswith("]")
    if bracketed:
        host = host[1:-1]
    try:
        ip = ipaddress.ip_address(host)
    except ValueError:
        return None
    if bracketed != (ip.version == 6) or not 1 <= int(port) <= 65535:
        return None
    # Addresses are compared as text elsewhere, so only the canonical spelling
    # of each is accepted.
    if str(ip) != host or "%" in host or str(int(port)) != port:
        return None
    return host, int(port)


def create_validator() -> jsonschema.Draft202012Validator:
    """Creates a validator of the schema that also checks "ip-port" formats."""
    formats = jsonschema.FormatChecker(formats=())

    @formats.checks("ip-port")
    def is_address(value: Any) -> bool:
        return not isinstance(value, str) or parse_address(value) is not None

    return jsonschema.Draft202012Validator(
        load_schema(), format_checker=formats
    )


def describe_allowed(schema: dict[str, Any]) -> str:
    """Describes the values allowed by a part of the schema.

    Args:
        schema: Schema of a key, a group or the whole document.

    Returns:
        Phrase such as "an integer from 1 to 64", for failures and the page.
    """
    match schema:
        case {"enum": values}:
            return "one of " + ", ".join(values)
        case {"format": "ip-port"}:
            return (
                "an IP address and a port from 1 to 65535, such as "
                "10.0.0.5:7100 or [fd00::5]:7100; host names are refused"
            )
        case {"unit": "secret"}:
            return "16 to 256 printable ASCII characters without spaces"
        case {"unit": "name"}:
            return "1 to 64 letters, digits, dots, dashes or underscores"
        case {"minimum": low, "maximum": high, "type": kind, "unit": unit}:
            article = "an" if kind == "integer" else "a"
            suffix = "" if unit == "none" else f" ({unit})"
            return f"{article} {kind} from {low} to {high}{suffix}"
        case {"type": "array", "items": items, "maxItems": most}:
            content = (
                "objects with " + ", ".join(items["properties"])
                if "properties" in items
                else "distinct addresses IP:port"
            )
            return f"a list of {schema.get('minItems', 0)} to {most} {content}"
        case {"properties": properties}:
            return "an object with the keys " + ", ".join(properties)
    return schema["type"]
