"""``python -m lentilchute.measure``: simulate cases and report the metrics of each run."""

from dataclasses import dataclass, field
from pathlib import Path
from typing import Annotated

import cappa

from .cases import CASES
from .report import draw_charts, format_table, write_json
from .runs import RunKey, simulate_all
from .variants import VARIANTS


@dataclass
class Measure:
    """Measure the scheduler's decisions in virtual time.

    Without options, runs every case with every variant and seed 1.
    """

    cases: Annotated[list[str], cappa.Arg(long=True, num_args=-1)] = field(
        default_factory=lambda: [case.name for case in CASES]
    )
    variants: Annotated[list[str], cappa.Arg(long=True, num_args=-1)] = field(
        default_factory=lambda: list(VARIANTS)
    )
    seeds: Annotated[list[int], cappa.Arg(long=True, num_args=-1)] = field(
        default_factory=lambda: [1]
    )
    jobs: Annotated[int, cappa.Arg(long=True)] = 1
    """Number of worker processes."""
    json: Annotated[Path | None, cappa.Arg(long=True)] = None
    picture: Annotated[Path | None, cappa.Arg(long=True)] = None


def main(options: Measure) -> None:
    """Run the selected simulations, print a table and write the requested files."""
    keys = [
        RunKey(case, variant, seed)
        for case in options.cases
        for variant in options.variants
        for seed in options.seeds
    ]
    results = simulate_all(keys, options.jobs)
    print(format_table(results))
    if options.json is not None:
        write_json(results, options.json)
    if options.picture is not None:
        draw_charts(results, options.picture)


if __name__ == "__main__":
    main(cappa.parse(Measure))
