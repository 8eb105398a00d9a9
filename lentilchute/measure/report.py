"""Reports the metrics of runs as a table, a JSON file and charts."""

import json
from collections.abc import Callable, Sequence
from dataclasses import asdict
from pathlib import Path
from statistics import fmean

from .cases import find_case
from .run_metrics import RunMetrics, missed_targets
from .runs import RunKey
from .variants import BASELINES

HEADER = (
    f"{'case':14}{'variant':20}{'top/bound':>10}{'t0':>6}{'t1':>6}{'t2':>6}{'t3':>6}{'work':>7}{'busy':>6}"
    f"{'waste':>7}{'first':>7}{'gap':>6}{'inv':>6}{'cut s':>7}{'small':>7}{'lost':>6}  missed"
)

Results = dict[RunKey, RunMetrics]


def format_table(results: Results) -> str:
    """Return a table with a row for each case and variant, aggregated over the seeds.

    The last column lists the targets that any of the seeds missed.
    """
    lines = [HEADER]
    for case in _distinct([key.case for key in results]):
        for variant in _distinct([key.variant for key in results if key.case == case]):
            lines.append(_format_row(results, case, variant))
    return "\n".join(lines)


def _distinct(names: Sequence[str]) -> list[str]:
    return list(dict.fromkeys(names))


def _format_row(results: Results, case: str, variant: str) -> str:
    keys = [key for key in results if key.case == case and key.variant == variant]
    runs = [results[key] for key in keys]
    tiers = "".join(f"{fmean(run.tier_goodput[t] for run in runs):6.3f}" for t in range(4))
    return (
        f"{case:14}{variant:20}{fmean(run.top_of_bound for run in runs):10.4f}{tiers}"
        f"{fmean(run.work_of_bound for run in runs):7.3f}"
        f"{_format_worst([run.overload_work for run in runs], min):>6}"
        f"{fmean(run.wasted_prefill for run in runs):7.3f}"
        f"{fmean(run.first_token_in_time for run in runs):7.3f}"
        f"{fmean(run.token_gap_in_time for run in runs):6.3f}"
        f"{sum(run.inversions for run in runs):6d}"
        f"{_format_worst([run.share_cut_s for run in runs], max):>7}"
        f"{_format_worst([run.small_accounts for run in runs], min):>7}"
        f"{sum(run.crashes for run in runs):6d}"
        f"  {', '.join(_missed(results, keys)) or '-'}"
    )


def _format_worst(
    values: Sequence[float | None], choose_worst: Callable[[list[float]], float]
) -> str:
    known = [value for value in values if value is not None]
    return f"{choose_worst(known):.2f}" if known else ""


def _missed(results: Results, keys: Sequence[RunKey]) -> list[str]:
    missed: list[str] = []
    for key in keys:
        missed += missed_targets(results[key], find_case(key.case), _best_waste(results, key))
    return _distinct(missed)


def _best_waste(results: Results, key: RunKey) -> float:
    """Return the lowest waste of the baselines for the same case and seed, or infinity."""
    return min(
        (
            results[RunKey(key.case, variant, key.seed)].wasted_prefill
            for variant in BASELINES
            if RunKey(key.case, variant, key.seed) in results
        ),
        default=float("inf"),
    )


def write_json(results: Results, path: Path) -> None:
    """Write the metrics to a JSON file, one object for each run."""
    rows = [asdict(key) | asdict(run_metrics) for key, run_metrics in results.items()]
    path.write_text(json.dumps(rows, indent=1) + "\n", encoding="utf-8")


def draw_charts(results: Results, path: Path) -> None:
    """Draw charts of top-tier goodput, useful work and wasted prefill by case and variant."""
    import matplotlib

    matplotlib.use("Agg")
    from matplotlib import pyplot

    cases = _distinct([key.case for key in results])
    variants = _distinct([key.variant for key in results])
    panels = (
        ("top tier, fraction of bound", "top_of_bound"),
        ("useful work, fraction of bound", "work_of_bound"),
        ("wasted prefill", "wasted_prefill"),
    )
    figure, axes = pyplot.subplots(len(panels), 1, figsize=(14, 12), sharex=True)
    for axis, (title, metric) in zip(axes, panels, strict=True):
        for position, variant in enumerate(variants):
            heights = [_mean(results, case, variant, metric) for case in cases]
            offset = (position - len(variants) / 2) * 0.8 / len(variants)
            axis.bar(
                [index + offset for index in range(len(cases))],
                heights,
                0.8 / len(variants),
                label=variant,
            )
        axis.set_title(title)
        axis.set_xticks(range(len(cases)), cases, rotation=20)
    axes[0].legend(ncol=5, fontsize=7)
    figure.tight_layout()
    figure.savefig(path)


def _mean(results: Results, case: str, variant: str, metric: str) -> float:
    values = [
        float(getattr(run_metrics, metric))
        for key, run_metrics in results.items()
        if key.case == case and key.variant == variant
    ]
    return fmean(values) if values else 0.0
