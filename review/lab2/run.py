"""Runs a case: ``python3 -m lab2.run N`` in ``review/``."""

import asyncio
import importlib.util
import os
import sys
import traceback
from pathlib import Path

from lab2.record import Record

HELD, BROKEN, COULD_NOT_RUN = 0, 1, 2
LIMIT_SECONDS = 110.0


def main(number: str) -> int:
    """Run the case of a number; return the exit code of its script."""
    folder = Path(__file__).resolve().parents[1] / number
    spec = importlib.util.spec_from_file_location("case", folder / "case.py")
    if spec is None or spec.loader is None:
        return COULD_NOT_RUN
    case = importlib.util.module_from_spec(spec)
    spec.loader.exec_module(case)
    record = Record()
    with_trouble = os.environ.get("TROUBLE", "1") != "0"
    record.note(f"case {number}, with the disruption: {with_trouble}")
    try:
        could_run = asyncio.run(_limited(case.run, record, with_trouble))
    except Exception:
        record.note(traceback.format_exc())
        could_run = False
    code = BROKEN if record.broken else HELD if could_run else COULD_NOT_RUN
    record.note(f"exit code {code}; rules broken: {len(record.broken)}")
    record.save(folder / "record.txt")
    print(f"case {number}: exit code {code}, rules broken: {len(record.broken)}")
    for line in record.broken[:3]:
        print(f"  {line}")
    return code


async def _limited(case_run, record: Record, with_trouble: bool) -> bool:  # noqa: ANN001
    async with asyncio.timeout(LIMIT_SECONDS):
        return await case_run(record, with_trouble)


if __name__ == "__main__":
    sys.exit(main(sys.argv[1]))
