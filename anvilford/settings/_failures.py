"""Failures of loading a settings file, and their description in one line."""

from typing import Any

import attrs


@attrs.frozen
class UnreadableFile:
    """The file cannot be read or is not JSON.

    Attributes:
        path: Path of the file.
        found: Error text of the operating system or the JSON decoder.
        allowed: Required format of the file.
    """

    path: str
    found: str
    allowed: str


@attrs.frozen
class UnknownKey:
    """A key that the schema does not define.

    Attributes:
        path: Path of the key, e.g. "peers/gossip_s".
        found: Value of the key; tokens are masked.
        allowed: The keys that the schema defines for the group.
    """

    path: str
    found: Any
    allowed: str


@attrs.frozen
class DuplicateKey:
    """A key that appears more than once in one object.

    Attributes:
        path: The key without the path of its group, which the JSON decoder
            does not report.
        found: The repeated value; tokens are masked.
        allowed: The rule that is violated.
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
        allowed: Description of the values that are allowed there.
    """

    path: str
    found: None
    allowed: str


@attrs.frozen
class InvalidValue:
    """A value of the wrong type, format or range.

    Attributes:
        path: Path of the key; empty for the whole document.
        found: Value of the key; tokens are masked.
        allowed: Description of the values that are allowed there.
    """

    path: str
    found: Any
    allowed: str


@attrs.frozen
class InvalidCombination:
    """Values that are valid by themselves but not in combination.

    Attributes:
        path: Path of the first key.
        other_paths: Paths of the other keys involved.
        found: Values of all keys involved, by path; tokens are masked.
        allowed: The rule between the keys.
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
    """Describes a failure in one line for a log or a terminal."""
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
