"""Tests of ``lentilchute call``."""

import json
from pathlib import Path

import cappa
import pytest
import trio

from lentilchute import ui
from lentilchute.caller.client import CallResult, CallState
from lentilchute.errors import ExitCode
from lentilchute.http.messages import header_value, join_address
from lentilchute.http.server import (
    HttpRequest,
    HttpServer,
    HttpServerSettings,
    Responder,
    open_listeners,
)
from lentilchute.scheduler.tickets import Outcome
from lentilchute.ui.call import Call, GeneratedTextExtractor, as_json, exit_code, summary_line


def parse(*argv: str) -> Call:
    command = cappa.parse(ui.root_command("call"), argv=["call", *argv]).command
    assert isinstance(command, Call)
    return command


def send(command: Call) -> tuple[CallResult, bytes]:
    """Run the command against an entry that echoes the request's body and key."""

    async def main() -> tuple[CallResult, bytes]:
        listeners = await open_listeners("127.0.0.1:0")
        address = join_address(*listeners[0].socket.getsockname()[:2])

        async def handle(request: HttpRequest, responder: Responder) -> None:
            if request.path == "/entries":
                line = {"instance": "e-1", "address": address, "availability_zone": "z"}
                body = json.dumps({"entries": [line], "keep_s": 10}).encode()
                await responder.answer(200, (), body)
                return
            key = header_value(request.headers, "authorization") or ""
            body = f"{request.method} {request.path} {key} ".encode() + request.body
            await responder.answer(200, (("lentilchute-outcome", "ran"),), body)

        async with trio.open_nursery() as nursery:
            server = HttpServer(HttpServerSettings(), handle)
            await nursery.start(server.serve, listeners)
            command.entry = (address,)
            sent = await command._send()
            nursery.cancel_scope.cancel()
        return sent

    return trio.run(main)


def test_a_call_sends_its_body_and_key_and_prints_the_answer(
    tmp_path: Path, capfdbinary: pytest.CaptureFixture[bytes]
) -> None:
    (tmp_path / "key").write_text("from-a-file\n")
    (tmp_path / "body").write_text("{}")
    argv = ["agenda-core", "bookings", "--entry", "x", "--data", f"@{tmp_path / 'body'}"]
    command = parse(*argv, "--key-file", str(tmp_path / "key"))
    result, _ = send(command)
    assert exit_code(result) == ExitCode.OK
    out = capfdbinary.readouterr().out
    assert out == b"POST /services/agenda-core/bookings Bearer from-a-file {}"


def test_a_prompt_becomes_a_chat_completion_and_json_carries_the_answer(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setenv("LENTILCHUTE_KEY", "from-the-environment")
    result, answer = send(parse("lentil-drafters", "--prompt", "hello", "--model", "m", "--json"))
    shown = as_json(result, answer)
    assert shown["state"] == "complete" and shown["entry"] == "e-1"
    start = "POST /services/lentil-drafters/v1/chat/completions Bearer from-the-environment "
    assert shown["answer"].startswith(start)
    assert json.loads(shown["answer"].removeprefix(start))["messages"][0]["content"] == "hello"


@pytest.mark.parametrize(
    ("state", "outcome", "status", "code"),
    [
        (CallState.COMPLETE, Outcome.RAN, 200, ExitCode.OK),
        (CallState.COMPLETE, Outcome.RAN, 404, ExitCode.FAILED),
        (CallState.REFUSED, Outcome.NOT_RUN, 503, ExitCode.FAILED),
        (CallState.REFUSED, Outcome.MAY_HAVE_RUN, 502, ExitCode.UNKNOWN_OUTCOME),
        (CallState.BROKEN, Outcome.MAY_HAVE_RUN, 200, ExitCode.UNKNOWN_OUTCOME),
        (CallState.UNREACHABLE, Outcome.NOT_RUN, None, ExitCode.UNREACHABLE),
    ],
)
def test_the_exit_code_shows_the_outcome_of_the_request(
    state: CallState, outcome: Outcome, status: int | None, code: ExitCode
) -> None:
    result = CallResult(state, outcome, status, "a reason", ("a field: wrong",), 2.0)
    assert exit_code(result) == code
    line = summary_line(result)
    assert outcome.value in line and "a field: wrong" in line
    assert ("2 s" in line) == (status == 503)


def test_only_the_generated_text_is_extracted() -> None:
    stream = b'data: {"choices": [{"delta": {"content": "a "}}]}\n\ndata: [DONE]\n\n'
    text = GeneratedTextExtractor()
    assert b"".join(text.feed(stream[i : i + 7]) for i in range(0, len(stream), 7)) == b"a "
    assert text.finish() == b"\n"
    unstreamed = GeneratedTextExtractor()
    assert (
        unstreamed.feed(b'{"choices": [{"message": {"con') + unstreamed.feed(b'tent": "b"}}]}')
        == b""
    )
    assert unstreamed.finish() == b"b\n"


def test_a_call_needs_an_entry(capsys: pytest.CaptureFixture[str]) -> None:
    assert ui.run(["call", "agenda-core"]) == ExitCode.FAILED
    assert "--entry" in capsys.readouterr().err
