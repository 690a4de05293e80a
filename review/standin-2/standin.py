"""Stand-ins for the users' platform: store, executors, operator and clients.

Everything runs in one process on loopback addresses. The program under test runs as
separate processes with the command of deploy/system.toml.
"""

import asyncio
import base64
import json
import os
import random
import signal
import socket
import struct
import subprocess
import sys
import tempfile
import time

ROOT = os.path.dirname(os.path.dirname(os.path.dirname(os.path.abspath(__file__))))
LOOPBACK = "127.0.0.1"
PARTITIONS = 32
HEARTBEAT_S = 1.5
MAX_LEASE_MS = 10_000
STOP_MS = 200
SERVICE = "orderflode"


TAKEN_PORTS = set()


def free_port():
    """Returns a free port below those that the system gives to outgoing connections."""
    while True:
        port = random.randrange(12_000, 30_000)
        if port in TAKEN_PORTS:
            continue
        with socket.socket() as probe:
            try:
                probe.bind((LOOPBACK, port))
            except OSError:
                continue
        TAKEN_PORTS.add(port)
        return port


class Record:
    """What was sent, answered and run, with the time since the start in seconds."""

    def __init__(self, path):
        self.file = open(path, "w")
        self.began = time.monotonic()

    def now(self):
        return time.monotonic() - self.began

    def note(self, text):
        self.file.write(f"{self.now():8.3f} {text}\n")
        self.file.flush()


async def read_request(reader):
    """Reads one request; returns method, path, query, headers, body, or None at the end."""
    head = await reader.readuntil(b"\r\n\r\n")
    lines = head.decode("latin-1").split("\r\n")
    method, target, _ = lines[0].split(" ", 2)
    headers = {}
    for line in lines[1:]:
        if line:
            name, value = line.split(":", 1)
            headers[name.strip().lower()] = value.strip()
    length = int(headers.get("content-length", "0"))
    body = await reader.readexactly(length) if length else b""
    path, _, query_text = target.partition("?")
    query = {}
    for pair in query_text.split("&"):
        if pair:
            name, _, value = pair.partition("=")
            query[name] = unquote(value)
    return method, path, query, headers, body


def unquote(text):
    from urllib.parse import unquote as decode

    return decode(text)


class HttpServer:
    """A server on one address. The handler returns (status, body) or None for no answer."""

    def __init__(self, handler, port=None):
        self.handler = handler
        self.port = port or free_port()
        self.server = None
        self.writers = set()

    @property
    def address(self):
        return f"{LOOPBACK}:{self.port}"

    async def start(self):
        self.server = await asyncio.start_server(self.serve, LOOPBACK, self.port, reuse_address=True)

    async def stop(self):
        """Ends the listener and resets its connections, as the end of a process does."""
        if self.server:
            self.server.close()
            self.server = None
        for writer in list(self.writers):
            writer.transport.abort()

    async def serve(self, reader, writer):
        self.writers.add(writer)
        try:
            while True:
                request = await read_request(reader)
                answer = await self.handler(*request)
                if answer is None:
                    continue
                status, body = answer
                if not isinstance(body, bytes):
                    body = json.dumps(body).encode()
                head = f"HTTP/1.1 {status} X\r\ncontent-length: {len(body)}\r\ncontent-type: application/json\r\n\r\n"
                writer.write(head.encode() + body)
                await writer.drain()
        except (asyncio.IncompleteReadError, ConnectionError, asyncio.LimitOverrunError):
            pass
        except asyncio.CancelledError:
            # The case has ended; the connection ends with it.
            pass
        finally:
            self.writers.discard(writer)
            writer.close()


class Topic:
    def __init__(self):
        self.records = []
        self.newest = {}
        self.writers = {}

    def add(self, record):
        length = record[0]
        key, value = record[1 : 1 + length].decode(), record[1 + length :]
        offset = len(self.records)
        self.records.append(record)
        if value:
            self.newest[key] = (offset, value)
        else:
            self.newest.pop(key, None)


class Group:
    """Members that share partitions; a partition moves once its holder knows of it."""

    def __init__(self):
        self.generation = 0
        self.order = []
        self.seen = {}
        self.held = {}

    def expire(self):
        now = time.monotonic()
        for name in [name for name, (at, ttl) in self.seen.items() if now - at > ttl]:
            self.leave(name)

    def target(self, part):
        return self.order[part % len(self.order)]

    def join(self, name, ttl_ms, known):
        self.expire()
        if name not in self.seen:
            self.order.append(name)
            self.generation += 1
        self.seen[name] = (time.monotonic(), max(ttl_ms, 1000) / 1000)
        for part in range(PARTITIONS):
            wanted = self.target(part) == name
            holder = self.held.get(part)
            if holder == name and not wanted and known >= self.generation:
                del self.held[part]
            elif holder is None and wanted:
                self.held[part] = name
        return self.generation, [p for p in range(PARTITIONS) if self.held.get(p) == name and self.target(p) == name]

    def leave(self, name):
        if self.seen.pop(name, None):
            self.order.remove(name)
            self.held = {p: holder for p, holder in self.held.items() if holder != name}
            self.generation += 1


class Store:
    """The platform's store in its form of a log."""

    def __init__(self, record):
        self.record = record
        self.topics = {}
        self.groups = {}
        self.changed = asyncio.Condition()
        self.server = HttpServer(self.handle)

    def topic(self, name):
        return self.topics.setdefault(name, Topic())

    async def put(self, topic, key, value):
        """Writes a record of the operator or of an executor; an empty value removes the key."""
        raw = key.encode()
        self.topic(topic).add(bytes([len(raw)]) + raw + value)
        async with self.changed:
            self.changed.notify_all()

    async def handle(self, method, path, query, headers, body):
        if path == "/log-append":
            await asyncio.sleep(0.004)
            return await self.append(query, body)
        if path == "/log-read":
            return await self.read(query)
        if path == "/log-newest":
            return self.newest(query)
        if path == "/log-join":
            call = json.loads(body)
            group = self.groups.setdefault(call["group"], Group())
            generation, parts = group.join(call["member"], call["ttl-ms"], call.get("generation", 0))
            rows = [[call["topics"][0], part, 0] for part in parts]
            return 200, {"generation": generation, "ttl-ms": call["ttl-ms"], "parts": rows}
        if path == "/log-leave":
            call = json.loads(body)
            self.groups.setdefault(call["group"], Group()).leave(call["member"])
            return 200, {}
        if path == "/log-owners":
            group = self.groups.setdefault(query.get("group", ""), Group())
            group.expire()
            return 200, {"owners": [["roster", part, name, 0] for part, name in sorted(group.held.items())]}
        return 404, {}

    async def append(self, query, body):
        name = query.get("topic", "")
        if name in ("keyed.op", "keyed.servers"):
            return 403, {}
        records = []
        while body:
            length = struct.unpack(">I", body[:4])[0]
            records.append(body[4 : 4 + length])
            body = body[4 + length :]
        topic = self.topic(name)
        end = len(topic.records)
        span = {"offset": end, "end-offset": end + len(records)}
        writer = None
        if "producer" in query:
            epoch, number = int(query["epoch"]), int(query["seq"])
            writer = topic.writers.get(query["producer"])
            if writer and epoch < writer["epoch"]:
                return 409, {"reason": "fenced"}
            if not writer or epoch > writer["epoch"]:
                writer = {"epoch": epoch, "last": None, "recent": {}}
                topic.writers[query["producer"]] = writer
            if records:
                if number in writer["recent"]:
                    return 200, writer["recent"][number]
                if writer["last"] is not None and number != writer["last"] + 1:
                    return 409, {"reason": "seq", "expected": writer["last"] + 1}
        if "at" in query and int(query["at"]) != end:
            return 412, {"end-offset": end}
        if writer and records:
            writer["last"] = number
            writer["recent"][number] = span
            for old in sorted(writer["recent"])[:-5]:
                del writer["recent"][old]
        for one in records:
            topic.add(one)
        async with self.changed:
            self.changed.notify_all()
        return 200, span

    async def read(self, query):
        topic = self.topic(query.get("topic", ""))
        start, limit = int(query.get("from", 0)), int(query.get("max-kb", 1024)) * 1024
        deadline = time.monotonic() + min(int(query.get("wait-ms", 0)), 30_000) / 1000
        async with self.changed:
            while len(topic.records) <= start:
                left = deadline - time.monotonic()
                if left <= 0:
                    break
                try:
                    await asyncio.wait_for(self.changed.wait(), left)
                except asyncio.TimeoutError:
                    break
        page = struct.pack(">QQ", len(topic.records), 0)
        for one in topic.records[start:]:
            if len(page) > 16 and len(page) + len(one) > limit:
                break
            page += struct.pack(">I", len(one)) + one
        return 200, page

    def newest(self, query):
        topic = self.topic(query.get("topic", ""))
        keys = sorted(key for key in topic.newest if key > query.get("after", ""))
        items, size = [], 0
        for key in keys[:500]:
            offset, value = topic.newest[key]
            items.append({"key": key, "value": base64.b64encode(value).decode(), "offset": offset})
            size += len(value)
            if size >= 1_000_000:
                break
        return 200, {"items": items, "has-more": len(keys) > len(items), "end-offset": len(topic.records)}


class Run:
    def __init__(self, number, spec, lasts, begun):
        self.number = number
        self.spec = spec
        # How long it works, in seconds; None for a task that lasts.
        self.lasts = lasts
        self.begun = begun
        self.stops_at = None


class Executor:
    """One place for an executor. Each life holds and knows nothing of the one before."""

    def __init__(self, store, record, name, rack, capacity, keeps_id=True, service=SERVICE):
        self.store = store
        self.record = record
        self.name = name
        self.rack = rack
        self.capacity = capacity
        self.keeps_id = keeps_id
        self.service = service
        self.kind = "a"
        self.server = HttpServer(self.handle)
        self.lives = 0
        self.is_up = False
        self.state = "ready"
        self.last_entry = None
        self.removal = None
        # Called as observer(event, executor, task, run); events are start and end kinds.
        self.observer = None

    async def start(self):
        self.lives += 1
        self.id = f"i-{self.name}" if self.keeps_id else f"i-{self.name}-{self.lives}"
        self.born = int(time.time() * 1000)
        self.clock_zero = time.monotonic()
        self.token = 0
        self.running = {}
        self.ended = []
        self.ends = 0
        self.over = {}
        self.lease_until = 0
        self.state = "ready"
        self.news = asyncio.Event()
        if self.removal:
            self.removal.cancel()
            self.removal = None
        await self.server.start()
        self.is_up = True
        self.record.note(f"executor {self.name} starts as {self.id} at {self.server.address}, born {self.born}")
        await self.write_entry()
        self.ticker = asyncio.ensure_future(self.tick())

    def entry(self):
        return {
            "service": self.service, "address": self.server.address, "zone": "vs-a", "version": "v1",
            "slots": 8, "state": self.state, "cold-remaining-ms": 0, "capacity": self.capacity,
            "labels": [self.kind, self.rack], "clock-ms": self.clock(), "born": self.born, "seq": self.lives,
        }

    async def write_entry(self):
        await self.store.put("keyed.servers", self.id, json.dumps(self.entry()).encode())

    async def crash(self):
        """Ends the process. The entry expires after three intervals, unless it is written again."""
        self.is_up = False
        self.ticker.cancel()
        for task, run in self.running.items():
            self.record.note(f"executor {self.name} crashes under {task} run {run.number}")
            self.notify("crash", task, run)
        self.running = {}
        self.record.note(f"executor {self.name} crashes")
        await self.server.stop()
        old = self.id
        async def remove():
            await asyncio.sleep(3 * HEARTBEAT_S)
            if not (self.is_up and self.id == old):
                await self.store.put("keyed.servers", old, b"")
                self.record.note(f"the entry {old} expires")
        removal = asyncio.ensure_future(remove())
        if self.keeps_id:
            self.removal = removal

    def clock(self):
        return int((time.monotonic() - self.clock_zero) * 1000) + 100_000

    def notify(self, event, task, run):
        if self.observer:
            self.observer(event, self, task, run)

    def end(self, task, how):
        run = self.running.pop(task)
        self.ends += 1
        self.ended.append([self.ends, task, run.number, how, ""])
        self.over[task] = max(self.over.get(task, 0), run.number)
        self.record.note(f"executor {self.name}: {task} run {run.number} ends {how}")
        self.notify(how, task, run)
        self.news.set()

    async def tick(self):
        """Lets runs end in time."""
        while True:
            await asyncio.sleep(0.01)
            self.update()

    def update(self):
        now = time.monotonic()
        for task, run in list(self.running.items()):
            if run.stops_at is not None and now >= run.stops_at:
                self.end(task, "stopped")
            elif self.clock() >= self.lease_until:
                self.end(task, "lapsed")
            elif run.lasts is not None and now - run.begun >= run.lasts:
                self.end(task, "done")

    def extend(self, until):
        if until is not None:
            self.lease_until = max(self.lease_until, min(until, self.clock() + MAX_LEASE_MS))

    async def handle(self, method, path, query, headers, body):
        if path == "/health":
            return 200, {}
        call = json.loads(body)
        expected = headers.get("pimentochute-expected-instance")
        if expected is not None and expected != self.id:
            return 421, {}
        self.update()
        if call.get("fencing-token", 0) < self.token:
            return 409, {"clock-ms": self.clock(), "reason": "fence"}
        self.token = call.get("fencing-token", 0)
        if path == "/run-start":
            return self.begin(call)
        if path == "/run-stop":
            run = self.running.get(call["task"])
            self.over[call["task"]] = max(self.over.get(call["task"], 0), call["run"])
            if run and run.number <= call["run"] and run.stops_at is None:
                run.stops_at = time.monotonic() + STOP_MS / 2000
            self.record.note(f"executor {self.name} is told to stop {call['task']} run {call['run']}")
            return 200, {"clock-ms": self.clock()}
        if path == "/hold":
            return await self.hold(call)
        return 404, {}

    def begin(self, call):
        task, number = call["task"], call["run"]
        self.extend(call.get("until-ms"))
        known = self.running.get(task)
        if known and known.number == number:
            return 200, {"clock-ms": self.clock()}
        if number <= self.over.get(task, 0) or known:
            return 409, {"clock-ms": self.clock(), "reason": "old"}
        if call.get("until-ms", 0) <= self.clock():
            return 409, {"clock-ms": self.clock(), "reason": "late"}
        lasts = json.loads(call["spec"]).get("lasts_s")
        run = Run(number, call["spec"], lasts, time.monotonic())
        self.running[task] = run
        self.record.note(f"executor {self.name} starts {task} run {number}, token {self.token}")
        self.notify("start", task, run)
        return 200, {"clock-ms": self.clock()}

    async def hold(self, call):
        self.extend(call.get("until-ms"))
        seen = call.get("seen-upto", 0)
        self.ended = [row for row in self.ended if row[0] > seen]
        wait = min(call.get("wait-ms", 0), 2000) / 1000
        if wait and not self.ended:
            self.news.clear()
            try:
                await asyncio.wait_for(self.news.wait(), wait)
            except asyncio.TimeoutError:
                pass
        now = time.monotonic()
        rows = []
        for task, run in self.running.items():
            share = 100 if run.lasts is None else min(99, int((now - run.begun) * 100 / run.lasts))
            rows.append([task, run.number, "", share, 0])
        return 200, {"clock-ms": self.clock(), "born": self.born, "running": rows, "ended": self.ended[:500]}


class RunWatch:
    """Sees from the executors whether a task runs twice, or starts after it has ended done."""

    def __init__(self, record, executors):
        self.record = record
        self.active = {}
        self.done = set()
        self.breaches = []
        for executor in executors:
            executor.observer = self.observe

    def observe(self, event, executor, task, run):
        here = (executor.name, run.number)
        active = self.active.setdefault(task, set())
        if event != "start":
            active.discard(here)
            if event == "done":
                self.done.add(task)
            return
        if active:
            self.breach(f"{task} run {run.number} starts on {executor.name} while {sorted(active)} is at work")
        if task in self.done:
            self.breach(f"{task} run {run.number} starts on {executor.name} after a run has ended done")
        active.add(here)

    def breach(self, text):
        self.breaches.append(text)
        self.record.note(f"BREACH: {text}")


class Host:
    """A process of the program under test."""

    def __init__(self, cell, number):
        self.cell = cell
        self.name = f"edge-vs-a-{number}"
        self.choose_ports()
        self.process = None
        self.starts = 0

    def choose_ports(self):
        self.front, self.ready, self.peer = free_port(), free_port(), free_port()

    def start(self):
        settings = {
            "host": self.name, "data_centre": "vs-a", "address": LOOPBACK,
            "listen": {"callers": f"{LOOPBACK}:{self.front}", "checks": f"{LOOPBACK}:{self.ready}"},
            "peer_port": self.peer, "processor": 0.25, "memory_mb": 260, "max_descriptors": 4200,
            "link_mbps": 1000.0, "log_address": self.cell.store.server.address,
            "logging": {"format": "json"},
            "log_limits": {"record_bytes": 262144, "append_bytes": 2097152},
            "times": {"max_lease_ms": MAX_LEASE_MS, "stop_ms": STOP_MS, "revoke_ms": 5000, "keep_ended_s": 120,
                      "stop_grace_s": 6, "heartbeat_ms": 1500},
        }
        path = os.path.join(self.cell.folder, f"{self.name}.json")
        with open(path, "w") as file:
            json.dump(settings, file)
        self.starts += 1
        self.log = os.path.join(self.cell.folder, f"{self.name}.log")
        environment = {name: os.environ[name] for name in ("PATH", "HOME", "LANG") if name in os.environ}
        environment["PIMENTOCHUTE_CONFIG"] = path
        with open(self.log, "ab") as log:
            self.process = subprocess.Popen(
                [os.path.join(ROOT, "target", "release", "pimentochute"), "edge"],
                cwd=ROOT, env=environment, stdin=subprocess.DEVNULL, stdout=log, stderr=log)
        # The script ends what is left if this process is killed.
        if "PIDS" in os.environ:
            with open(os.environ["PIDS"], "a") as pids:
                print(self.process.pid, file=pids)
        self.cell.record.note(f"host {self.name} starts, callers at port {self.front}")

    def signal(self, number):
        self.cell.record.note(f"host {self.name} gets {signal.Signals(number).name}")
        self.process.send_signal(number)

    def memory_mb(self):
        """Returns the resident memory of the process in MiB; 0 if it has ended."""
        try:
            with open(f"/proc/{self.process.pid}/status") as status:
                for line in status:
                    if line.startswith("VmRSS"):
                        return int(line.split()[1]) / 1024
        except OSError:
            pass
        return 0

    def stop(self):
        if self.process and self.process.poll() is None:
            self.process.kill()
            self.process.wait()


class Cell:
    """Store, executors, operator and hosts of one case."""

    def __init__(self, folder, hosts=3, executors=8):
        self.folder = tempfile.mkdtemp(prefix="review-")
        self.record = Record(os.path.join(folder, "record.txt"))
        self.store = Store(self.record)
        amount = {"cpu": 16000, "mem-mb": 65536, "gpu": 0}
        self.executors = [Executor(self.store, self.record, f"w{n}", f"r1-{n // 4}", amount) for n in range(executors)]
        self.hosts = [Host(self, n) for n in range(hosts)]
        self.version = 1
        self.services = [SERVICE]
        self.routes = [self.route("r-jobs", "/jobs/")]
        self.tenants = [self.tenant("team-a", ["key-of-team-a"])]

    @staticmethod
    def route(name, prefix, exempt=False, attempts=2, service=SERVICE):
        return {
            "name": name, "host": "jobs.example", "path-prefix": prefix, "kind": "non_idempotent",
            "timeout-ms": 3000, "target-latency-ms": 1000, "priority": 1, "service": service,
            "max-attempts": attempts, "stretch": 2.2, "auth-exempt": exempt,
        }

    @staticmethod
    def tenant(name, keys):
        return {"name": name, "api-keys": keys, "priority": 1, "weight": 10, "cap": {"cpu": 0, "mem-mb": 0, "gpu": 0}}

    async def write_config(self):
        config = {
            "version": self.version, "routes": self.routes, "tenants": self.tenants,
            "services": [{"name": name, "health-path": "/health", "max-connections": 64, "protocol": "h1",
                          "tls": False, "admission-control": False, "standby": False} for name in self.services],
            "limits": {"max-header-bytes": 16384, "max-body-bytes": 262144, "header-timeout-ms": 3000,
                       "idle-timeout-ms": 15000},
        }
        await self.store.put("keyed.op", "config", json.dumps(config).encode())
        self.record.note(f"operator: configuration {self.version}")
        self.version += 1

    async def start(self):
        await self.store.server.start()
        await self.write_config()
        for executor in self.executors:
            await executor.start()
        for host in self.hosts:
            host.start()
        await asyncio.sleep(0.5)
        for host in self.hosts:
            if host.process.poll() is not None:
                # Another program has taken one of its ports.
                host.choose_ports()
                host.start()
        for host in self.hosts:
            await self.wait_ready(host)
        await asyncio.sleep(2)

    async def wait_ready(self, host, limit=20):
        deadline = time.monotonic() + limit
        while time.monotonic() < deadline:
            status, _ = await self.exchange(host.ready, "GET", "/readiness", {}, b"", 1)
            if status == 200:
                return
            await asyncio.sleep(0.1)
        raise RuntimeError(f"{host.name} is not ready")

    async def stop(self):
        for host in self.hosts:
            host.stop()

    @staticmethod
    async def exchange(port, method, path, headers, body, limit):
        """Sends a request; returns (status, body), or (None, reason) without an answer."""
        async def talk():
            reader, writer = await asyncio.open_connection(LOOPBACK, port)
            try:
                lines = [f"{method} {path} HTTP/1.1", "Host: jobs.example", f"Content-Length: {len(body)}", "Connection: close"]
                lines += [f"{name}: {value}" for name, value in headers.items()]
                writer.write(("\r\n".join(lines) + "\r\n\r\n").encode() + body)
                await writer.drain()
                answer = await reader.read()
            finally:
                writer.close()
            head, _, rest = answer.partition(b"\r\n\r\n")
            if not head:
                raise ConnectionError("the connection ended without an answer")
            return int(head.split(b" ")[1]), rest
        try:
            return await asyncio.wait_for(talk(), limit)
        except (OSError, asyncio.TimeoutError, ConnectionError, IndexError, ValueError) as error:
            return None, str(error).encode()

    async def call(self, method, path, key="key-of-team-a", body=None, host=None, limit=3.0, quiet=False):
        host = host or random.choice([h for h in self.hosts if h.process.poll() is None])
        headers = {"Pimentochute-Deadline-Ms": "3000", "Content-Type": "application/json"}
        if key:
            headers["Authorization"] = f"Bearer {key}"
        raw = json.dumps(body).encode() if body is not None else b""
        status, answer = await self.exchange(host.front, method, path, headers, raw, limit)
        if not quiet:
            shown = answer.decode("utf-8", "replace")[:200]
            self.record.note(f"client: {method} {path} key {key} at {host.name} -> {status} {shown}")
        return status, answer

    async def submit(self, path, body, key="key-of-team-a", tries=5):
        """Hands a job in, again with the same identifier until there is a clear answer."""
        for _ in range(tries):
            status, answer = await self.call("POST", path, key, body)
            if status == 200 or status in (400, 401, 404, 413):
                return status
            await asyncio.sleep(1)
        return status

    async def state(self, path, key="key-of-team-a", quiet=False):
        status, answer = await self.call("GET", path, key, quiet=quiet)
        if status == 200:
            return json.loads(answer).get("state")
        return status


class LoopLag:
    """Measures by how much the stand-ins are late, since they share one thread."""

    def __init__(self):
        self.longest = 0.0
        self.task = asyncio.ensure_future(self.measure())

    async def measure(self):
        while True:
            before = time.monotonic()
            await asyncio.sleep(0.02)
            self.longest = max(self.longest, time.monotonic() - before - 0.02)


def step(count=1, cpu=1000, mem=512, **extra):
    return {"count": count, "cpu": cpu, "mem-mb": mem, "estimate-ms": extra.pop("estimate", 1000), **extra}


def job(steps, lasts_s=None):
    return {"spec": json.dumps({"lasts_s": lasts_s}), "steps": steps}


def run_case(folder, body, **options):
    """Runs a case and exits: 1 if the rule was broken, 0 if it held, 2 if it could not run."""
    trouble = os.environ.get("TROUBLE", "1") != "0"

    def leave(number, frame):
        raise SystemExit(2)

    signal.signal(signal.SIGTERM, leave)
    signal.signal(signal.SIGINT, leave)

    async def main():
        # A connection that ends while its handler waits is no error of the case.
        asyncio.get_running_loop().set_exception_handler(lambda loop, context: None)
        cell = Cell(folder, **options)
        cell.record.note(f"the disruption is {'on' if trouble else 'off'}")
        lag = LoopLag()
        try:
            await cell.start()
            broken = await body(cell, trouble)
            cell.record.note(f"the stand-ins answered at most {lag.longest * 1000:.0f} ms late")
            cell.record.note("the rule was broken" if broken else "the rule held")
            return 1 if broken else 0
        finally:
            await cell.stop()
            if os.environ.get("KEEP"):
                print("logs:", cell.folder, file=sys.stderr)
            else:
                import shutil

                shutil.rmtree(cell.folder, ignore_errors=True)

    try:
        result = asyncio.run(main())
    except SystemExit:
        # Told to end; the processes are ended, and what still waits ends with this one.
        os._exit(2)
    except Exception as error:  # noqa: BLE001
        print(f"the case could not run: {error!r}", file=sys.stderr)
        result = 2
    sys.exit(result)
