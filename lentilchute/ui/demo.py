"""``lentilchute demo``: run a complete deployment on embedded stand-ins and print its figures."""

import json
from dataclasses import asdict, dataclass
from typing import Annotated

import cappa
import trio

from ..demo import DemoResult, TierTally, run_demo
from ..errors import ExitCode
from .progress import Progress
from .registry import register_command
from .text_table import columns

HEADINGS: tuple[str, ...] = (
    "tier",
    "sent",
    "complete answers",
    "refused",
    "broken",
    "first token p50/p95",
)


@register_command("demo", help="Run three nodes on embedded stand-ins and show goodput by tier.")
@dataclass
class Demo:
    """Runs nodes, engines, a plain service and the platform on loopback, all in this process."""

    duration_s: Annotated[float, cappa.Arg(long=True, help="How long to send requests.")] = 8.0
    seed: Annotated[int, cappa.Arg(long=True, help="Random seed of the callers.")] = 1
    json: Annotated[bool, cappa.Arg(long=True, help="Print the figures as JSON.")] = False

    def __call__(self) -> ExitCode:
        progress = Progress()
        result = trio.run(run_demo, self.duration_s, self.seed, progress.update)
        progress.update("done")
        progress.close()
        if self.json:
            print(json.dumps(asdict(result)))
        else:
            print(as_text(result))
        return ExitCode.OK


def as_text(result: DemoResult) -> str:
    """Return the figures as plain text."""
    rows = [HEADINGS]
    rows += [_row(name, tally) for name, tally in result.tiers.items()]
    rows.append(_row("(bookings)", result.bookings))
    lines = [columns(rows), ""]
    wasted = sum(result.wasted_prefill_tokens.values())
    reasons = ", ".join(
        f"{reason} {count}" for reason, count in sorted(result.wasted_prefill_tokens.items())
    )
    lines.append(f"prompt tokens of complete answers: {result.prefill_tokens}")
    lines.append(f"wasted prefill tokens: {wasted}" + (f" ({reasons})" if reasons else ""))
    return "\n".join(lines)


def _row(name: str, tally: TierTally) -> tuple[str, ...]:
    refused = ", ".join(f"{count} {reason}" for reason, count in sorted(tally.refused.items()))
    return (
        name,
        str(tally.sent),
        str(tally.complete),
        refused or "0",
        str(tally.broken),
        _percentiles(tally.first_byte_s),
    )


def _percentiles(seconds: list[float]) -> str:
    if not seconds:
        return "-"
    ordered = sorted(seconds)
    middle = ordered[len(ordered) // 2]
    high = ordered[min(len(ordered) - 1, int(len(ordered) * 0.95))]
    return f"{middle * 1000:.0f}/{high * 1000:.0f} ms"
