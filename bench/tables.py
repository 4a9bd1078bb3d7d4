"""Tables of results with medians and spread, as text and as JSON."""

import json
import statistics
from pathlib import Path
from typing import Any, NamedTuple

REPORTS = Path(__file__).resolve().parent.parent / "reports"


class Spread(NamedTuple):
    """Median of several runs with the smallest and the greatest."""

    median: float
    low: float
    high: float

    def __str__(self) -> str:
        if self.low == self.high:
            return format_number(self.median)
        return (
            f"{format_number(self.median)} "
            f"[{format_number(self.low)}..{format_number(self.high)}]"
        )


class Table(NamedTuple):
    """Named table of one experiment; cells are text, numbers or spreads."""

    name: str
    seed: int
    runs: int
    columns: tuple[str, ...]
    rows: list[tuple[Any, ...]]
    notes: tuple[str, ...] = ()


def create_spread(values: list[float]) -> Spread:
    """Create the spread of the values of several runs."""
    if not values:
        return Spread(float("nan"), float("nan"), float("nan"))
    return Spread(statistics.median(values), min(values), max(values))


def format_number(value: float) -> str:
    """Format a number with three significant digits, whole above a thousand."""
    if value != value:
        return "-"
    return f"{value:.0f}" if abs(value) >= 1000 else f"{value:.3g}"


def format_cell(cell: Any) -> str:
    """Format one cell as text."""
    return format_number(cell) if isinstance(cell, float) else str(cell)


def format_table(table: Table) -> str:
    """Format a table as aligned text."""
    lines = [list(table.columns)]
    lines += [[format_cell(cell) for cell in row] for row in table.rows]
    widths = [max(len(line[i]) for line in lines) for i in range(len(lines[0]))]
    text = [
        "  ".join(cell.ljust(width) for cell, width in zip(line, widths, strict=True))
        for line in lines
    ]
    head = f"{table.name} (seed {table.seed}, {table.runs} runs, median [low..high])"
    return "\n".join([head, *(line.rstrip() for line in text), *table.notes])


def create_plain(table: Table) -> dict[str, Any]:
    """Create the plain value of a table for JSON."""
    rows = [
        {
            name: cell._asdict() if isinstance(cell, Spread) else cell
            for name, cell in zip(table.columns, row, strict=True)
        }
        for row in table.rows
    ]
    return table._asdict() | {"rows": rows}


def write_tables(name: str, tables: list[Table]) -> None:
    """Write an experiment's tables as text and JSON below `reports/`."""
    REPORTS.mkdir(exist_ok=True)
    text = "\n\n".join(format_table(table) for table in tables)
    (REPORTS / f"{name}.txt").write_text(text + "\n")
    plain = json.dumps([create_plain(table) for table in tables], indent=2)
    (REPORTS / f"{name}.json").write_text(plain + "\n")
    print(text, flush=True)
