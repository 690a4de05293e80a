"""A service of six tasks; its eight executors crash and come back, one after the other."""

import asyncio
import os
import sys

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(os.path.dirname(FOLDER), "standin-2"))
from standin import job, run_case, step  # noqa: E402

JOB = "/jobs/00000000000005e1"
ROUNDS = 3
DOWN_S = 1.5
PAUSE_S = 1.5


async def body(cell, trouble):
    failed_ends = []

    def observe(event, executor, task, run):
        if event == "failed":
            failed_ends.append(task)

    for executor in cell.executors:
        executor.observer = observe
    service = job([step(count=6, cpu=4000, mem=1024, **{"long-running": True, "anti-affinity": 1})])
    if await cell.submit(JOB, service) != 200:
        raise RuntimeError("the job was not accepted")
    await asyncio.sleep(2)
    for number in range(ROUNDS):
        for executor in cell.executors:
            if trouble:
                await executor.crash()
            await asyncio.sleep(DOWN_S)
            if trouble:
                await executor.start()
            await asyncio.sleep(PAUSE_S)
            state = await cell.state(JOB)
            if state == "failed":
                cell.record.note(f"ends that executors listed as failed: {len(failed_ends)}; nobody cancelled the job")
                return not failed_ends
    return False


run_case(FOLDER, body)
