"""One accepted job of many small tasks. Are the jobs of other callers still run?"""
import asyncio
import os
import sys

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "standins-2"))
import standins as s

# Three steps that the entry accepts; all 30,000 tasks fit at once.
BIG_STEPS = [{"Count": 10000, "Cpu": 4, "MemMb": 4, "EstimateMs": 6100}] * 3
ORDINARY = [{"Count": 3, "Cpu": 7500, "MemMb": 39000, "Gpu": 1, "EstimateMs": 2500}]
OBSERVED_S = 40


async def case(record, has_trouble):
    zones = ["ifrane-pens", "tafraout-fold", "azrou-corral"]
    deployment = s.Deployment(record, zones, [(f"{zone.split('-')[0]}-1", zone, f"r{i + 1}-1", s.WHOLE_HOST) for i, zone in enumerate(zones)])
    try:
        await deployment.start(s.policy())
        first, accepted = await deployment.submit(s.CALVING_COUNT, ORDINARY, 2.0)
        await asyncio.sleep(4)
        if not accepted or len(deployment.starts_of(first)) != 3:
            raise s.NotRun("an ordinary job did not run before the trouble")
        if has_trouble:
            big, accepted = await deployment.submit(s.STRAY_CHECK, BIG_STEPS, 6.1, key="key-of-tenant-b")
            record.add("large job handed in by another tenant", job=big, accepted=accepted)
            await asyncio.sleep(2)
        jobs = []
        for i, queue in enumerate([s.CALVING_COUNT, s.SEASON_CLOSE, s.STRAY_CHECK]):
            job, accepted = await deployment.submit(queue, ORDINARY, 2.0, entry=i)
            if accepted:
                jobs.append((queue, job))
        await asyncio.sleep(OBSERVED_S)
        lost = []
        for queue, job in jobs:
            state = await deployment.state(queue, job)
            record.add("ordinary job", job=job, state=state, starts=len(deployment.starts_of(job)))
            if not deployment.starts_of(job):
                lost.append(job)
        record.add("writes that the store refused as over ValueBytes", count=deployment.store.too_large)
        free = [executor.free()["Gpu"] for executor in deployment.executors]
        return bool(lost), f"{len(lost)} of {len(jobs)} accepted ordinary jobs had no task started {OBSERVED_S} s later; accelerators free on the executors: {free}"
    finally:
        await deployment.stop()


s.run_case(case, __file__)
