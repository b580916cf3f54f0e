"""A client hands in a few jobs of very many tasks that can never be done. Do the entries stay within their memory, and are others' jobs run?"""
import asyncio
import os
import sys

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "standins-2"))
import standins as s

# Each body has some hundreds of bytes. No executor has nine accelerators.
JOBS = 16
HOPELESS_STEPS = [{"Count": 10000, "Cpu": 100, "MemMb": 100, "Gpu": 9, "EstimateMs": 6100}] * 10
ORDINARY = [{"Count": 3, "Cpu": 7500, "MemMb": 39000, "Gpu": 1, "EstimateMs": 2500}]
OBSERVED_S = 25


async def case(record, has_trouble):
    zones = ["ifrane-pens", "tafraout-fold", "azrou-corral"]
    deployment = s.Deployment(record, zones, [(f"{zone.split('-')[0]}-1", zone, f"r{i + 1}-1", s.WHOLE_HOST) for i, zone in enumerate(zones)])
    try:
        await deployment.start(s.policy())
        deployment.keep_memory_limits()
        if has_trouble:
            for i in range(JOBS):
                await deployment.submit(s.STRAY_CHECK, HOPELESS_STEPS, 6.1, key="key-of-tenant-b", entry=i % 3)
        await asyncio.sleep(8)
        jobs = []
        for i, queue in enumerate([s.CALVING_COUNT, s.SEASON_CLOSE, s.STRAY_CHECK]):
            job, accepted = await deployment.submit(queue, ORDINARY, 2.0, entry=i)
            if accepted:
                jobs.append((queue, job))
        await asyncio.sleep(OBSERVED_S)
        for queue, job in jobs:
            record.add("ordinary job", job=job, state=await deployment.state(queue, job), starts=len(deployment.starts_of(job)))
        kills = {entry.name: entry.kills for entry in deployment.entries}
        peaks = {entry.name: int(entry.peak_mb) for entry in deployment.entries}
        lost = [job for _, job in jobs if not deployment.starts_of(job)]
        record.add("entries", kills=kills, peak_mb=peaks)
        # Two machines at least, three ends each: the rule on faults.
        return sum(count >= 3 for count in kills.values()) >= 2, (f"processes killed over their {s.ENTRY_MEMORY_MB} MB: {kills}, peak MB {peaks}; "
                                          f"{len(lost)} of {len(jobs)} accepted ordinary jobs had no task started {OBSERVED_S} s later")
    finally:
        await deployment.stop()


s.run_case(case, __file__)
