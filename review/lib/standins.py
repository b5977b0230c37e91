"""Stand-ins for the outside systems of gannethub, by the users' protocol page: the state service, the cloud, the
workers and the users. All of them run in one process, on loopback addresses and free ports, with the real clock.

Where the page is silent a stand-in behaves like a sound server or client. Only the standard library is used.
"""

import asyncio
import json
import os
import random
import shlex
import shutil
import signal
import subprocess
import tempfile
import time
import tomllib

ROOT = os.path.dirname(os.path.dirname(os.path.dirname(os.path.abspath(__file__))))
MAX_BODY = 64 * 1024
STARTED = time.monotonic()


def now():
    """Seconds since the start of the test, by the steady clock."""
    return time.monotonic() - STARTED


class Record:
    """The record of a run: one JSON object a line, with the time in seconds."""

    def __init__(self, path):
        self.file = open(path, "w", encoding="utf-8")

    def add(self, event, **fields):
        line = {"t": round(now(), 3), "event": event, **fields}
        if not self.file.closed:
            self.file.write(json.dumps(line) + "\n")

    def close(self):
        self.file.flush()
        self.file.close()


# ---- HTTP ----


async def read_message(reader):
    """Reads one message. Returns the first line, the headers and the body; None at the end of the connection."""
    head = await reader.readuntil(b"\r\n\r\n")
    lines = head.decode("latin-1").split("\r\n")
    headers = {}
    for line in lines[1:]:
        name, _, value = line.partition(":")
        headers[name.strip().lower()] = value.strip()
    length = int(headers.get("content-length", "0"))
    body = await reader.readexactly(length) if length else b""
    return lines[0], headers, body


class Server:
    """An HTTP server on a free loopback port. `handle(method, path, body)` returns a status and a JSON value."""

    def __init__(self, handle):
        self.handle = handle
        self.server = None
        self.addr = None
        self.port = None

    async def start(self):
        self.server = await asyncio.start_server(self.serve, "127.0.0.1", 0)
        self.port = self.server.sockets[0].getsockname()[1]
        self.addr = f"127.0.0.1:{self.port}"
        return self

    async def serve(self, reader, writer):
        try:
            while True:
                first, headers, body = await read_message(reader)
                method, path, _ = first.split(" ", 2)
                status, value = await self.handle(method, path, body)
                data = json.dumps(value, separators=(",", ":")).encode()
                close = headers.get("connection", "").lower() == "close"
                head = f"HTTP/1.1 {status} Status\r\nContent-Type: application/json\r\nContent-Length: {len(data)}\r\n"
                if close:
                    head += "Connection: close\r\n"
                writer.write(head.encode() + b"\r\n" + data)
                await writer.drain()
                if close:
                    break
        except (asyncio.IncompleteReadError, asyncio.LimitOverrunError, ConnectionError, ValueError):
            pass
        except asyncio.CancelledError:
            pass
        finally:
            writer.close()


class Client:
    """A client with one connection, which stays open until a side closes it."""

    def __init__(self, port):
        self.port = port
        self.reader = None
        self.writer = None

    async def exchange(self, method, path, body):
        if self.writer is None:
            self.reader, self.writer = await asyncio.open_connection("127.0.0.1", self.port)
        data = b"" if body is None else json.dumps(body, separators=(",", ":")).encode()
        head = f"{method} {path} HTTP/1.1\r\nHost: 127.0.0.1:{self.port}\r\nContent-Type: application/json\r\n"
        self.writer.write(f"{head}Content-Length: {len(data)}\r\n\r\n".encode() + data)
        await self.writer.drain()
        first, headers, answer = await read_message(self.reader)
        if headers.get("connection", "").lower() == "close":
            self.close()
        return int(first.split(" ")[1]), headers, answer

    async def call(self, method, path, body=None, timeout=5.0):
        """Returns the status (0: no answer), the headers and the parsed body."""
        try:
            status, headers, answer = await asyncio.wait_for(self.exchange(method, path, body), timeout)
            return status, headers, json.loads(answer or b"null")
        except (OSError, EOFError, asyncio.TimeoutError, asyncio.IncompleteReadError, ValueError):
            self.close()
            return 0, {}, None

    def close(self):
        if self.writer is not None:
            self.writer.close()
        self.reader = self.writer = None


class Bucket:
    """A rate with a burst of one second's worth."""

    def __init__(self, rate):
        self.rate, self.tokens, self.at = rate, rate, now()

    def take(self, count):
        t = now()
        self.tokens = min(self.rate, self.tokens + (t - self.at) * self.rate)
        self.at = t
        if self.tokens < count:
            return False
        self.tokens -= count
        return True


# ---- The state service ----


class StateService:
    """The key-value store of the page, with its limits."""

    def __init__(self, limits, record):
        self.limits, self.record = limits, record
        self.keys = {}  # key -> [value, stamp, permit]
        self.ledger_no = 0
        self.log = []
        self.grants = {}  # id -> [expiry, ttl]
        self.next_grant = 1
        self.requests = Bucket(limits["rps"])
        self.changes = Bucket(limits["write_rps"])
        self.changed = asyncio.Event()
        self.refused = set()  # names of the nodes that are refused
        self.last_renewal = None  # the node that last renewed a lease

    def front(self, node):
        """Returns the handler of the requests of one node."""

        async def handle(method, path, body):
            if node in self.refused:
                return 503, {"error": "trouble"}
            if path.endswith("/renew"):
                self.last_renewal = node
            answer = await self.handle(method, path, body)
            # Open watches of a node that is refused wait as in an outage.
            while path.startswith("/follow") and node in self.refused:
                await asyncio.sleep(0.1)
            return answer

        return handle

    def apply(self, writes):
        self.ledger_no += 1
        for write in writes:
            if "write" in write:
                key = write["write"]
                self.keys[key] = [write["v"], self.ledger_no, write.get("permit")]
                self.log.append({"write": key, "v": write["v"], "stamp": self.ledger_no})
            else:
                key = write["delete"]
                if self.keys.pop(key, None) is not None:
                    self.log.append({"delete": key, "stamp": self.ledger_no})
        del self.log[:-10000]
        self.changed.set()
        self.changed = asyncio.Event()

    def expire(self):
        ended = [grant for grant, (expiry, _) in self.grants.items() if expiry <= now()]
        for grant in ended:
            self.end_grant(grant)

    def end_grant(self, grant):
        del self.grants[grant]
        gone = [key for key, entry in self.keys.items() if entry[2] == grant]
        if gone:
            self.apply([{"delete": key} for key in gone])

    async def expire_forever(self):
        while True:
            self.expire()
            await asyncio.sleep(0.02)

    async def handle(self, method, path, body):
        if not self.requests.take(1):
            return 429, {"error": "too many requests"}
        self.expire()
        path, _, query = path.partition("?")
        params = dict(part.split("=", 1) for part in query.split("&") if "=" in part)
        if path == "/commit" and method == "POST":
            return self.commit(body)
        if path == "/follow" and method == "GET":
            return await self.follow(params)
        if path == "/kv" and method == "GET":
            return self.list(params)
        if path.startswith("/kv/") and method == "GET":
            key = path[len("/kv/"):]
            entry = self.keys.get(key)
            if entry is None:
                return 404, {"ledger_no": self.ledger_no}
            answer = {"k": key, "v": entry[0], "stamp": entry[1]}
            if entry[2] is not None:
                answer["permit"] = entry[2]
            return 200, answer
        if path == "/grants" and method == "POST":
            ttl = json.loads(body)["ttl_ms"] / 1000
            grant, self.next_grant = self.next_grant, self.next_grant + 1
            self.grants[grant] = [now() + ttl, ttl]
            return 200, {"permit": grant}
        if path.startswith("/grants/"):
            parts = path.split("/")
            grant = int(parts[2])
            if grant not in self.grants:
                return 404, {"error": "no such lease"}
            if method == "DELETE":
                self.end_grant(grant)
            else:
                self.grants[grant][0] = now() + self.grants[grant][1]
            return 200, {"permit": grant}
        return 400, {"error": "malformed"}

    def commit(self, body):
        request = json.loads(body)
        guards, writes = request.get("guards", []), request.get("writes", [])
        limits = self.limits
        sizes = [len(json.dumps(write["v"], separators=(",", ":"), ensure_ascii=False).encode())
                 for write in writes if "write" in write]
        too_large = (len(body) > MAX_BODY or len(writes) > limits["txn_ops"] or len(guards) > 4 * limits["txn_ops"]
                     or any(size > limits["value_kb"] * 1024 for size in sizes))
        if too_large:
            return 400, {"error": "too large"}
        if not self.changes.take(len(writes)):
            return 429, {"error": "too many changes"}
        for write in writes:
            if write.get("permit") is not None and write["permit"] not in self.grants:
                return 400, {"error": "no such lease"}
        failed = [guard["k"] for guard in guards
                  if (self.keys[guard["k"]][1] if guard["k"] in self.keys else 0) != guard["stamp"]]
        if failed:
            return 409, {"failed": failed, "ledger_no": self.ledger_no}
        if writes:
            self.apply(writes)
        return 200, {"ledger_no": self.ledger_no}

    def list(self, params):
        prefix, after = params.get("starts", ""), params.get("from", "")
        page = min(int(params.get("page", "1000")), 1000)
        names = sorted(key for key in self.keys if key.startswith(prefix) and key > after)
        items, size = [], 0
        for key in names[:page]:
            value, stamp, _ = self.keys[key]
            size += len(json.dumps(value)) + len(key) + 40
            if items and size > 512 * 1024:
                break
            items.append({"k": key, "v": value, "stamp": stamp})
        return 200, {"items": items, "truncated": len(items) < len(names), "ledger_no": self.ledger_no}

    async def follow(self, params):
        prefix, since = params.get("starts", ""), int(params["from"])
        deadline = now() + min(int(params.get("block_ms", "0")), 60000) / 1000
        while True:
            if len(self.log) >= 10000 and since < self.log[0]["stamp"] - 1:
                return 410, {"error": "too old"}
            log = [change for change in self.log
                   if change["stamp"] > since and (change.get("write") or change["delete"]).startswith(prefix)]
            left = deadline - now()
            if log or left <= 0:
                return 200, {"ledger_no": self.ledger_no, "log": log}
            try:
                await asyncio.wait_for(self.changed.wait(), left)
            except asyncio.TimeoutError:
                pass


# ---- The cloud and its workers ----


class Cloud:
    """Rents machines. `kinds` are the machine types; `capacity` is the number of machines by (type, zone, spot)."""

    def __init__(self, world, kinds, capacity, boot_s=1.5, lag_s=1.0):
        self.world, self.kinds, self.capacity = world, {kind["label"]: kind for kind in kinds}, dict(capacity)
        self.boot_s, self.lag_s = boot_s, lag_s
        self.hires, self.hosts, self.next_host = {}, {}, 1

    async def handle(self, method, path, body):
        path, _, query = path.partition("?")
        if path == "/flavors":
            return 200, {"rigs": list(self.kinds.values())}
        if path == "/rentals" and method == "POST":
            return await self.rent(json.loads(body))
        if path == "/rentals/delete" and method == "POST":
            names = json.loads(body)["hosts"]
            self.world.record.add("machines deleted", hosts=names)
            for name in names:
                host = self.hosts.pop(name, None)
                if host:
                    self.capacity[host["kind"]] += 1
                    if host["worker"]:
                        host["worker"].remove()
            return 200, {}
        if path == "/rentals" and method == "GET":
            params = dict(part.split("=", 1) for part in query.split("&") if "=" in part)
            return 200, self.list(params)
        return 400, {"error": "malformed"}

    async def rent(self, request):
        hire = request["hire"]
        if hire in self.hires:
            return 200, self.hires[hire]
        kind = (request["rig"], request["yard"], request["loaners"])
        count = min(request["how_many"], 50, self.capacity.get(kind, 0))
        if count == 0:
            return 503, {"error": "no capacity"}
        self.capacity[kind] -= count
        names = []
        for _ in range(count):
            name = f"host-{self.next_host:06d}"
            self.next_host += 1
            self.hosts[name] = {"kind": kind, "at": now(), "worker": None}
            names.append(name)
            self.world.spawn(self.boot(name))
        self.world.record.add("machines rented", hire=hire, rig=kind[0], yard=kind[1], hosts=names)
        self.hires[hire] = {"hosts": names}
        return 200, self.hires[hire]

    def kill(self, name):
        """The machine stops with all that is on it."""
        self.world.record.add("machine stops", host=name)
        self.hosts[name]["died_at"] = now()
        self.hosts[name]["worker"].remove()

    async def boot(self, name):
        await asyncio.sleep(self.boot_s)
        host = self.hosts.get(name)
        if host:
            host["worker"] = Worker(self.world, name, self.kinds[host["kind"][0]], host["kind"])
            await host["worker"].start()

    def list(self, params):
        page = min(int(params.get("page", "500")), 500)
        names = sorted(name for name, host in self.hosts.items()
                       if name > params.get("from", "") and now() - host["at"] > self.lag_s)
        hosts = []
        for name in names[:page]:
            host = self.hosts[name]
            rig, yard, spot = host["kind"]
            worker = host["worker"]
            died = host.get("died_at")
            # A machine that dies still appears as running for about 30 s.
            status = "booting" if not worker else "failed" if died and now() > died + 30 else "running"
            hosts.append({"id": name, "addr": worker.addr if worker else "127.0.0.1:1", "rig": rig, "yard": yard,
                          "loaners": spot, "status": status,
                          "held_s": round(now() - host["at"], 1)})
        return {"hosts": hosts, "truncated": len(names) > page}


class Task:
    def __init__(self, piece, try_no):
        self.piece, self.try_no = piece, try_no
        self.status, self.cause, self.ends_at, self.reported_at = "fetching", None, None, None

    def report(self):
        entry = {"piece": self.piece, "try_no": self.try_no, "status": self.status}
        if self.cause:
            entry["cause"] = self.cause
        return entry


class Worker:
    """A machine's worker. It knows arrays and services; a task fetches its image, runs and ends with `done`."""

    def __init__(self, world, name, rig, kind):
        self.world, self.name, self.rig, self.kind = world, name, rig, kind
        self.shift, self.tally, self.baton = 1, 0, 0
        self.tasks = {}  # (piece, try_no) -> Task
        self.images = {}  # image -> time at which it is there
        self.done = set()  # pieces whose result is kept
        self.node, self.client = 0, None
        self.answered_at = now()  # sending time of the last answered report; at first the begin of the session
        self.wake = asyncio.Event()
        self.gone = False
        self.node = world.random.randrange(len(world.nodes))
        self.server, self.addr = None, ""

    async def start(self):
        self.server = await Server(self.handle_commands).start()
        self.addr = self.server.addr
        self.world.workers.append(self)
        self.world.record.add("machine is up", host=self.name, rig=self.rig["label"])
        self.world.spawn(self.run_tasks())
        self.world.spawn(self.report_forever())

    def remove(self):
        self.gone = True
        self.server.server.close()
        self.end_all("machine gone")
        self.wake.set()

    def end_all(self, why):
        live = [task for task in self.tasks.values() if task.status != "ended"]
        for task in live:
            self.world.left(self, task, why)
        self.tasks.clear()
        return len(live)

    def report(self):
        self.tally += 1
        rig, yard, spot = self.kind
        return {"host": self.name, "addr": self.addr, "rig": rig, "yard": yard, "loaners": spot, "shift": self.shift,
                "tally": self.tally, "baton": self.baton, "warning_s": None,
                "pieces": [task.report() for task in self.tasks.values()]}

    async def handle_commands(self, method, path, body):
        if path == "/inspect":
            return 200, self.report()
        request = json.loads(body)
        if "baton" not in request or "shift" not in request:
            return 400, {"error": "baton or shift is missing"}
        if request["baton"] < self.baton or request["shift"] != self.shift:
            return 409, self.report()
        self.baton = max(self.baton, request["baton"])
        self.execute(request["orders"])
        return 200, self.report()

    def free(self):
        used = [self.world.jobs[task.piece.split("/")[0]] for task in self.tasks.values() if task.status != "ended"]
        return (self.rig["vcpus"] - sum(job["vcpus"] for job in used),
                self.rig["mem_gb"] - sum(job["mem_gb"] for job in used))

    def execute(self, orders, reported_at=None):
        """Carries out commands; `reported_at` is the sending time of the report whose answer carries them."""
        for order in orders:
            key = (order["piece"], order["try_no"])
            task = self.tasks.get(key)
            if order["verb"] == "launch":
                if task is None:
                    self.launch(*key)
                    self.world.ordered(self, self.tasks[key], reported_at)
            elif order["verb"] == "halt":
                if task is not None and task.status != "ended":
                    self.end(task, "stopped")
            elif task is not None and task.status == "ended":
                del self.tasks[key]

    def launch(self, piece, try_no):
        task = Task(piece, try_no)
        job = self.world.jobs.get(piece.split("/")[0])
        free = self.free()
        refused = None
        if job is None or int(piece.split("/")[1]) >= job["pieces"]:
            refused = "no_such"
        elif any(other.piece == piece and other.status != "ended" for other in self.tasks.values()):
            refused = "in_use"
        elif job["vcpus"] > free[0] + 1e-6 or job["mem_gb"] > free[1] + 1e-6:
            refused = "full"
        self.tasks[(piece, try_no)] = task
        if refused:
            task.status, task.cause = "ended", refused
            self.world.refusals.append((now(), piece, refused))
            self.world.record.add("launch refused", host=self.name, piece=piece, try_no=try_no, cause=refused)
            return
        fetch = job["size_gb"] / self.rig["fetch_gb_per_s"]
        self.images.setdefault(job["build"], now() + fetch)
        self.wake.set()

    def end(self, task, cause):
        if task.status == "running":
            self.world.left(self, task, cause)
        task.status, task.cause = "ended", cause
        self.wake.set()

    async def run_tasks(self):
        while not self.gone:
            t = now()
            for task in self.tasks.values():
                job = self.world.jobs.get(task.piece.split("/")[0])
                if task.status == "fetching" and t >= self.images[job["build"]]:
                    task.status, task.ends_at = "running", t + job["run_s"]
                    self.world.started(self, task)
                    if task.piece in self.done:
                        task.ends_at = t
                    self.wake.set()
                if task.status == "running" and t >= task.ends_at:
                    self.done.add(task.piece)
                    self.world.done.add(task.piece)
                    self.end(task, "done")
            await asyncio.sleep(0.1)

    def check_lease(self):
        if now() > self.answered_at + self.world.lease_s:
            killed = self.end_all("lease ended")
            self.world.record.add("lease ended", host=self.name, shift=self.shift, killed=killed)
            self.world.leases_ended.append((now(), self.name, killed))
            self.shift += 1
            self.tally, self.answered_at = 0, now()
            return True
        return False

    async def report_forever(self):
        while not self.gone:
            self.check_lease()
            wait = await self.report_once()
            sent = now()
            self.wake.clear()
            pause = self.world.report_s * self.world.random.uniform(0.75, 1.25) if wait is None else wait
            while not self.gone and now() < sent + pause:
                self.check_lease()
                left = min(sent + pause - now(), self.answered_at + self.world.lease_s - now() + 0.01, 0.5)
                if wait is None and self.wake.is_set() and now() >= sent + 0.5:
                    break
                await asyncio.sleep(max(0.01, min(left, 0.05)))
        if self.client:
            self.client.close()

    async def report_once(self):
        """Sends one report. Returns the time until the next one, or None for the usual interval."""
        if self.client is None:
            self.client = Client(self.world.nodes[self.node]["port"])
        report, shift, sent = self.report(), self.shift, now()
        size = len(json.dumps(report, separators=(",", ":")).encode())
        status, _, answer = await self.client.call("POST", "/v1/report", report, 4.0)
        live = sum(1 for task in self.tasks.values() if task.status != "ended")
        self.world.reported(self, status, size, live)
        if status == 200:
            if shift == self.shift and answer.get("baton", 0) >= self.baton:
                news = answer["baton"] > self.baton
                self.baton, self.answered_at = answer["baton"], sent
                self.execute(answer["orders"], sent)
                if news:
                    return 0.5
            return None
        self.client.close()
        self.client = None
        foreman = answer.get("foreman") if status == 421 and isinstance(answer, dict) else None
        names = [node["name"] for node in self.world.nodes]
        if foreman in names and names.index(foreman) != self.node:
            self.node = names.index(foreman)
            return 0.5
        self.node = (self.node + 1) % len(self.world.nodes)
        return 1.0


# ---- The whole deployment ----


class World:
    """A small deployment on loopback: the stand-ins, and controllers started with the commands of the deploy file."""

    def __init__(self, folder, limits, workers, teams, zones, quota, deploy="service.toml", objectives=()):
        self.record = Record(os.path.join(folder, "record.txt"))
        self.random = random.Random(1)
        self.limits, self.teams, self.zones, self.quota = limits, teams, zones, quota
        self.worker_settings, self.deploy, self.objectives = workers, deploy, objectives
        self.usage = {}  # (piece, try_no) -> [host, time on the machine from, until, how it ended]
        self.report_s, self.lease_s = workers["report_s"], workers["lease_s"]
        self.nodes, self.workers, self.tasks = [], [], set()
        self.jobs = {}  # id -> the submission, with the run time of its tasks
        self.done = set()
        self.on_machines = {}  # piece -> workers on which it is
        self.leases_ended, self.ran_twice = [], []
        self.refusals = []  # (time, piece, cause)
        self.all_starts = []  # (time, piece, sending time of the report whose answer launched it)
        self.starts, self.largest_report, self.refused_reports = 0, 0, {}
        self.temp = tempfile.mkdtemp(prefix="gannethub-review-")

    def spawn(self, work):
        task = asyncio.get_running_loop().create_task(work)
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)
        return task

    # Events of the workers.

    def ordered(self, worker, task, reported_at):
        task.reported_at = reported_at
        self.record.add("launch", host=worker.name, piece=task.piece, try_no=task.try_no,
                        in_answer_to_report_of=None if reported_at is None else round(reported_at, 3))

    def started(self, worker, task):
        self.starts += 1
        holders = self.on_machines.setdefault(task.piece, set())
        if holders:
            self.ran_twice.append((now(), task.piece))
        holders.add(worker.name)
        self.usage[(task.piece, task.try_no)] = [worker.name, round(now(), 3), None, None]
        self.all_starts.append((now(), task.piece, task.reported_at))
        self.record.add("task starts", host=worker.name, piece=task.piece, try_no=task.try_no)

    def left(self, worker, task, why):
        self.on_machines.get(task.piece, set()).discard(worker.name)
        if (task.piece, task.try_no) in self.usage:
            self.usage[(task.piece, task.try_no)][2:] = [round(now(), 3), why]
        self.record.add("task ends", host=worker.name, piece=task.piece, try_no=task.try_no, why=why)

    def reported(self, worker, status, size, live):
        self.largest_report = max(self.largest_report, size)
        if status != 200:
            self.refused_reports[status] = self.refused_reports.get(status, 0) + 1
        self.record.add("report", host=worker.name, node=self.nodes[worker.node]["name"], shift=worker.shift,
                        tasks=live, bytes=size, status=status)

    # Processes.

    def free_port(self):
        import socket
        with socket.socket() as sock:
            sock.bind(("127.0.0.1", 0))
            return sock.getsockname()[1]

    async def start(self, kinds, capacity, names):
        self.state = StateService(self.limits, self.record)
        self.spawn(self.state.expire_forever())
        self.cloud = Cloud(self, kinds, capacity)
        cloud = await Server(self.cloud.handle).start()
        ports = set()
        while len(ports) < 2 * len(names):
            ports.add(self.free_port())
        ports = list(ports)
        for index, name in enumerate(names):
            self.nodes.append({"name": name, "zone": self.zones[index % len(self.zones)], "port": ports[2 * index],
                               "peer": ports[2 * index + 1], "process": None})
        for node in self.nodes:
            state = await Server(self.state.front(node["name"])).start()
            node["file"] = os.path.join(self.temp, node["name"] + ".toml")
            with open(node["file"], "w", encoding="utf-8") as file:
                file.write(self.settings(node, state.addr, cloud.addr))
            self.start_node(node)

    def settings(self, node, state, cloud):
        lines = [f'host_name = "{node["name"]}"', f'area = "{node["zone"]}"', f'bind = "127.0.0.1:{node["port"]}"',
                 f'cluster_listen = "127.0.0.1:{node["peer"]}"']
        for other in self.nodes:
            if other is not node:
                lines += ["[[siblings]]", f'host_name = "{other["name"]}"', f'area = "{other["zone"]}"',
                          f'peer_addr = "127.0.0.1:{other["peer"]}"']
        zones = ", ".join(f'"{zone}"' for zone in sorted(self.zones))
        lines += ["[outside]", f'cloud = "{cloud}"', f'state = "{state}"', "[cluster]",
                  f"initial_size = {len(self.nodes)}", f"zones = [{zones}]", "clock_off_ms = 1000.0"]
        for team in self.teams:
            lines += ["[[cluster.teams]]", f'name = "{team["name"]}"', f'cpus = {team["cpus"]}',
                      f'cpus_max = {team["cpus_max"]}', "gpus = 0.0", "gpus_max = 0.0"]
        for objective in self.objectives:
            lines.append("[[cluster.objectives]]")
            lines += [f"{name} = {json.dumps(value)}" for name, value in objective.items()]
        for section, values in (("workers", self.worker_settings), ("state", self.limits),
                                ("cloud", {"rps": 3.0, "list_lag_s": 3.0}), ("quota", self.quota)):
            lines.append(f"[cluster.{section}]")
            lines += [f"{name} = {value}" for name, value in values.items()]
        return "\n".join(lines) + "\n"

    def run_command(self):
        """The command of the deploy file, without the settings file that is its last argument."""
        with open(os.path.join(ROOT, "deploy", self.deploy), "rb") as file:
            return shlex.split(tomllib.load(file)["run"])

    def start_node(self, node):
        log = open(os.path.join(self.temp, node["name"] + ".log"), "ab")
        node["process"] = subprocess.Popen([*self.run_command(), node["file"]], cwd=ROOT, stdin=subprocess.DEVNULL,
                                           stdout=log, stderr=log)
        self.record.add("controller starts", node=node["name"])

    def kill_node(self, node):
        node["process"].kill()
        node["process"].wait()
        self.record.add("controller is killed", node=node["name"])

    def stop(self):
        for task in list(self.tasks):
            task.cancel()
        for node in self.nodes:
            process = node["process"]
            if process and process.poll() is None:
                process.kill()
            if process:
                process.wait()
        if os.environ.get("KEEP_LOGS"):
            print("logs:", self.temp)
        else:
            shutil.rmtree(self.temp, ignore_errors=True)

    def ended_nodes(self):
        """Controllers that ended although nobody killed them."""
        return [node["name"] for node in self.nodes if node["process"].poll() is not None]

    # Users.

    async def healthy(self, within_s):
        """Waits until every node answers its health check."""
        deadline = now() + within_s
        for node in self.nodes:
            while True:
                client = Client(node["port"])
                status, _, _ = await client.call("GET", "/healthz", timeout=1.0)
                client.close()
                if status == 200:
                    break
                if now() > deadline:
                    return False
                await asyncio.sleep(0.2)
        return True

    async def submit(self, job, run_s):
        """Submits a job as a user does: repeated for up to 60 s. Returns whether it was accepted."""
        self.jobs[job["id"]] = {**job, "run_s": run_s}
        first, turn = now(), self.random.randrange(len(self.nodes))
        while now() < first + 60:
            node = self.nodes[turn % len(self.nodes)]
            turn += 1
            client = Client(node["port"])
            status, headers, _ = await client.call("POST", "/api/jobs", job)
            client.close()
            self.record.add("submission", job=job["id"], node=node["name"], status=status)
            if status in (200, 201):
                self.jobs[job["id"]]["accepted"] = now()
                return True
            if status in (400, 422):
                return False
            await asyncio.sleep(max(1.0, float(headers.get("retry-after", "1"))))
        return False

    async def cancel(self, job_id, node):
        """Cancels a job at one node, repeated until it is confirmed. Returns the time at which the user was told."""
        while True:
            client = Client(node["port"])
            status, headers, answer = await client.call("POST", f"/api/jobs/{job_id}/cancel")
            client.close()
            told = answer.get("status") if status == 200 else None
            self.record.add("cancellation", job=job_id, node=node["name"], status=status, told=told)
            if told is not None:
                return now(), told
            await asyncio.sleep(max(1.0, float(headers.get("retry-after", "1"))))

    async def poll(self, job_id):
        """Polls every 5 s, over a connection that stays open, until the job is done or cancelled."""
        turn = self.random.randrange(len(self.nodes))
        client = None
        job = self.jobs[job_id]
        while True:
            if client is None:
                client = Client(self.nodes[turn % len(self.nodes)]["port"])
            status, _, answer = await client.call("GET", f"/api/jobs/{job_id}", timeout=2.0)
            told = answer.get("status") if status == 200 else None
            self.record.add("poll", job=job_id, node=self.nodes[turn % len(self.nodes)]["name"], status=status, told=told)
            if told is not None:
                job["told"], job["told_at"] = told, now()
            if told in ("done", "cancelled"):
                client.close()
                return
            if status == 0:
                turn += 1
                client.close()
                client = None
            await asyncio.sleep(5.0 * self.random.uniform(0.8, 1.2))


def main(folder, run, settings):
    """Runs a case and returns its exit code: 1 if the rule was broken, 0 if it held, 2 if the case could not run. All
    processes are ended, also when the test itself is terminated."""

    async def whole():
        loop = asyncio.get_running_loop()
        task = asyncio.current_task()
        for number in (signal.SIGTERM, signal.SIGINT):
            loop.add_signal_handler(number, task.cancel)
        world = World(folder, **settings)
        try:
            return await run(world)
        finally:
            world.stop()
            world.record.close()

    try:
        return asyncio.run(whole())
    except (Exception, asyncio.CancelledError, KeyboardInterrupt) as error:
        print("could not run:", repr(error))
        return 2
