"""Stand-ins and helpers of the review's scripts: a metadata store, replicas, callers, and the
project's gateways as separate processes on loopback. Needs only Python's standard library."""

import asyncio
import base64
import json
import os
import random
import shutil
import signal
import socket
import sys
import tempfile
import time

ROOT = os.path.dirname(os.path.dirname(os.path.dirname(os.path.abspath(__file__))))
BOUNDS = {"drainMs": 2000, "configApplyMs": 2000, "graceS": 8, "retryBudgetRatio": 0.2,
          "budgetSlack": 104, "retryWindowS": 10}
HEARTBEAT_MS = 1200
PROMISES = (408, 421, 429, 503)
HELD, BROKEN, NOT_RUN = 0, 1, 2


def now_ms():
    return int(time.time() * 1000)


class Record:
    """record.txt: what was sent, answered and run, each line with the milliseconds since the start."""

    def __init__(self, case_dir):
        self.start = time.monotonic()
        self.file = open(os.path.join(case_dir, "record.txt"), "w", encoding="utf-8")

    def line(self, text):
        self.file.write(f"{(time.monotonic() - self.start) * 1000:9.1f} {text}\n")
        self.file.flush()


# HTTP/1.1, as far as the stand-ins need it.

async def read_head(reader):
    data = await reader.readuntil(b"\r\n\r\n")
    lines = data.decode("latin-1").split("\r\n")
    headers = {}
    for line in lines[1:]:
        if line:
            name, _, value = line.partition(":")
            headers[name.strip().lower()] = value.strip()
    return lines[0], headers


async def read_body(reader, headers):
    if headers.get("transfer-encoding", "").lower() == "chunked":
        body = b""
        while True:
            size = int((await reader.readuntil(b"\r\n")).split(b";")[0], 16)
            chunk = await reader.readexactly(size + 2)
            if size == 0:
                return body
            body += chunk[:-2]
    return await reader.readexactly(int(headers.get("content-length", "0")))


def response(status, headers, body):
    reasons = {200: "OK", 400: "Bad Request", 404: "Not Found", 410: "Gone", 412: "Precondition Failed",
               421: "Misdirected Request", 503: "Service Unavailable"}
    lines = [f"HTTP/1.1 {status} {reasons.get(status, 'Status')}"]
    lines += [f"{name}: {value}" for name, value in headers]
    lines.append(f"Content-Length: {len(body)}")
    return ("\r\n".join(lines) + "\r\n\r\n").encode("latin-1") + body


class Store:
    """The platform's metadata store: rows with versions, conditional transactions and a feed."""

    def __init__(self, record):
        self.record = record
        self.rows = {}
        self.version = 0
        self.changed = asyncio.Event()
        self.connections = set()

    async def start(self, host):
        self.server = await asyncio.start_server(self.serve, host, 0)
        self.address = "%s:%d" % self.server.sockets[0].getsockname()[:2]

    def put(self, table, key, data):
        """Writes a row whose contents are the base64 text `data`."""
        self.version += 1
        self.rows[(table, key)] = (data, self.version, False)
        self.changed.set()
        self.changed = asyncio.Event()

    def put_bytes(self, table, key, content):
        self.put(table, key, base64.b64encode(content).decode())

    def remove(self, table, key):
        self.version += 1
        self.rows[(table, key)] = ("", self.version, True)
        self.changed.set()
        self.changed = asyncio.Event()

    def encode(self, table, selected):
        rows = []
        for (row_table, key), (data, version, deleted) in selected:
            row = {"tableName": row_table, "part": "", "key": key, "schemaVersion": version}
            if deleted:
                row["deleted"] = True
            else:
                row["data"] = data
            rows.append(row)
        return json.dumps({"rows": rows, "hasMore": False, "schemaVersion": self.version,
                           "nowMs": int(time.monotonic() * 1000)}).encode()

    def transact(self, body):
        entries = json.loads(body)
        for expected in entries.get("expected", []):
            row = self.rows.get((expected["tableName"], expected["key"]))
            current = row[1] if row and not row[2] else 0
            if current != expected["schemaVersion"]:
                return 412, json.dumps({"rows": [], "schemaVersion": self.version}).encode()
        for row in entries.get("write", []):
            base64.b64decode(row["data"], validate=True)
            self.put(row["tableName"], row["key"], row["data"])
        for row in entries.get("remove", []):
            self.remove(row["tableName"], row["key"])
        return 200, json.dumps({"schemaVersion": self.version}).encode()

    async def handle(self, line, body):
        method, target, _ = line.split(" ", 2)
        path, _, query = target.partition("?")
        fields = dict(item.split("=", 1) for item in query.split("&") if item)
        if path == "/rows-tx":
            await asyncio.sleep(0.005)
            return self.transact(body)
        table = fields.get("tableName", "")
        if path == "/rows-get":
            rows = sorted(item for item in self.rows.items() if item[0][0] == table and not item[1][2])
            return 200, self.encode(table, rows)
        if path == "/rows-feed":
            since = int(fields["sinceRevision"])
            end = time.monotonic() + int(fields.get("waitMs", "0")) / 1000
            while True:
                rows = [item for item in self.rows.items() if item[0][0] == table and item[1][1] > since]
                left = end - time.monotonic()
                if rows or left <= 0:
                    return 200, self.encode(table, sorted(rows, key=lambda item: item[1][1]))
                try:
                    await asyncio.wait_for(self.changed.wait(), left)
                except asyncio.TimeoutError:
                    pass
        return 404, b"{}"

    async def serve(self, reader, writer):
        try:
            while True:
                line, headers = await read_head(reader)
                body = await read_body(reader, headers)
                status, reply = await self.handle(line, body)
                await asyncio.sleep(0.004)
                writer.write(response(status, [("Content-Type", "application/json")], reply))
                await writer.drain()
        except (asyncio.IncompleteReadError, ConnectionError, OSError):
            pass
        finally:
            writer.close()


class StoreLink:
    """A gateway's path to the store. While it is cut, nothing passes in either direction."""

    def __init__(self, store_address):
        self.store_address = store_address
        self.open = asyncio.Event()
        self.open.set()

    async def start(self, host):
        self.server = await asyncio.start_server(self.serve, host, 0)
        self.address = "%s:%d" % self.server.sockets[0].getsockname()[:2]

    async def cut_for(self, seconds):
        self.open.clear()
        await asyncio.sleep(seconds)
        self.open.set()

    async def pass_on(self, reader, writer):
        try:
            while data := await reader.read(65536):
                await self.open.wait()
                writer.write(data)
                await writer.drain()
        except (ConnectionError, OSError):
            pass
        finally:
            writer.close()

    async def serve(self, reader, writer):
        await self.open.wait()
        host, port = self.store_address.split(":")
        try:
            store_reader, store_writer = await asyncio.open_connection(host, int(port))
        except OSError:
            writer.close()
            return
        await asyncio.gather(self.pass_on(reader, store_writer), self.pass_on(store_reader, writer))


class Call:
    """One request as it arrived at a replica."""

    def __init__(self, line, headers, body, connection):
        self.line = line
        self.headers = headers
        self.body = body
        self.connection = connection
        self.id = headers.get("x-arbutuspier-attempt-id", "")


class Replica:
    """A sound replica of a plain service. `slots` requests run at once, `queue` more wait, and the
    others are refused as not run. Subclasses change what it answers."""

    def __init__(self, store, record, name, service, zone, slots=6, queue=2, work_s=0.03):
        self.store = store
        self.record = record
        self.id = name
        self.service = service
        self.zone = zone
        self.slots = slots
        self.queue = queue
        self.work_s = work_s
        self.state = "ready"
        self.sequence = 0
        self.born = now_ms()
        self.runs = []
        self.arrivals = 0
        self.refused = 0
        self.refused_ids = set()
        self.running = 0
        self.waiting = 0
        self.free = asyncio.Condition()
        self.connection_count = 0

    async def start(self, host):
        self.server = await asyncio.start_server(self.serve, host, 0)
        self.address = "%s:%d" % self.server.sockets[0].getsockname()[:2]
        self.write_entry()
        self.heartbeat = asyncio.ensure_future(self.send_heartbeats())

    def write_entry(self):
        self.sequence += 1
        entry = {"service": self.service, "address": self.address, "zone": self.zone, "version": "v1",
                 "slots": self.slots, "state": self.state, "coldLeftMs": 0, "sequence": self.sequence,
                 "born": self.born}
        self.store.put_bytes("servers", self.id, json.dumps(entry).encode())

    async def send_heartbeats(self):
        while True:
            await asyncio.sleep(HEARTBEAT_MS / 1000 * random.uniform(0.9, 1.1))
            self.write_entry()

    def own_headers(self, call):
        return [("X-Arbutuspier-Attempt-Id", call.id), ("Keep-Alive", "timeout=5")]

    def refusal(self, call):
        return response(503, [("X-Arbutuspier-Not-Executed", "1")] + self.own_headers(call), b"")

    async def run(self, call):
        self.runs.append(call.id)
        self.record.line(f"run replica={self.id} id={call.id} connection={call.connection}")
        await asyncio.sleep(self.work_s * random.uniform(0.5, 1.5))
        body = ("done by %s: %s" % (self.id, call.id)).encode()
        return response(200, self.own_headers(call) + [("X-Arbutuspier-Response-Signature", self.id + "." + call.id)],
                        body)

    async def answer(self, call):
        """Returns the answer, after running the request unless it is refused."""
        if call.headers.get("x-arbutuspier-expected-instance", self.id) != self.id:
            return response(421, [("X-Arbutuspier-Instance-Id", self.id)] + self.own_headers(call), b"")
        if self.is_full():
            self.refused += 1
            self.refused_ids.add(call.id)
            self.record.line(f"refuse replica={self.id} id={call.id} connection={call.connection} running={self.running}")
            return self.refusal(call)
        self.waiting += 1
        async with self.free:
            await self.free.wait_for(lambda: self.running < self.slots)
            self.waiting -= 1
            self.running += 1
        try:
            return await self.run(call)
        finally:
            async with self.free:
                self.running -= 1
                self.free.notify()

    def is_full(self):
        return self.running >= self.slots and self.waiting >= self.queue

    async def before_answer(self, call, writer):
        """Called as soon as a request has arrived."""

    async def after_answer(self, call, answer, writer):
        """Called when an answer was written."""

    async def serve(self, reader, writer):
        self.connection_count += 1
        connection = f"{self.id}/{self.connection_count}"
        try:
            while True:
                line, headers = await read_head(reader)
                body = await read_body(reader, headers)
                if line.split(" ")[1].startswith("/report"):
                    writer.write(response(200, [], json.dumps({"born": self.born}).encode()))
                    continue
                call = Call(line, headers, body, connection)
                self.arrivals += 1
                self.record.line(f"arrive replica={self.id} id={call.id} connection={connection}")
                await self.before_answer(call, writer)
                answer = await self.answer(call)
                writer.write(answer)
                await writer.drain()
                await self.after_answer(call, answer, writer)
        except (asyncio.IncompleteReadError, ConnectionError, OSError, asyncio.LimitOverrunError):
            pass
        finally:
            writer.close()


def free_port(host, kind=socket.SOCK_STREAM):
    with socket.socket(socket.AF_INET, kind) as probe:
        probe.bind((host, 0))
        return probe.getsockname()[1]


class Gateway:
    """One of the project's gateways, started with the command and the template of the deploy file."""

    def __init__(self, number, store_address, seeds, work_dir, zone="zone-a"):
        self.name = f"edge-{number}"
        self.host = f"127.0.2.{number}"
        self.work_dir = work_dir
        self.ports = [free_port(self.host) for _ in range(6)]
        self.callers, self.readiness, _, self.peers, self.relays, _ = self.ports
        self.store_address = store_address
        self.seeds = seeds
        self.zone = zone
        self.process = None
        self.starts = 0
        self.ends = []
        self.stopping = False

    def settings(self, shared_ports):
        peers, relays, metrics = shared_ports
        with open(os.path.join(ROOT, "deploy", "gate.toml.in"), encoding="utf-8") as file:
            text = file.read()
        seeds = ",".join(json.dumps(f"{host}:1") for host in self.seeds)
        text = text.replace("{{#seedNodes}}{{.|json}}{{,}}{{/seedNodes}}", seeds)
        values = {"nodeName|json": json.dumps(self.name), "zone|json": json.dumps(self.zone),
                  "listen.frontend|json": json.dumps(f"{self.host}:{self.callers}"),
                  "listen.readiness|json": json.dumps(f"{self.host}:{self.readiness}"),
                  "ip": self.host, "internalPorts.0": str(peers), "internalPorts.1": str(relays),
                  "platform.address|json": json.dumps(self.store_address), "heartbeatMs": str(HEARTBEAT_MS)}
        for name, value in BOUNDS.items():
            values["bounds." + name] = str(value)
        for name, value in values.items():
            text = text.replace("{{" + name + "}}", value)
        text = text.replace(":9464", f":{metrics}")
        if "{{" in text:
            raise RuntimeError("unknown placeholder in the template: " + text)
        return text

    async def start(self, shared_ports):
        self.shared_ports = shared_ports
        self.file = os.path.join(self.work_dir, self.name + ".toml")
        with open(self.file, "w", encoding="utf-8") as file:
            file.write(self.settings(shared_ports))
        self.keeper = asyncio.ensure_future(self.keep_running())

    async def keep_running(self):
        """Starts the process, and again shortly after it has ended, as the platform does."""
        log = open(os.path.join(self.work_dir, self.name + ".log"), "ab")
        while not self.stopping:
            self.starts += 1
            self.process = await asyncio.create_subprocess_exec(
                os.path.join(ROOT, "target", "arbutuspier-gate"), cwd=ROOT, stdout=log, stderr=log,
                env={"ARBUTUSPIER_CONFIG": self.file, "PATH": os.environ["PATH"]})
            code = await self.process.wait()
            if self.stopping:
                return
            self.ends.append(code)
            await asyncio.sleep(0.5)

    async def is_ready(self):
        try:
            reader, writer = await asyncio.open_connection(self.host, self.readiness)
            writer.write(b"GET /readyz HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n")
            line, _ = await asyncio.wait_for(read_head(reader), 1)
            writer.close()
            return " 200 " in line
        except (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError):
            return False

    async def stop(self):
        self.stopping = True
        if self.process and self.process.returncode is None:
            self.process.kill()
            await self.process.wait()
        self.keeper.cancel()


class Fleet:
    """A store, replicas and gateways, with a temporary folder that is deleted at the end."""

    def __init__(self, case_dir):
        self.case_dir = case_dir
        self.record = Record(case_dir)
        self.work_dir = tempfile.mkdtemp(prefix="arbutuspier-review-")
        self.gateways = []

    async def start_store(self):
        self.store = Store(self.record)
        await self.store.start("127.0.1.1")

    def put_config(self, config):
        self.store.put_bytes("op", "config", json.dumps(config).encode())

    async def start_gateways(self, count, store_addresses=None):
        hosts = [f"127.0.2.{i + 1}" for i in range(count)]
        shared = [free_port(hosts[0]) for _ in range(3)]
        for i in range(count):
            address = store_addresses[i] if store_addresses else self.store.address
            gateway = Gateway(i + 1, address, hosts[:3], self.work_dir)
            self.gateways.append(gateway)
            await gateway.start(shared)
        for _ in range(100):
            if all([await gateway.is_ready() for gateway in self.gateways]):
                return True
            await asyncio.sleep(0.1)
        return False

    async def stop(self):
        for gateway in self.gateways:
            await gateway.stop()
        shutil.rmtree(self.work_dir, ignore_errors=True)


class Answer:
    def __init__(self, status=None, headers=None, body=b"", error=""):
        self.status = status
        self.headers = headers or {}
        self.body = body
        self.error = error


class Caller:
    """A sound caller: sends one request at a time on a connection that it keeps, and opens a new
    one when the gateway has closed it."""

    def __init__(self, record, gateway):
        self.record = record
        self.gateway = gateway
        self.reader = self.writer = None

    def close(self):
        if self.writer:
            self.writer.close()
        self.reader = self.writer = None

    async def call(self, request_id, method, path, deadline_ms, key="saw-key", body=b"", headers=()):
        try:
            if not self.writer or self.reader.at_eof():
                self.close()
                self.reader, self.writer = await asyncio.wait_for(
                    asyncio.open_connection(self.gateway.host, self.gateway.callers), 1)
        except (OSError, asyncio.TimeoutError):
            self.record.line(f"no-connection gateway={self.gateway.name} id={request_id}")
            return Answer(error="no connection")
        lines = [f"{method} {path} HTTP/1.1", "Host: desk.example", f"Authorization: Bearer {key}",
                 f"X-Arbutuspier-Attempt-Id: {request_id}", f"X-Arbutuspier-Deadline-Ms: {deadline_ms}",
                 f"Content-Length: {len(body)}"]
        lines += [f"{name}: {value}" for name, value in headers]
        self.record.line(f"send gateway={self.gateway.name} id={request_id} {method} {path}")
        try:
            self.writer.write(("\r\n".join(lines) + "\r\n\r\n").encode() + body)
            answer = await asyncio.wait_for(self.read(), deadline_ms / 1000)
        except asyncio.TimeoutError:
            self.close()
            answer = Answer(error="no answer in time")
        except (OSError, asyncio.IncompleteReadError):
            self.close()
            answer = Answer(error="connection closed")
        self.record.line(f"answer gateway={self.gateway.name} id={request_id} status={answer.status}"
                         f" retry_after={answer.headers.get('retry-after')} error={answer.error!r}"
                         f" body={answer.body[:60]!r}")
        return answer

    async def read(self):
        line, headers = await read_head(self.reader)
        body = await read_body(self.reader, headers)
        if headers.get("connection", "").lower() == "close":
            self.close()
        return Answer(int(line.split(" ")[1]), headers, body)


def trouble():
    return os.environ.get("TROUBLE", "1") != "0"


def main(case_file, run, seconds=110):
    """Runs `run(fleet)`, which returns one of HELD, BROKEN and NOT_RUN, and exits with that."""
    case_dir = os.path.dirname(os.path.abspath(case_file))

    async def guarded():
        fleet = Fleet(case_dir)
        try:
            if not os.access(os.path.join(ROOT, "target", "arbutuspier-gate"), os.X_OK):
                fleet.record.line("target/arbutuspier-gate is missing")
                return NOT_RUN
            return await asyncio.wait_for(run(fleet), seconds)
        except Exception as error:
            fleet.record.line(f"the case could not run: {error!r}")
            print(f"the case could not run: {error!r}", file=sys.stderr)
            return NOT_RUN
        finally:
            await fleet.stop()

    code = asyncio.run(guarded())
    print({HELD: "held", BROKEN: "BROKEN", NOT_RUN: "not run"}[code], flush=True)
    # Connections that are still open need no orderly end.
    os._exit(code)
