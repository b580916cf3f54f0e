"""A data centre is taken out and back while the store is slow: is it used again?"""

import os
import sys
import threading
import time

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(os.path.dirname(HERE), "standins"))
import standins

# platform_slow of the site: answers take 85 times as long, for 5.9 s.
SLOW_X, SLOW_S = 85.0, 5.9
OUT_S = 0.2
ZONE = "ifrane-pens"
WATCH_S = 40.0


class Slow:
    """Delays the answers while the store is slow, and tells when a watch of the operator's keys has arrived."""

    def __init__(self):
        self.until = 0.0
        self.arrived = threading.Event()

    def before(self, method, path, query, body):
        if path.endswith("/kv-watch") and query.get("Prefix") == "op/":
            self.arrived.set()
        if time.monotonic() < self.until:
            time.sleep(standins.STORE_ANSWER_S * SLOW_X)


def case(site, trouble):
    slow = Slow()
    site.store.before = slow.before
    site.start()
    site.wait_ready()
    site.wait(lambda: site.leader() is not None, 15, "no leader")
    time.sleep(3.5)
    if trouble:
        slow.until = time.monotonic() + SLOW_S
        site.record("store", "answers take %.0f ms for %.1f s" % (standins.STORE_ANSWER_S * SLOW_X * 1000, SLOW_S))
    time.sleep(2.0)
    slow.arrived.clear()
    if not slow.arrived.wait(3.0):
        raise standins.CaseError("no watch of the operator's keys")
    # The operator takes the data centre out by mistake and back at once, while the watch waits for its answer.
    site.store.put("op/evacuate/" + ZONE, {})
    time.sleep(OUT_S)
    site.store.delete("op/evacuate/" + ZONE)
    time.sleep(SLOW_S + 2.0)
    job = standins.job_id()
    status, _ = site.submit(job, "job work=2", count=2, work=2.0)
    if status != 200:
        raise standins.CaseError("the job was not accepted")
    asked = time.monotonic()
    state = None
    while time.monotonic() - asked < WATCH_S:
        time.sleep(2.0)
        state = site.state(job)
        if state == "complete":
            return False, "the job was complete"
    return True, "LOST: %.0f s after its acceptance the job is '%s' and has had %d starts; three executors are empty" % (
        time.monotonic() - asked, state, len(site.started(job)))


sys.exit(standins.run_case(HERE, case, entries=1, hosts=3))
