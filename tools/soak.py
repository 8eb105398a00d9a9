"""Runs the soak test: real nodes as processes, with injected faults.

    .venv/bin/python tools/soak.py --seed 1 --seeds 50 --minutes 0.5 --nodes 4
    .venv/bin/python tools/soak.py --seed 1 --seeds 5 --beside a6e3b42

Each seed is a separate run. Prints a line of counts for each run and a line for each violated
guarantee, and exits with 1 if there was a violation. The nodes' logs are kept in the printed
directory.
"""

import argparse
import sys
import tempfile
from pathlib import Path

sys.path.insert(0, str(Path(__file__).parent.parent / "test"))
sys.path.insert(0, str(Path(__file__).parent.parent / "test/soak"))

from soak_builds import unpack_build
from soak_run import SCENARIOS, run_soak


def main() -> int:
    """Run all seeds and return the exit code."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seed", type=int, default=1, help="the first seed")
    parser.add_argument(
        "--seeds", type=int, default=1, help="number of seeds, run one after another"
    )
    parser.add_argument("--minutes", type=float, default=0.5, help="minutes with faults per seed")
    parser.add_argument("--nodes", type=int, default=4, help="number of gateway processes")
    parser.add_argument(
        "--beside", help="an earlier commit, whose build is drawn at starts beside the present one"
    )
    parser.add_argument(
        "--also", nargs="*", default=(), choices=SCENARIOS, help="what goes on beside the faults"
    )
    arguments = parser.parse_args()
    has_findings = False
    packed = Path(tempfile.mkdtemp(prefix="soak-builds-"))
    earlier = unpack_build(arguments.beside, packed) if arguments.beside else None
    for seed in range(arguments.seed, arguments.seed + arguments.seeds):
        directory = Path(tempfile.mkdtemp(prefix=f"soak-{seed}-"))
        seconds = arguments.minutes * 60
        report = run_soak(seed, seconds, arguments.nodes, directory, earlier, also=arguments.also)
        print("\n".join(report.lines()), f"({directory})", flush=True)
        has_findings = has_findings or bool(report.findings)
    return int(has_findings)


if __name__ == "__main__":
    sys.exit(main())
