"""Reading, validation and conversion of a settings file."""

import json
import os
import pathlib
from typing import Any

import cattrs
import jsonschema
from expression import Error
from expression import Ok
from expression import Result

from anvilford.settings import _checks
from anvilford.settings._failures import DuplicateKey
from anvilford.settings._failures import InvalidValue
from anvilford.settings._failures import MissingKey
from anvilford.settings._failures import SettingsFailure
from anvilford.settings._failures import UnknownKey
from anvilford.settings._failures import UnreadableFile
from anvilford.settings._schema import create_validator
from anvilford.settings._schema import describe_allowed
from anvilford.settings._settings import Settings


def load_settings(
    path: str | os.PathLike[str],
) -> Result[Settings, list[SettingsFailure]]:
    """Loads the settings file of a daemon.

    Args:
        path: Path of the JSON file.

    Returns:
        The settings, or the failures found. Values are checked only if the
        file is JSON without duplicate keys.
    """
    try:
        text = pathlib.Path(path).read_text(encoding="utf-8")
    except (OSError, UnicodeDecodeError) as error:
        return Error([UnreadableFile(str(path), str(error), "UTF-8 text")])
    duplicates: list[SettingsFailure] = []

    def build_object(pairs: list[tuple[str, Any]]) -> dict[str, Any]:
        values: dict[str, Any] = {}
        for key, value in pairs:
            if key in values:
                found = _mask_tokens(key, value)
                duplicates.append(DuplicateKey(key, found, "each key once"))
            values[key] = value
        return values

    try:
        document = json.loads(
            text,
            object_pairs_hook=build_object,
            parse_constant=_reject_constant,
        )
    except (ValueError, RecursionError) as error:
        return Error([UnreadableFile(str(path), str(error), "JSON")])
    if duplicates:
        return Error(duplicates)
    return parse_settings(document)


def parse_settings(
    document: Any,
) -> Result[Settings, list[SettingsFailure]]:
    """Validates a settings document and converts it.

    Args:
        document: The document as decoded JSON.

    Returns:
        The settings, or the failures found. Rules between keys are checked
        only if each value is valid by itself.
    """
    # A value that violates several rules of the schema is reported once.
    distinct_failures = {
        (failure.path, type(failure)): failure
        for error in create_validator().iter_errors(document)
        for failure in _failures_of_violation(error)
    }
    if distinct_failures:
        return Error(sorted(distinct_failures.values(), key=lambda f: f.path))
    settings = cattrs.structure(document, Settings)
    failures = list(_checks.check_combinations(settings))
    return Error(failures) if failures else Ok(settings)


def _failures_of_violation(
    error: jsonschema.ValidationError,
) -> list[SettingsFailure]:
    path = [str(part) for part in error.absolute_path]
    properties = error.schema.get("properties", {})
    match error.validator:
        case "additionalProperties":
            allowed = "one of " + ", ".join(properties)
            return [
                UnknownKey(
                    "/".join([*path, key]), _mask_tokens(key, value), allowed
                )
                for key, value in error.instance.items()
                if key not in properties
            ]
        case "required":
            return [
                MissingKey(
                    "/".join([*path, key]),
                    None,
                    describe_allowed(properties[key]),
                )
                for key in error.validator_value
                if key not in error.instance
            ]
    found = _mask_tokens(path[-1] if path else "", error.instance)
    return [InvalidValue("/".join(path), found, describe_allowed(error.schema))]


def _mask_tokens(key: str, value: Any) -> Any:
    """Replaces tokens in a value, because failures are logged and printed.

    Args:
        key: Key of the value. All of its value is masked if it contains
            "token", since an unknown key may hold a secret as well.
        value: Decoded JSON.
    """
    if "token" in key:
        return _checks.TOKEN_MASK
    if isinstance(value, dict):
        return {k: _mask_tokens(k, v) for k, v in value.items()}
    if isinstance(value, list):
        return [_mask_tokens(key, v) for v in value]
    return value


def _reject_constant(name: str) -> float:
    raise ValueError(f"{name} is not a JSON number")
