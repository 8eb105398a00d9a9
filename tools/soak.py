"""Runs the fault soak: real nodes as processes, and faults from outside them.

    .venv/bin/python tools/soak.py --seed 1 --seeds 50 --minutes 0.5 --nodes 4

Each seed is a run of its own. It prints a line of counts for each, a line for each promise that was
broken, and exits with 1 if there was one; the nodes' logs stay in the directory that it names.
"""

import argparse
import sys
import tempfile
from pathlib import Path

sys.path.insert(0, str(Path(__file__).parent.parent / "test"))
sys.path.insert(0, str(Path(__file__).parent.parent / "test/soak"))

from soak_run import run_soak


def main() -> int:
    """Run the seeds and return the exit code."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seed", type=int, default=1, help="the first seed")
    parser.add_argument("--seeds", type=int, default=1, help="how many seeds, in turn")
    parser.add_argument("--minutes", type=float, default=0.5, help="time with faults, a seed")
    parser.add_argument("--nodes", type=int, default=4, help="gateway processes")
    arguments = parser.parse_args()
    has_findings = False
    for seed in range(arguments.seed, arguments.seed + arguments.seeds):
        directory = Path(tempfile.mkdtemp(prefix=f"soak-{seed}-"))
        report = run_soak(seed, arguments.minutes * 60, arguments.nodes, directory)
        print("\n".join(report.lines()), f"({directory})", flush=True)
        has_findings = has_findings or bool(report.findings)
    return int(has_findings)


if __name__ == "__main__":
    sys.exit(main())
