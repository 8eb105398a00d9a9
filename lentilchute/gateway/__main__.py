"""Entry point of ``python -m lentilchute.gateway``: a gateway node without the command line.

The settings are those named in ``LENTILCHUTE_CONFIG``. Loading the command line would take longer
than the rest of a node's start.
"""

import gc
import os
import sys

# What is imported stays, so that collections during the start find nothing.
gc.disable()

from ..util import lean_imports  # noqa: E402

# Only the binary protocol and the memory buffer of thriftpy2 are used, and no TLS.
lean_imports.open_partially("thriftpy2", "thriftpy2.protocol", "thriftpy2.transport")
lean_imports.defer("ssl")
lean_imports.disable_pydantic_plugins()
with lean_imports.fixed_library_path():
    import trio  # noqa: F401

from ..errors import ExitCode, UserError  # noqa: E402
from .process import SETTINGS_VARIABLE, run_gateway  # noqa: E402


def main() -> ExitCode:
    """Run the node and return its exit code."""
    path = os.environ.get(SETTINGS_VARIABLE)
    if path is None:
        print(f"lentilchute: {SETTINGS_VARIABLE} names no settings file", file=sys.stderr)
        return ExitCode.USAGE
    try:
        run_gateway(path)
    except UserError as error:
        print(f"lentilchute: {error}", file=sys.stderr)
        return error.exit_code
    except KeyboardInterrupt:
        return ExitCode.INTERRUPTED
    return ExitCode.OK


if __name__ == "__main__":
    sys.exit(main())
