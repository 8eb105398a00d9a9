"""``lentilchute call``: send one request to a service through an entry."""

import json
import os
import random
import sys
from dataclasses import dataclass
from pathlib import Path
from typing import Annotated, Any

import cappa
import trio
from result import Err

from ..caller.client import CallerClient, CallerSettings, CallRequest, CallResult, CallState
from ..errors import ExitCode, UserError
from ..http.messages import JSON_HEADER
from ..http.sse import SseReader
from ..scheduler.tickets import Outcome
from .registry import register_command

KEY_VARIABLE = "LENTILCHUTE_KEY"
MODEL_PATH = "/v1/chat/completions"


@register_command("call", help="Send a request to a service and print its answer.")
@dataclass
class Call:
    """Reads the list of entries from an entry, sends the request to one, streams the answer.

    A request that was refused before it ran is retried within the deadline, after the delay that
    the refusal states. A request that may have run is retried only with an idempotency key.
    """

    service: Annotated[str, cappa.Arg(help="Name of the service.")]
    path: Annotated[str, cappa.Arg(help="Path within the service.")] = MODEL_PATH
    entry: Annotated[
        tuple[str, ...], cappa.Arg(long=True, help="HOST:PORT of an entry; may be repeated.")
    ] = ()
    key_file: Annotated[
        str,
        cappa.Arg(long=True, help=f"File with the bearer key; default: the key in {KEY_VARIABLE}."),
    ] = ""
    zone: Annotated[
        str, cappa.Arg(long=True, help="Availability zone whose entries are preferred.")
    ] = ""
    method: Annotated[
        str, cappa.Arg(long=True, help="HTTP method; default: POST with a body, else GET.")
    ] = ""
    data: Annotated[
        str, cappa.Arg(long=True, help="Body; @FILE reads a file, @- reads standard input.")
    ] = ""
    prompt: Annotated[str, cappa.Arg(long=True, help="Prompt of a chat completion.")] = ""
    model: Annotated[str, cappa.Arg(long=True, help="Model for the prompt.")] = ""
    max_tokens: Annotated[
        int, cappa.Arg(long=True, help="Maximum number of tokens to generate.")
    ] = 256
    stream: Annotated[bool, cappa.Arg(long=True, help="Stream the answer to the prompt.")] = False
    tier: Annotated[str, cappa.Arg(long=True, help="Name of a tier of the service.")] = ""
    deadline_s: Annotated[
        float, cappa.Arg(long=True, help="Seconds after which the answer is no longer useful.")
    ] = 60.0
    idempotency_key: Annotated[
        str, cappa.Arg(long=True, help="Makes retries safe; use the same key for the same request.")
    ] = ""
    text: Annotated[
        bool, cappa.Arg(long=True, help="Print only the text that a model generates.")
    ] = False
    json: Annotated[bool, cappa.Arg(long=True, help="Print result and answer as JSON.")] = False

    def __call__(self) -> ExitCode:
        """Send the request and print its answer."""
        if not self.entry:
            raise UserError("give at least one entry with --entry HOST:PORT")
        result, answer = trio.run(self._send)
        if self.json:
            print(json.dumps(as_json(result, answer)))
        elif result.state is not CallState.COMPLETE:
            print(f"lentilchute: {summary_line(result)}", file=sys.stderr)
        return exit_code(result)

    async def _send(self) -> tuple[CallResult, bytes]:
        settings = CallerSettings(self.entry, self._key(), self.zone)
        client = CallerClient(settings, random.Random())
        received = bytearray()
        text = GeneratedTextExtractor()

        async def deliver(part: bytes) -> None:
            if self.json:
                received.extend(part)
                return
            sys.stdout.buffer.write(text.feed(part) if self.text else part)
            sys.stdout.buffer.flush()

        result = await client.call(self._request(), deliver, _report)
        if self.text:
            sys.stdout.buffer.write(text.finish())
        await client.aclose()
        return result, bytes(received)

    def _key(self) -> str:
        if self.key_file:
            return _read(self.key_file).decode("utf-8", "replace").strip()
        return os.environ.get(KEY_VARIABLE, "")

    def _request(self) -> CallRequest:
        body = self._body()
        return CallRequest(
            service=self.service,
            path=self.path,
            method=self.method or ("POST" if body else "GET"),
            headers=(JSON_HEADER,) if body else (),
            body=body,
            tier=self.tier or None,
            deadline_s=self.deadline_s,
            idempotency_key=self.idempotency_key or None,
        )

    def _body(self) -> bytes:
        if self.prompt:
            messages = [{"role": "user", "content": self.prompt}]
            call: dict[str, Any] = {"model": self.model, "messages": messages}
            call |= {"max_tokens": self.max_tokens, "stream": self.stream}
            return json.dumps(call).encode()
        if self.data == "@-":
            return sys.stdin.buffer.read()
        if self.data.startswith("@"):
            return _read(self.data[1:])
        return self.data.encode()


class GeneratedTextExtractor:
    """Extracts the generated text from a model's answer, streamed or not."""

    def __init__(self) -> None:
        self._sse = SseReader()
        self._body = bytearray()

    def feed(self, part: bytes) -> bytes:
        """Return the text of the events that ``part`` completes."""
        if self._body or part.startswith(b"{"):
            self._body += part
            return b""
        events = self._sse.feed(part)
        if isinstance(events, Err):
            return part
        return b"".join(_generated_text(event.data) for event in events.ok_value)

    def finish(self) -> bytes:
        """Return the text of an answer that is not streamed, and a final line break."""
        return _generated_text(bytes(self._body)) + b"\n"


def _generated_text(data: bytes) -> bytes:
    """Return the generated text of one JSON object, or nothing if it has none."""
    try:
        choice = json.loads(data)["choices"][0]
        content = choice.get("delta") or choice.get("message") or {"content": choice.get("text")}
        return str(content.get("content") or "").encode()
    except (ValueError, LookupError, TypeError, AttributeError, RecursionError):
        return b""


def exit_code(result: CallResult) -> ExitCode:
    """Return the exit code for a call's state and the outcome of its request."""
    if result.state is CallState.COMPLETE:
        is_success = result.status is not None and result.status < 400
        return ExitCode.OK if is_success else ExitCode.FAILED
    if result.outcome is Outcome.MAY_HAVE_RUN:
        return ExitCode.UNKNOWN_OUTCOME
    return ExitCode.UNREACHABLE if result.state is CallState.UNREACHABLE else ExitCode.FAILED


def summary_line(result: CallResult) -> str:
    """Return one line with the state of a call, its reasons and the outcome of the request."""
    reasons = "; ".join((result.reason, *result.findings))
    line = f"{result.state.value}: {reasons}; the request's outcome: {result.outcome.value}"
    if result.retry_after_s is not None and result.status == 503:
        line += f"; retry in {result.retry_after_s:.0f} s"
    return line


def as_json(result: CallResult, answer: bytes) -> dict[str, Any]:
    """Return the result for scripts, as a JSON object."""
    return {
        "state": result.state.value,
        "outcome": result.outcome.value,
        "status": result.status,
        "reason": result.reason,
        "findings": list(result.findings),
        "retry_after_s": result.retry_after_s,
        "entry": result.entry,
        "attempts": result.attempts,
        "answer": answer.decode("utf-8", "replace"),
    }


def _report(line: str) -> None:
    print(line, file=sys.stderr)


def _read(path: str) -> bytes:
    try:
        return Path(path).read_bytes()
    except OSError as error:
        raise UserError(f"{path}: {error.strerror}") from error
