"""Stand-ins and helpers of the second review's scripts: the platform's store, replicas, consumers and the gateway's
process, all on loopback addresses. The stand-ins run in the script's own process on one asyncio loop; the gateways are
separate processes, started with the command of deploy/system.toml and the settings of its template."""
import asyncio
import base64
import json
import os
import random
import re
import signal
import subprocess
import tempfile
import time
import tomllib
import urllib.parse

ROOT = os.path.abspath(os.path.join(os.path.dirname(__file__), "..", ".."))
TROUBLE = os.environ.get("TROUBLE", "1") != "0"
HELD, BROKEN, COULD_NOT_RUN = 0, 1, 2


class Record:
    """Writes what was sent, answered and run to record.txt, with seconds since the start."""

    def __init__(self, folder):
        self.begun = time.monotonic()
        self.file = open(os.path.join(folder, "record.txt"), "w", encoding="utf-8")

    def line(self, text):
        self.file.write(f"{time.monotonic() - self.begun:8.3f}  {text}\n")
        self.file.flush()


def loopback_block():
    """The first three numbers of loopback addresses that no other script is likely to use."""
    return f"127.{random.randint(20, 250)}.{random.randint(1, 250)}"


# HTTP, as far as the stand-ins need it.


class Message:
    def __init__(self, start, headers, body=b"", whole=True):
        self.start = start
        self.headers = headers
        self.body = body
        self.whole = whole

    def header(self, name):
        return self.headers.get(name.lower(), "")

    @property
    def status(self):
        return int(self.start.split(" ")[1])


async def read_head(reader):
    """The start line and the headers (names in lower case); None at the end of the connection."""
    try:
        head = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, ConnectionError, asyncio.LimitOverrunError):
        return None
    lines = head.decode("latin-1").split("\r\n")
    headers = {}
    for line in lines[1:]:
        name, colon, value = line.partition(":")
        if colon:
            headers[name.strip().lower()] = value.strip()
    return Message(lines[0], headers)


async def read_message(reader, is_response=False):
    """A whole message. `whole` is false if the connection ended before the body did."""
    message = await read_head(reader)
    if message is None:
        return None
    try:
        if "chunked" in message.header("transfer-encoding").lower():
            while True:
                size = int((await reader.readuntil(b"\r\n")).split(b";")[0], 16)
                chunk = await reader.readexactly(size + 2)
                if size == 0:
                    break
                message.body += chunk[:-2]
        elif message.header("content-length"):
            message.body = await reader.readexactly(int(message.header("content-length")))
        elif is_response:
            message.body = await reader.read()
    except (asyncio.IncompleteReadError, ConnectionError, ValueError):
        message.whole = False
    return message


def response_bytes(status, headers=(), body=b""):
    lines = [f"HTTP/1.1 {status} {'OK' if status == 200 else 'Status'}"]
    lines += [f"{name}: {value}" for name, value in headers]
    lines.append(f"Content-Length: {len(body)}")
    return "\r\n".join(lines).encode() + b"\r\n\r\n" + body


class Server:
    """Accepts connections and calls `serve` for each."""

    def __init__(self, host):
        self.host = host
        self.port = 0
        self.server = None
        self.connections = set()

    async def listen(self, port=0):
        self.server = await asyncio.start_server(self.on_connection, self.host, port, limit=1 << 23)
        self.port = self.server.sockets[0].getsockname()[1]

    @property
    def address(self):
        return f"{self.host}:{self.port}"

    async def on_connection(self, reader, writer):
        self.connections.add(writer)
        try:
            await self.serve(reader, writer)
        except (ConnectionError, asyncio.IncompleteReadError, asyncio.CancelledError):
            pass
        finally:
            self.connections.discard(writer)
            writer.close()

    async def serve(self, reader, writer):
        raise NotImplementedError

    def close(self):
        if self.server:
            self.server.close()
        for writer in list(self.connections):
            writer.close()


class Store(Server):
    """The platform's store: rows in tables, conditional writes, reads and a feed of changes (PROTOCOL.md)."""

    ANSWER_S = 0.004

    def __init__(self, host):
        super().__init__(host)
        self.rows = {}
        self.version = 0
        self.changed = asyncio.Event()
        self.calls = 0

    def put(self, table, key, document):
        """Writes a row as the operator or a replica does; returns the version that confirms it."""
        self.version += 1
        data = base64.b64encode(json.dumps(document).encode()).decode()
        self.rows[(table, key)] = (data, self.version)
        self.signal()
        return self.version

    def drop(self, table, key):
        self.version += 1
        self.rows[(table, key)] = (None, self.version)
        self.signal()

    def signal(self):
        self.changed.set()
        self.changed = asyncio.Event()

    def encoded(self, table, key):
        data, version = self.rows[(table, key)]
        row = {"tableName": table, "part": "", "key": key, "schemaVersion": version}
        if data is None:
            row["deleted"] = True
        else:
            row["data"] = data
        return row

    def current(self):
        return {"schemaVersion": self.version, "nowMs": int(time.monotonic() * 1000)}

    def transact(self, document):
        def version_of(item):
            data, version = self.rows.get((item["tableName"], item["key"]), (None, 0))
            return version if data is not None else 0

        failed = [item for item in document.get("expected", []) if version_of(item) != item["schemaVersion"]]
        if failed:
            rows = [self.encoded(i["tableName"], i["key"]) for i in failed if (i["tableName"], i["key"]) in self.rows]
            return 412, {"rows": rows} | self.current()
        self.version += 1
        for item in document.get("write", []):
            self.rows[(item["tableName"], item["key"])] = (item["data"], self.version)
        for item in document.get("remove", []):
            self.rows[(item["tableName"], item["key"])] = (None, self.version)
        self.signal()
        return 200, self.current()

    def read(self, query):
        table, source = query["tableName"], query.get("source", "")
        keys = sorted(k for t, k in self.rows if t == table and k >= source and self.rows[(t, k)][0] is not None)
        return 200, {"rows": [self.encoded(table, k) for k in keys[:500]], "hasMore": len(keys) > 500} | self.current()

    async def feed(self, query):
        table, since = query["tableName"], int(query["sinceRevision"])
        deadline = time.monotonic() + int(query.get("waitMs", "0")) / 1000
        while True:
            news = sorted((v, k) for (t, k), (_, v) in self.rows.items() if t == table and v > since)
            left = deadline - time.monotonic()
            if news or left <= 0:
                return 200, {"rows": [self.encoded(table, k) for _, k in news]} | self.current()
            try:
                await asyncio.wait_for(self.changed.wait(), left)
            except asyncio.TimeoutError:
                pass

    async def serve(self, reader, writer):
        while (request := await read_message(reader)) is not None:
            self.calls += 1
            target = urllib.parse.urlsplit(request.start.split(" ")[1])
            query = dict(urllib.parse.parse_qsl(target.query, keep_blank_values=True))
            await asyncio.sleep(self.ANSWER_S)
            if target.path == "/rows-tx":
                status, document = self.transact(json.loads(request.body))
            elif target.path == "/rows-get":
                status, document = self.read(query)
            elif target.path == "/rows-feed":
                status, document = await self.feed(query)
            else:
                status, document = 404, {}
            writer.write(response_bytes(status, [("Content-Type", "application/json")], json.dumps(document).encode()))
            await writer.drain()


class Replica(Server):
    """A replica that registers in the store and answers calls with its proof after `work_s`. Subclasses change how it
    reads a request or what it answers."""

    BEAT_S = 1.2
    SLOTS = 16

    def __init__(self, host, store, replica_id, service, zone, record, work_s=0.02):
        super().__init__(host)
        self.store = store
        self.id = replica_id
        self.service = service
        self.zone = zone
        self.record = record
        self.work_s = work_s
        self.born = int(time.time() * 1000)
        self.beats = 0
        self.state = "ready"
        self.ran = []
        self.beating = None

    async def start(self):
        await self.listen()
        self.beat()
        self.beating = asyncio.create_task(self.keep_beating())

    def beat(self):
        self.beats += 1
        self.store.put("servers", self.id, {
            "service": self.service, "address": self.address, "zone": self.zone, "version": "v1", "slots": self.SLOTS,
            "state": self.state, "coldLeftMs": 0, "sequence": self.beats, "born": self.born})

    async def keep_beating(self):
        while True:
            await asyncio.sleep(self.BEAT_S)
            self.beat()

    async def read_request(self, reader):
        return await read_message(reader)

    async def serve(self, reader, writer):
        while (request := await self.read_request(reader)) is not None and request.whole:
            await self.answer(request, writer)

    def answer_headers(self, request):
        return [("X-Arbutuspier-Attempt-Id", request.header("x-arbutuspier-attempt-id")),
                ("X-Arbutuspier-Response-Signature", "proof-" + request.header("x-arbutuspier-attempt-id"))]

    async def answer(self, request, writer):
        attempt = request.header("x-arbutuspier-attempt-id")
        if request.header("x-arbutuspier-expected-instance") not in ("", self.id):
            writer.write(response_bytes(421, [("X-Arbutuspier-Attempt-Id", attempt)]))
            await writer.drain()
            return
        self.ran.append(attempt)
        self.record.line(f"run      {attempt} at {self.id}, {len(request.body)} bytes")
        await asyncio.sleep(self.work_s)
        writer.write(response_bytes(200, self.answer_headers(request), b"done " + attempt.encode()))
        await writer.drain()

    def close(self):
        if self.beating:
            self.beating.cancel()
        super().close()


class Consumer:
    """One consumer with one kept connection to a gateway. A new connection is opened where the old one has ended."""

    def __init__(self, gate, record, host, key):
        self.gate = gate
        self.record = record
        self.host = host
        self.key = key
        self.reader = self.writer = None

    async def connect(self):
        ip, port = self.gate.frontend.split(":")
        self.reader, self.writer = await asyncio.wait_for(asyncio.open_connection(ip, int(port), limit=1 << 23), 1.0)

    def request_bytes(self, method, path, attempt, body, deadline_ms, extra=()):
        lines = [f"{method} {path} HTTP/1.1", f"Host: {self.host}", f"X-Arbutuspier-Attempt-Id: {attempt}",
                 f"X-Arbutuspier-Deadline-Ms: {deadline_ms}", f"Authorization: Bearer {self.key}"]
        lines += [f"{name}: {value}" for name, value in extra]
        if body or method == "POST":
            lines.append(f"Content-Length: {len(body)}")
        return "\r\n".join(lines).encode() + b"\r\n\r\n" + body

    async def send(self, method, path, body=b"", deadline_ms=5000, attempt=None, extra=()):
        """The answer, or None if the connection ended without one (or the time limit passed)."""
        attempt = attempt or new_attempt()
        self.record.line(f"sent     {attempt} {method} {path}, {len(body)} bytes")
        try:
            if self.writer is None:
                await self.connect()
            self.writer.write(self.request_bytes(method, path, attempt, body, deadline_ms, extra))
            answer = await asyncio.wait_for(read_message(self.reader, True), deadline_ms / 1000 + 0.5)
        except (ConnectionError, asyncio.TimeoutError) as error:
            self.record.line(f"answered {attempt} with nothing: {type(error).__name__}")
            self.close()
            return None
        if answer is None or not answer.whole:
            self.record.line(f"answered {attempt} with nothing: the connection has ended")
            self.close()
            return None
        proof = answer.header("x-arbutuspier-response-signature") or "none"
        self.record.line(f"answered {attempt} with {answer.status}, proof {proof}")
        if answer.header("connection").lower() == "close":
            self.close()
        return answer

    def close(self):
        if self.writer:
            self.writer.close()
        self.reader = self.writer = None


def new_attempt():
    return f"{random.getrandbits(64):016x}"


# The gateway.


def rendered(template, fields):
    """Fills in a template as DEPLOY.md says: values, sections and inverted sections."""

    def look_up(name, scope):
        value = scope
        if name == ".":
            return scope[-1]
        for frame in reversed(scope):
            value = frame
            for part in name.split("."):
                if isinstance(value, dict) and part in value:
                    value = value[part]
                elif isinstance(value, list) and part.isdigit() and int(part) < len(value):
                    value = value[int(part)]
                else:
                    value = None
                    break
            if value is not None:
                return value
        return None

    def text(value):
        if value is None:
            return ""
        if isinstance(value, bool):
            return "true" if value else "false"
        if isinstance(value, list):
            return ",".join(text(item) for item in value)
        return json.dumps(value) if isinstance(value, dict) else str(value)

    def render(part, scope, comma=""):
        section = re.compile(r"\{\{([#^])([^}]+)\}\}(.*?)\{\{/\2\}\}", re.S)
        while match := section.search(part):
            kind, name, inner = match.groups()
            value = look_up(name, scope)
            if kind == "^":
                out = render(inner, scope) if not value else ""
            elif isinstance(value, list):
                out = "".join(render(inner, scope + [item], "," if i + 1 < len(value) else "")
                              for i, item in enumerate(value))
            else:
                out = render(inner, scope + [value]) if value or value == 0 else ""
            part = part[:match.start()] + out + part[match.end():]

        def value_of(match):
            name = match.group(1)
            if name == ",":
                return comma
            plain = name.removesuffix("|json")
            value = look_up(plain, scope)
            return json.dumps(value) if name.endswith("|json") else text(value)

        return re.sub(r"\{\{([^#^/}][^}]*|,)\}\}", value_of, part)

    return render(template, [fields])


class Gate:
    """A gateway, started as the platform does, on a machine of demands/pichler-checkin-grown.toml."""

    def __init__(self, ip, name, zone, store, folder, seeds, memory_mb=512, program=None):
        self.name = name
        self.frontend = f"{ip}:8227"
        self.readiness = f"{ip}:8220"
        self.memory_mb = memory_mb
        self.process = None
        with open(os.path.join(ROOT, "deploy", "system.toml"), "rb") as file:
            role = tomllib.load(file)["roles"]["gate"]
        self.command = [program] if program else role["run"].split(" ")
        self.config = os.path.join(folder, f"{name}.conf")
        self.log_path = os.path.join(folder, f"{name}.log")
        fields = {
            "nodeName": name, "role": "gate", "machineClass": "edge", "serves": ["edge", "control"], "ip": ip,
            "zone": zone, "region": "at-west", "internalPorts": [7340, 7355], "bootstrap": True, "heartbeatMs": 1200,
            "listen": {"frontend": self.frontend, "readiness": self.readiness, "controlPlane": f"{ip}:8229"},
            "seedNodes": [f"{seed}:8229" for seed in seeds], "platform": {"address": store.address},
            "limits": {"cpuQuota": 0.5, "cpuSpeed": 1, "memoryMb": memory_mb, "maxFds": 8192, "linkMbps": 200.0},
            "bounds": {"contactMs": 4000, "drainMs": 3000, "graceS": 8, "configApplyMs": 3000, "retryBudgetRatio": 0.2,
                       "retryWindowS": 10, "budgetSlack": 238, "coldOverage": 1.5, "coldTolerance": 5}}
        with open(os.path.join(ROOT, role["template"]), encoding="utf-8") as file:
            settings = rendered(file.read(), fields)
        with open(self.config, "w", encoding="utf-8") as file:
            file.write(settings)

    def start(self):
        environment = {name: os.environ[name] for name in ("PATH", "HOME", "LANG") if name in os.environ}
        environment["ARBUTUSPIER_CONFIG"] = self.config
        with open(self.log_path, "ab") as log:
            self.process = subprocess.Popen(self.command, cwd=ROOT, env=environment, stdin=subprocess.DEVNULL,
                                            stdout=log, stderr=log)

    def is_running(self):
        return self.process is not None and self.process.poll() is None

    def rss_mb(self):
        """The process's memory in MB; zero once it has ended."""
        try:
            with open(f"/proc/{self.process.pid}/status", encoding="utf-8") as file:
                for line in file:
                    if line.startswith("VmRSS:"):
                        return int(line.split()[1]) / 1024
        except OSError:
            pass
        return 0.0

    def signal(self, number):
        if self.is_running():
            self.process.send_signal(number)

    async def is_ready(self):
        ip, port = self.readiness.split(":")
        try:
            reader, writer = await asyncio.wait_for(asyncio.open_connection(ip, int(port)), 0.5)
            writer.write(f"GET /readyz HTTP/1.1\r\nHost: {ip}\r\n\r\n".encode())
            answer = await asyncio.wait_for(read_message(reader, True), 0.5)
            writer.close()
            return answer is not None and answer.status == 200
        except (OSError, asyncio.TimeoutError):
            return False

    async def await_ready(self, seconds=15):
        for _ in range(int(seconds * 10)):
            if await self.is_ready():
                return True
            await asyncio.sleep(0.1)
        return False

    def stop(self):
        if self.is_running():
            self.process.kill()
        if self.process:
            self.process.wait()


def run_case(folder, case):
    """Runs `case(record, temporary folder)`, a coroutine that returns an exit status, within 110 s."""
    record = Record(folder)
    record.line("TROUBLE=1: with the disruption" if TROUBLE else "TROUBLE=0: without the disruption")
    with tempfile.TemporaryDirectory() as temporary:
        try:
            status = asyncio.run(asyncio.wait_for(case(record, temporary), 110))
        except (OSError, asyncio.TimeoutError) as error:
            record.line(f"could not run: {type(error).__name__}: {error}")
            status = COULD_NOT_RUN
    record.line({HELD: "the rule held", BROKEN: "the rule was broken"}.get(status, "the case could not run"))
    print({HELD: "held", BROKEN: "broken"}.get(status, "could not run"))
    return status
