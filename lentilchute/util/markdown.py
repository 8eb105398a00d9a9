"""Tables in Markdown."""

from collections.abc import Iterable, Sequence


def table(header: Sequence[str], rows: Iterable[Sequence[str]]) -> str:
    """Return a Markdown table; bars in cells are escaped.

    >>> print(table(["A"], [["x|y"]]))
    | A |
    |---|
    | x\\|y |
    """
    lines = [_line(header), "|" + "---|" * len(header)]
    lines += [_line([cell.replace("|", r"\|") for cell in row]) for row in rows]
    return "\n".join(lines)


def _line(cells: Sequence[str]) -> str:
    return "| " + " | ".join(cells) + " |"
