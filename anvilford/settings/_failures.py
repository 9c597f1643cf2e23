"""Typed failures of loading a settings file."""

from typing import Any

import attrs


@attrs.frozen
class UnreadableFile:
    """The file cannot be read as JSON text.

    Attributes:
        path: The file.
        found: What the system or the JSON decoder reported.
        allowed: What is allowed.
    """

    path: str
    found: str
    allowed: str


@attrs.frozen
class UnknownKey:
    """A key that the schema does not define.

    Attributes:
        path: Path of the key, e.g. "peers/gossip_s".
        found: Its value.
        allowed: The keys that the group has.
    """

    path: str
    found: Any
    allowed: str


@attrs.frozen
class DuplicateKey:
    """A key that appears twice in one object.

    Attributes:
        path: The key; its group is not known to the JSON decoder.
        found: The second value.
        allowed: What is allowed.
    """

    path: str
    found: Any
    allowed: str


@attrs.frozen
class MissingKey:
    """A required key is absent.

    Attributes:
        path: Path of the absent key.
        found: Always None.
        allowed: What is allowed there.
    """

    path: str
    found: None
    allowed: str


@attrs.frozen
class InvalidValue:
    """A value of the wrong type, form or range.

    Attributes:
        path: Path of the key.
        found: Its value; tokens are masked.
        allowed: What is allowed there.
    """

    path: str
    found: Any
    allowed: str


@attrs.frozen
class InvalidCombination:
    """Values that are allowed alone but not together.

    Attributes:
        path: Path of the first key.
        other_paths: Paths of the other keys involved.
        found: Their values by path; tokens are masked.
        allowed: The rule between them.
    """

    path: str
    other_paths: tuple[str, ...]
    found: Any
    allowed: str


SettingsFailure = (
    UnreadableFile
    | UnknownKey
    | DuplicateKey
    | MissingKey
    | InvalidValue
    | InvalidCombination
)


def describe_failure(failure: SettingsFailure) -> str:
    """Returns one line for a log or a terminal."""
    match failure:
        case UnreadableFile():
            text = f"cannot be read ({failure.found})"
        case UnknownKey():
            text = "unknown key"
        case DuplicateKey():
            text = "key appears twice"
        case MissingKey():
            text = "missing"
        case InvalidValue():
            text = f"invalid value {failure.found!r}"
        case InvalidCombination():
            text = f"invalid combination {failure.found!r}"
    return (
        f"{failure.path or '(top level)'}: {text}; allowed: {failure.allowed}"
    )
