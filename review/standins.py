"""Stand-ins for the platform, engines and clients, for the scripts of the review.

They follow the pages of the platform. Everything listens on 127.0.0.1 and free ports.
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
import subprocess
import sys
import tempfile
import time

ROOT = os.path.abspath(os.path.join(os.path.dirname(__file__), ".."))
HOST = "ficu95.example"
KEY = "xd9dnn2ctnfzs989anu6"
OTHER_KEY = "wsjnbanfqasnmgkcuyj8"
MEMORY_LIMIT_MB = 110
BOUNDS = {
    "drain_timeout_ms": 2000, "grace_period_s": 8, "config_apply_ms": 2000,
    "revoke_timeout_ms": 5000, "retry_budget_ratio": 0.2, "budget_slack": 54,
}


used_ports = set()


def trouble():
    return os.environ.get("TROUBLE", "1") != "0"


class Record:
    """Writes `record.txt` beside the script."""

    def __init__(self, folder):
        self.file = open(os.path.join(folder, "record.txt"), "w")
        self.start = time.monotonic()

    def __call__(self, text):
        line = "%8.3f s  %s" % (time.monotonic() - self.start, text)
        self.file.write(line + "\n")
        self.file.flush()

    def say(self, text):
        self(text)
        print(text, flush=True)


def free_port():
    """A free port below the range from which the system takes those of outgoing connections."""
    while True:
        port = random.randrange(20000, 32000)
        with socket.socket() as sock:
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
            try:
                sock.bind(("127.0.0.1", port))
            except OSError:
                continue
        if port not in used_ports:
            used_ports.add(port)
            return port


async def read_head(reader):
    data = await reader.readuntil(b"\r\n\r\n")
    lines = data.decode("latin1").split("\r\n")
    headers = {}
    for line in lines[1:]:
        if ":" in line:
            name, value = line.split(":", 1)
            headers[name.strip().lower()] = value.strip()
    return lines[0], headers


async def read_body(reader, headers):
    if "chunked" in headers.get("transfer-encoding", "").lower():
        body = b""
        while True:
            size = int((await reader.readline()).split(b";")[0], 16)
            if size == 0:
                await reader.readline()
                return body
            body += await reader.readexactly(size)
            await reader.readline()
    length = int(headers.get("content-length", 0))
    return await reader.readexactly(length) if length else b""


def answer(status, body=b"", headers=()):
    reasons = {200: "OK", 404: "Not Found", 412: "Precondition Failed", 410: "Gone",
               421: "Misdirected Request", 500: "Internal Server Error",
               503: "Service Unavailable"}
    head = "HTTP/1.1 %d %s\r\n" % (status, reasons.get(status, "x"))
    for name, value in headers:
        head += "%s: %s\r\n" % (name, value)
    head += "Content-Length: %d\r\n\r\n" % len(body)
    return head.encode() + body


class Store:
    """The platform's metadata store. Each machine has a port of its own, so that the store can turn
    one machine away and serve the others."""

    def __init__(self):
        self.rows = {}
        self.version = 100
        self.history = []
        self.changed = asyncio.Condition()
        self.turned_away = set()
        self.cut_off = set()
        self.started = time.monotonic()

    def now_ms(self):
        return int((time.monotonic() - self.started) * 1000) + 50000

    async def listen(self, machine):
        async def serve(reader, writer):
            try:
                while True:
                    line, headers = await read_head(reader)
                    body = await read_body(reader, headers)
                    if machine in self.cut_off:
                        break
                    if machine in self.turned_away:
                        status, reply = 503, None
                    else:
                        status, reply = await self.call(line, body)
                        if machine in self.cut_off:
                            break
                        if machine in self.turned_away:
                            status, reply = 503, None
                    data = b"" if reply is None else json.dumps(reply).encode()
                    writer.write(answer(status, data, [("Content-Type", "application/json")]))
                    await writer.drain()
            except (asyncio.IncompleteReadError, ConnectionError, OSError):
                pass
            finally:
                writer.close()
        server = await asyncio.start_server(serve, "127.0.0.1", 0)
        return "127.0.0.1:%d" % server.sockets[0].getsockname()[1]

    def row_json(self, key, version, value):
        row = {"table": key[0], "part": key[1], "key": key[2], "row_version": version}
        if value is None:
            row["deleted"] = True
        else:
            row["value"] = base64.b64encode(value).decode()
        return row

    async def apply(self, changes):
        self.version += 1
        for key, value in changes:
            if value is None:
                self.rows.pop(key, None)
            else:
                self.rows[key] = (self.version, value)
            self.history.append((self.version, key, value))
        async with self.changed:
            self.changed.notify_all()
        return self.version

    async def put(self, table, key, value):
        """A write of the operator or of an engine."""
        return await self.apply([((table, "", key), json.dumps(value).encode())])

    async def call(self, line, body):
        from urllib.parse import urlsplit, parse_qs
        method, target, _ = line.split(" ", 2)
        url = urlsplit(target)
        query = {k: v[0] for k, v in parse_qs(url.query, keep_blank_values=True).items()}
        await asyncio.sleep(0.003)
        if url.path == "/hornbeamloom/rows-get":
            limit = min(int(query.get("max_items", 500)), 500)
            found = sorted((k, v) for k, v in self.rows.items()
                           if k[0] == query["table"] and k[1] == query.get("part", "")
                           and k[2] >= query.get("from", "")
                           and ("to" not in query or k[2] < query["to"]))
            rows = [self.row_json(k, v[0], v[1]) for k, v in found[:limit]]
            return 200, {"rows": rows, "has_more": len(found) > limit,
                         "row_version": self.version, "now_ms": self.now_ms()}
        if url.path == "/hornbeamloom/rows-feed":
            since = int(query["since_revision"])
            deadline = time.monotonic() + int(query.get("wait_ms", 0)) / 1000
            while True:
                rows = [self.row_json(k, v, value) for v, k, value in self.history
                        if v > since and k[0] == query["table"]]
                left = deadline - time.monotonic()
                if rows or left <= 0:
                    return 200, {"rows": rows, "row_version": self.version,
                                 "now_ms": self.now_ms()}
                try:
                    async with self.changed:
                        await asyncio.wait_for(self.changed.wait(), left)
                except asyncio.TimeoutError:
                    pass
        if url.path == "/hornbeamloom/rows-tx":
            call = json.loads(body)
            key = lambda row: (row["table"], row.get("part", ""), row["key"])
            changes = [(key(r), base64.b64decode(r["value"])) for r in call.get("writes", [])]
            changes += [(key(r), None) for r in call.get("remove", [])]
            if any(k[0] in ("op", "servers") for k, _ in changes):
                return 403, None
            conditions = call.get("expected_revision", [])
            if any(self.rows.get(key(r), (0,))[0] != r["row_version"] for r in conditions):
                rows = [self.row_json(key(r), *self.rows[key(r)]) for r in conditions
                        if key(r) in self.rows]
                return 412, {"rows": rows, "row_version": self.version, "now_ms": self.now_ms()}
            version = await self.apply(changes)
            return 200, {"row_version": version, "now_ms": self.now_ms()}
        return 404, None


class Link:
    """A proxy before one address that can cut it: it then resets what is open and what comes."""

    def __init__(self):
        self.is_cut = False
        self.target = None
        self.open = set()

    async def start(self):
        self.server = await asyncio.start_server(self.serve, "127.0.0.1", 0)
        self.address = "127.0.0.1:%d" % self.server.sockets[0].getsockname()[1]

    def cut(self):
        self.is_cut = True
        for writer in list(self.open):
            writer.transport.abort()

    def heal(self):
        self.is_cut = False

    async def serve(self, reader, writer):
        if self.is_cut:
            return writer.transport.abort()
        try:
            far_reader, far_writer = await asyncio.open_connection(*self.target.split(":"))
        except OSError:
            return writer.transport.abort()
        ends = {writer, far_writer}
        self.open |= ends

        async def pass_on(source, sink):
            try:
                while data := await source.read(65536):
                    sink.write(data)
                    await sink.drain()
                sink.write_eof()
            except (ConnectionError, OSError):
                for end in ends:
                    end.transport.abort()
        await asyncio.gather(pass_on(reader, far_writer), pass_on(far_reader, writer))
        self.open -= ends
        for end in ends:
            end.close()


class Engine:
    """A model engine or a plain service.

    `respond(engine, writer, line, headers, body)` may take an answer over; it returns true then.
    """

    def __init__(self, name, service, zone, record, events=20, pause=0.03, slots=24, model=True,
                 work=0.03, respond=None):
        self.name, self.service, self.zone, self.record = name, service, zone, record
        self.events, self.pause, self.slots, self.model = events, pause, slots, model
        self.work, self.respond = work, respond
        self.born = int(time.time() * 1000)
        self.running = 0
        self.runs = []  # (time, attempt, tenant)
        self.cut = []  # attempts whose channel was closed before their end
        self.state = "ready"
        self.silent_until = 0.0
        self.peers = {}  # address: engine, for copies of memory
        self.copies = {}  # attempt: events whose memory has arrived here

    async def start(self, store):
        self.server = await asyncio.start_server(self.serve, "127.0.0.1", 0)
        self.address = "127.0.0.1:%d" % self.server.sockets[0].getsockname()[1]
        await store.put("servers", self.name, self.entry())

    def fall_silent(self, seconds):
        """It neither reads nor writes nor works for so long, and then goes on."""
        self.silent_until = time.monotonic() + seconds
        self.record("engine %s falls silent for %.1f s" % (self.name, seconds))

    async def awake(self):
        while self.silent_until > time.monotonic():
            await asyncio.sleep(self.silent_until - time.monotonic())

    def entry(self):
        return {"service": self.service, "address": self.address, "zone": self.zone,
                "version": "v1", "slots": self.slots, "state": self.state,
                "cold_remaining_ms": 0, "sequence": 1, "born": self.born}

    async def serve(self, reader, writer):
        try:
            while True:
                line, headers = await read_head(reader)
                body = await read_body(reader, headers)
                await self.awake()
                if not await self.handle(reader, writer, line, headers, body):
                    break
        except (asyncio.IncompleteReadError, ConnectionError, OSError):
            pass
        finally:
            writer.close()

    async def handle(self, reader, writer, line, headers, body):
        if line.startswith("GET /hornbeamloom/report "):
            report = {"phase": "both", "models": [{"name": "m", "version": 1, "adapters": []}],
                      "busy": False, "sequence": 1, "waiting": 0, "running": self.running,
                      "kv_used_tokens": self.running * 1000, "kv_total_tokens": 34463,
                      "handles": 0, "born": self.born, "state": self.state}
            writer.write(answer(200, json.dumps(report).encode(),
                                [("Content-Type", "application/json")]))
            await writer.drain()
            return True
        if "/hornbeamloom/kv-" in line:
            writer.write(answer(503 if line.startswith("POST") else 200))
            await writer.drain()
            return True
        attempt = headers.get("x-attempt-id", "")
        own = [("X-Attempt-Id", attempt)]
        if headers.get("x-expected-instance", self.name) != self.name:
            writer.write(answer(421, b"", own + [("X-Instance-Id", self.name)]))
            await writer.drain()
            return True
        begin = 0
        if "kv-from" in headers:
            begin = int(headers.get("last-event-id", 0))
            is_here = headers["kv-from"] == "%s/%s" % (self.address, attempt)
            if not is_here or self.copies.pop(attempt, None) is None:
                self.record("engine %s has no copy of %s and refuses it" % (self.name, attempt))
                writer.write(answer(503, b"", own + [("X-Not-Executed", "1")]))
                await writer.drain()
                return True
        if self.running >= self.slots:
            writer.write(answer(503, b"", own + [("X-Not-Executed", "1")]))
            await writer.drain()
            return True
        self.runs.append((time.monotonic(), attempt, headers.get("x-tenant")))
        self.record("engine %s runs %s of tenant %s" % (self.name, attempt, headers.get("x-tenant")))
        self.running += 1
        try:
            if self.respond and await self.respond(self, writer, line, headers, body):
                return False
            if not self.model:
                await asyncio.sleep(self.work)
                writer.write(answer(200, b"whole " + attempt.encode(),
                                    own + [("X-Response-Signature", "s." + attempt)]))
                await writer.drain()
                return True
            head = ("HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nX-Attempt-Id: %s\r\n"
                    "X-Response-Signature: s.%s\r\nTransfer-Encoding: chunked\r\n\r\n")
            writer.write((head % (attempt, attempt)).encode())
            standby = self.peers.get(headers.get("x-kv-backup"))
            sent_at = time.monotonic()
            for seq in range(begin + 1, self.events + 1):
                await self.awake()
                if reader.at_eof() or writer.transport.is_closing():
                    self.cut.append(attempt)
                    self.record("engine %s: channel of %s was closed before event %d"
                                % (self.name, attempt, seq))
                    return False
                event = "id: %d\ndata: %s.%d\n\n" % (seq, attempt, seq)
                writer.write(("%x\r\n%s\r\n" % (len(event), event)).encode())
                await writer.drain()
                if standby and time.monotonic() - sent_at >= 0.3:
                    sent_at = time.monotonic()
                    standby.copies[attempt] = seq
                await asyncio.sleep(self.pause)
            if standby:
                standby.copies.pop(attempt, None)
            await self.awake()
            writer.write(b"0\r\n\r\n")
            await writer.drain()
            return True
        finally:
            self.running -= 1


def config(version, keys, timeout_ms=39000):
    """`/draft/` streams, `/order/` may run once, `/look/` may be repeated."""
    def route(name, kind, service, timeout, aim, attempts):
        return {"name": name, "host": HOST, "path_prefix": "/%s/" % name, "type": kind,
                "timeout_ms": timeout, "target_latency_ms": aim, "priority": 1,
                "service": service, "max_attempts": attempts, "public": False,
                "sticky": kind == "streaming", "resumable": False, "target_itl_ms": 180}
    return {
        "version": version,
        "routes": [route("draft", "streaming", "model", timeout_ms, 1800, 1),
                   route("order", "non_idempotent", "desk", 1500, 300, 1),
                   route("look", "idempotent", "desk", 1500, 300, 2)],
        "services": [
            {"name": "model", "health_path": "/healthz", "max_connections": 272, "protocol": "h1",
             "tls": False, "cold_start_s": 1.0, "cold_per_s": 41.0,
             "backend": {"slots": 24, "kv_capacity_tokens": 34463, "kv_token_bytes": 327680,
                         "bandwidth_mbps": 47000.0, "moves": True, "backups": True, "stride": 4,
                         "most": 12, "pin_ms": 4000.0, "hold_ms": 2000.0, "handle_ttl_s": 5.0,
                         "models": [{"name": "m"}]}},
            {"name": "desk", "health_path": "/healthz", "max_connections": 100, "protocol": "h1",
             "tls": False, "cold_start_s": 0.0, "cold_per_s": 0.0}],
        "limits": {"max_header_bytes": 16384, "max_body_bytes": 4194304,
                   "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
        "tenants": [{"name": "huka270", "api_keys": keys, "priority": 1}],
    }


def fill(template, fields):
    """Fills a settings template as the platform does (values and `|json` only)."""
    def value(match):
        name, _, form = match.group(1).strip().partition("|")
        found = fields
        for part in name.split("."):
            found = found[int(part)] if isinstance(found, list) else found[part]
        if form == "json" or isinstance(found, dict):
            return json.dumps(found)
        return ",".join(map(str, found)) if isinstance(found, list) else str(found)
    return re.sub(r"\{\{([^}]*)\}\}", value, template)


class Machine:
    """A machine of the system: the daemon with the command and the settings of the deploy file."""

    def __init__(self, name, zone, zones, seeds, folder, record, bounds=None):
        self.name, self.zone, self.folder, self.record = name, zone, folder, record
        self.ports = {part: free_port() for part in ("frontend", "readiness", "control", "own")}
        self.address = "127.0.0.1:%d" % self.ports["frontend"]
        self.control = "127.0.0.1:%d" % self.ports["control"]
        self.fields = {
            "node_name": name, "zone": zone, "ip": "127.0.0.1", "zones": zones,
            "listen": {"frontend": self.address, "control_plane": self.control,
                       "readiness": "127.0.0.1:%d" % self.ports["readiness"]},
            "port_range": [self.ports["own"], self.ports["own"]],
            "seed_nodes": seeds, "bounds": dict(BOUNDS, **(bounds or {})),
        }
        self.process = None
        self.starts = 0
        self.link = None

    async def put_link(self):
        """Lets the other machines reach this one's control plane through a proxy."""
        self.link = Link()
        self.link.target = self.control
        await self.link.start()
        self.control = self.link.address

    def start(self, store_address):
        self.fields["platform"] = {"address": store_address}
        with open(os.path.join(ROOT, "deploy", "system.toml")) as file:
            words = re.search(r'^run = "(.*)"', file.read(), re.M).group(1).split()
        with open(os.path.join(ROOT, "deploy", "settings.yaml")) as file:
            text = fill(file.read(), self.fields)
        if self.link:
            text += 'advertise: {peers: "%s"}\n' % self.link.address
        path = os.path.join(self.folder, self.name + ".yaml")
        with open(path, "w") as file:
            file.write(text)
        words = [path if word.startswith("/etc/hornbeamloom/") else word for word in words]
        log = open(os.path.join(self.folder, self.name + ".log"), "a")
        self.process = subprocess.Popen(words, cwd=ROOT, stdout=log, stderr=log,
                                        stdin=subprocess.DEVNULL,
                                        env={"PATH": os.environ["PATH"],
                                             "HORNBEAMLOOM_SETTINGS": path})
        self.starts += 1
        self.record("%s starts, process %d" % (self.name, self.process.pid))

    def rss_mb(self):
        try:
            with open("/proc/%d/status" % self.process.pid) as file:
                return int(re.search(r"VmRSS:\s+(\d+)", file.read()).group(1)) / 1024
        except (AttributeError, FileNotFoundError, ProcessLookupError):
            return 0.0

    def kill(self):
        if self.process and self.process.poll() is None:
            self.process.send_signal(signal.SIGCONT)
            self.process.kill()
        if self.process:
            self.process.wait()

    async def ready(self):
        reader, writer = await asyncio.open_connection("127.0.0.1", self.ports["readiness"])
        writer.write(b"GET /hornbeamloom/readyz HTTP/1.1\r\nHost: x\r\n\r\n")
        line = await reader.readline()
        writer.close()
        return b" 200 " in line

    async def wait_ready(self, limit=20):
        deadline = time.monotonic() + limit
        while time.monotonic() < deadline:
            try:
                if await self.ready():
                    return True
            except OSError:
                pass
            await asyncio.sleep(0.1)
        return False


counter = [0]


def new_id():
    counter[0] += 1
    return "%08x%08x" % (int(time.time()) & 0xffffffff, counter[0])


def request_head(path, attempt, deadline_ms, key=KEY, length=None, extra=""):
    head = ("POST %s HTTP/1.1\r\nHost: %s\r\nX-Attempt-Id: %s\r\nX-Deadline-Ms: %d\r\n"
            "Authorization: Token %s\r\n%s" % (path, HOST, attempt, deadline_ms, key, extra))
    if length is not None:
        head += "Content-Length: %d\r\n" % length
    return (head + "\r\n").encode()


MODEL_HEADERS = ("X-Model: m\r\nX-Token-Usage: 300,800\r\n"
                 "X-Prompt-Prefix: 5c1e07a2:100,%s:200\r\n")


async def call(machine, path, body=b"x" * 300, deadline_ms=1500, key=KEY, model=False,
               attempt=None):
    """One client attempt. Returns status (0: no answer), headers, body and whether it is whole."""
    attempt = attempt or new_id()
    status, headers, data, whole = 0, {}, b"", False
    writer = None
    try:
        async with asyncio.timeout(deadline_ms / 1000 + 0.5):
            reader, writer = await asyncio.open_connection(*machine.address.split(":"))
            extra = MODEL_HEADERS % attempt if model else ""
            writer.write(request_head(path, attempt, deadline_ms, key, len(body), extra) + body)
            line, headers = await read_head(reader)
            status = int(line.split(" ")[1])
            if "chunked" in headers.get("transfer-encoding", ""):
                while True:
                    size = int(await reader.readline(), 16)
                    if size == 0:
                        await reader.readline()
                        break
                    data += await reader.readexactly(size)
                    await reader.readline()
            else:
                data = await reader.readexactly(int(headers.get("content-length", 0)))
            whole = True
    except (OSError, asyncio.IncompleteReadError, asyncio.TimeoutError, TimeoutError, ValueError):
        pass
    finally:
        if writer:
            writer.close()
    return attempt, status, headers, data, whole


def run(folder, main):
    """Runs a case and exits with its verdict: 1 broken, 0 held, 2 could not run."""
    record = Record(folder)
    work = tempfile.mkdtemp(prefix="review-")
    machines = []

    async def limited():
        async with asyncio.timeout(115):
            return await main(record, work, machines)
    code = 2
    try:
        code = asyncio.run(limited())
    except BaseException as error:  # the verdict "could not run" needs its reason in the record
        record.say("the case could not run: %r" % error)
    finally:
        for machine in machines:
            machine.kill()
        if os.environ.get("KEEP"):
            print("kept", work)
        else:
            shutil.rmtree(work, ignore_errors=True)
    record.say("verdict: %s" % {0: "the rule held", 1: "the rule was broken"}.get(code, "not run"))
    sys.stdout.flush()
    os._exit(code)
