"""Stand-ins for a small deployment: the platform's store, executors, callers, and the starting of the project's own daemons.

They speak what the users' PROTOCOL.md says, on loopback addresses and the real clock. Each machine has an address of its own in
127.0.0.0/8, so that all machines use the same ports, as on the platform. Everything that was sent, answered and run goes into a record.
"""
import asyncio
import base64
import json
import os
import random
import re
import shutil
import signal
import socket
import tempfile
import time
import tomllib
import urllib.parse

ROOT = os.path.dirname(os.path.dirname(os.path.dirname(os.path.abspath(__file__))))

# The bounds of the users' deployment `ouzzine-tally`.
BOUNDS = {
    "HoldMaxMs": 10000, "KillGraceMs": 900, "RevokeMs": 5000, "RemoteFactor": 3, "GraceS": 6, "GangTimeoutMs": 3000,
    "EvacuateMs": 5000, "DrainMs": 3000, "ContactMs": 4000, "visible_ms": 3000, "cancel_ms": 3000, "finish_s": 14,
}
VALUE_BYTES = 1048576
TTL_MIN_MS = 1000
ENTRY_MEMORY_MB = 260
AGENT_MEMORY_MB = 128
HEARTBEAT_S = 1.5
ENDS_A_LISTING = 500
# Startup of a task that lasts.
STARTUP_S = 1.2


class NotRun(Exception):
    """The case could not run."""


class Record:
    def __init__(self, path):
        self.begin = time.monotonic()
        self.lines = []
        self.path = path

    def now(self):
        return time.monotonic() - self.begin

    def add(self, event, **fields):
        self.lines.append((self.now(), event, fields))

    def write(self):
        with open(self.path, "w") as out:
            for at, event, fields in self.lines:
                out.write(f"{at:8.3f} {event} " + " ".join(f"{k}={v}" for k, v in fields.items()) + "\n")


async def wait_briefly(event, seconds):
    """Waits for the event, for so long at most."""
    try:
        async with asyncio.timeout(max(0.0, seconds)):
            await event.wait()
    except TimeoutError:
        pass


# ---------------------------------------------------------------- HTTP

async def read_message(reader):
    """Returns the first line, the headers and the body; nothing when the connection has ended."""
    head = await reader.readuntil(b"\r\n\r\n")
    first, *rows = head[:-4].decode("latin-1").split("\r\n")
    headers = {}
    for row in rows:
        name, _, value = row.partition(":")
        headers[name.strip().lower()] = value.strip()
    body = b""
    if headers.get("transfer-encoding", "").lower() == "chunked":
        while True:
            size = int((await reader.readline()).split(b";")[0], 16)
            body += await reader.readexactly(size)
            await reader.readexactly(2)
            if size == 0:
                break
    elif int(headers.get("content-length", 0)) > 0:
        body = await reader.readexactly(int(headers["content-length"]))
    return first, headers, body


class HttpServer:
    """Answers requests by `handle(method, target, headers, body)`, which returns (status, object); None: the connection is cut."""

    def __init__(self, host, port, handle):
        self.host, self.port, self.handle = host, port, handle
        self.server = None
        self.writers = set()

    async def start(self):
        self.server = await asyncio.start_server(self.serve, self.host, self.port, limit=1 << 24)

    async def stop(self):
        if self.server:
            self.server.close()
            for writer in list(self.writers):
                writer.transport.abort()
            self.server = None

    async def serve(self, reader, writer):
        self.writers.add(writer)
        try:
            while True:
                first, headers, body = await read_message(reader)
                method, target, _ = first.split(" ", 2)
                answer = await self.handle(method, target, headers, body)
                if answer is None:
                    break
                status, value = answer
                text = json.dumps(value).encode() if value is not None else b""
                writer.write(f"HTTP/1.1 {status} X\r\nContent-Type: application/json\r\nContent-Length: {len(text)}\r\n\r\n".encode() + text)
                await writer.drain()
        except (asyncio.IncompleteReadError, ConnectionError, asyncio.CancelledError):
            pass
        finally:
            self.writers.discard(writer)
            writer.transport.abort()


async def http_call(host, port, method, target, headers=None, body=None, timeout=5.0):
    """Returns the status and the body; None as the status when no whole answer came in time."""
    writer = None
    try:
        async with asyncio.timeout(timeout):
            reader, writer = await asyncio.open_connection(host, port, limit=1 << 24)
            text = json.dumps(body).encode() if body is not None else b""
            rows = {"Host": f"{host}:{port}", "Content-Length": str(len(text)), "Connection": "close", **(headers or {})}
            if text:
                rows["Content-Type"] = "application/json"
            writer.write(f"{method} {target} HTTP/1.1\r\n".encode() + "".join(f"{k}: {v}\r\n" for k, v in rows.items()).encode() + b"\r\n" + text)
            await writer.drain()
            first, _, answer = await read_message(reader)
            return int(first.split(" ")[1]), answer
    except (asyncio.IncompleteReadError, OSError, TimeoutError):
        return None, b""
    finally:
        if writer:
            writer.transport.abort()


# ---------------------------------------------------------------- the platform's store

class Store:
    """Linearizable; loses nothing; one revision counter; leases; watches with the whole history."""

    def __init__(self, record, host, port):
        self.record = record
        self.server = HttpServer(host, port, self.handle)
        self.items = {}
        self.revision = 1
        self.history = []
        self.leases = {}
        self.next_lease = 1000
        # Set at each change, and replaced by a new one.
        self.changed = asyncio.Event()
        self.too_large = 0
        # Answer time of a call; the users' sheets say 4 ms.
        self.answer_s = 0.004
        # While true, each call is answered with 503, and leases pause.
        self.is_busy = False

    async def start(self):
        await self.server.start()
        self.expiry = asyncio.create_task(self.expire())

    async def expire(self):
        while True:
            await asyncio.sleep(0.02)
            if self.is_busy:
                for lease in self.leases.values():
                    lease["until"] += 0.02
                continue
            for number in [n for n, lease in self.leases.items() if lease["until"] <= time.monotonic()]:
                await self.end_lease(number)

    async def end_lease(self, number):
        self.leases.pop(number, None)
        keys = [key for key, item in self.items.items() if item["Lease"] == number]
        if keys:
            await self.apply([], keys)

    async def apply(self, writes, removals):
        self.revision += 1
        for write in writes:
            created = self.items[write["Key"]]["Created"] if write["Key"] in self.items else self.revision
            item = {"Key": write["Key"], "Value": write["Value"], "Revision": self.revision, "Created": created, "Lease": write.get("Lease", 0)}
            self.items[write["Key"]] = item
            self.history.append((self.revision, item))
        for key in removals:
            if self.items.pop(key, None) is not None:
                self.history.append((self.revision, {"Key": key, "Revision": self.revision, "Deleted": True}))
        self.changed.set()
        self.changed = asyncio.Event()
        return self.revision

    async def put_by_operator(self, key, value):
        """The store's response is the operator's acknowledgement."""
        await self.apply([{"Key": key, "Value": base64.b64encode(json.dumps(value).encode()).decode()}], [])
        self.record.add("operator", key=key, revision=self.revision)

    async def handle(self, method, target, headers, body):
        await asyncio.sleep(self.answer_s)
        if self.is_busy:
            return 503, {}
        parsed = urllib.parse.urlsplit(target)
        query = dict(urllib.parse.parse_qsl(parsed.query))
        path = parsed.path.removeprefix("/plantainfork/")
        if path == "kv-key":
            item = self.items.get(query["Key"])
            return (200, {**item, "AtRev": self.revision}) if item else (404, {"AtRev": self.revision})
        if path == "kv-range":
            return 200, self.page(query)
        if path == "kv-watch":
            return await self.watch(query)
        if path == "kv-txn":
            return await self.transact(json.loads(body))
        if path == "kv-lease":
            ttl = max(TTL_MIN_MS, min(int(json.loads(body)["TtlMs"]), 600000))
            self.next_lease += 1
            self.leases[self.next_lease] = {"ttl": ttl / 1000, "until": time.monotonic() + ttl / 1000}
            return 200, {"Lease": self.next_lease, "TtlMs": ttl}
        number = int(path.rsplit("/", 1)[-1]) if path.rsplit("/", 1)[-1].isdigit() else 0
        if path.startswith("kv-keep/"):
            if number not in self.leases:
                return 404, {}
            self.leases[number]["until"] = time.monotonic() + self.leases[number]["ttl"]
            return 200, {"TtlMs": int(self.leases[number]["ttl"] * 1000)}
        if path.startswith("kv-lease-end/"):
            if number not in self.leases:
                return 404, {}
            await self.end_lease(number)
            return 200, {}
        return 400, {}

    def page(self, query):
        keys = sorted(key for key in self.items if key.startswith(query["Prefix"]) and key > query.get("After", ""))
        items, size = [], 0
        for key in keys:
            if len(items) >= 500 or (items and size + len(self.items[key]["Value"]) > 1000000):
                break
            items.append(self.items[key])
            size += len(self.items[key]["Value"])
        return {"items": items, "HasMore": len(items) < len(keys), "AtRev": self.revision}

    async def watch(self, query):
        after = int(query["After"])
        until = time.monotonic() + int(query["WaitMs"]) / 1000
        seen = 0
        while True:
            # Newest first, as a watch asks for the few changes after its revision.
            events = []
            for revision, event in reversed(self.history):
                if revision <= after:
                    break
                if event["Key"].startswith(query["Prefix"]):
                    events.append(event)
            left = until - time.monotonic()
            if events or left <= 0 or self.is_busy:
                return 200, {"events": events[::-1], "AtRev": self.revision}
            # In parts, so that a watch that waits is answered soon after the store goes down.
            await wait_briefly(self.changed, min(left, 0.1))

    async def transact(self, call):
        conditions, writes, removals = call.get("ExpectedRev", []), call.get("Write", []), call.get("Remove", [])
        if len(conditions) + len(writes) + len(removals) > 32:
            return 400, {}
        for write in writes:
            value = base64.b64decode(write["Value"])
            if len(value) > VALUE_BYTES or len(write["Key"]) > 200:
                self.too_large += 1
                if self.too_large == 1:
                    self.record.add("store refuses a value over ValueBytes", key=write["Key"], bytes=len(value), limit=VALUE_BYTES)
                return 400, {}
            if write["Key"].startswith(("op/", "servers/")):
                return 403, {}
        for row in conditions:
            item = self.items.get(row["Key"])
            if (item["Revision"] if item else 0) != row["Revision"]:
                return 412, {"items": [self.items[r["Key"]] for r in conditions if r["Key"] in self.items]}
        for write in writes:
            if write.get("Lease", 0) and write["Lease"] not in self.leases:
                return 404, {}
        return 200, {"Revision": await self.apply(writes, removals)}


# ---------------------------------------------------------------- executors

class Floor:
    """What the platform knows of the jobs that callers handed in: needs and run times of their tasks."""

    def __init__(self):
        self.jobs = {}
        self.executors = []
        self.starts = []
        self.ends = []
        # Task and attempt of each end that LastSeen has reached.
        self.noted = set()

    def step_of(self, task):
        job, _, step, _ = task.rsplit(".", 3)
        return self.jobs[job]["Steps"][int(step)]

    def work_s(self, task):
        return self.jobs[task.rsplit(".", 3)[0]]["work_s"]


class Executor:
    """One executor beside an agent. Guards its room (Preconditions true)."""

    def __init__(self, record, floor, name, host, port, control, service, zone, rack, capacity):
        self.record, self.floor, self.name, self.service, self.zone, self.rack = record, floor, name, service, zone, rack
        self.host, self.port, self.control, self.capacity = host, port, control, capacity
        self.server = HttpServer(host, port, self.handle)
        self.state = "ready"
        self.remaining_ms = 0
        self.seq = 0
        self.beats = None
        self.acknowledged_drain_at = None
        # Answers each start with 503, having done nothing.
        self.is_unhealthy = False
        # Answers nothing, and its tasks stand still.
        self.is_silent = False
        floor.executors.append(self)
        self.begin_life()

    def begin_life(self):
        self.id = "i-" + "".join(random.choice("0123456789abcdef") for _ in range(8))
        self.born = int(time.time() * 1000)
        self.clock_begin = time.monotonic()
        self.running, self.barred, self.finished, self.count, self.fence = {}, {}, [], 0, 0
        self.lease_until = 0
        self.news = asyncio.Event()

    def clock(self):
        return int((time.monotonic() - self.clock_begin) * 1000)

    async def start(self):
        await self.server.start()
        self.beats = asyncio.create_task(self.beat_forever())
        self.lapses = asyncio.create_task(self.watch_lease())

    async def stop(self):
        for task in (self.beats, self.lapses):
            if task:
                task.cancel()
        await self.server.stop()

    async def beat_forever(self):
        await asyncio.sleep(random.uniform(0, 0.3))
        while True:
            if not self.is_silent:
                await self.beat()
            await asyncio.sleep(HEARTBEAT_S)

    async def beat(self):
        self.seq += 1
        body = {"Service": self.service, "Addr": f"{self.host}:{self.port}", "Zone": self.zone, "Version": "v1", "Slots": 8, "State": self.state,
                "ColdLeftMs": 0, "Capacity": self.capacity, "Labels": ["a", self.rack], "ClockMs": self.clock(), "Seq": self.seq, "born": self.born}
        if self.state == "draining":
            body["RemainingMs"] = self.remaining_ms
        status, _ = await http_call(*self.control, "POST", f"/plantainfork/instances/{self.id}/heartbeat", body=body, timeout=1.0)
        if status == 200 and self.state == "draining" and self.acknowledged_drain_at is None:
            self.acknowledged_drain_at = self.record.now()
            self.record.add("drain acknowledged", executor=self.name)

    async def watch_lease(self):
        while True:
            await asyncio.sleep(0.01)
            if self.running and self.clock() > self.lease_until:
                for task in list(self.running):
                    self.end(task, "lapsed")

    def free(self):
        used = {"Cpu": 0, "MemMb": 0, "Gpu": 0}
        for task in self.running:
            step = self.floor.step_of(task)
            for name in used:
                used[name] += step.get(name, 0)
        return {name: self.capacity[name] - used[name] for name in used}

    def end(self, task, how):
        run = self.running.pop(task, None)
        if run is None:
            return
        run["timer"].cancel()
        self.barred[task] = max(self.barred.get(task, 0), run["attempt"])
        self.count += 1
        self.finished.append([self.count, task, run["attempt"], how, ""])
        self.floor.ends.append((self.record.now(), self.name, task, run["attempt"], how))
        self.record.add("task ended", executor=self.name, task=task, attempt=run["attempt"], how=how, number=self.count)
        self.news.set()

    async def handle(self, method, target, headers, body):
        while self.is_silent:
            await asyncio.sleep(0.02)
        if headers.get("x-plantainfork-expected-instance", self.id) != self.id:
            return 421, {"ClockMs": self.clock()}
        call = json.loads(body)
        token = call.get("FencingToken", 0)
        if token < self.fence:
            return 409, {"ClockMs": self.clock(), "Reason": "fence"}
        self.fence = token
        if target.endswith("/hold"):
            return await self.hold(call)
        if target.endswith("/run-start"):
            return self.run_start(call)
        if target.endswith("/run-stop"):
            task, attempt = call["Task"], call["Attempt"]
            run = self.running.get(task)
            if run and run["attempt"] <= attempt:
                self.end(task, "stopped")
            self.barred[task] = max(self.barred.get(task, 0), attempt)
            return 200, {"ClockMs": self.clock()}
        return 400, {}

    def extend(self, call):
        deadline = min(call.get("DeadlineMs", 0), self.clock() + BOUNDS["HoldMaxMs"])
        self.lease_until = max(self.lease_until, deadline)

    def run_start(self, call):
        task, attempt = call["Task"], call["Attempt"]
        if self.is_unhealthy:
            return 503, {}
        answer = {"ClockMs": self.clock()}
        if call["DeadlineMs"] < self.clock():
            return 409, {**answer, "Reason": "late"}
        run = self.running.get(task)
        if run and run["attempt"] == attempt:
            self.extend(call)
            return 200, answer
        if run or attempt <= self.barred.get(task, 0):
            self.extend(call)
            return 409, {**answer, "Reason": "old"}
        step, free = self.floor.step_of(task), self.free()
        if any(step.get(name, 0) > free[name] for name in free):
            self.extend(call)
            return 409, {**answer, "Reason": "room"}
        self.extend(call)
        work_s = self.floor.work_s(task)
        loop = asyncio.get_running_loop()
        timer = loop.call_later(work_s if work_s is not None else 1e6, self.finish, task)
        self.running[task] = {"attempt": attempt, "begin": time.monotonic(), "timer": timer}
        self.floor.starts.append((self.record.now(), self.name, task, attempt))
        self.record.add("task started", executor=self.name, task=task, attempt=attempt)
        return 200, answer

    def finish(self, task):
        if self.is_silent:
            self.running[task]["timer"] = asyncio.get_running_loop().call_later(0.05, self.finish, task)
            return
        self.end(task, "done")

    def percent(self, task):
        work_s = self.floor.work_s(task)
        age = time.monotonic() - self.running[task]["begin"]
        return 100 if work_s is None and age > STARTUP_S else 0 if work_s is None else min(99, int(100 * age / work_s))

    async def hold(self, call):
        self.extend(call)
        last_seen = call.get("LastSeen", 0)
        self.floor.noted.update((row[1], row[2]) for row in self.finished if row[0] <= last_seen)
        self.finished = [row for row in self.finished if row[0] > last_seen]
        until = time.monotonic() + min(call.get("WaitMs", 0), 2000) / 1000
        while not self.finished and time.monotonic() < until:
            self.news.clear()
            await wait_briefly(self.news, until - time.monotonic())
        while self.is_silent:
            await asyncio.sleep(0.02)
        running = [[task, run["attempt"], "", self.percent(task), 0] for task, run in self.running.items()]
        return 200, {"ClockMs": self.clock(), "born": self.born, "Running": running, "Finished": self.finished[:ENDS_A_LISTING]}


# ---------------------------------------------------------------- the project's daemons

def render(template, fields):
    """Renders a template of the deploy file: {{a.b}}, {{.}}, {{,}} and sections over lists."""

    def value(name, scope):
        if name == ".":
            return scope.get(".", "")
        current = scope
        for part in name.split("."):
            if isinstance(current, list):
                current = current[int(part)] if int(part) < len(current) else None
            else:
                current = current.get(part) if isinstance(current, dict) else None
            if current is None:
                return ""
        return current

    def section(match):
        entries = value(match[1], fields) or []
        parts = []
        for index, entry in enumerate(entries):
            text = match[2].replace("{{.}}", str(entry)).replace("{{,}}", "" if index + 1 == len(entries) else ",")
            parts.append(text)
        return "".join(parts)

    text = re.sub(r"\{\{#([\w.]+)\}\}(.*?)\{\{/\1\}\}", section, template, flags=re.S)
    return re.sub(r"\{\{([\w.]+)\}\}", lambda match: str(value(match[1], fields)), text)


class Daemon:
    """One process of the project, started by the command and the template of its role in the deploy file."""

    def __init__(self, deployment, role, name, fields):
        self.deployment, self.role, self.name, self.fields = deployment, role, name, fields
        self.process = None
        self.memory_mb = fields["Limits"]["MemoryMb"]
        self.kills = 0
        self.peak_mb = 0

    async def start(self):
        spec = self.deployment.roles[self.role]
        with open(os.path.join(ROOT, spec["template"])) as template:
            text = render(template.read(), self.fields)
        path = os.path.join(self.deployment.folder, self.name + ".toml")
        with open(path, "w") as out:
            out.write(text)
        words = spec["run"].split()
        command = [os.path.join(ROOT, words[0])] + [word.replace("/etc/plantainfork/node.yaml", path) for word in words[1:]]
        log = open(os.path.join(self.deployment.folder, self.name + ".log"), "ab")
        self.process = await asyncio.create_subprocess_exec(*command, stdout=log, stderr=log, cwd=ROOT)
        log.close()
        self.deployment.record.add("process started", name=self.name)

    def send_signal(self, number):
        if self.process and self.process.returncode is None:
            self.process.send_signal(number)

    async def end(self, number=signal.SIGTERM, limit=3.0):
        if not self.process:
            return
        self.send_signal(number)
        try:
            await asyncio.wait_for(self.process.wait(), limit)
        except TimeoutError:
            self.process.kill()
            await self.process.wait()

    def resident_mb(self):
        try:
            with open(f"/proc/{self.process.pid}/statm") as statm:
                return int(statm.read().split()[1]) * os.sysconf("SC_PAGE_SIZE") / 1048576
        except (OSError, IndexError):
            return 0


class Deployment:
    """A small deployment: the store, entries, and executors each with an agent beside it."""

    def __init__(self, record, zones, executors):
        """`zones`: names, each with an entry. `executors`: rows of name, zone, rack, capacity."""
        self.record = record
        self.zones = zones
        self.executor_rows = executors
        self.folder = tempfile.mkdtemp(prefix="review-")
        with open(os.path.join(ROOT, "deploy", "system.toml"), "rb") as file:
            self.roles = tomllib.load(file)["roles"]
        if not os.path.exists(os.path.join(ROOT, self.roles["entry"]["run"].split()[0])):
            raise NotRun("target/bin is not built")
        self.net = self.free_net()
        self.floor = Floor()
        self.store = Store(record, f"{self.net}.1", 8524)
        self.entries, self.agents, self.executors = [], [], []
        self.keeper = None
        self.is_stopping = False

    @staticmethod
    def free_net():
        """A /24 of the loopback range on whose ports nothing listens."""
        for _ in range(50):
            net = f"127.{random.randint(20, 250)}.{random.randint(1, 250)}"
            try:
                for host in (1, 10, 40):
                    for port in (7000, 7001, 8521, 8523, 8524, 8526, 8529):
                        with socket.socket() as probe:
                            probe.bind((f"{net}.{host}", port))
                return net
            except OSError:
                continue
        raise NotRun("no free loopback addresses")

    def fields(self, name, host, zone, memory_mb, share, seeds):
        return {
            "NodeName": name, "Ip": host, "Zone": zone, "Region": "atlas-north", "PortRange": [7000, 7015], "Seeds": seeds,
            "Listen": {"Frontend": f"{host}:8521", "Readiness": f"{host}:8523", "Control": f"{host}:8526"}, "app": f"{host}:8529",
            "Limits": {"CpuShare": share, "MemoryMb": memory_mb}, "platform": {"Addr": f"{self.net}.1:8524"}, "Bounds": BOUNDS,
        }

    async def start(self, policy):
        await self.store.start()
        await self.store.put_by_operator("op/config", policy)
        seeds = [f"{self.net}.{10 + i}:8526" for i in range(len(self.zones))]
        for i, zone in enumerate(self.zones):
            self.entries.append(Daemon(self, "entry", f"edge-{zone}-{i + 1}", self.fields(f"edge-{zone}-{i + 1}", f"{self.net}.{10 + i}", zone, ENTRY_MEMORY_MB, 0.25, seeds)))
        for i, (name, zone, rack, capacity) in enumerate(self.executor_rows):
            host = f"{self.net}.{40 + i}"
            self.agents.append(Daemon(self, "agent", f"side-{name}", self.fields(f"side-{name}", host, zone, AGENT_MEMORY_MB, 0.15, seeds)))
            self.executors.append(Executor(self.record, self.floor, name, host, 8529, (host, 8526), "herd-ledger", zone, rack, capacity))
        for daemon in self.entries + self.agents:
            await daemon.start()
        for executor in self.executors:
            await executor.start()
        await self.wait_until_ready()

    async def wait_until_ready(self, limit=15.0):
        """All entries are ready, and each executor has been asked for its runs under a token."""
        end = time.monotonic() + limit
        while time.monotonic() < end:
            answers = [await http_call(daemon.fields["Ip"], 8523, "GET", "/plantainfork/readyz", timeout=1.0) for daemon in self.entries]
            if all(status == 200 for status, _ in answers) and all(executor.fence > 0 for executor in self.executors):
                await asyncio.sleep(1.0)
                self.record.add("deployment ready")
                return
            await asyncio.sleep(0.1)
        raise NotRun("the deployment did not become ready")

    def keep_memory_limits(self):
        """What the platform does: a process that exceeds its memory is killed, and one that ends is started again after a short delay."""

        async def keep():
            while True:
                await asyncio.sleep(0.02)
                for daemon in self.entries + self.agents:
                    if daemon.process is None:
                        continue
                    if daemon.process.returncode is None:
                        resident = daemon.resident_mb()
                        daemon.peak_mb = max(daemon.peak_mb, resident)
                        if resident > daemon.memory_mb:
                            daemon.kills += 1
                            self.record.add("over its memory, killed", name=daemon.name, resident_mb=int(resident), limit_mb=daemon.memory_mb)
                            daemon.process.kill()
                    else:
                        asyncio.create_task(self.restart(daemon, daemon.process))
                        daemon.process = None

        self.keeper = asyncio.create_task(keep())

    async def restart(self, daemon, ended):
        await ended.wait()
        await asyncio.sleep(0.5)
        if not self.is_stopping:
            await daemon.start()

    async def stop(self):
        self.is_stopping = True
        if self.keeper:
            self.keeper.cancel()
        await asyncio.gather(*(daemon.end() for daemon in self.entries + self.agents))
        for executor in self.executors:
            await executor.stop()
        await self.store.server.stop()
        if os.environ.get("KEEP_LOGS"):
            print("logs:", self.folder)
        else:
            shutil.rmtree(self.folder, ignore_errors=True)

    # ------------------------------------------------------------ callers

    async def call(self, method, queue, job="", body=None, entry=0, key="key-of-tenant-a", timeout=3.0):
        target = queue["Prefix"] + job
        headers = {"Host": queue["Host"], "X-Api-Key": key, "X-Plantainfork-Deadline-Ms": str(int(timeout * 1000))}
        return await http_call(self.entries[entry].fields["Ip"], 8521, method, target, headers, body, timeout)

    async def submit(self, queue, steps, work_s, spec="x", tries=5, entry=0, quiet=False, key="key-of-tenant-a"):
        """Hands a job in; returns its id, and whether it was accepted. `work_s`: run time of each task; None: it lasts."""
        job = "".join(random.choice("0123456789abcdef") for _ in range(16))
        self.floor.jobs[job] = {"Steps": steps, "work_s": work_s}
        status = None
        for attempt in range(tries):
            status, _ = await self.call("POST", queue, job, {"Spec": spec, "Steps": steps}, (entry + attempt) % len(self.entries), key)
            if not quiet:
                self.record.add("submitted", job=job, queue=queue["Name"], status=status)
            if status is not None and 200 <= status < 300:
                return job, True
            if status in (400, 401, 404):
                break
            await asyncio.sleep(1.0)
        return job, False

    async def state(self, queue, job, entry=0):
        status, body = await self.call("GET", queue, job, entry=entry)
        text = json.loads(body).get("State") if status == 200 else None
        self.record.add("asked", job=job, status=status, state=text)
        return text

    async def pending(self, queue, entry=0):
        status, body = await self.call("GET", queue, entry=entry)
        count = json.loads(body).get("Pending", 0) if status == 200 else None
        self.record.add("asked for Pending", queue=queue["Name"], status=status, pending=count)
        return count

    def starts_of(self, job):
        return [start for start in self.floor.starts if start[2].startswith(job + ".")]


class IdleWatch:
    """The second part of the rule LOST, as it is written: from `finish_s` after the end of the traffic on, a job has nothing running for 3 s
    while a task's turn has come, there is capacity for it twice over, and under half of the service's capacity is in use."""

    IDLE_S = 3.0
    STEP_S = 0.25

    def __init__(self, deployment, jobs, need, tasks):
        """`jobs`: accepted jobs of one step of `tasks` tasks, each of which needs `need`."""
        self.deployment, self.jobs, self.need, self.tasks = deployment, jobs, need, tasks
        self.idle_since = {}
        self.longest = {}

    def has_room(self):
        free = [executor.free() for executor in self.deployment.executors]
        capacity = [executor.capacity for executor in self.deployment.executors]
        for name in self.need:
            if sum(one[name] for one in free) <= sum(one[name] for one in capacity) / 2:
                return False
        return sum(min(one[name] // need for name, need in self.need.items()) for one in free) >= 2 * self.tasks

    def look(self):
        floor = self.deployment.floor
        has_room = self.has_room()
        for job in self.jobs:
            is_running = any(task.startswith(job + ".") for executor in self.deployment.executors for task in executor.running)
            is_over = len([end for end in floor.ends if end[2].startswith(job + ".") and end[4] == "done"]) >= self.tasks
            if is_running or is_over or not has_room:
                self.idle_since.pop(job, None)
                continue
            since = self.idle_since.setdefault(job, time.monotonic())
            self.longest[job] = max(self.longest.get(job, 0), time.monotonic() - since)

    async def watch(self, seconds):
        """To be called at the end of the traffic. Returns the jobs that break the rule, with the longest time for each."""
        await asyncio.sleep(BOUNDS["finish_s"])
        end = time.monotonic() + seconds - BOUNDS["finish_s"]
        while time.monotonic() < end:
            self.look()
            await asyncio.sleep(self.STEP_S)
        broken = {job: idle for job, idle in self.longest.items() if idle >= self.IDLE_S}
        for job in self.jobs:
            self.deployment.record.add("job", job=job, starts=len(self.deployment.starts_of(job)), idle_s=f"{self.longest.get(job, 0):.1f}")
        return broken


def queue(name, priority, target_ms, slack=3.0, attempts=3):
    return {"Name": name, "Host": "nony24.example", "Prefix": f"/{name}/", "Kind": "non_idempotent", "TimeoutMs": 3000, "TargetDurationMs": target_ms,
            "Priority": priority, "Service": "herd-ledger", "MaxAttempts": attempts, "SlackFactor": slack, "Public": False, "RegionsAllowed": []}


SEASON_CLOSE = queue("season-close", 1, 1500)
CALVING_COUNT = queue("calving-count", 0, 600, slack=1.5)
STRAY_CHECK = queue("stray-check", 2, 3000)


def policy(version=7):
    return {
        "Version": version,
        "Routes": [SEASON_CLOSE, CALVING_COUNT, STRAY_CHECK],
        "Services": [{"Name": "herd-ledger", "HealthPath": "/healthz", "MaxConns": 64, "Protocol": "h1", "Tls": False, "ColdStartS": 0.0, "ColdPerS": 0.0,
                      "Preconditions": True, "Standby": False}],
        "Limits": {"MaxHeaderBytes": 16384, "MaxBodyBytes": 262144, "HeaderTimeoutMs": 3000, "IdleTimeoutMs": 15000},
        "Tenants": [{"Name": "tenant-a", "ApiKeys": ["key-of-tenant-a"], "Priority": 1, "Guaranteed": {"Gpu": 0}, "RegionsAllowed": []},
                    {"Name": "tenant-b", "ApiKeys": ["key-of-tenant-b"], "Priority": 1, "Guaranteed": {"Gpu": 0}, "RegionsAllowed": []}],
    }


WHOLE_HOST = {"Cpu": 64000, "MemMb": 262144, "Gpu": 8}


def run_case(case, case_file, limit_s=110):
    """Runs the coroutine `case(record, has_trouble)`, which returns (broken, text). Exits with 1, 0 or 2."""
    folder = os.path.dirname(os.path.abspath(case_file))
    record = Record(os.path.join(folder, "record.txt"))
    has_trouble = os.environ.get("TROUBLE", "1") != "0"
    record.add("begin", trouble=int(has_trouble))
    with asyncio.Runner() as runner:
        try:
            broken, text = runner.run(asyncio.wait_for(case(record, has_trouble), limit_s))
        except NotRun as reason:
            finish(record, 2, f"could not run: {reason}")
        except (TimeoutError, KeyboardInterrupt):
            finish(record, 2, "could not run: took too long")
        except Exception as failure:  # Python's own exit code would say that the rule was broken.
            finish(record, 2, f"could not run: {failure!r}")
        finish(record, 1 if broken else 0, text)


def finish(record, code, text):
    """Writes the record and ends at once, without waiting for connections that are still open. All processes have ended before."""
    record.add("end", exit=code, verdict=text.replace("\n", " "))
    record.write()
    print(text, flush=True)
    os._exit(code)
