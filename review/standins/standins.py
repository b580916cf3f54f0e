"""Stand-ins of the platform for the cases of this review: the metadata store, executors and the operator.

They follow the pages PROTOCOL.md and DEPLOY.md. Only the standard library of Python 3 is used. Every address is a loopback address.
"""

import base64
import http.client
import json
import os
import random
import shutil
import signal
import socket
import subprocess
import tempfile
import threading
import time
from http.server import BaseHTTPRequestHandler, ThreadingHTTPServer
from urllib.parse import parse_qs, unquote, urlsplit

HERE = os.path.dirname(os.path.abspath(__file__))
ROOT = os.path.dirname(os.path.dirname(HERE))
DAEMON = os.path.join(ROOT, "target", "bin", "plantainfork-batchd")

# Bounds of the site ouzzine-tally, as its sheet in SYSTEM.md gives them.
HOLD_MAX_MS = 10_000
KILL_GRACE_MS = 900
REVOKE_MS = 5_000
HEARTBEAT_S = 1.5
CHECKPOINT_S = 2.0
HISTORY_S = 20.0
STORE_ANSWER_S = 0.004

EXIT_HELD, EXIT_BROKEN, EXIT_NOT_RUN = 0, 1, 2


class CaseError(Exception):
    """The case could not run."""


class Record:
    """Writes what was sent, answered and run, with the seconds since the start of the script."""

    def __init__(self, path):
        self._file = open(path, "w", encoding="utf-8")
        self._lock = threading.Lock()
        self.begin = time.monotonic()

    def __call__(self, who, text):
        line = "%8.3f  %-10s %s" % (time.monotonic() - self.begin, who, text)
        with self._lock:
            self._file.write(line + "\n")
            self._file.flush()


class _Server(ThreadingHTTPServer):
    daemon_threads = True
    request_queue_size = 128

    def __init__(self, address, answer):
        self.answer = answer
        self.open_sockets = set()
        self.lock = threading.Lock()
        super().__init__(address, _Handler)

    def process_request(self, request, client_address):
        with self.lock:
            self.open_sockets.add(request)
        super().process_request(request, client_address)

    def shutdown_request(self, request):
        with self.lock:
            self.open_sockets.discard(request)
        super().shutdown_request(request)

    def handle_error(self, request, client_address):
        pass

    def drop(self):
        """Stops listening and resets the open channels, as a process that is killed."""
        threading.Thread(target=self.shutdown, daemon=True).start()
        self.socket.close()
        with self.lock:
            sockets = list(self.open_sockets)
        for one in sockets:
            try:
                one.shutdown(socket.SHUT_RDWR)
            except OSError:
                pass


class _Handler(BaseHTTPRequestHandler):
    protocol_version = "HTTP/1.1"
    disable_nagle_algorithm = True
    wbufsize = 65536

    def log_message(self, *args):
        pass

    def _serve(self):
        length = int(self.headers.get("Content-Length") or 0)
        body = self.rfile.read(length) if length else b""
        answer = self.server.answer(self.command, self.path, dict(self.headers), body)
        if answer is None:  # no response: the channel returns nothing further
            self.close_connection = True
            return
        status, payload = answer
        data = json.dumps(payload).encode()
        self.send_response_only(status)
        self.send_header("Content-Type", "application/json")
        self.send_header("Content-Length", str(len(data)))
        self.end_headers()
        self.wfile.write(data)
        self.wfile.flush()

    do_GET = do_POST = do_DELETE = _serve


def serve(host, port, answer):
    server = _Server((host, port), answer)
    threading.Thread(target=server.serve_forever, kwargs={"poll_interval": 0.05}, daemon=True).start()
    return server


def call(address, method, path, body=None, headers=None, timeout=5.0, source=None):
    """One HTTP call on a channel of its own, from the address `source`. Returns (status, text), or (None, reason) without a response."""
    host, port = address.rsplit(":", 1)
    connection = http.client.HTTPConnection(host, int(port), timeout=timeout, source_address=(source, 0) if source else None)
    try:
        data = None if body is None else json.dumps(body)
        connection.request(method, path, body=data, headers=dict({"Content-Type": "application/json"}, **(headers or {})))
        response = connection.getresponse()
        return response.status, response.read().decode("utf-8", "replace")
    except (OSError, http.client.HTTPException) as error:
        return None, type(error).__name__
    finally:
        connection.close()


class Store:
    """The platform's metadata store: conditional writes, leases, watches. Loses nothing that it has acknowledged."""

    def __init__(self, record, host, port):
        self.record = record
        self.address = "%s:%d" % (host, port)
        self.items = {}
        self.history = []
        self.forgotten = 0
        self.revision = 1
        self.leases = {}
        self.last_lease = 0
        self.changed = threading.Condition()
        # Case hooks: before(method, path, query, body) may delay; lose(path, body, status) tells whether the answer is lost.
        self.before = None
        self.lose = None
        threading.Thread(target=self._expire, daemon=True).start()
        self.server = serve(host, port, self._answer)

    # -- the operator, who writes to the store and is answered by it
    def put(self, key, value):
        with self.changed:
            self.revision += 1
            self._write(key, json.dumps(value).encode(), 0)
            self.changed.notify_all()
        self.record("operator", "writes %s: acknowledged, revision %d" % (key, self.revision))

    def delete(self, key):
        with self.changed:
            self.revision += 1
            self._remove(key)
            self.changed.notify_all()
        self.record("operator", "removes %s: acknowledged, revision %d" % (key, self.revision))

    def value(self, key):
        with self.changed:
            item = self.items.get(key)
            return None if item is None else base64.b64decode(item["Value"])

    # -- internals
    def _write(self, key, value, lease):
        known = self.items.get(key)
        item = {
            "Key": key,
            "Value": base64.b64encode(value).decode() if isinstance(value, bytes) else value,
            "Revision": self.revision,
            "Created": known["Created"] if known else self.revision,
            "Lease": lease,
        }
        self.items[key] = item
        self.history.append((time.monotonic(), self.revision, key, dict(item)))

    def _remove(self, key):
        if self.items.pop(key, None) is not None:
            self.history.append((time.monotonic(), self.revision, key, {"Key": key, "Revision": self.revision, "Deleted": True}))

    def _expire(self):
        while True:
            time.sleep(0.02)
            now = time.monotonic()
            with self.changed:
                for lease in [n for n, one in self.leases.items() if one[1] <= now]:
                    self._end(lease)
                while self.history and now - self.history[0][0] > HISTORY_S:
                    self.forgotten = self.history.pop(0)[1]

    def _end(self, lease):
        self.leases.pop(lease, None)
        keys = [key for key, item in self.items.items() if item["Lease"] == lease]
        if keys:
            self.revision += 1
            for key in keys:
                self._remove(key)
            self.changed.notify_all()

    def _answer(self, method, target, headers, body):
        parts = urlsplit(target)
        query = {name: values[0] for name, values in parse_qs(parts.query).items()}
        wanted = json.loads(body) if body else {}
        if self.before:
            self.before(method, parts.path, query, wanted)
        time.sleep(STORE_ANSWER_S)
        result = self._do(method, parts.path, query, wanted)
        if self.lose and self.lose(parts.path, wanted, result[0]):
            self.record("store", "%s done (%d), its answer is lost" % (parts.path, result[0]))
            time.sleep(30)  # the channel stays open and silent
            return None
        return result

    def _do(self, method, path, query, wanted):
        name = path.rsplit("/", 1)[-1]
        if path.endswith("/kv-watch"):
            return self._watch(query)
        with self.changed:
            if path.endswith("/kv-key"):
                item = self.items.get(query.get("Key", ""))
                return (404, {"AtRev": self.revision}) if item is None else (200, dict(item, AtRev=self.revision))
            if path.endswith("/kv-range"):
                keys = sorted(k for k in self.items if k.startswith(query.get("Prefix", "")) and k > query.get("After", ""))
                return 200, {"items": [self.items[k] for k in keys[:500]], "HasMore": len(keys) > 500, "AtRev": self.revision}
            if path.endswith("/kv-txn"):
                return self._transact(wanted)
            if path.endswith("/kv-lease"):
                self.last_lease += 1
                life = min(max(wanted["TtlMs"], 1000), 600_000) / 1000.0
                self.leases[self.last_lease] = [life, time.monotonic() + life]
                return 200, {"Lease": self.last_lease, "TtlMs": int(life * 1000)}
            if "/kv-keep/" in path:
                lease = self.leases.get(int(name))
                if lease is None:
                    return 404, {}
                lease[1] = time.monotonic() + lease[0]
                return 200, {"TtlMs": int(lease[0] * 1000)}
            if "/kv-lease-end/" in path:
                self._end(int(name))
                return 200, {}
        return 404, {}

    def _watch(self, query):
        prefix, after = query.get("Prefix", ""), int(query.get("After", "0"))
        until = time.monotonic() + min(int(query.get("WaitMs", "0")), 30_000) / 1000.0
        with self.changed:
            while True:
                if after < self.forgotten:
                    return 410, {}
                events = [dict(e) for _, revision, key, e in self.history if revision > after and key.startswith(prefix)]
                left = until - time.monotonic()
                if events or left <= 0:
                    return 200, {"events": events, "AtRev": self.revision}
                self.changed.wait(left)

    def _transact(self, wanted):
        expected, writes, removals = wanted.get("ExpectedRev", []), wanted.get("Write", []), wanted.get("Remove", [])
        if len(expected) + len(writes) + len(removals) > 32:
            return 400, {}
        current = lambda key: self.items[key]["Revision"] if key in self.items else 0
        if any(current(row["Key"]) != row["Revision"] for row in expected):
            return 412, {"items": [self.items[row["Key"]] for row in expected if row["Key"] in self.items]}
        if any(row.get("Lease", 0) and row["Lease"] not in self.leases for row in writes):
            return 404, {}
        self.revision += 1
        for row in writes:
            self._write(row["Key"], row["Value"], row.get("Lease", 0))
        for key in removals:
            self._remove(key)
        self.changed.notify_all()
        return 200, {"Revision": self.revision}


class Executor:
    """An executor of single tasks. `work` of a task in seconds stands in its job's Spec, as "work=SECONDS"."""

    def __init__(self, record, name, host, port, control, zone, rack, runs, service="herd-ledger", capacity=None):
        self.record, self.name, self.host, self.port = record, name, host, port
        self.control, self.zone, self.rack, self.service = control, zone, rack, service
        self.capacity = capacity or {"Cpu": 64_000, "MemMb": 262_144, "Gpu": 8}
        self.runs_log = runs
        self.state = "ready"
        self.lock = threading.RLock()
        self.changed = threading.Condition(self.lock)
        self.generation = 0
        self.is_up = False

    def start(self, instance=None):
        with self.lock:
            self.generation += 1
            self.instance = instance or "i-%s-%d" % (self.name, self.generation)
            self.born_at = time.monotonic()
            self.born = int(time.time() * 1000)
            self.seq = 0
            self.token = 0
            self.lease_until = None
            self.running = {}
            self.ends = []
            self.last_end = 0
            self.highest = {}
            self.is_up = True
            generation = self.generation
        self.server = serve(self.host, self.port, self._answer)
        self.record(self.name, "up as %s at %s:%d" % (self.instance, self.host, self.port))
        threading.Thread(target=self._heartbeats, args=(generation,), daemon=True).start()
        threading.Thread(target=self._work, args=(generation,), daemon=True).start()

    def crash(self):
        """Ends at once, sends nothing; whatever ran on it is gone."""
        with self.lock:
            self.is_up = False
            self.generation += 1
            for task, run in self.running.items():
                self.runs_log.append((time.monotonic(), "gone", self.name, task, run["attempt"]))
            self.running = {}
            self.changed.notify_all()
        self.server.drop()
        self.record(self.name, "crashed")

    def clock(self):
        return int((time.monotonic() - self.born_at) * 1000)

    def report(self):
        return {
            "Service": self.service, "Addr": "%s:%d" % (self.host, self.port), "Zone": self.zone, "Version": "v1", "Slots": 8,
            "State": self.state, "ColdLeftMs": 0, "Capacity": self.capacity, "Labels": ["a", self.rack], "ClockMs": self.clock(),
            "born": self.born, "Seq": self.seq,
        }

    def _heartbeats(self, generation):
        while True:
            with self.lock:
                if generation != self.generation:
                    return
                self.seq += 1
                report, instance = self.report(), self.instance
            status, _ = call(self.control, "POST", "/plantainfork/instances/%s/heartbeat" % instance, report, timeout=1.0, source=self.host)
            if status != 200:
                self.record(self.name, "heartbeat not acknowledged (%s)" % status)
            time.sleep(HEARTBEAT_S)

    def _note(self, what, task, attempt, more=""):
        self.runs_log.append((time.monotonic(), what, self.name, task, attempt))
        self.record(self.name, "%s %s attempt %d%s" % (what, task, attempt, more))

    def _end(self, task, how):
        run = self.running.pop(task)
        self.last_end += 1
        self.ends.append([self.last_end, task, run["attempt"], how, run["saved"] if run["saves"] else ""])
        self._note("ended " + how, task, run["attempt"])
        self.changed.notify_all()

    def _work(self, generation):
        while True:
            time.sleep(0.02)
            with self.lock:
                if generation != self.generation:
                    return
                now = time.monotonic()
                if self.lease_until is not None and now >= self.lease_until:
                    self.record(self.name, "lease has expired, %d runs are killed" % len(self.running))
                    self.lease_until = None
                    for task in list(self.running):
                        self._end(task, "lapsed")
                for task, run in list(self.running.items()):
                    if run["stops_at"] is not None and now >= run["stops_at"]:
                        self._end(task, "stopped")
                    elif now - run["since"] >= run["work"]:
                        self._end(task, "done")

    def _reply(self, status, **body):
        return status, dict(body, ClockMs=self.clock(), born=self.born)

    def _answer(self, method, target, headers, body):
        wanted = json.loads(body) if body else {}
        headers = {name.lower(): value for name, value in headers.items()}
        path = urlsplit(target).path
        with self.lock:
            if not self.is_up:
                return None
            if headers.get("x-plantainfork-expected-instance", self.instance) != self.instance:
                return self._reply(421)
            token = wanted.get("FencingToken", 0)
            if token < self.token:
                return self._reply(409, Reason="fence")
            self.token = token
            if path == "/plantainfork/hold":
                return self._hold(wanted)
            if path == "/plantainfork/run-start":
                return self._start(wanted)
            if path == "/plantainfork/run-stop":
                return self._stop(wanted)
        return self._reply(404)

    def _prolong(self, deadline):
        if deadline is None:
            return
        until = min(self.born_at + deadline / 1000.0, time.monotonic() + HOLD_MAX_MS / 1000.0)
        self.lease_until = until if self.lease_until is None else max(self.lease_until, until)

    def _start(self, wanted):
        task, attempt = wanted["Task"], wanted["Attempt"]
        if wanted.get("DeadlineMs", 0) <= self.clock():
            return self._reply(409, Reason="late")
        self._prolong(wanted["DeadlineMs"])
        if task in self.running and self.running[task]["attempt"] == attempt:
            return self._reply(200)
        if attempt <= self.highest.get(task, 0) or task in self.running:
            return self._reply(409, Reason="old")
        self.highest[task] = attempt
        work = 5.0
        for word in wanted.get("Spec", "").split():
            if word.startswith("work="):
                work = float(word[5:])
        self.running[task] = {"attempt": attempt, "since": time.monotonic(), "work": work, "stops_at": None, "saved": "", "saves": False}
        self._note("started", task, attempt, " token %d spec '%s'" % (wanted.get("FencingToken", 0), wanted.get("Spec", "")))
        return self._reply(200)

    def _stop(self, wanted):
        task, attempt = wanted["Task"], wanted["Attempt"]
        self.highest[task] = max(self.highest.get(task, 0), attempt)
        run = self.running.get(task)
        if run and run["attempt"] <= attempt and run["stops_at"] is None:
            run["stops_at"] = time.monotonic() + min(0.2, KILL_GRACE_MS / 1000.0)
            self._note("told to stop", task, attempt)
        return self._reply(200)

    def _hold(self, wanted):
        self._prolong(wanted.get("DeadlineMs"))
        seen = wanted.get("LastSeen", 0)
        for end in [e for e in self.ends if e[0] <= seen]:
            self._note("taken note of '%s'" % end[3], end[1], end[2])
        self.ends = [e for e in self.ends if e[0] > seen]
        until = time.monotonic() + wanted.get("WaitMs", 0) / 1000.0
        generation = self.generation
        while not self.ends and generation == self.generation and time.monotonic() < until:
            self.changed.wait(max(0.0, until - time.monotonic()))
        if generation != self.generation:
            return None
        now = time.monotonic()
        rows = [[task, run["attempt"], run["saved"], min(99, int(100 * (now - run["since"]) / run["work"])), 1000] for task, run in self.running.items()]
        return self._reply(200, Running=rows, Finished=[list(e) for e in self.ends[:500]])


class Site:
    """A small deployment: the store, entries and agents (the project's daemons), and an executor beside each agent."""

    def __init__(self, folder, entries=2, hosts=3, zones=("ifrane-pens",)):
        if not os.access(DAEMON, os.X_OK):
            raise CaseError("target/bin/plantainfork-batchd is missing: run the build of the deploy file")
        self.record = Record(os.path.join(folder, "record.txt"))
        self.work = tempfile.mkdtemp(prefix="plantainfork-review-")
        self.processes = {}
        self.commands = {}
        self.runs = []
        self.block = "127.%d.%d" % (random.randint(10, 250), random.randint(1, 250))
        self.port = self._free_port()
        self.entries = ["entry-%d" % (i + 1) for i in range(entries)]
        self.agents = ["side-%d" % (i + 1) for i in range(hosts)]
        self.zones = zones
        self.store = Store(self.record, self.block + ".1", self.port)
        self.executors = {}
        self.ip = {name: "%s.%d" % (self.block, 10 + i) for i, name in enumerate(self.entries)}
        self.ip.update({name: "%s.%d" % (self.block, 100 + i) for i, name in enumerate(self.agents)})

    def _free_port(self):
        for _ in range(100):
            port = random.randint(15_000, 30_000)
            try:
                for offset in range(5):
                    for last in [1, 10, 11] + list(range(100, 108)):
                        with socket.socket() as probe:
                            probe.bind(("%s.%d" % (self.block, last), port + offset))
                return port
            except OSError:
                continue
        raise CaseError("no free ports")

    def config(self, version, routes=None, keys=("key-one", "key-two")):
        routes = routes or [self.route("herd-ledger", "/ledger/")]
        return {
            "Version": version, "Routes": routes, "Services": [{"Name": "herd-ledger", "Preconditions": True}], "Limits": {},
            "Tenants": [{"Name": "tenant-a", "ApiKeys": list(keys), "Guaranteed": {"Gpu": 0}}],
        }

    @staticmethod
    def route(service, prefix, priority=1):
        return {"Name": prefix.strip("/"), "Host": "ledger.example", "Prefix": prefix, "Service": service, "Priority": priority, "MaxAttempts": 3,
                "SlackFactor": 3.0, "TargetDurationMs": 1500}

    def settings(self, name):
        ip, port, index = self.ip[name], self.port, list(self.ip).index(name)
        zone = self.zones[index % len(self.zones)]
        common = 'id = "%s"\nregion = "atlas-north"\ndata_centre = "%s"\nrpc = "%s:%d"\nhttp = "%s:%d"\nmetrics = "%s:%d"\nstore = "%s"\n' % (
            name, zone, ip, port, ip, port + 1, ip, port + 3, self.store.address)
        common += "longest_hold_ms = %d\nkill_grace_ms = %d\n" % (HOLD_MAX_MS, KILL_GRACE_MS)
        if name in self.entries:
            return 'role = "entry"\n' + common + 'readiness = "%s:%d"\nentries = []\nrevocation_ms = %d\nremote_factor = 3\nprocessor_share = 0.25\n' % (
                ip, port + 2, REVOKE_MS)
        seeds = ", ".join('"%s:%d"' % (self.ip[e], port + 1) for e in self.entries[:3])
        return 'role = "agent"\n' + common + 'executor = "%s:%d"\nentries = [%s]\nentries_port = %d\n' % (ip, port + 4, seeds, port)

    def launch(self, name):
        path = os.path.join(self.work, name + ".toml")
        with open(path, "w", encoding="utf-8") as file:
            file.write(self.settings(name))
        log = open(os.path.join(self.work, name + ".log"), "ab")
        process = subprocess.Popen([DAEMON, "--settings=" + path], cwd=ROOT, stdout=log, stderr=subprocess.STDOUT, stdin=subprocess.DEVNULL)
        log.close()
        self.processes[name] = process
        self.record(name, "process started")

    def signal(self, name, number):
        self.record(name, "gets %s" % signal.Signals(number).name)
        self.processes[name].send_signal(number)

    def kill(self, name):
        self.signal(name, signal.SIGKILL)
        self.processes[name].wait()

    def start(self, config=None):
        self.store.put("op/config", config or self.config(1))
        for name in self.entries:
            self.launch(name)
        for i, name in enumerate(self.agents):
            ip, zone = self.ip[name], self.zones[list(self.ip).index(name) % len(self.zones)]
            self.launch(name)
            executor = Executor(self.record, "exec-%d" % (i + 1), ip, self.port + 4, "%s:%d" % (ip, self.port + 1), zone, "r1-%d" % (i + 1), self.runs)
            self.executors[name] = executor
            executor.start()

    def front(self, name):
        return "%s:%d" % (self.ip[name], self.port + 1)

    def wait_ready(self, seconds=20):
        self.wait(lambda: all(call("%s:%d" % (self.ip[e], self.port + 2), "GET", "/plantainfork/readyz", timeout=1)[0] == 200 for e in self.entries), seconds,
                  "entries are not ready")

    def wait(self, condition, seconds, what):
        until = time.monotonic() + seconds
        while time.monotonic() < until:
            if condition():
                return
            time.sleep(0.05)
        raise CaseError(what)

    # -- the requester
    def request(self, entry, method, path, body=None, key="key-one", deadline_ms=3000):
        headers = {"Host": "ledger.example", "X-Api-Key": key, "X-Plantainfork-Deadline-Ms": str(deadline_ms)}
        self.record("requester", "%s %s at %s%s" % (method, path, entry, "" if body is None else " " + json.dumps(body)[:160]))
        status, text = call(self.front(entry), method, path, body, headers, timeout=deadline_ms / 1000.0 + 1)
        self.record("requester", "%s %s at %s: answer %s %s" % (method, path, entry, status, text.strip()[:120]))
        return status, text

    def submit(self, job, spec, count=1, entry=None, cpu=20_000, prefix="/ledger/", key="key-one", work=5.0):
        body = {"Spec": spec, "Steps": [{"Count": count, "Cpu": cpu, "MemMb": 1024, "Gpu": 1, "EstimateMs": int(work * 1000)}]}
        return self.request(entry or self.entries[0], "POST", prefix + job, body, key)

    def state(self, job, entry=None, prefix="/ledger/", key="key-one"):
        status, text = self.request(entry or self.entries[0], "GET", prefix + job, key=key)
        return json.loads(text).get("State") if status == 200 else status

    def running(self, task=None):
        return [(e.name, t, r["attempt"]) for e in self.executors.values() if e.is_up for t, r in list(e.running.items()) if task is None or t == task]

    def started(self, job):
        return [row for row in list(self.runs) if row[1] == "started" and row[3].startswith(job)]

    def leader(self):
        """The name of the entry in whose store record the lease stands, by its address in the record."""
        value = self.store.value("plantainfork/batch/leader") or b""
        for name in self.entries:
            if name.encode() in value:
                return name
        return None

    def stop(self):
        for executor in self.executors.values():
            executor.generation += 1
        for name, process in self.processes.items():
            if process.poll() is None:
                process.send_signal(signal.SIGCONT)
                process.kill()
                process.wait()
        logs = os.environ.get("KEEP_LOGS")
        if logs:
            shutil.copytree(self.work, logs, dirs_exist_ok=True)
        shutil.rmtree(self.work, ignore_errors=True)
        self.record("script", "all processes have ended")


def job_id():
    return "%016x" % random.getrandbits(64)


def run_case(folder, case, **site_options):
    """Runs case(site, trouble). It returns whether the rule was broken and a sentence for the record."""
    trouble = os.environ.get("TROUBLE", "1") != "0"
    site = None
    try:
        site = Site(folder, **site_options)
        site.record("script", "TROUBLE=%d" % trouble)
        is_broken, text = case(site, trouble)
        site.record("script", ("BROKEN: " if is_broken else "HELD: ") + text)
        print(("BROKEN: " if is_broken else "HELD: ") + text)
        return EXIT_BROKEN if is_broken else EXIT_HELD
    except CaseError as error:
        if site:
            site.record("script", "NOT RUN: %s" % error)
        print("NOT RUN: %s" % error)
        return EXIT_NOT_RUN
    finally:
        if site:
            site.stop()
