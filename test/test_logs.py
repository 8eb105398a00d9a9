"""Tests of the log output: buffered lines without secrets."""

import io
import json
from collections.abc import Iterator
from pathlib import Path

import eliot
import pytest

from lentilchute import logs
from lentilchute.errors import UserError
from lentilchute.events import Event, log_event
from lentilchute.logs import LogWriter, open_log

MARKER = "marker-7f3a-never-in-a-log"


@pytest.fixture
def file() -> io.BytesIO:
    return io.BytesIO()


@pytest.fixture
def writer(file: io.BytesIO) -> Iterator[LogWriter]:
    writer = LogWriter(file)
    eliot.add_destinations(writer)
    yield writer
    eliot.remove_destination(writer)


def lines(file: io.BytesIO) -> list[dict[str, object]]:
    return [json.loads(line) for line in file.getvalue().splitlines()]


def test_an_event_is_one_line_with_its_number(writer: LogWriter, file: io.BytesIO) -> None:
    log_event(Event.ROUTE_GRANTED, request_id="a.1/2", upstream="e1", reason="least wait")
    assert file.getvalue() == b""
    writer.flush()
    (line,) = [line for line in lines(file) if line.get("request_id") == "a.1/2"]
    assert (line["number"], line["message_type"]) == (300, "lentilchute:route_granted")


@pytest.mark.parametrize(
    "field", ["body", "prompt", "key", "idempotency_key", "shared_key", "authorization", "headers"]
)
def test_fields_with_secret_names_are_withheld(
    writer: LogWriter, file: io.BytesIO, field: str
) -> None:
    log_event(Event.REQUEST_ACCEPTED, **{field: MARKER})
    writer.flush()
    assert logs.WITHHELD.encode() in file.getvalue()
    assert MARKER.encode() not in file.getvalue()


def test_bodies_in_other_fields_are_not_written(writer: LogWriter, file: io.BytesIO) -> None:
    log_event(Event.BAD_INPUT, seen=MARKER.encode(), parts={"a": MARKER}, some=[{"b": MARKER}])
    log_event(Event.BAD_INPUT, seen="x" * logs.MAX_TEXT_CHARACTERS + MARKER)
    writer.flush()
    assert MARKER.encode() not in file.getvalue()


@pytest.mark.filterwarnings("ignore:MessageType.__call__")
def test_an_exception_message_is_withheld_but_its_location_is_logged(
    writer: LogWriter, file: io.BytesIO
) -> None:
    try:
        raise ValueError(MARKER)
    except ValueError:
        eliot.write_traceback()
    writer.flush()
    assert MARKER.encode() not in file.getvalue()
    assert b"test_logs.py" in file.getvalue()


def test_a_full_buffer_drops_the_oldest_lines_and_logs_the_count(
    writer: LogWriter, file: io.BytesIO, monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setattr(logs, "MAX_BUFFERED_LINES", 3)
    for number in range(5):
        log_event(Event.ROUTE_GRANTED, request_id=number)
    writer.flush()
    assert [line.get("request_id") for line in lines(file)][:3] == [2, 3, 4]
    assert lines(file)[-1] == {"message_type": logs.DROPPED_TYPE, "lines": 2}


def test_a_closed_log_file_raises_no_error() -> None:
    file = io.BytesIO()
    writer = LogWriter(file)
    writer({"message_type": "x"})
    file.close()
    writer.flush()


def test_a_file_is_appended_to_and_a_bad_path_raises_a_user_error(tmp_path: Path) -> None:
    path = tmp_path / "node.log"
    for _ in range(2):
        log = open_log(str(path))
        log_event(Event.NODE_STARTED)
        log.close()
    assert len(path.read_text().splitlines()) >= 2
    with pytest.raises(UserError):
        open_log(str(tmp_path / "absent" / "node.log"))
