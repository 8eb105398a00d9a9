"""``lentilchute explain``: show one request's timeline and cause from logs of gateway nodes."""

import dataclasses
import json
import sys
from collections.abc import Iterator
from contextlib import ExitStack
from dataclasses import dataclass, field
from pathlib import Path
from typing import Annotated, TextIO

import cappa

from ..errors import ExitCode, UserError
from ..request_timeline import RequestTimeline, describe, read_timeline
from .registry import register_command

STANDARD_INPUT = "-"


@register_command(
    "explain", help="Show one request's timeline and cause from the logs of gateway nodes."
)
@dataclass
class Explain:
    """Reads the log files of any number of nodes, or standard input if none is given."""

    request_id: Annotated[str, cappa.Arg(help="Id of the caller's attempt.")]
    logs: Annotated[list[str], cappa.Arg(help="Log files; `-` is standard input.")] = field(
        default_factory=list
    )
    json: Annotated[bool, cappa.Arg(long=True, help="Print the timeline as JSON.")] = False

    def __call__(self) -> ExitCode:
        with ExitStack() as stack:
            sources = [(Path(name).stem, _open(name, stack)) for name in self.logs or ["-"]]
            timeline = read_timeline(self.request_id, sources)
        if not timeline.lines:
            raise UserError(f"no event of request {self.request_id} found" + _unreadable(timeline))
        print(_as_json(timeline) if self.json else "\n".join(_as_text(timeline)))
        return ExitCode.OK


def _open(name: str, stack: ExitStack) -> TextIO:
    if name == STANDARD_INPUT:
        return sys.stdin
    try:
        return stack.enter_context(open(name, encoding="utf-8", errors="replace"))
    except OSError as error:
        raise UserError(f"cannot read {name}: {error.strerror}") from error


def _as_text(timeline: RequestTimeline) -> Iterator[str]:
    start_s = timeline.lines[0].at_s
    for line in timeline.lines:
        yield f"{line.at_s - start_s:9.4f} s  {line.node}  {line.event}  {describe(line)}"
    yield f"Cause: {timeline.cause}."
    if timeline.unreadable:
        yield _unreadable(timeline).removeprefix("; ")


def _as_json(timeline: RequestTimeline) -> str:
    lines = [dataclasses.asdict(line) for line in timeline.lines]
    body = {
        "request_id": timeline.request_id,
        "cause": timeline.cause,
        "lines": lines,
        "unreadable": timeline.unreadable,
    }
    return json.dumps(body)


def _unreadable(timeline: RequestTimeline) -> str:
    if not timeline.unreadable:
        return ""
    return (
        f"; {len(timeline.unreadable)} lines cannot be read, the first at {timeline.unreadable[0]}"
    )
