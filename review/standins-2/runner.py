"""Runs one case: exit code 1 if its rule was broken, 0 if it held, 2 if the case could not run."""

import asyncio
import os
import sys
import traceback
from collections.abc import Awaitable, Callable
from pathlib import Path

from deployment import CannotRunError, Deployment
from nodes import is_built

LONGEST_S = 115.0

Case = Callable[[Deployment, bool], Awaitable[list[str]]]
"""Plays a case in a deployment, with the disruption or without; returns what broke the rule."""


def run_case(case: Case, folder: str, *, first_era: int | None = None) -> None:
    """Run a case and exit."""
    if not is_built():
        sys.exit(2)
    trouble = os.environ.get("TROUBLE", "1") != "0"
    deployment = Deployment(first_era=first_era)
    code = 2
    try:
        broken = asyncio.run(_play(case, deployment, trouble))
        for text in broken[:20]:
            deployment.note(f"BROKEN {text}")
        deployment.note(f"{len(broken)} breaks; trouble={int(trouble)}")
        code = 1 if broken else 0
    except (CannotRunError, OSError, TimeoutError) as error:
        deployment.note(f"could not run: {error!r}")
    except Exception:
        deployment.note(traceback.format_exc())
    finally:
        deployment.fleet.kill_all()
    name = "record.txt" if trouble else "record-without.txt"
    deployment.write_record(str(Path(folder) / name))
    sys.exit(code)


async def _play(case: Case, deployment: Deployment, trouble: bool) -> list[str]:
    async with asyncio.timeout(LONGEST_S):
        await deployment.open_store()
        return await case(deployment, trouble)
