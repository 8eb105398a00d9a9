"""Text tables with aligned columns, for output to a terminal."""

from collections.abc import Sequence

GAP = "  "


def columns(rows: Sequence[Sequence[str]], indent: str = "") -> str:
    """Return rows as aligned lines.

    >>> print(columns([("a", "b"), ("ccc", "d")]))
    a    b
    ccc  d
    """
    widths = [max(map(len, column)) for column in zip(*rows, strict=True)]
    lines = []
    for row in rows:
        cells = [cell.ljust(width) for cell, width in zip(row, widths, strict=True)]
        lines.append((indent + GAP.join(cells)).rstrip())
    return "\n".join(lines)
