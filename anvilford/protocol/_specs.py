"""Specifications with which Thrift's C extension handles message classes.

The extension reads and writes any class for which it is given a specification.
The generated specifications in `wire` refer to the generated classes; those
built here refer to the message classes instead. This avoids copying every
struct, which matters for lists of thousands of VMs.
"""

import enum
import math
import types
import typing
from collections.abc import Callable
from typing import Any

import attrs
from thrift.protocol.TBase import TFrozenBase
from thrift.Thrift import TType

from anvilford.leadership import Leader
from anvilford.leadership import Member
from anvilford.leadership import Opinion
from anvilford.model import EncodedAnswer
from anvilford.model import Incarnation
from anvilford.placement import JobSpec
from anvilford.placement import Offer
from anvilford.placement import Outcome
from anvilford.placement import QueuePolicy
from anvilford.placement import Resources
from anvilford.placement import StepSpec
from anvilford.placement import TargetLoss
from anvilford.protocol import _messages
from anvilford.protocol.wire import ttypes

# Attribute name by field name in the Thrift IDL, where the two differ. A
# keyword of the IDL, such as `service`, cannot be the name of a field.
_ATTRIBUTE_NAMES = {"service_name": "service"}
# Fields that messages of earlier builds lack, by class name. They decode to the
# default of the attribute.
_OPTIONAL_FIELDS = {
    "Heartbeat": ("cancelled_jobs",),
    "HeartbeatReply": ("cancelled_jobs", "accepts_cancellations"),
    "Offer": ("configuration_version",),
}
# Classes used in messages that other packages define, by name.
_SHARED_MESSAGE_CLASSES = {
    shared.__name__: shared
    for shared in (
        EncodedAnswer,
        Incarnation,
        JobSpec,
        Leader,
        Member,
        Offer,
        Opinion,
        Outcome,
        QueuePolicy,
        Resources,
        StepSpec,
        TargetLoss,
    )
}


class MissingFieldError(Exception):
    """A struct in a frame lacks a required field."""


class UnknownValueError(Exception):
    """A field holds an undefined enum value or a float that is not finite."""


def message_spec(struct: type, name: str | None = None) -> list:
    """Builds the specification of a message class and its nested structs.

    Args:
        struct: Generated class.
        name: Name of the message class, if it differs from that of `struct`.

    Returns:
        Class to instantiate and tuple of field specifications, in the form
        that the C extension expects.
    """
    message_class = _message_class(name or struct.__name__)
    return [_message_builder(message_class), field_specs(struct)]


def field_specs(struct: type) -> tuple:
    """Builds the field specifications of a generated class.

    Returns:
        Field specifications by field id; None for ids that are not used.
    """
    return tuple(
        None if field is None else _field_spec(*field)
        for field in struct.thrift_spec
    )


def envelope_field_names() -> dict[type, str]:
    """Returns the name of the `Envelope` field for each message class."""
    return {
        _message_class(field[3][0].__name__): field[2]
        for field in ttypes.Envelope.thrift_spec
        if field is not None and field[1] == TType.STRUCT
    }


def _field_spec(
    field_id: int, kind: int, name: str, arguments: Any, default: Any
) -> tuple:
    return (
        field_id,
        kind,
        _ATTRIBUTE_NAMES.get(name, name),
        _type_arguments(kind, arguments),
        default,
    )


def _type_arguments(kind: int, arguments: Any) -> Any:
    if kind == TType.STRUCT:
        return message_spec(arguments[0])
    if kind == TType.LIST:
        element, element_arguments, _ = arguments
        # True makes the C extension create a tuple instead of a list.
        return (element, _type_arguments(element, element_arguments), True)
    return arguments


def _message_class(name: str) -> type:
    return _SHARED_MESSAGE_CLASSES.get(name) or getattr(_messages, name)


def _message_builder(message_class: type) -> type:
    """Creates a class whose constructor checks fields and returns a message.

    The C extension skips fields of an unexpected wire type, so that they are
    missing here, and it guarantees the Python type of the others. It passes
    all fields to the constructor only for subclasses of `TFrozenBase`. Fields
    that are optional in the IDL have the type `X | None` and the default None.

    Args:
        message_class: Class of the messages that the constructor returns.
    """
    checks: list[tuple[str, Callable[[Any], Any]]] = []
    required = set()
    optional_names = _OPTIONAL_FIELDS.get(message_class.__name__, ())
    for name, hint in typing.get_type_hints(message_class).items():
        if not isinstance(hint, types.UnionType) and name not in optional_names:
            required.add(name)
        if isinstance(hint, enum.EnumType):
            checks.append((name, {m.value: m for m in hint}.get))
        elif hint is float:
            checks.append((name, _finite_or_none))
    count = len(attrs.fields(message_class))
    optional = {
        field.name: field.default
        for field in attrs.fields(message_class)
        if field.name in optional_names
    }

    def build(_: type, **fields: Any) -> Any:
        if len(fields) != count:
            if not required <= fields.keys():
                raise MissingFieldError
            fields = {**optional, **fields}
        for name, check in checks:
            value = check(fields[name])
            if value is None:
                raise UnknownValueError
            fields[name] = value
        return message_class(**fields)

    return type(message_class.__name__, (TFrozenBase,), {"__new__": build})


def _finite_or_none(value: float) -> float | None:
    return value if math.isfinite(value) else None
