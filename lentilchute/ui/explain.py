"""``lentilchute explain``: one request's story and its cause, from the logs of gateway nodes."""

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


@register_command("explain", help="Tell one request's story from the logs of gateway nodes.")
@dataclass
class Explain:
    """Reads log files of any number of nodes, or standard input without any."""

    request_id: Annotated[str, cappa.Arg(help="The id of the caller's attempt.")]
    logs: Annotated[list[str], cappa.Arg(help="Log files; `-` is standard input.")] = field(
        default_factory=list
    )
    json: Annotated[bool, cappa.Arg(long=True, help="Print the story as JSON.")] = False

    def __call__(self) -> ExitCode:
        with ExitStack() as stack:
            sources = [(Path(name).stem, _open(name, stack)) for name in self.logs or ["-"]]
            story = read_timeline(self.request_id, sources)
        if not story.lines:
            raise UserError(f"no event names the request {self.request_id}" + _unreadable(story))
        print(_as_json(story) if self.json else "\n".join(_as_text(story)))
        return ExitCode.OK


def _open(name: str, stack: ExitStack) -> TextIO:
    if name == STANDARD_INPUT:
        return sys.stdin
    try:
        return stack.enter_context(open(name, encoding="utf-8", errors="replace"))
    except OSError as error:
        raise UserError(f"cannot read {name}: {error.strerror}") from error


def _as_text(story: RequestTimeline) -> Iterator[str]:
    start_s = story.lines[0].at_s
    for line in story.lines:
        yield f"{line.at_s - start_s:9.4f} s  {line.node}  {line.event}  {describe(line)}"
    yield f"Cause: {story.cause}."
    if story.unreadable:
        yield _unreadable(story).removeprefix("; ")


def _as_json(story: RequestTimeline) -> str:
    lines = [dataclasses.asdict(line) for line in story.lines]
    body = {
        "request_id": story.request_id,
        "cause": story.cause,
        "lines": lines,
        "unreadable": story.unreadable,
    }
    return json.dumps(body)


def _unreadable(story: RequestTimeline) -> str:
    if not story.unreadable:
        return ""
    return f"; {len(story.unreadable)} lines cannot be read, the first at {story.unreadable[0]}"
