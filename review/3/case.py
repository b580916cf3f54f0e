"""The store's answer to a job's write is lost, and the caller's key is taken away meanwhile: is a rejected job really not run?"""

import os
import sys
import threading
import time

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(os.path.dirname(HERE), "standins"))
import standins

# platform_lost of the site: x = 0.35 of the writes, for 4.5 s.
LOST_SHARE, LOST_S = 0.35, 4.5
REVOKE_AFTER_S = 0.4


class Losses:
    """Loses the answer to the write of one job and counts the writes of the stretch."""

    def __init__(self, job):
        self.job, self.begin, self.writes, self.lost = job, time.monotonic(), 0, 0

    def __call__(self, path, body, status):
        if not path.endswith("/kv-txn") or status != 200 or time.monotonic() - self.begin > LOST_S:
            return False
        self.writes += 1
        if self.lost == 0 and any(row["Key"].endswith(self.job + "/spec") for row in body.get("Write", [])):
            self.lost += 1
            return True
        return False


def case(site, trouble):
    site.start()
    site.wait_ready()
    site.wait(lambda: site.leader() is not None, 15, "no leader")
    time.sleep(3.5)
    job = standins.job_id()
    losses = Losses(job)
    if trouble:
        site.store.lose = losses
    # Other callers' jobs, whose writes are answered.
    for _ in range(3):
        site.submit(standins.job_id(), "other work=1", work=1.0, key="key-one")
    revocation = threading.Timer(REVOKE_AFTER_S, lambda: site.store.put("op/config", site.config(2, keys=("key-one",))))
    revocation.start()
    status, _ = site.submit(job, "mine work=2", work=2.0, key="key-two")
    revocation.join()
    time.sleep(6.0)
    if trouble and (losses.lost != 1 or losses.lost > LOST_SHARE * losses.writes):
        raise standins.CaseError("%d of %d writes lost" % (losses.lost, losses.writes))
    if trouble:
        site.record("script", "%d of %d writes of the stretch had no answer" % (losses.lost, losses.writes))
    started = site.started(job)
    is_rejected = status in (401, 404, 429, 503)
    text = "the only attempt was answered %s, and the job's task started %d times" % (status, len(started))
    return bool(is_rejected and started), ("REFUSED: " if is_rejected and started else "") + text


sys.exit(standins.run_case(HERE, case, entries=1, hosts=3))
