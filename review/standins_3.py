"""Stand-ins of the third review: the platform's store, engines of a plain service, clients, and the
project's daemon as a process. Standard library only; all addresses are loopback addresses.

What the stand-ins speak is what PROTOCOL.md says. The store keeps its rows in memory; the operator and
the engines write to it through methods, as if over a connection of their own.
"""

import asyncio
import atexit
import base64
import json
import os
import random
import re
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import threading
import time

ROOT = os.path.dirname(os.path.dirname(os.path.abspath(__file__)))


def free_port():
    """A free port below those that the system hands out by itself."""
    while True:
        port = random.randrange(20_000, 32_000)
        with socket.socket() as sock:
            try:
                sock.bind(("127.0.0.1", port))
                return port
            except OSError:
                continue


class Record:
    """What was sent, answered and run, one line each, with seconds since the start."""

    def __init__(self, folder):
        self.file = open(os.path.join(folder, "record.txt"), "w", encoding="utf-8")
        self.start = time.monotonic()
        self.lock = threading.Lock()

    def line(self, text):
        with self.lock:
            self.file.write(f"{time.monotonic() - self.start:8.3f} {text}\n")
            self.file.flush()


# HTTP/1.1 as far as the stand-ins need it.


async def read_request(reader):
    """Reads a request; None at the end of the channel."""
    try:
        head = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    lines = head.decode("latin-1").split("\r\n")
    method, path, _ = lines[0].split(" ", 2)
    headers = {}
    for line in lines[1:]:
        if line:
            name, value = line.split(":", 1)
            headers[name.strip().lower()] = value.strip()
    body = b""
    try:
        if headers.get("transfer-encoding", "").lower() == "chunked":
            while True:
                size = int((await reader.readline()).split(b";")[0], 16)
                body += (await reader.readexactly(size + 2))[:size]
                if size == 0:
                    break
        elif "content-length" in headers:
            body = await reader.readexactly(int(headers["content-length"]))
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    return method, path, headers, body


def answer(status, body=b"", headers=()):
    reasons = {200: "OK", 404: "Not Found", 410: "Gone", 412: "Precondition Failed",
               421: "Misdirected Request", 503: "Service Unavailable"}
    head = [f"HTTP/1.1 {status} {reasons.get(status, 'Status')}"]
    head += [f"{name}: {value}" for name, value in headers]
    head.append(f"Content-Length: {len(body)}")
    return ("\r\n".join(head) + "\r\n\r\n").encode() + body


def query_of(path):
    from urllib.parse import parse_qs, urlsplit
    parts = urlsplit(path)
    return parts.path, {name: values[0] for name, values in parse_qs(parts.query).items()}


class Store:
    """The platform's store: tables with versions, transactions and a feed."""

    def __init__(self):
        self.rows = {}  # (table, part, key) -> (version, value or None)
        self.version = 0
        self.era = 1
        self.history_from = 0
        self.changed = asyncio.Event()
        self.port = None
        self.handle = None  # replaces the answer to a call, if it returns bytes
        self.delay_s = 0.003

    def put(self, table, key, value, part=""):
        """A write by the operator or an engine; returns the version, which is the ack."""
        self.version += 1
        data = None if value is None else json.dumps(value).encode()
        self.rows[table, part, key] = (self.version, data)
        self.wake()
        return self.version

    def wake(self):
        self.changed.set()
        self.changed = asyncio.Event()

    def encode(self, key, row):
        version, value = row
        shown = {"table": key[0], "part": key[1], "key": key[2], "row_version": version}
        if value is None:
            shown["deleted"] = True
        else:
            shown["value"] = base64.b64encode(value).decode()
        return shown

    def body(self, rows, **more):
        now_ms = int(time.monotonic() * 1000)
        return json.dumps({"rows": rows, "row_version": self.version, "now_ms": now_ms, **more}).encode()

    def get(self, query):
        table, part = query["table"], query.get("part", "")
        low, high = query.get("from"), query.get("to")
        keys = [key for key, row in self.rows.items()
                if key[0] == table and key[1] == part and row[1] is not None
                and (low is None or key[2] >= low) and (high is None or key[2] < high)]
        keys.sort(key=lambda key: key[2].encode())
        most = min(int(query.get("max_items", 500)), 500)
        rows = [self.encode(key, self.rows[key]) for key in keys[:most]]
        return 200, self.body(rows, has_more=len(keys) > most)

    async def feed(self, query):
        table, since = query["table"], int(query["since_revision"])
        if since < self.history_from or since > self.version:
            return 410, b"{}"
        end = time.monotonic() + int(query.get("wait_ms", 0)) / 1000
        while True:
            keys = [key for key, row in self.rows.items() if key[0] == table and row[0] > since]
            left = end - time.monotonic()
            if keys or left <= 0:
                keys.sort(key=lambda key: self.rows[key][0])
                return 200, self.body([self.encode(key, self.rows[key]) for key in keys])
            changed = self.changed
            try:
                await asyncio.wait_for(changed.wait(), left)
            except asyncio.TimeoutError:
                pass

    def transact(self, request):
        def key_of(entry):
            return entry["table"], entry.get("part", ""), entry["key"]
        conditions = request.get("expected_revision", [])
        def version_of(key):
            version, value = self.rows.get(key, (0, None))
            return 0 if value is None else version
        if any(version_of(key_of(entry)) != entry["row_version"] for entry in conditions):
            keys = [key_of(entry) for entry in conditions]
            rows = [self.encode(key, self.rows[key]) for key in keys if version_of(key)]
            return 412, self.body(rows)
        self.version += 1
        for entry in request.get("writes", []):
            self.rows[key_of(entry)] = (self.version, base64.b64decode(entry["value"]))
        for entry in request.get("remove", []):
            self.rows[key_of(entry)] = (self.version, None)
        self.wake()
        return 200, self.body([])

    async def respond(self, method, path, body):
        path, query = query_of(path)
        if path.endswith("/rows-get"):
            await asyncio.sleep(self.delay_s)
            return self.get(query)
        if path.endswith("/rows-feed"):
            return await self.feed(query)
        if path.endswith("/rows-tx"):
            await asyncio.sleep(self.delay_s)
            return self.transact(json.loads(body))
        return 404, b"{}"

    async def serve(self, reader, writer):
        try:
            while True:
                request = await read_request(reader)
                if request is None:
                    break
                method, path, _, body = request
                status, shown = await self.respond(method, path, body)
                headers = [("Content-Type", "application/json"), ("Store-Era", str(self.era))]
                writer.write(answer(status, shown, headers))
                await writer.drain()
        except ConnectionError:
            pass
        finally:
            writer.close()

    async def start(self):
        server = await asyncio.start_server(self.serve, "127.0.0.1", 0, limit=1 << 22, backlog=1024)
        self.port = server.sockets[0].getsockname()[1]
        return server


class Engine:
    """A server of a plain service, or of a model service if `llm` is given."""

    def __init__(self, name, service, zone, slots=6, work_s=0.02, record=None):
        self.name, self.service, self.zone, self.slots = name, service, zone, slots
        self.work_s, self.record = work_s, record
        self.born = int(time.time() * 1000)
        self.sequence = 0
        self.state = "ready"
        self.port = None
        self.runs = []  # ids that began to run, in order
        self.running = 0
        self.waiting = 0
        self.respond = self.respond_plain

    def entry(self):
        self.sequence += 1
        return {"service": self.service, "address": f"127.0.0.1:{self.port}", "zone": self.zone,
                "version": "v1", "slots": self.slots, "state": self.state, "cold_remaining_ms": 0,
                "sequence": self.sequence, "born": self.born}

    async def respond_plain(self, method, path, headers, body, writer):
        """Runs a request and answers it; returns False to close the channel."""
        attempt = headers.get("x-attempt-id", "")
        echo = [("X-Attempt-Id", attempt)]
        expected = headers.get("x-expected-instance")
        if expected is not None and expected != self.name:
            writer.write(answer(421, b"", echo))
            return True
        if self.running >= self.slots:
            writer.write(answer(503, b"", echo + [("X-Not-Executed", "1")]))
            return True
        self.running += 1
        try:
            self.runs.append(attempt)
            if self.record:
                self.record.line(f"run {attempt} at {self.name}")
            await asyncio.sleep(self.work_s)
        finally:
            self.running -= 1
        writer.write(answer(200, b"done " + attempt.encode(),
                            echo + [("X-Response-Signature", f"sig.{attempt}")]))
        return True

    async def serve(self, reader, writer):
        try:
            while True:
                request = await read_request(reader)
                if request is None:
                    break
                if not await self.respond(*request, writer):
                    break
                await writer.drain()
        except (ConnectionError, asyncio.CancelledError):
            pass
        finally:
            writer.close()

    async def start(self):
        server = await asyncio.start_server(self.serve, "127.0.0.1", 0, limit=1 << 22, backlog=1024)
        self.port = server.sockets[0].getsockname()[1]
        return server


async def ping(store, engines, interval_s=1.2):
    """Engines renew their entries in the store."""
    while True:
        await asyncio.sleep(interval_s)
        for engine in engines:
            store.put("servers", engine.name, engine.entry())


# The daemon under test.

BOUNDS = {"seed_lag_s": 3, "address_reuse_s": 2, "stability_window_ms": 3000, "ack_timeout_ms": 4000,
          "catch_up_s": 4, "drain_timeout_ms": 2000, "grace_period_s": 8, "loss_slack_ms": 200,
          "config_apply_ms": 2000, "rollback_slack_ms": 250, "max_stretch_ms": 5000,
          "strict_revocation": True, "revoke_timeout_ms": 5000, "retry_budget_ratio": 0.2,
          "retry_window_s": 10, "budget_slack": 54, "cold_overage": 1.5, "cold_tolerance": 5,
          "evacuate_ms": 5000, "recovery_s": 12, "event_delay_ms": 120, "reuse_window_s": 4.8}


def render(template, fields):
    """Fills in the placeholders that DEPLOY.md defines, as far as the project's template has them."""
    def find(name):
        value = fields
        for part in name.split("."):
            value = value.get(part) if isinstance(value, dict) else value[int(part)]
            if value is None:
                return None
        return value
    def section(match):
        return match.group(2) if find(match.group(1)) else ""
    text = re.sub(r"\{\{#([\w.]+)\}\}(.*?)\{\{/\1\}\}", section, template, flags=re.S)
    def place(match):
        name, _, form = match.group(1).partition("|")
        value = find(name)
        if form == "json" or isinstance(value, (dict, bool)):
            return json.dumps(value)
        return "" if value is None else str(value)
    return re.sub(r"\{\{([^{}#/]+)\}\}", place, text)


class Daemon:
    """The project's daemon, started with the command of the deploy file."""

    def __init__(self, name, zone, zones, store_port, folder, seeds=()):
        self.name, self.zone, self.zones, self.folder = name, zone, zones, folder
        self.callers, self.readiness, self.peers = free_port(), free_port(), free_port()
        self.operators = free_port()
        self.store_port, self.seeds = store_port, list(seeds)
        self.process = None

    def settings(self):
        fields = {
            "node_name": self.name, "zone": self.zone, "zones": self.zones, "ip": "127.0.0.1",
            "listen": {"frontend": f"127.0.0.1:{self.callers}",
                       "readiness": f"127.0.0.1:{self.readiness}",
                       "control_plane": f"127.0.0.1:{self.peers}"},
            "port_range": [self.operators, self.operators],
            "seed_nodes": self.seeds or [f"127.0.0.1:{self.peers}"],
            "bounds": BOUNDS, "platform": {"address": f"127.0.0.1:{self.store_port}"},
        }
        with open(os.path.join(ROOT, "deploy", "settings.yaml"), encoding="utf-8") as template:
            return render(template.read(), fields)

    def start(self):
        path = os.path.join(self.folder, f"{self.name}.yaml")
        with open(path, "w", encoding="utf-8") as file:
            file.write(self.settings())
        with open(os.path.join(ROOT, "deploy", "system.toml"), encoding="utf-8") as deploy:
            run = re.search(r'^run = "(.*)"$', deploy.read(), re.M).group(1).split(" ")
        run[0] = os.path.join(ROOT, run[0])
        run[-1] = path
        log = open(os.path.join(self.folder, f"{self.name}.log"), "ab")
        self.process = subprocess.Popen(run, stdout=log, stderr=log, cwd=ROOT,
                                        env={"PATH": os.environ.get("PATH", "")})

    def kill(self):
        if self.process and self.process.poll() is None:
            # A stopped process is continued first, so that it ends.
            self.process.send_signal(signal.SIGCONT)
            self.process.kill()
            self.process.wait()

    def memory_mb(self):
        """Resident memory now and at its peak, in MB."""
        with open(f"/proc/{self.process.pid}/status", encoding="utf-8") as status:
            found = dict(re.findall(r"^(VmRSS|VmHWM):\s+(\d+) kB", status.read(), re.M))
        return int(found["VmRSS"]) / 1024, int(found["VmHWM"]) / 1024


# Clients.


def request_head(method, path, host, attempt, key=None, deadline_ms=1500, more=()):
    lines = [f"{method} {path} HTTP/1.1", f"Host: {host}", f"X-Attempt-Id: {attempt}",
             f"X-Deadline-Ms: {deadline_ms}"]
    if key:
        lines.append(f"Authorization: Token {key}")
    return "\r\n".join(lines + list(more)) + "\r\n"


def read_answer(sock):
    """Reads one answer from a blocking socket; (status, headers, body), or None if there is none."""
    data = b""
    try:
        while b"\r\n\r\n" not in data:
            piece = sock.recv(65536)
            if not piece:
                return None
            data += piece
        head, body = data.split(b"\r\n\r\n", 1)
        lines = head.decode("latin-1").split("\r\n")
        headers = {line.split(":", 1)[0].lower(): line.split(":", 1)[1].strip() for line in lines[1:]}
        length = int(headers.get("content-length", "0"))
        while len(body) < length:
            piece = sock.recv(65536)
            if not piece:
                return None
            body += piece
        return int(lines[0].split(" ")[1]), headers, body
    except (OSError, ValueError):
        return None


def ask(port, text, body=b"", timeout_s=3.0):
    """Sends one request over a new channel and reads its answer."""
    try:
        with socket.create_connection(("127.0.0.1", port), timeout=timeout_s) as sock:
            sock.settimeout(timeout_s)
            sock.sendall(text.encode() + body)
            return read_answer(sock)
    except OSError:
        return None


def is_ready(daemon, timeout_s=1.0):
    """Whether the readiness address answers 200, as the platform asks for it."""
    found = ask(daemon.readiness, "GET /hornbeamloom/readyz HTTP/1.1\r\nHost: r\r\nConnection: close\r\n\r\n",
                timeout_s=timeout_s)
    return found is not None and found[0] == 200


def wait_ready(daemon, limit_s=20.0):
    end = time.monotonic() + limit_s
    while time.monotonic() < end:
        if is_ready(daemon):
            return True
        time.sleep(0.1)
    return False


class Site:
    """The store and the engines, served by a thread of their own."""

    def __init__(self):
        self.loop = asyncio.new_event_loop()
        threading.Thread(target=self.loop.run_forever, daemon=True).start()
        self.store = Store()
        self.engines = []
        self.call(self.store.start())

    def call(self, coroutine):
        return asyncio.run_coroutine_threadsafe(coroutine, self.loop).result()

    def add(self, engine):
        self.call(engine.start())
        self.engines.append(engine)
        self.put("servers", engine.name, engine.entry())
        return engine

    def put(self, table, key, value):
        async def write():
            return self.store.put(table, key, value)
        return self.call(write())

    def start_pings(self):
        asyncio.run_coroutine_threadsafe(ping(self.store, self.engines), self.loop)


def temporary_folder():
    folder = tempfile.mkdtemp(prefix="review-3-")
    atexit.register(shutil.rmtree, folder, ignore_errors=True)
    return folder


def end_in_order(*_):
    sys.exit(2)


# A script that is told to end still ends what it has started.
signal.signal(signal.SIGTERM, end_in_order)


def has_trouble():
    return os.environ.get("TROUBLE", "1") != "0"
