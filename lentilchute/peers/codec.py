"""Encodes messages as thrift structs and decodes them.

Each message is a frozen dataclass with the field names of a struct in ``peer.thrift``. A decorator
registers it under the name of its field in ``PeerMessage``::

    @peer_message("withdraw")
    @dataclass(frozen=True, slots=True)
    class Withdraw: ...

Converters are built once per class, from its annotations.
"""

import array
import dataclasses
import operator
import sys
import types
import typing
from collections.abc import Callable, Sequence
from enum import Enum
from typing import Any, TypeVar

from result import Err, Ok, Result
from thriftpy2.protocol.cybin.cybin import TCyBinaryProtocol
from thriftpy2.thrift import TException
from thriftpy2.transport.memory.cymemory import TCyMemoryBuffer

from ..ids import BlockHash
from ..util.thrift_bounds import check_struct
from . import peer_structs

RELATIVE_FIELDS = frozenset({"deadline_s", "expires_s", "dispatched_s"})
"""Fields that hold a time of the local clock in memory and a duration on the wire."""

WIRE_NAMES = {"service": "service_name", "end": "end_state"}
"""Names in the IDL of fields whose own name is a reserved word of thrift."""

Converter = Callable[[Any, float], Any]
Message = TypeVar("Message")

_class_by_field: dict[str, type[Any]] = {}
_field_by_class: dict[type[Any], str] = {}
_converters: dict[type[Any], tuple[Converter, Converter]] = {}


class UnknownValueError(ValueError):
    """A value that an enumeration of this build lacks; a later build may have it."""


def peer_message(field: str) -> Callable[[type[Message]], type[Message]]:
    """Register a message class under the name of its field in ``PeerMessage``."""

    def register(cls: type[Message]) -> type[Message]:
        _class_by_field[field] = cls
        _field_by_class[cls] = field
        return cls

    return register


def registered_messages() -> dict[str, type[Any]]:
    """Return the registered message classes by field name."""
    return dict(_class_by_field)


def message_number_of(message_type: type[Any]) -> int:
    """Return the number of a registered message class, by which nodes name what they read."""
    name = _field_by_class[message_type]
    specs = peer_structs.PeerMessage.thrift_spec.items()
    return next(number for number, spec in specs if spec[1] == name)


def encode_message(message: object, now_s: float) -> bytes:
    """Return the thrift encoding of a registered message."""
    field = _field_by_class[type(message)]
    to_wire, _ = _struct_converter(type(message))
    return write_struct(peer_structs.PeerMessage(**{field: to_wire(message, now_s)}))


def write_struct(struct: Any) -> bytes:
    """Return the encoding of a struct of the IDL."""
    buffer = TCyMemoryBuffer()
    struct.write(TCyBinaryProtocol(buffer))
    return bytes(buffer.getvalue())


def read_struct(struct: Any, data: bytes) -> Any:
    """Fill an empty struct of the IDL from ``data`` and return it.

    Raises ``ValueError`` when a size that ``data`` states exceeds its length.
    """
    check_struct(data)
    struct.read(TCyBinaryProtocol(TCyMemoryBuffer(data)))
    return struct


def decode_message(data: bytes, now_s: float) -> Result[Any, str | UnknownValueError]:
    """Return the message that ``data`` encodes, or an error message.

    The error of a message that is valid but for an unknown value is an ``UnknownValueError``.
    """
    try:
        envelope = read_struct(peer_structs.PeerMessage(), data)
        present = [name for name, value in vars(envelope).items() if value is not None]
        if len(present) != 1:
            return Err(f"frame holds {len(present)} messages instead of one")
        _, from_wire = _struct_converter(_class_by_field[present[0]])
        return Ok(from_wire(getattr(envelope, present[0]), now_s))
    except (TException, EOFError) as error:
        return Err(f"invalid thrift message: {type(error).__name__}")
    except UnknownValueError as error:
        return Err(error)
    except (ValueError, TypeError, KeyError, AttributeError, IndexError, OverflowError) as error:
        return Err(f"invalid field value: {type(error).__name__}")


def _unchanged(value: Any, _now_s: float) -> Any:
    return value


def _required(value: Any, _now_s: float) -> Any:
    _require(value)
    return value


def _require(value: Any) -> None:
    if value is None:
        raise ValueError("required field is missing")


def _to_relative(value: float, now_s: float) -> float:
    return value - now_s


def _from_relative(value: float, now_s: float) -> float:
    return value + now_s


def _pack_hashes(hashes: tuple[BlockHash, ...], _now_s: float) -> bytes:
    packed = array.array("Q", hashes)
    if sys.byteorder == "big":
        packed.byteswap()
    return packed.tobytes()


def _unpack_hashes(data: bytes | str, _now_s: float) -> tuple[BlockHash, ...]:
    unpacked = array.array("Q")
    unpacked.frombytes(data if isinstance(data, bytes) else data.encode("utf-8"))
    if sys.byteorder == "big":
        unpacked.byteswap()
    return tuple(BlockHash(value) for value in unpacked)


def _converter(annotation: Any) -> tuple[Converter, Converter]:
    """Return functions that convert a value of this type to its wire form and back."""
    while isinstance(annotation, typing.NewType):
        annotation = annotation.__supertype__
    if dataclasses.is_dataclass(annotation):
        return _struct_converter(typing.cast(type[Any], annotation))
    if isinstance(annotation, type) and issubclass(annotation, Enum):
        return _enum_converter(annotation)
    origin = typing.get_origin(annotation)
    if origin in {tuple, list, frozenset}:
        return _sequence_converter(origin, typing.get_args(annotation)[0])
    if origin in {typing.Union, types.UnionType}:
        return _unchanged, _unchanged
    if annotation is bytes:
        return _unchanged, _as_bytes
    return _unchanged, _required


def _enum_converter(states: type[Enum]) -> tuple[Converter, Converter]:
    by_value = {state.value: state for state in states}

    def from_wire(value: Any, _now_s: float) -> Enum:
        state = by_value.get(value)
        if state is None:
            _require(value)
            raise UnknownValueError(f"{states.__name__} has no value {value!r}")
        return state

    return (lambda value, _now_s: value.value), from_wire


def _as_bytes(value: bytes | str, _now_s: float) -> bytes:
    return value if isinstance(value, bytes) else value.encode("utf-8")


def _sequence_converter(origin: type[Any], item: Any) -> tuple[Converter, Converter]:
    if item is BlockHash:
        return _pack_hashes, _unpack_hashes
    to_item, from_item = _converter(item)

    def to_wire(values: Any, now_s: float) -> list[Any]:
        return [to_item(value, now_s) for value in values]

    def from_wire(values: Any, now_s: float) -> Any:
        # A node of an earlier version leaves out lists that it does not know.
        return origin(from_item(value, now_s) for value in values or ())

    return to_wire, from_wire


def _struct_converter(cls: type[Any]) -> tuple[Converter, Converter]:
    converters = _converters.get(cls)
    if converters is None:
        converters = _build_struct_converter(cls)
        _converters[cls] = converters
    return converters


def _build_struct_converter(cls: type[Any]) -> tuple[Converter, Converter]:
    struct = getattr(peer_structs, cls.__name__)
    hints = typing.get_type_hints(cls)
    names = [field.name for field in dataclasses.fields(cls)]
    encoders = {name: _field_converter(name, hints[name]) for name in names}
    wire = {name: WIRE_NAMES.get(name, name) for name in names}
    wire_names = {spec[1] for spec in struct.thrift_spec.values()}
    if wire_names != set(wire.values()):
        raise TypeError(
            f"fields of {cls.__name__} differ from its thrift struct: {wire_names ^ set(names)}"
        )

    to_names = tuple(wire.values())
    # Most fields have the same value in both forms, so only the others are looked at one by one.
    encoded = [(wire[name], f) for name, (f, _) in encoders.items() if f is not _unchanged]
    required = [i for i, name in enumerate(names) if encoders[name][1] is _required]
    decoded = [
        (i, encoders[name][1])
        for i, name in enumerate(names)
        if encoders[name][1] not in (_unchanged, _required)
    ]
    read_fields, read_wire = _reader(names), _reader(to_names)

    def to_wire(value: Any, now_s: float) -> Any:
        fields = dict(zip(to_names, read_fields(value), strict=True))
        for name, convert in encoded:
            fields[name] = convert(fields[name], now_s)
        return struct(**fields)

    def from_wire(value: Any, now_s: float) -> Any:
        values = read_wire(value)
        if None in values:
            for i in required:
                _require(values[i])
        if decoded:
            values = list(values)
            for i, convert in decoded:
                values[i] = convert(values[i], now_s)
        return cls(*values)

    return to_wire, from_wire


def _reader(names: Sequence[str]) -> Callable[[Any], Sequence[Any]]:
    """Return a function that reads these attributes of an object."""
    if len(names) > 1:
        return operator.attrgetter(*names)
    return lambda value: tuple(getattr(value, name) for name in names)


def _field_converter(name: str, annotation: Any) -> tuple[Converter, Converter]:
    if name in RELATIVE_FIELDS:
        return _to_relative, _from_relative
    return _converter(annotation)
