"""Imports libraries without what a program does not use of them.

Some packages load, search for or start far more than their users need: the ``__init__`` of
thriftpy2 loads the parser of definitions with its grammar, an HTTP client and a JSON parser, and
trio starts a program to find the library by which it names its threads. Call these functions
before the libraries are imported::

    open_partially("thriftpy2", "thriftpy2.protocol")
    from thriftpy2.protocol.cybin.cybin import TCyBinaryProtocol
"""

import ctypes.util
import importlib.machinery
import importlib.util
import os
import sys
from collections.abc import Iterator
from contextlib import contextmanager
from types import ModuleType

SYSTEM_LIBRARY = "libc.so.6"
METADATA = "importlib.metadata"


def open_partially(*names: str) -> None:
    """Make modules of these packages importable without running the packages' own code.

    A package that has been imported already is left as it is. Raises ``ModuleNotFoundError``.
    """
    for name in names:
        if name not in sys.modules:
            _open(name)


def defer(*names: str) -> None:
    """Load these modules when an attribute of them is first used.

    A module that has been imported already is left as it is. Raises ``ModuleNotFoundError``.
    """
    for name in names:
        if name not in sys.modules:
            _defer(name)


def disable_pydantic_plugins() -> None:
    """Keep pydantic from reading the metadata of all installed packages in search of plugins.

    Its loader of plugins imports the reader of metadata, with the parser of e-mail messages, also
    when plugins are disabled; it gets one that finds nothing.
    """
    os.environ.setdefault("PYDANTIC_DISABLE_PLUGINS", "__all__")
    known = sys.modules.get(METADATA)
    found_none = ModuleType(METADATA)
    found_none.__dict__["entry_points"] = lambda **_criteria: ()
    sys.modules[METADATA] = found_none
    try:
        importlib.import_module("pydantic.plugin._loader")
    finally:
        del sys.modules[METADATA]
        if known is not None:
            sys.modules[METADATA] = known


@contextmanager
def fixed_library_path() -> Iterator[None]:
    """Answer searches for a system library with the C library, which contains the threads.

    ``ctypes`` would start another program for each search.
    """
    search = ctypes.util.find_library
    ctypes.util.find_library = lambda name: SYSTEM_LIBRARY
    try:
        yield
    finally:
        ctypes.util.find_library = search


def _open(name: str) -> None:
    parent, _, own_name = name.rpartition(".")
    path = sys.modules[parent].__path__ if parent else None
    spec = importlib.machinery.PathFinder.find_spec(name, path)
    if spec is None:
        raise ModuleNotFoundError(f"No module named {name!r}", name=name)
    package = importlib.util.module_from_spec(spec)
    sys.modules[name] = package
    if parent:
        setattr(sys.modules[parent], own_name, package)


def _defer(name: str) -> None:
    spec = importlib.util.find_spec(name)
    if spec is None or spec.loader is None:
        raise ModuleNotFoundError(f"No module named {name!r}", name=name)
    spec.loader = importlib.util.LazyLoader(spec.loader)
    module = importlib.util.module_from_spec(spec)
    sys.modules[name] = module
    spec.loader.exec_module(module)
