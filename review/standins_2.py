"""Stand-ins of the second review: the platform's store, back ends, clients, and the VMs' processes.

Everything runs on loopback addresses with free ports. The store keeps rows as PROTOCOL.md says; a back
end answers plain requests and records each one that reaches it.
"""

import asyncio
import base64
import json
import os
import random
import re
import signal
import socket
import subprocess
import sys
import time
from urllib.parse import parse_qs, urlsplit

ROOT = os.path.dirname(os.path.dirname(os.path.abspath(__file__)))
DAEMON = os.path.join(ROOT, "target", "release", "hornbeamloomd")
TEMPLATE = os.path.join(ROOT, "deploy", "settings.yaml")
STARTED = time.monotonic()
HOST = "h.example"
TAKEN_PORTS = set()
SPOILED_EVENT = 40

# The bounds of nekro-centrala.
BOUNDS = {
    "seed_lag_s": 3, "address_reuse_s": 2, "stability_window_ms": 3000, "ack_timeout_ms": 4000,
    "catch_up_s": 4, "drain_timeout_ms": 2000, "grace_period_s": 8, "loss_slack_ms": 200,
    "config_apply_ms": 2000, "rollback_slack_ms": 250, "max_stretch_ms": 5000,
    "strict_revocation": True, "revoke_timeout_ms": 5000, "retry_budget_ratio": 0.2,
    "retry_window_s": 10, "budget_slack": 54, "cold_overage": 1.5, "cold_tolerance": 5,
    "evacuate_ms": 5000, "recovery_s": 12, "event_delay_ms": 120, "reuse_window_s": 4.8,
}


class CannotRun(Exception):
    """The case could not be run; says nothing about the rule."""


def now():
    """Seconds since the start of the script."""
    return time.monotonic() - STARTED


def free_ports(count):
    """Free ports below those that the system gives to outgoing channels, each handed out once."""
    ports = []
    while len(ports) < count:
        port = random.randrange(20_000, 32_000)
        with socket.socket() as probe:
            if port not in TAKEN_PORTS and probe.connect_ex(("127.0.0.1", port)) != 0:
                TAKEN_PORTS.add(port)
                ports.append(port)
    return ports


async def read_message(reader):
    """Reads a head and its body; returns the first line, the headers in lower case and the body."""
    lines = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1").split("\r\n")
    headers = {}
    for line in filter(None, lines[1:]):
        name, _, value = line.partition(":")
        headers[name.strip().lower()] = value.strip()
    if "chunked" not in headers.get("transfer-encoding", "").lower():
        return lines[0], headers, await reader.readexactly(int(headers.get("content-length", 0)))
    body = b""
    while True:
        size = int((await reader.readline()).split(b";")[0], 16)
        body += await reader.readexactly(size)
        await reader.readline()
        if size == 0:
            return lines[0], headers, body


def encode(status, body, headers=()):
    if not isinstance(body, bytes):
        body = json.dumps(body).encode()
        headers = [*headers, ("Content-Type", "application/json")]
    lines = [f"HTTP/1.1 {status} Status", *(f"{name}: {value}" for name, value in headers)]
    return "\r\n".join([*lines, f"Content-Length: {len(body)}", "", ""]).encode() + body


BROKEN = (asyncio.IncompleteReadError, asyncio.LimitOverrunError, ConnectionError, OSError, ValueError)


class Server:
    """Serves HTTP on a free port; `handle` returns a response, or None to close the connection."""

    async def start(self):
        server = await asyncio.start_server(self.serve, "127.0.0.1", 0)
        self.address = "127.0.0.1:%d" % server.sockets[0].getsockname()[1]

    async def serve(self, reader, writer):
        try:
            while True:
                response = await self.handle(*await read_message(reader))
                if response is None:
                    return
                writer.write(response)
                await writer.drain()
        except BROKEN:
            pass
        finally:
            writer.close()


class Store(Server):
    """The platform's store. While `is_away`, it answers nothing and does nothing."""

    def __init__(self):
        self.rows, self.version, self.history, self.era = {}, 0, [], 1
        self.is_away = False
        self.changed = asyncio.Condition()

    async def put(self, table, key, value):
        """Writes a row as the operator or a server does; returns the time of the ack."""
        await self.change([((table, "", key), json.dumps(value).encode())])
        return now()

    async def change(self, changes):
        self.version += 1
        for row, value in changes:
            text = None if value is None else base64.b64encode(value).decode()
            if text is None:
                self.rows.pop(row, None)
            else:
                self.rows[row] = (text, self.version)
            self.history.append((self.version, row, text))
        async with self.changed:
            self.changed.notify_all()

    def copy(self):
        return dict(self.rows), self.version

    async def come_back_from(self, copy):
        """Loses all that was written since the copy was made."""
        self.rows, self.version = dict(copy[0]), copy[1]
        self.history = [change for change in self.history if change[0] <= self.version]
        self.era += 1
        self.is_away = False
        async with self.changed:
            self.changed.notify_all()

    async def handle(self, line, _, body):
        era = self.era
        if self.is_away:
            await asyncio.sleep(3600)
        await asyncio.sleep(0.004)
        _, target, _ = line.split(" ")
        url = urlsplit(target)
        query = {name: values[0] for name, values in parse_qs(url.query, keep_blank_values=True).items()}
        status, answer = {
            "/hornbeamloom/rows-get": self.get, "/hornbeamloom/rows-feed": self.feed,
            "/hornbeamloom/rows-tx": self.transact,
        }.get(url.path, self.unknown)(query, body), None
        status, answer = await status
        if self.is_away or (self.era != era):
            # The answer is lost with the state that it was made from.
            return None
        answer.update({"row_version": self.version, "now_ms": int(now() * 1000)})
        return encode(status, answer, [("Store-Era", era)])

    async def unknown(self, _query, _body):
        return 404, {}

    async def get(self, query, _body):
        wanted = (query["table"], query.get("part", ""))
        rows = [
            row_json(row, text, version)
            for row, (text, version) in sorted(self.rows.items())
            if row[:2] == wanted and query.get("from", "") <= row[2] < query.get("to", "\U0010ffff")
        ]
        most = int(query.get("max_items", 500))
        return 200, {"rows": rows[:most], "has_more": len(rows) > most}

    async def feed(self, query, _body):
        since, era = int(query["since_revision"]), self.era
        end = time.monotonic() + int(query.get("wait_ms", 0)) / 1000
        while True:
            if since > self.version or era != self.era:
                return 410, {}
            changes = {
                row: (version, text) for version, row, text in self.history
                if version > since and row[0] == query["table"]
            }
            if changes or time.monotonic() >= end:
                rows = [row_json(row, text, version) for row, (version, text) in changes.items()]
                return 200, {"rows": sorted(rows, key=lambda row: row["row_version"])}
            async with self.changed:
                try:
                    await asyncio.wait_for(self.changed.wait(), max(0.01, end - time.monotonic()))
                except asyncio.TimeoutError:
                    pass

    async def transact(self, _query, body):
        call = json.loads(body)
        key = lambda row: (row["table"], row.get("part", ""), row["key"])
        conditions = [(key(row), row["row_version"]) for row in call.get("expected_revision", [])]
        if any(self.rows.get(row, (None, 0))[1] != version for row, version in conditions):
            found = [row_json(row, *self.rows[row]) for row, _ in conditions if row in self.rows]
            return 412, {"rows": found}
        writes = [(key(row), base64.b64decode(row["value"])) for row in call.get("writes", [])]
        await self.change(writes + [(key(row), None) for row in call.get("remove", [])])
        return 200, {}


def row_json(row, text, version):
    fields = {"table": row[0], "part": row[1], "key": row[2], "row_version": version}
    return {**fields, "deleted": True} if text is None else {**fields, "value": text}


class BackEnd(Server):
    """A server of a plain service. `runs` has each request that it ran: time, attempt, line, status.

    When `fails` returns true for a request, the server runs it and then answers 503 of its own.
    Without `X-Not-Executed`, this does not say that the request has not run. When `spoils` returns
    true, a byte of its answer is wrong, in the name of the header with the digest.
    """

    def __init__(self, store, name, service, zone):
        self.store, self.name, self.service, self.zone = store, name, service, zone
        self.born, self.runs = int(time.time() * 1000), []
        self.fails = self.spoils = lambda: False
        self.spoiled = set()

    async def register(self):
        entry = {
            "service": self.service, "address": self.address, "zone": self.zone, "version": "v1",
            "slots": 6, "state": "ready", "cold_remaining_ms": 0, "sequence": 1, "born": self.born,
        }
        await self.store.put("servers", self.name, entry)

    async def handle(self, line, headers, _body):
        attempt = headers.get("x-attempt-id", "")
        echo = [("X-Attempt-Id", attempt)]
        if headers.get("x-expected-instance") != self.name:
            return encode(421, b"", [*echo, ("X-Not-Executed", "1")])
        status = 503 if self.fails() else 200
        self.runs.append((now(), attempt, line, status))
        await asyncio.sleep(0.06)
        body = f"{self.name} {attempt} {line}".encode()
        answer = encode(status, body, [*echo, ("X-Response-Signature", f"s-{attempt}")])
        if self.spoils():
            self.spoiled.add(attempt)
            return answer.replace(b"X-Response-Signature", b"X-Response-Signatuse", 1)
        return answer


class Engine(Server):
    """A model engine. `runs` has each run: attempt, start, end, and whether it went on from a copy.

    An engine that drops requests stops a run when its channel closes; one that does not works on to
    the end. While it is silent, it reads, writes and generates nothing. A stop order (`kv-move` with
    `last`) ends a run in any case. When `spoils` returns true for a run, a byte of one event is wrong:
    the first digit of its id.
    """

    def __init__(self, store, name, zone, engines, drops):
        self.store, self.name, self.zone, self.engines, self.drops = store, name, zone, engines, drops
        self.born, self.runs, self.running, self.copies = int(time.time() * 1000), [], {}, {}
        self.silent_until, self.spoils, self.spoils_until = 0.0, lambda: False, 0.0
        engines.append(self)

    async def register(self):
        entry = {
            "service": "writer", "address": self.address, "zone": self.zone, "version": "v1",
            "slots": 24, "state": "ready", "cold_remaining_ms": 0, "sequence": 1, "born": self.born,
        }
        await self.store.put("servers", self.name, entry)

    def fall_silent(self, seconds):
        self.silent_until = now() + seconds

    async def end_of_silence(self):
        while now() < self.silent_until:
            await asyncio.sleep(self.silent_until - now())

    async def serve(self, reader, writer):
        try:
            while True:
                line, headers, body = await read_message(reader)
                await self.end_of_silence()
                if line.startswith("GET /hornbeamloom/report "):
                    writer.write(encode(200, self.report()))
                elif line.startswith("POST /hornbeamloom/kv-move "):
                    writer.write(encode(*await self.move(json.loads(body))))
                elif line.startswith("DELETE /hornbeamloom/kv-handle/"):
                    writer.write(encode(200, {}))
                else:
                    return await self.run(reader, writer, headers, body)
                await writer.drain()
        except BROKEN:
            pass
        finally:
            writer.close()

    def report(self):
        return {
            "phase": "both", "models": [{"name": "m", "version": 1, "adapters": []}], "busy": False,
            "sequence": 1, "waiting": 0, "running": len(self.running), "kv_total_tokens": 34463,
            "kv_used_tokens": 1000 * len(self.running), "handles": len(self.copies), "state": "ready",
            "next": 0, "born": self.born,
            "runs": [[attempt, 1000, run["made"], 5] for attempt, run in self.running.items()],
        }

    async def move(self, order):
        run = self.running.get(order["id"])
        if run is None:
            return 404, {}
        run["stopped"] |= bool(order.get("last"))
        await asyncio.sleep(0.05)
        handle = f"h-{order['id']}"
        for engine in self.engines:
            if engine.address == order["to"] or (order.get("last") and engine is self):
                engine.copies[handle] = True
        return 200, {"handle": handle, "created": run["made"]}

    async def run(self, reader, writer, headers, body):
        attempt = headers.get("x-attempt-id", "")
        echo = [("X-Attempt-Id", attempt)]
        copy = headers.get("kv-from", "").split("/")[-1]
        if headers.get("x-expected-instance") != self.name:
            writer.write(encode(421, b"", [*echo, ("X-Not-Executed", "1")]))
            return await writer.drain()
        if len(self.running) >= 24 or (copy and not self.copies.pop(copy, None)):
            writer.write(encode(503, b"", [*echo, ("X-Not-Executed", "1")]))
            return await writer.drain()
        run = {"attempt": attempt, "made": int(headers.get("last-event-id", 0)), "start": now(),
               "end": None, "goes_on": bool(copy), "stopped": False, "spoils": self.spoils()}
        self.runs.append(run)
        self.running[attempt] = run
        try:
            await self.generate(reader, writer, run, int(body.split()[0]), headers.get("x-kv-backup"))
        finally:
            run["end"] = now()
            if self.running.get(attempt) is run:
                del self.running[attempt]

    async def generate(self, reader, writer, run, events, backup):
        closed = asyncio.ensure_future(reader.read())
        # A reset ends the channel as well.
        closed.add_done_callback(lambda done: done.cancelled() or done.exception())
        head = [f"X-Attempt-Id: {run['attempt']}", "X-Response-Signature: s",
                "Content-Type: text/event-stream", "Transfer-Encoding: chunked", "", ""]
        writer.write("\r\n".join(["HTTP/1.1 200 OK", *head]).encode())
        while run["made"] < events and not run["stopped"]:
            await asyncio.sleep(0.028)
            await self.end_of_silence()
            if closed.done() and self.drops:
                return
            run["made"] += 1
            for engine in self.engines:
                if engine.address == backup:
                    engine.copies[run["attempt"]] = True
            if not closed.done():
                number = str(run["made"])
                if run["made"] == SPOILED_EVENT:
                    run["spoils"] &= now() < self.spoils_until
                    number = "9" + number[1:] if run["spoils"] else number
                event = f"id: {number}\ndata: {run['attempt']}.{run['made']}\n\n".encode()
                writer.write(b"%x\r\n%s\r\n" % (len(event), event))
                await writer.drain()
        if not run["stopped"] and not closed.done():
            writer.write(b"0\r\n\r\n")
            await writer.drain()
            for engine in self.engines:
                engine.copies.pop(run["attempt"], None)


def route(name, kind, service, timeout_ms=1500, latency_ms=300, priority=2):
    return {
        "name": name, "host": HOST, "path_prefix": f"/{name}/", "type": kind,
        "timeout_ms": timeout_ms, "target_latency_ms": latency_ms, "priority": priority,
        "service": service, "public": False, "sticky": kind == "streaming", "resumable": False,
        "max_attempts": 2 if kind == "idempotent" else 1,
        **({"target_itl_ms": 180} if kind == "streaming" else {}),
    }


def service(name, **more):
    return {
        "name": name, "health_path": "/healthz", "max_connections": 272, "protocol": "h1",
        "tls": False, "cold_start_s": 0.0, "cold_per_s": 0.0, **more,
    }


def config(version, tenants):
    """A configuration with a plain service and a model service; `tenants` has the keys of each."""
    backend = {
        "slots": 24, "kv_capacity_tokens": 34463, "kv_token_bytes": 327680, "bandwidth_mbps": 47000.0,
        "moves": True, "backups": True, "stride": 4, "most": 12, "pin_ms": 4000.0, "hold_ms": 2000.0,
        "handle_ttl_s": 5.0, "models": [{"name": "m"}],
    }
    return {
        "version": version,
        "routes": [
            route("order", "non_idempotent", "desk"), route("look", "idempotent", "desk"),
            route("draft", "streaming", "writer", timeout_ms=39000, latency_ms=1800, priority=0),
        ],
        "services": [service("desk"), service("writer", cold_per_s=41.0, backend=backend)],
        "limits": {
            "max_header_bytes": 16384, "max_body_bytes": 4194304, "header_timeout_ms": 3000,
            "idle_timeout_ms": 15000,
        },
        "tenants": [
            {"name": name, "api_keys": keys, "priority": 1} for name, keys in tenants.items()
        ],
    }


def render(template, fields):
    """Fills in a settings template as DEPLOY.md says, as far as the deploy file's template needs it."""
    def value(path):
        found = fields
        for part in path.split("."):
            found = found[int(part)] if isinstance(found, list) else found.get(part)
            if found is None:
                return None
        return found

    def section(match):
        return match.group(2) if value(match.group(1)) else ""

    def text(match):
        found = value(match.group(1))
        if match.group(2) or isinstance(found, (dict, bool)):
            return json.dumps(found)
        return "" if found is None else str(found)

    template = re.sub(r"\{\{#([\w.]+)\}\}(.*?)\{\{/\1\}\}", section, template, flags=re.S)
    return re.sub(r"\{\{([\w.]+)(\|json)?\}\}", text, template)


class Vm:
    """One process of the project, started with the command of the deploy file."""

    def __init__(self, name, zone):
        self.name, self.zone, self.process = name, zone, None
        self.callers, self.readiness, peers, self.operators = free_ports(4)
        self.peers = f"127.0.0.1:{peers}"

    def write_settings(self, zones, store, seeds, folder):
        fields = {
            "node_name": self.name, "zone": self.zone, "zones": zones, "ip": "127.0.0.1",
            "listen": {
                "frontend": f"127.0.0.1:{self.callers}",
                "readiness": f"127.0.0.1:{self.readiness}", "control_plane": self.peers,
            },
            "port_range": [self.operators, self.operators], "seed_nodes": seeds, "bounds": BOUNDS,
            "platform": {"address": store.address},
        }
        self.settings = os.path.join(folder, f"{self.name}.yaml")
        self.log = os.path.join(folder, f"{self.name}.log")
        with open(TEMPLATE) as template, open(self.settings, "w") as settings:
            settings.write(render(template.read(), fields))

    def start(self):
        with open(self.log, "ab") as log:
            self.process = subprocess.Popen(
                [DAEMON, "--config", self.settings], stdout=log, stderr=subprocess.STDOUT, cwd=ROOT
            )

    def kill(self):
        if self.process and self.process.poll() is None:
            self.process.send_signal(signal.SIGKILL)
            self.process.wait()

    async def wait_until_ready(self):
        for _ in range(200):
            if (await request(self.readiness, "GET", "/hornbeamloom/readyz", None, None)).status == 200:
                return
            await asyncio.sleep(0.1)
        raise CannotRun(f"{self.name} did not become ready")


class Answer:
    def __init__(self, sent, status, body, headers=None):
        self.sent, self.status, self.body, self.headers = sent, status, body, headers or {}


async def request(port, method, path, attempt, key, deadline_ms=1500, body="body", headers=()):
    """Sends a request on a new channel; the status is 0 without a whole answer."""
    sent = now()
    lines = [f"{method} {path} HTTP/1.1", f"Host: {HOST}", f"X-Deadline-Ms: {deadline_ms}"]
    lines += [f"X-Attempt-Id: {attempt}"] if attempt else []
    lines += [f"Authorization: Token {key}"] if key else []
    lines += [*headers, *([f"Content-Length: {len(body)}"] if method == "POST" else [])]
    text = "\r\n".join([*lines, "", ""]) + (body if method == "POST" else "")

    async def exchange():
        reader, writer = await asyncio.open_connection("127.0.0.1", port)
        try:
            writer.write(text.encode())
            return await read_message(reader)
        finally:
            writer.close()

    try:
        line, found, received = await asyncio.wait_for(exchange(), deadline_ms / 1000 + 1)
        return Answer(sent, int(line.split(" ")[1]), received, found)
    except (asyncio.TimeoutError, *BROKEN):
        return Answer(sent, 0, b"")


class Record:
    """The lines of record.txt."""

    def __init__(self, folder):
        self.file = open(os.path.join(folder, "record.txt"), "w")

    def note(self, text, at=None):
        self.file.write(f"{now() if at is None else at:8.3f} s  {text}\n")
        self.file.flush()


def run_case(main):
    """Runs a case and exits with its status: 1 if the rule was broken, 0 if it held, else 2."""
    status = 2
    try:
        if not os.path.exists(DAEMON):
            raise CannotRun("the build of the deploy file is missing")
        is_broken = asyncio.new_event_loop().run_until_complete(limited(main))
        print("the rule was broken" if is_broken else "the rule held")
        status = 1 if is_broken else 0
    except (Exception, asyncio.CancelledError) as error:
        # Whatever went wrong, it says nothing about the rule.
        print(f"could not run: {error!r}")
    sys.stdout.flush()
    # The stand-ins' tasks may wait for an hour, and need not be ended one by one.
    os._exit(status)


async def limited(main):
    """Runs a case for 100 s at most; a signal that ends the script ends its processes too."""
    case = asyncio.ensure_future(main(os.environ.get("TROUBLE") != "0"))
    for number in (signal.SIGINT, signal.SIGTERM, signal.SIGHUP):
        asyncio.get_running_loop().add_signal_handler(number, case.cancel)
    return await asyncio.wait_for(case, 100)
