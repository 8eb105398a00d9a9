"""``dataclass`` for classes of which a program defines many: it generates less code for each.

``dataclasses`` compiles up to seven methods for a class, which takes a fifth of a node's imports.
Here a frozen class with slots gets a compiled constructor only; the other methods are shared. Type
checkers see the library's own decorator, and they keep instances from being changed::

    @dataclass(frozen=True, slots=True)
    class Place: ...
"""

import operator
from collections.abc import Callable
from typing import TYPE_CHECKING, Any

if TYPE_CHECKING:
    from dataclasses import dataclass
else:
    import dataclasses

    def dataclass(cls: type | None = None, /, **options: bool) -> Any:
        """Make a data class, with the options of ``dataclasses.dataclass``."""
        if cls is None:
            return lambda own: dataclass(own, **options)
        if options != {"frozen": True, "slots": True}:
            return dataclasses.dataclass(cls, **options)
        made = dataclasses.dataclass(cls, slots=True, repr=False, eq=False)
        names = [field.name for field in dataclasses.fields(made) if field.compare]
        for method in _comparing_methods(names):
            setattr(made, method.__name__, method)
        made.__repr__ = _shown
        return made


def _comparing_methods(names: list[str]) -> tuple[Callable[..., Any], Callable[..., Any]]:
    compared: Callable[[Any], Any] = operator.attrgetter(*names) if names else lambda value: ()

    def __eq__(self: Any, other: object) -> Any:  # noqa: N807
        return compared(self) == compared(other) if type(other) is type(self) else NotImplemented

    def __hash__(self: Any) -> int:  # noqa: N807
        return hash(compared(self))

    return __eq__, __hash__


def _shown(self: Any) -> str:
    fields = (f"{name}={getattr(self, name)!r}" for name in self.__dataclass_fields__)
    return f"{type(self).__qualname__}({', '.join(fields)})"


__all__ = ["dataclass"]
