"""An executor is lost for good while its agent goes on: is what ran there started again elsewhere?"""

import os
import sys
import time

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(os.path.dirname(HERE), "standins"))
import standins

WORK_S = 6.0
# HoldMaxMs after the crash nothing of the executor's can run any more. After that, finish_s.
WATCH_S = standins.HOLD_MAX_MS / 1000.0 + 14.0 + 26.0


def case(site, trouble):
    site.start()
    site.wait_ready()
    site.wait(lambda: site.leader() is not None, 15, "no leader")
    time.sleep(3.5)
    job = standins.job_id()
    status, _ = site.submit(job, "job work=%g" % WORK_S, count=3, work=WORK_S)
    if status != 200:
        raise standins.CaseError("the job was not accepted")
    site.wait(lambda: len(site.running()) == 3, 10, "the tasks have not started")
    time.sleep(1.0)
    victim = next(name for name, e in site.executors.items() if e.running)
    lost = list(site.executors[victim].running)
    if trouble:
        site.executors[victim].crash()
    begin = time.monotonic()
    idle_since = None
    longest_idle = 0.0
    asked = 0.0
    state = None
    while time.monotonic() - begin < WATCH_S:
        time.sleep(0.1)
        now = time.monotonic()
        # Nothing of the job runs, though its tasks wait and the other executors are empty.
        if site.running():
            idle_since = None
        else:
            idle_since = idle_since or now
            longest_idle = max(longest_idle, now - idle_since)
        if now - asked > 5.0:
            asked = now
            state = site.state(job)
            if state in ("complete", "failed"):
                break
    starts = {task: len([r for r in site.started(job) if r[3] == task]) for task in lost}
    waited = time.monotonic() - begin
    if state == "complete":
        return False, "the job was complete %.1f s after the crash" % waited
    return True, "LOST: %.0f s after the crash the job is '%s', nothing of it has run for %.0f s, starts of the lost tasks: %s" % (
        waited, state, longest_idle, starts)


sys.exit(standins.run_case(HERE, case, entries=2, hosts=7))
