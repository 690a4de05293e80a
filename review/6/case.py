"""An entry of another writer, with a service that no configuration names, stands in the list of executors."""

import asyncio
import json
import os
import sys
import time

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(os.path.dirname(FOLDER), "standin-2"))
from standin import RunWatch, job, run_case, step  # noqa: E402

JOB = "/jobs/00000000000007e1"


async def body(cell, trouble):
    watch = RunWatch(cell.record, cell.executors)
    # 16 tasks of 12 s, which fill half of the 8 executors.
    work = job([step(count=16, cpu=4000, mem=1024, estimate=12_000)], lasts_s=12)
    if await cell.submit(JOB, work) != 200:
        raise RuntimeError("the job was not accepted")
    await asyncio.sleep(4)
    for number, executor in enumerate(cell.executors):
        entry = {**executor.entry(), "service": "inventory", "born": int(time.time() * 1000)}
        if trouble:
            cell.record.note(f"another writer adds the entry inventory-{number}: {json.dumps(entry)}")
            await cell.store.put("keyed.servers", f"inventory-{number}", json.dumps(entry).encode())
        await asyncio.sleep(0.3)
    deadline = time.monotonic() + 40
    while time.monotonic() < deadline and not watch.breaches:
        await asyncio.sleep(1)
        if await cell.state(JOB) == "completed":
            break
    return bool(watch.breaches)


run_case(FOLDER, body)
