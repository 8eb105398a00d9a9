"""What nodes of other builds understand: the numbers of the messages that they read.

Fields are compatible by themselves: new ones are optional, and unknown ones are skipped. A message
is not: earlier builds close the link on which an unknown one arrives. So each node names in its
greeting the messages that it reads, and is sent no others.
"""

from collections.abc import Iterable

from . import peer_structs

EARLIER_MESSAGES = frozenset(range(1, 39))
"""Numbers of the messages that builds read whose greeting names none."""
OWN_MESSAGES = frozenset(peer_structs.PeerMessage.thrift_spec)
"""Numbers of the messages that this build reads."""

_STRUCT_TYPE = 12
_HEAD_BYTES = 3


def stated_messages(numbers: Iterable[int] | None) -> frozenset[int]:
    """Return the numbers of the messages that a peer reads, from its greeting."""
    return EARLIER_MESSAGES if numbers is None else frozenset(numbers)


def message_number(payload: bytes) -> int | None:
    """Return the number of an encoded message, or ``None`` if it encodes none."""
    if len(payload) <= _HEAD_BYTES or payload[0] != _STRUCT_TYPE:
        return None
    return int.from_bytes(payload[1:_HEAD_BYTES], "big", signed=True)


def is_of_later_build(payload: bytes) -> bool:
    """Return whether a payload is a message that only later builds know."""
    number = message_number(payload)
    return number is not None and number not in OWN_MESSAGES
