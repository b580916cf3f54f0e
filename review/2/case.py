"""A heartbeat of another writer, for a service that isn't named, reaches an agent: do its executor's runs go on once only?"""

import os
import sys
import time

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(os.path.dirname(HERE), "standins"))
import standins

WORK_S = 10.0


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
    victim = next(e for e in site.executors.values() if e.running)
    if trouble:
        # Another writer on the executor's machine: its service is in no desired state, its id, port and birth are its own.
        body = {"Service": "no-such-service", "Addr": "%s:%d" % (victim.host, site.port + 9), "Zone": victim.zone, "Version": "v1", "Slots": 8,
                "State": "ready", "ColdLeftMs": 0, "Capacity": {"Cpu": 64_000, "MemMb": 262_144, "Gpu": 8}, "Labels": ["a", "r9-9"],
                "ClockMs": 1000, "born": int(time.time() * 1000), "Seq": 1}
        status, text = standins.call(victim.control, "POST", "/plantainfork/instances/i-other-1/heartbeat", body, source=victim.host)
        site.record("other", "heartbeat of service no-such-service at %s: answer %s %s" % (victim.control, status, text.strip()))
    begin = time.monotonic()
    overlap = {}
    last = begin
    while time.monotonic() - begin < WORK_S + 12.0 and site.running():
        time.sleep(0.02)
        now = time.monotonic()
        tasks = [task for _, task, _ in site.running()]
        for task in {task for task in tasks if tasks.count(task) > 1}:
            overlap[task] = overlap.get(task, 0.0) + now - last
        last = now
    if overlap:
        task = max(overlap, key=overlap.get)
        runs = ["%s attempt %d" % (row[2], row[4]) for row in site.started(job) if row[3] == task]
        return True, "TWICE: %d tasks had two runs at a time, %s for %.1f s (%s)" % (len(overlap), task, overlap[task], ", ".join(runs))
    return False, "no task ran twice"


sys.exit(standins.run_case(HERE, case, entries=2, hosts=3))
