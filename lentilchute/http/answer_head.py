"""The form of an answer's head; free of I/O.

h11 reads heads leniently: it takes statuses up to 999, any version, control bytes in values, a
line that continues the one before, and a line feed alone as the end of a line. What one reader
takes for a field may be the beginning of the body to another, so all of these make a head invalid::

    is_valid_head(b"HTTP/1.1 200 OK\\r\\nserver: x\\r\\n\\r\\n")      # True
    is_valid_head(b"HTTP/1.1 999 OK\\r\\nserver: x\\r\\n\\r\\n")      # False
    is_valid_head(b"HTTP/1.1 200 OK\\r\\nserver: x\\r\\n y: z\\r\\n\\r\\n")      # False

Names of fields are left to h11, which takes tokens only. Source: RFC 9112, sections 2.2, 4 and 5,
and RFC 9110, sections 5.5 and 15.
"""

import re

_TEXT = rb"[^\x00-\x08\x0a-\x1f\x7f]*"
"""What a line may hold: no control bytes but the tab."""
_STATUS_LINE = rb"HTTP/1\.[0-9] [1-5][0-9]{2}(?: " + _TEXT + rb")?\r\n"
_FIELD_LINE = rb"[!-~]" + _TEXT + rb"\r\n"
_HEAD = re.compile(_STATUS_LINE + rb"(?:" + _FIELD_LINE + rb")*\r\n")


def is_valid_head(head: bytes) -> bool:
    """Return whether the bytes that h11 took for a head, up to its blank line, are one."""
    return _HEAD.fullmatch(head) is not None
