"""Stand-ins for the review's cases: state service, cloud, workers, users and the links between
controllers. They follow PROTOCOL; only the standard library of Python 3.11 is used.

Everything runs in one asyncio loop on the real clock and on loopback addresses. `Cluster` starts
the controllers as separate processes with the command of deploy/service.toml.
"""

import asyncio
import ctypes
import json
import os
import random
import shlex
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import time
import tomllib
import traceback

ROOT = os.path.dirname(os.path.dirname(os.path.dirname(os.path.abspath(__file__))))
NEVER = float("inf")


def end_with_parent():
    """Makes the kernel end a controller if this process ends without doing so (Linux, prctl)."""
    ctypes.CDLL(None).prctl(1, signal.SIGKILL)


class CannotRun(Exception):
    """The case could not be brought about; the script then exits with 2."""


def free_port():
    with socket.socket() as s:
        s.bind(("127.0.0.1", 0))
        return s.getsockname()[1]


class Record:
    """Writes record.txt: what was sent, answered and run, with seconds since the start."""

    def __init__(self, path):
        self.start = time.monotonic()
        self.file = open(path, "w", encoding="utf-8")

    def __call__(self, text):
        self.file.write("%8.3f %s\n" % (time.monotonic() - self.start, text))
        self.file.flush()


def encode(value):
    return json.dumps(value, separators=(",", ":")).encode()


# ---------------------------------------------------------------- HTTP


async def read_message(reader):
    """Reads one HTTP message; returns (start line, headers, body), or None at the end."""
    line = await reader.readline()
    if not line:
        return None
    headers = {}
    while True:
        header = await reader.readline()
        if header in (b"\r\n", b"\n", b""):
            break
        name, _, value = header.decode("latin-1").partition(":")
        headers[name.strip().lower()] = value.strip()
    body = await reader.readexactly(int(headers.get("content-length", "0")))
    return line.decode("latin-1").strip(), headers, body


REASONS = {200: "OK", 400: "Bad Request", 404: "Not Found", 409: "Conflict", 410: "Gone",
           429: "Too Many Requests", 503: "Service Unavailable"}


class HttpServer:
    """Serves `handler(method, target, body) -> (status, object)`; None closes the connection."""

    def __init__(self, handler):
        self.handler = handler
        self.writers = set()

    async def start(self):
        self.server = await asyncio.start_server(self.serve, "127.0.0.1", 0, limit=1 << 22)
        self.port = self.server.sockets[0].getsockname()[1]
        self.address = "127.0.0.1:%d" % self.port
        return self

    async def serve(self, reader, writer):
        self.writers.add(writer)
        try:
            while True:
                message = await read_message(reader)
                if message is None:
                    break
                method, target, _ = message[0].split(" ")
                result = await self.handler(method, target, message[2])
                if result is None:
                    break
                status, value = result
                body = encode(value)
                writer.write(b"HTTP/1.1 %d %s\r\nContent-Length: %d\r\n"
                             b"Content-Type: application/json\r\n\r\n" %
                             (status, REASONS.get(status, "Status").encode(), len(body)) + body)
                await writer.drain()
        except (ConnectionError, asyncio.IncompleteReadError, asyncio.CancelledError, ValueError):
            pass  # the client is gone, or the case ends
        finally:
            self.writers.discard(writer)
            writer.close()

    def reset_connections(self):
        for writer in list(self.writers):
            writer.transport.abort()


class HttpConnection:
    """A kept connection to one address with one request at a time."""

    def __init__(self, address):
        self.host, port = address.rsplit(":", 1)
        self.port = int(port)
        self.reader = self.writer = None

    async def call(self, method, target, value=None, timeout=5.0):
        """Returns (status, object, headers); raises OSError or TimeoutError without an answer."""
        body = b"" if value is None else (
            value if isinstance(value, bytes) else encode(value))
        try:
            return await asyncio.wait_for(self._call(method, target, body), timeout)
        except (OSError, asyncio.IncompleteReadError, asyncio.TimeoutError) as e:
            self.close()
            if isinstance(e, asyncio.IncompleteReadError):
                raise ConnectionResetError("closed within an answer") from e
            raise

    async def _call(self, method, target, body):
        if self.writer is None:
            self.reader, self.writer = await asyncio.open_connection(
                self.host, self.port, limit=1 << 22)
        self.writer.write(("%s %s HTTP/1.1\r\nHost: %s:%d\r\nContent-Length: %d\r\n\r\n" %
                           (method, target, self.host, self.port, len(body))).encode() + body)
        await self.writer.drain()
        message = await read_message(self.reader)
        if message is None:
            raise ConnectionResetError("closed")
        status = int(message[0].split(" ")[1])
        try:
            value = json.loads(message[2]) if message[2] else {}
        except ValueError:
            value = {}
        if message[1].get("connection", "").lower() == "close":
            self.close()
        return status, value, message[1]

    def close(self):
        if self.writer is not None:
            self.writer.transport.abort()
        self.reader = self.writer = None


async def call(address, method, target, value=None, timeout=5.0):
    """One request on a connection of its own."""
    connection = HttpConnection(address)
    try:
        return await connection.call(method, target, value, timeout)
    finally:
        connection.close()


# ---------------------------------------------------------------- state service


class Store:
    """The state service of PROTOCOL, "Controller nodes -> state service"."""

    HISTORY = 10_000

    def __init__(self, rps, write_rps, value_kb, txn_ops):
        self.rps, self.write_rps = rps, write_rps
        self.value_bytes, self.txn_ops = int(value_kb * 1024), txn_ops
        self.items = {}      # key -> (value, entry, mooring)
        self.revision = 0
        self.history = []    # (revision, key, value or None), oldest first
        self.forgotten = 0   # changes up to this revision are no longer kept
        self.holds = {}      # id -> [life in s, end]
        self.next_hold = 1
        self.changed = asyncio.Event()
        self.requests, self.writes = rps, write_rps
        self.filled = time.monotonic()
        self.newest_first = False  # the order of changes in GET /follow; PROTOCOL shows a later one first
        self.addresses = {}  # controller -> the address under which it reaches the service
        self.fault = None    # async (controller, method, target, body, serve) -> answer

    async def start(self, controllers):
        for name in controllers:
            http = await HttpServer(self.entrance(name)).start()
            self.addresses[name] = http.address
        asyncio.get_running_loop().create_task(self.expire())
        return self

    def entrance(self, name):
        async def handle(method, target, body):
            if self.fault is not None:
                return await self.fault(name, method, target, body, self.handle)
            return await self.handle(method, target, body)
        return handle

    def refill(self):
        now = time.monotonic()
        self.requests = min(self.rps, self.requests + (now - self.filled) * self.rps)
        self.writes = min(self.write_rps, self.writes + (now - self.filled) * self.write_rps)
        self.filled = now

    async def handle(self, method, target, body):
        self.refill()
        if self.requests < 1:
            return 429, {"error": "too many requests"}
        self.requests -= 1
        path, _, query = target.partition("?")
        arguments = dict(part.split("=", 1) for part in query.split("&") if part)
        if path == "/follow":
            return await self.follow(arguments)
        await asyncio.sleep(0.004)
        if path == "/store":
            return self.range(arguments)
        if path.startswith("/store/"):
            return self.get(path[len("/store/"):])
        if path == "/commit":
            return self.commit(json.loads(body))
        if path == "/holds":
            life = json.loads(body)["life_ms"] / 1000
            self.next_hold += 1
            self.holds[self.next_hold] = [life, time.monotonic() + life]
            return 200, {"mooring": self.next_hold}
        if path.startswith("/holds/"):
            hold = int(path.split("/")[2])
            if hold not in self.holds:
                return 404, {"error": "no such lease"}
            if method == "DELETE":
                self.end_hold(hold)
            else:
                self.holds[hold][1] = time.monotonic() + self.holds[hold][0]
            return 200, {"mooring": hold}
        return 400, {"error": "malformed"}

    def get(self, key):
        if key not in self.items:
            return 404, {"logline": self.revision}
        value, entry, mooring = self.items[key]
        item = {"path": key, "data": value, "entry": entry}
        if mooring:
            item["mooring"] = mooring
        return 200, item

    def range(self, arguments):
        under, since = arguments.get("under", ""), arguments.get("since", "")
        most = min(1000, int(arguments.get("most", 1000)))
        keys = sorted(k for k in self.items if k.startswith(under) and k > since)
        rows, size = [], 0
        for key in keys[:most]:
            row = {"path": key, "data": self.items[key][0], "entry": self.items[key][1]}
            size += len(json.dumps(row))
            if size > 500 * 1024:
                break
            rows.append(row)
        return 200, {"rows": rows, "more": len(rows) < len(keys), "logline": self.revision}

    def commit(self, body):
        conditions, writes = body.get("when") or [], body.get("writes") or []
        if len(writes) > self.txn_ops or len(conditions) > 4 * self.txn_ops:
            return 400, {"error": "too many operations"}
        if self.writes < len(writes):
            return 429, {"error": "too many changes"}
        self.writes -= len(writes)
        for write in writes:
            if "write" in write:
                if len(encode(write["data"])) > self.value_bytes:
                    return 400, {"error": "value too large"}
                if write.get("mooring") and write["mooring"] not in self.holds:
                    return 400, {"error": "no such lease"}
        failed = [c["path"] for c in conditions
                  if (self.items[c["path"]][1] if c["path"] in self.items else 0) != c["entry"]]
        if failed:
            return 409, {"failed": failed, "logline": self.revision}
        self.apply([(w["write"], w["data"], w.get("mooring", 0)) if "write" in w
                    else (w["drop"], None, 0) for w in writes])
        return 200, {"logline": self.revision}

    def apply(self, changes):
        changes = [c for c in changes if c[1] is not None or c[0] in self.items]
        if not changes:
            return
        self.revision += 1
        for key, value, mooring in changes:
            if value is None:
                del self.items[key]
            else:
                self.items[key] = (value, self.revision, mooring)
            self.history.append((self.revision, key, value))
        while len(self.history) > self.HISTORY:
            self.forgotten = self.history.pop(0)[0]
        self.changed.set()
        self.changed = asyncio.Event()

    def news(self, under, since):
        changes = []
        for revision, key, value in self.history:
            if revision > since and key.startswith(under):
                changes.append({"drop": key, "entry": revision} if value is None
                               else {"write": key, "data": value, "entry": revision})
        return changes[::-1] if self.newest_first else changes

    async def follow(self, arguments):
        under, since = arguments.get("under", ""), int(arguments.get("since", 0))
        end = time.monotonic() + int(arguments.get("wait_ms", 0)) / 1000
        while True:
            if since < self.forgotten:
                return 410, {"logline": self.revision}
            changes = self.news(under, since)
            left = end - time.monotonic()
            if changes or left <= 0:
                return 200, {"logline": self.revision, "news": changes}
            try:
                await asyncio.wait_for(self.changed.wait(), left)
            except asyncio.TimeoutError:
                pass

    def end_hold(self, hold):
        self.holds.pop(hold, None)
        self.apply([(k, None, 0) for k, item in list(self.items.items()) if item[2] == hold])

    async def expire(self):
        while True:
            await asyncio.sleep(0.02)
            now = time.monotonic()
            for hold in [h for h, (_, end) in self.holds.items() if end < now]:
                self.end_hold(hold)


# ---------------------------------------------------------------- cloud


class Cloud:
    """The cloud: fixed machines that are up from the start, and no capacity to rent."""

    def __init__(self, builds):
        self.builds = builds
        self.machines = {}   # id -> fields of the list
        self.since = time.monotonic()

    async def start(self):
        self.http = await HttpServer(self.handle).start()
        self.address = self.http.address
        return self

    def add(self, worker):
        self.machines[worker.id] = {"id": worker.id, "addr": worker.address, "build": worker.build,
                                    "berth": worker.zone, "driftwood": worker.spot,
                                    "trim": "running"}

    async def handle(self, method, target, body):
        path, _, query = target.partition("?")
        if path == "/catalog":
            return 200, {"builds": self.builds}
        if path == "/machines/delete":
            for machine in json.loads(body)["fleet"]:
                self.machines.pop(machine, None)
            return 200, {}
        if method == "GET":
            arguments = dict(part.split("=", 1) for part in query.split("&") if part)
            age = time.monotonic() - self.since + 300
            rows = [dict(self.machines[m], held_s=age) for m in sorted(self.machines)
                    if m > arguments.get("since", "")]
            most = int(arguments.get("most", 500))
            return 200, {"fleet": rows[:most], "more": len(rows) > most}
        return 503, {"error": "no capacity"}


# ---------------------------------------------------------------- rules


class Rules:
    """Watches what is on the machines and what users were told, by the section "Rules"."""

    def __init__(self, record, limits, cancel_s):
        self.record, self.limits, self.cancel_s = record, limits, cancel_s
        self.jobs = {}        # id -> submission
        self.on = {}          # stroke -> {machine: number of attempts on it}
        self.cancelled = {}   # id -> when its user was told
        self.used = {}        # team -> CPUs
        self.broken = []
        self.starts = 0
        self.counted = set()  # jobs whose single starts and ends are not written down

    def breach(self, rule, text):
        self.broken.append((rule, text))
        self.record("RULE BROKEN %s: %s" % (rule, text))

    def started(self, worker, stroke, launch):
        """The task has its image: from now on it is on the machine."""
        self.starts += 1
        job = self.jobs[stroke.split("/")[0]]
        if job["id"] not in self.counted:
            self.record("%s runs %s attempt %d" % (worker.id, stroke, launch))
        others = [m for m, n in self.on.get(stroke, {}).items() if n > 0 and m != worker.id]
        if others:
            self.breach("ran_twice", "%s starts on %s while it is on %s" %
                        (stroke, worker.id, ", ".join(others)))
        places = self.on.setdefault(stroke, {})
        places[worker.id] = places.get(worker.id, 0) + 1
        if worker.spot and not job["driftwood"]:
            self.breach("wrong_place", "%s starts on %s, a spot machine, which %s does not allow" %
                        (stroke, worker.id, job["id"]))
        if job.get("berth") and job["berth"] != worker.zone:
            self.breach("wrong_place", "%s starts in zone %s, its job allows only %s" %
                        (stroke, worker.zone, job["berth"]))
        if job.get("builds") and worker.build not in job["builds"]:
            self.breach("wrong_place", "%s starts on type %s" % (stroke, worker.build))
        self.used[job["crew"]] = self.used.get(job["crew"], 0.0) + job["cores"]
        if self.used[job["crew"]] > self.limits[job["crew"]] + 1e-9:
            self.breach("quota", "team %s uses %.6f CPUs, its limit is %.6f" %
                        (job["crew"], self.used[job["crew"]], self.limits[job["crew"]]))
        self.check_cancelled(worker, stroke)

    def check_cancelled(self, worker, stroke):
        told = self.cancelled.get(stroke.split("/")[0], NEVER)
        late = time.monotonic() - told - self.cancel_s
        if late > 0:
            self.breach("ran_cancelled", "%s is on %s %.1f s after cancel_s was over" %
                        (stroke, worker.id, late))
            return True
        return False

    def ended(self, worker, stroke, launch, why):
        job = self.jobs[stroke.split("/")[0]]
        if job["id"] not in self.counted:
            self.record("%s ends %s attempt %d: %s" % (worker.id, stroke, launch, why))
        self.on[stroke][worker.id] -= 1
        self.used[job["crew"]] -= job["cores"]


# ---------------------------------------------------------------- workers


class Task:
    def __init__(self, stroke, launch):
        self.stroke, self.launch = stroke, launch
        self.state, self.why = "fetching", None
        self.timer = None


def tasks_text(report):
    tasks = report["strokes"]
    if len(tasks) > 24:
        return "[%d tasks, %d bytes]" % (len(tasks), len(encode(report)))
    return "[%s]" % " ".join("%s:%d:%s" % (t["stroke"], t["launch"], t["trim"]) for t in tasks)


def short(value):
    text = encode(value).decode()
    return text if len(text) < 2000 else "%s... %d bytes" % (text[:200], len(text))


class Worker:
    """One machine's worker, by the sections "Workers -> controller nodes" and "Tokens"."""

    def __init__(self, cluster, machine, build, zone, spot, cpus, mem_gb, fetch_gb_per_s, run_s,
                 images=()):
        self.cluster, self.id, self.build, self.zone, self.spot = cluster, machine, build, zone, spot
        self.cpus, self.mem_gb, self.fetch = cpus, mem_gb, fetch_gb_per_s
        self.run_s = run_s        # the shortest and the longest time that a task runs
        self.record, self.rules = cluster.record, cluster.rules
        self.times = cluster.settings["workers"]
        self.random = random.Random(machine)
        self.watch, self.knot, self.helm = 1, 0, 0
        self.tasks = {}
        self.present = set()      # the strokes that have not ended, and what they take
        self.used_cpus = self.used_gb = 0.0
        self.images = set(images)
        self.node = 0
        self.connection = None
        self.cut_off = set()      # nodes that this machine can't reach, nor they it
        self.mute = False         # it can't open connections, but can be reached
        self.stopped = False
        self.due = self.last_sent = self.not_before = 0.0
        self.wake = asyncio.Event()
        self.answered_by = None
        self.last_report = {}
        self.refused = 0          # reports that were answered with 400

    async def start(self):
        self.http = await HttpServer(self.handle).start()
        self.address = self.http.address
        self.answered = time.monotonic()
        self.loop = asyncio.get_running_loop().create_task(self.run())
        return self

    # Reports

    async def run(self):
        await asyncio.sleep(self.random.uniform(0, 0.5))
        while not self.stopped:
            self.check_lease()
            now = time.monotonic()
            if now < self.due:
                self.wake.clear()
                try:
                    await asyncio.wait_for(self.wake.wait(), min(self.due - now, 0.2))
                except asyncio.TimeoutError:
                    pass
                continue
            await self.send_report()

    def change(self):
        """A change: the next report comes early, but half a second after the last at least."""
        self.due = min(self.due, max(time.monotonic(), self.last_sent + 0.5, self.not_before))
        self.wake.set()

    async def send_report(self):
        node = self.cluster.names[self.node]
        sent = time.monotonic()
        self.last_sent = sent
        watch = self.watch
        report = self.last_report = self.report()
        # What changes from here on is not in this report: it brings the next one forward.
        self.due = sent + self.times["report_s"] * self.random.uniform(0.75, 1.25)
        try:
            if node in self.cut_off or self.mute:
                raise ConnectionRefusedError("cut off")
            if self.connection is None:
                self.connection = HttpConnection(self.cluster.client_addresses[node])
            status, answer, _ = await self.connection.call("POST", "/hello", report, 4.0)
        except (OSError, asyncio.TimeoutError) as e:
            self.record("%s -> %s knot %d: no answer (%s)" %
                        (self.id, node, report["knot"], type(e).__name__))
            self.next_node()
            return
        self.record("%s -> %s knot %d %s: %d %s" %
                    (self.id, node, report["knot"], tasks_text(report), status, short(answer)))
        self.refused += status == 400
        if status == 200:
            self.answered_by = node
            if watch == self.watch and answer.get("helm", -1) >= self.helm:
                self.answered = sent
                self.see(answer["helm"])
                self.execute(answer.get("orders", []))
        elif status == 421 and answer.get("harbor") in self.cluster.names \
                and answer["harbor"] != node:
            self.connect_to(self.cluster.names.index(answer["harbor"]))
            self.due = time.monotonic() + self.random.uniform(0, 0.5)
        else:
            self.next_node()

    def connect_to(self, node):
        if self.connection is not None:
            self.connection.close()
        self.connection = None
        self.node = node

    def next_node(self):
        self.connect_to((self.node + 1) % len(self.cluster.names))
        self.due = self.not_before = time.monotonic() + 1.0

    def cut(self, nodes):
        """This machine and the nodes can't reach each other: their connections are reset."""
        self.cut_off = set(nodes)
        if self.connection is not None and self.cluster.names[self.node] in self.cut_off:
            self.connection.close()
        if self.cut_off:
            self.http.reset_connections()

    def set_mute(self, mute):
        self.mute = mute
        if mute and self.connection is not None:
            self.connection.close()

    def report(self):
        self.knot += 1
        return {"vessel": self.id, "addr": self.address, "build": self.build, "berth": self.zone,
                "driftwood": self.spot, "watch": self.watch, "knot": self.knot, "helm": self.helm,
                "recall_s": None,
                "strokes": [dict({"stroke": t.stroke, "launch": t.launch, "trim": t.state},
                                 **({"wake": t.why} if t.why else {}))
                            for t in self.tasks.values()]}

    def see(self, helm):
        if helm > self.helm:
            self.helm = helm
            self.change()

    def check_lease(self):
        if time.monotonic() - self.answered <= self.times["lease_s"]:
            return
        self.record("%s: its lease is over, it forgets all its tasks" % self.id)
        for task in list(self.tasks.values()):
            self.end(task, "killed")
        self.tasks.clear()
        self.watch += 1
        self.answered = time.monotonic()
        self.change()

    # Commands

    async def handle(self, method, target, body):
        leader = self.cluster.leader
        if self.cut_off and (leader is None or leader in self.cut_off):
            return None
        if target == "/inspect":
            return 200, self.report()
        commands = json.loads(body)
        if "helm" not in commands or "watch" not in commands:
            return 400, {"error": "helm or watch is missing"}
        if commands["helm"] < self.helm or commands["watch"] != self.watch:
            return 409, self.report()
        self.record("%s <- direct %s" % (self.id, short(commands)))
        self.see(commands["helm"])
        self.execute(commands.get("orders", []))
        return 200, self.report()

    def execute(self, orders):
        for order in orders:
            key = (order["stroke"], order["launch"])
            task = self.tasks.get(key)
            if order["order"] == "start" and task is None:
                self.start_task(key)
            elif order["order"] == "stop" and task is not None and task.state != "ended":
                self.end(task, "halted")
            elif order["order"] == "reap" and task is not None and task.state == "ended":
                del self.tasks[key]
        if orders:
            self.change()

    def start_task(self, key):
        task = Task(*key)
        job = self.rules.jobs.get(key[0].split("/")[0])
        if job is None:
            task.state, task.why = "ended", "unknown"
        elif task.stroke in self.present:
            task.state, task.why = "ended", "busy"
        elif self.used_cpus + job["cores"] > self.cpus + 1e-9 \
                or self.used_gb + job["mem_gb"] > self.mem_gb + 1e-9:
            task.state, task.why = "ended", "no_room"
        self.tasks[key] = task
        if task.state == "ended":
            self.record("%s refuses %s attempt %d: %s" % (self.id, key[0], key[1], task.why))
            return
        self.present.add(task.stroke)
        self.used_cpus += job["cores"]
        self.used_gb += job["mem_gb"]
        if job["hull"] in self.images:
            self.run_task(task, job)
        else:
            task.timer = asyncio.get_running_loop().call_later(
                job["image_gb"] / self.fetch, self.run_task, task, job)

    def run_task(self, task, job):
        self.images.add(job["hull"])
        task.state = "running"
        self.rules.started(self, task.stroke, task.launch)
        self.change()
        task.timer = None
        if job["cut"] != "service":
            task.timer = asyncio.get_running_loop().call_later(
                self.random.uniform(*self.run_s), self.end, task, "done")

    def end(self, task, why):
        if task.state == "ended":
            return
        if task.timer is not None:
            task.timer.cancel()
        if task.state == "running":
            self.rules.ended(self, task.stroke, task.launch, why)
        job = self.rules.jobs[task.stroke.split("/")[0]]
        self.present.discard(task.stroke)
        self.used_cpus -= job["cores"]
        self.used_gb -= job["mem_gb"]
        task.state, task.why = "ended", why
        self.change()


# ---------------------------------------------------------------- links between controllers


class Link:
    """A proxy for the connections that one controller opens to another.

    While it is held, it keeps what arrives and opens no connection at the far end; released, it
    delivers everything in the order of arrival, older connections first.
    """

    def __init__(self, name, record):
        self.name, self.record = name, record
        self.held = False
        self.backlog = []    # (connection, bytes; None for the end of the stream)
        self.target = None
        self.deliveries = asyncio.Queue()

    async def start(self):
        self.server = await asyncio.start_server(self.accept, "127.0.0.1", 0)
        self.address = "127.0.0.1:%d" % self.server.sockets[0].getsockname()[1]
        asyncio.get_running_loop().create_task(self.deliver())
        return self

    async def accept(self, reader, writer):
        connection = {"near": writer, "far": None, "broken": False}
        try:
            while True:
                data = await reader.read(65536)
                self.put(connection, data or None)
                if not data:
                    break
        except (ConnectionError, asyncio.CancelledError):
            self.put(connection, None)

    def put(self, connection, data):
        if self.held:
            self.backlog.append((connection, data))
        else:
            self.deliveries.put_nowait((connection, data))

    def hold(self):
        self.held = True
        self.record("link %s: packets are held" % self.name)

    def release(self):
        self.held = False
        self.record("link %s: %d held packets are delivered" % (self.name, len(self.backlog)))
        for item in self.backlog:
            self.deliveries.put_nowait(item)
        self.backlog = []

    async def deliver(self):
        while True:
            connection, data = await self.deliveries.get()
            if connection["broken"]:
                continue
            try:
                if connection["far"] is None and data is not None:
                    host, port = self.target.split(":")
                    reader, connection["far"] = await asyncio.open_connection(host, int(port))
                    asyncio.get_running_loop().create_task(self.watch_far(connection, reader))
                if data is None:
                    self.close(connection)
                else:
                    connection["far"].write(data)
                    await connection["far"].drain()
            except OSError:
                self.close(connection)

    async def watch_far(self, connection, reader):
        """The far end never sends on these connections; its end closes the near side."""
        try:
            while await reader.read(4096):
                pass
        except ConnectionError:
            pass
        while self.held:
            await asyncio.sleep(0.05)
        self.close(connection)

    def close(self, connection):
        connection["broken"] = True
        for side in ("near", "far"):
            if connection[side] is not None:
                connection[side].transport.abort() if side == "near" else connection[side].close()


# ---------------------------------------------------------------- controllers


class Cluster:
    """Controllers as processes, with the stand-ins that they talk to."""

    def __init__(self, folder, settings, zones, builds, keep_logs=False):
        self.folder = folder
        self.record = Record(os.path.join(folder, "record.txt"))
        self.settings = settings
        self.node_zones = zones    # name -> zone
        self.names = list(zones)
        self.rules = Rules(self.record, {t["name"]: t["cpus_max"] for t in settings["teams"]},
                           settings["workers"]["cancel_s"])
        self.temporary = tempfile.mkdtemp(prefix="review-")
        self.processes, self.logs = {}, 0
        self.client_addresses = {n: "127.0.0.1:%d" % free_port() for n in self.names}
        self.mesh_addresses = {n: "127.0.0.1:%d" % free_port() for n in self.names}
        self.links = {}
        self.workers = {}
        self.builds = builds
        self.leader = None

    async def start(self):
        state = self.settings["state"]
        self.store = await Store(state["rps"], state["write_rps"], state["value_kb"],
                                 state["txn_ops"]).start(self.names)
        self.cloud = await Cloud(self.builds).start()
        for a in self.names:
            for b in self.names:
                if a != b:
                    self.links[a, b] = await Link("%s->%s" % (a, b), self.record).start()
                    self.links[a, b].target = self.mesh_addresses[b]
        return self

    async def add_worker(self, *arguments, **options):
        worker = Worker(self, *arguments, **options)
        self.workers[worker.id] = worker
        await worker.start()
        self.cloud.add(worker)
        return worker

    def start_controller(self, name):
        with open(os.path.join(ROOT, "deploy", "service.toml"), "rb") as f:
            command = shlex.split(tomllib.load(f)["run"])
        settings = {
            "member": name, "zone": self.node_zones[name],
            "client_listen": self.client_addresses[name], "mesh_addr": self.mesh_addresses[name],
            "members": [{"member": b, "zone": self.node_zones[b],
                         "peer_addr": self.links[name, b].address}
                        for b in self.names if b != name],
            "external": {"cloud": self.cloud.address, "state": self.store.addresses[name]},
            "deployment": dict(self.settings, initial_size=len(self.names),
                               zones=sorted(set(self.settings["zones"])))}
        path = os.path.join(self.temporary, name + ".json")
        with open(path, "w", encoding="utf-8") as f:
            json.dump(settings, f)
        self.logs += 1
        log = open(os.path.join(self.temporary, "%s-%d.log" % (name, self.logs)), "wb")
        self.processes[name] = subprocess.Popen(
            command + [path], cwd=ROOT, stdout=log, stderr=log, stdin=subprocess.DEVNULL,
            preexec_fn=end_with_parent, env=dict(os.environ, LOG_LEVEL=os.environ.get("LOG_LEVEL", "info")))
        self.record("controller %s starts, process %d" % (name, self.processes[name].pid))

    def signal(self, name, number):
        self.record("controller %s gets %s" % (name, signal.Signals(number).name))
        self.processes[name].send_signal(number)
        if number == signal.SIGKILL:
            self.processes.pop(name).wait()

    async def healthy(self, name, within=30.0):
        await self.until("%s is healthy" % name, lambda: self.ask(name, "GET", "/healthz"),
                         lambda answer: answer[0] == 200, within)

    async def ask(self, name, method, target, value=None, timeout=5.0):
        """A user's request, recorded; status 0 without an answer."""
        try:
            status, answer, _ = await call(self.client_addresses[name], method, target, value, timeout)
        except (OSError, asyncio.TimeoutError):
            status, answer = 0, {}
        if target not in ("/healthz", "/metrics"):
            self.record("user -> %s %s %s: %d %s" % (name, method, target, status,
                                                     json.dumps(answer, separators=(",", ":"))))
        return status, answer

    async def until(self, what, ask, holds, within):
        end = time.monotonic() + within
        while time.monotonic() < end:
            if holds(await ask()):
                return
            await asyncio.sleep(0.05)
        raise CannotRun("not within %.0f s: %s" % (within, what))

    async def wait_for(self, what, holds, within):
        async def nothing():
            return None
        await self.until(what, nothing, lambda _: holds(), within)

    async def await_leader(self, name, within=20.0):
        def leads():
            item = self.store.items.get("lead/now")
            return item is not None and name in json.dumps(item[0])
        await self.wait_for("%s leads" % name, leads, within)
        self.leader = name

    async def submit(self, name, job):
        """A user's submission, repeated for up to 60 s as the pages say."""
        end = time.monotonic() + 60
        self.rules.jobs[job["id"]] = job
        while time.monotonic() < end:
            status, answer = await self.ask(name, "POST", "/v1/jobs", job)
            if status in (200, 201, 400, 422):
                return status, answer
            await asyncio.sleep(1.0)
        raise CannotRun("the submission of %s is not answered" % job["id"])

    async def withdraw(self, name, job_id):
        status, answer = await self.ask(name, "POST", "/v1/jobs/%s/withdraw" % job_id)
        if status == 200 and answer.get("trim") == "aborted":
            self.rules.cancelled.setdefault(job_id, time.monotonic())
        return status, answer

    async def watch_cancelled(self, seconds):
        """Looks for tasks of cancelled jobs on machines, ten times a second."""
        end = time.monotonic() + seconds
        while time.monotonic() < end and not self.rules.broken:
            await asyncio.sleep(0.1)
            for stroke, places in self.rules.on.items():
                for machine, attempts in places.items():
                    if attempts > 0:
                        self.rules.check_cancelled(self.workers[machine], stroke)

    def close(self):
        for process in self.processes.values():
            process.send_signal(signal.SIGCONT)
            process.kill()
        for process in self.processes.values():
            process.wait()
        if os.environ.get("KEEP_LOGS"):
            print("logs in", self.temporary)
        else:
            shutil.rmtree(self.temporary, ignore_errors=True)


def job(job_id, **fields):
    """A submission with all fields of PROTOCOL; `fields` replace the defaults."""
    value = {"id": job_id, "rig": "engrave-batch", "crew": "taitto-00", "cut": "array",
             "rank": "standard", "strokes": 1, "cores": 4.0, "accelerators": 0.0, "mem_gb": 14.0,
             "hull": "img-07", "image_gb": 0.7, "builds": None, "berth": None, "one_zone": False,
             "apart": False, "driftwood": True, "reckon_s": 50.0, "mark_s": 0.0, "stow_s": 0.0,
             "tide_s": None}
    unknown = set(fields) - set(value)
    assert not unknown, unknown
    value.update(fields)
    return value


def main(folder, rule, case):
    """Runs `case(folder, trouble)`, a coroutine that returns what was broken, and ends with 10 if
    `rule` is among it, 0 if not, 2 if the case could not run."""
    trouble = os.environ.get("TROUBLE", "1") != "0"

    async def run():
        try:
            broken = await asyncio.wait_for(case(folder, trouble), 110)
        except Exception as e:
            if not isinstance(e, (CannotRun, asyncio.TimeoutError)):
                traceback.print_exc()
            print("the case could not run: %s" % (str(e) or type(e).__name__))
            leave(2)
        for name, text in broken:
            print("broken: %s: %s" % (name, text))
        failed = any(name == rule for name, _ in broken)
        print("%s: %s" % (rule, "broken" if failed else "held"))
        # run.sh makes this a 1: Python itself ends with 1 if a script fails.
        leave(10 if failed else 0)

    def leave(status):
        """Ends at once: the case has ended its processes, and the stand-ins need no farewell."""
        sys.stdout.flush()
        os._exit(status)

    asyncio.run(run())
