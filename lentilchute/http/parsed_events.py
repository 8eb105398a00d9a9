"""Events that h11 parses from what has arrived."""

import h11


def next_event(http: h11.Connection) -> object:
    """Return h11's next event, ``NEED_DATA`` or ``PAUSED``.

    Raises ``h11.RemoteProtocolError`` for what is not HTTP/1.1. h11 raises it in a method of the
    error itself, so that its traceback refers to it, and to the callers' frames with all that they
    hold. Only the cyclic collector would free those; hence the error comes without that part.
    """
    try:
        return http.next_event()
    except h11.RemoteProtocolError as error:
        raise error.with_traceback(None) from None
