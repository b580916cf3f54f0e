"""Several hundred small tasks end on one executor while the store is down. Is any of them started again after it has ended `done`?"""
import asyncio
import os
import sys

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "standins-2"))
import standins as s

# Fit on one executor of 64 cores at a time; an executor lists 500 ends at a time.
TASKS = 600
WORK_S = 4.0
# As the users' sites have it: platform_down, how busy, for 4.2 s.
OUTAGE_S = 4.2


async def case(record, has_trouble):
    deployment = s.Deployment(record, ["ifrane-pens", "tafraout-fold", "azrou-corral"],
                              [("ifrane-1", "ifrane-pens", "r1-1", s.WHOLE_HOST), ("azrou-1", "azrou-corral", "r1-2", s.WHOLE_HOST)])
    try:
        await deployment.start(s.policy())
        job, accepted = await deployment.submit(s.STRAY_CHECK, [{"Count": TASKS, "Cpu": 100, "MemMb": 100, "EstimateMs": 4000}], WORK_S)
        if not accepted:
            raise s.NotRun("the job was not accepted")
        for _ in range(30):
            await asyncio.sleep(0.1)
            if len(deployment.starts_of(job)) == TASKS:
                break
        else:
            raise s.NotRun("not all tasks began within 3 s")
        if has_trouble:
            deployment.store.is_busy = True
            record.add("store answers 503 to all", for_s=OUTAGE_S)
            await asyncio.sleep(OUTAGE_S)
            deployment.store.is_busy = False
            record.add("store serves again")
        await asyncio.sleep(14)
        await deployment.state(s.STRAY_CHECK, job)
        done = {}
        for at, executor, task, attempt, how in deployment.floor.ends:
            if how == "done" and (task, attempt) in deployment.floor.noted:
                done.setdefault(task, (at, attempt))
        again = [(at, task, attempt) for at, _, task, attempt in deployment.floor.starts if task in done and at > done[task][0]]
        for at, task, attempt in again:
            record.add("started after its end `done` that was taken note of", task=task, first_attempt=done[task][1], ended_at=f"{done[task][0]:.3f}",
                       attempt=attempt, started_at=f"{at:.3f}")
        return bool(again), f"{len(again)} of {TASKS} tasks were started again after they had ended done"
    finally:
        await deployment.stop()


s.run_case(case, __file__)
