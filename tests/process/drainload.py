#!/usr/bin/env python3
"""Sends streams and orders to gateways that are stopped one after the other, and prints what callers got.

    drainload.py SEED SECONDS TROUBLE STORE_URL GATEWAY_PIDS_DIR URL,... REPLICA_PID,... REPLICA_URL,...

TROUBLE is "calm", "silent": replicas are stopped (SIGSTOP) for about a second every few seconds, or "spoiled": replicas
put a wrong byte into one answer of eight. The configuration changes every few seconds. Every 5 to 10 s the next gateway gets SIGTERM; whoever started it starts it again. Each of 40
callers keeps its connection, and turns to another gateway when a request was refused. Prints a line for each request
that ended without a whole answer, and a summary.
"""
import base64
import http.client
import json
import os
import random
import signal
import sys
import threading
import time
import urllib.parse

KEY = "saw-key"
CALLERS = 40
EVENTS = 60
WHOLE_STREAM = "".join(f"id: {i}\ndata: x\n\n" for i in range(EVENTS))
SPOILED_ONE_IN = 8
CALLER_TIMEOUT_S = 9.0
MAX_TRIES = 4


def config(version, timeout_ms, idle_ms):
    return {"version": version, "routes": [
        {"host": "f.example", "prefix": "/ask/", "routeKind": "streaming", "timeoutMs": timeout_ms, "goalMs": 500,
         "service": "assist", "maxAttempts": 2, "resumable": True, "gapTargetMs": 300},
        {"host": "f.example", "prefix": "/order/", "routeKind": "non_idempotent", "timeoutMs": 3000, "goalMs": 500,
         "service": "assist", "maxAttempts": 1}],
        "services": [{"name": "assist", "maxConnections": 400}],
        "limits": {"maxHeaderBytes": 16384, "maxBodyBytes": 4194304, "headerTimeoutMs": 3000,
                   "idleTimeoutMs": idle_ms},
        "tenants": [{"name": "carvers", "apiKeys": [KEY]}]}


def put_config(store, value):
    data = base64.b64encode(json.dumps(value).encode()).decode()
    row = {"tableName": "op", "part": "", "key": "config", "data": data}
    connection = http.client.HTTPConnection(store, timeout=2)
    connection.request("POST", "/rows-tx", json.dumps({"expected": [], "write": [row], "remove": []}))
    connection.getresponse().read()
    connection.close()


class Drains:
    """When each gateway got SIGTERM."""

    def __init__(self):
        self.lock = threading.Lock()
        self.times = {}

    def add(self, host):
        with self.lock:
            self.times.setdefault(host, []).append(time.monotonic())

    def since(self, host, moment):
        """Seconds since the gateway's last SIGTERM before `moment`; none if it got none."""
        with self.lock:
            before = [t for t in self.times.get(host, []) if t <= moment]
        return moment - before[-1] if before else None


class Caller(threading.Thread):
    def __init__(self, number, hosts, seed, stop_at, drains):
        super().__init__()
        self.number = number
        self.hosts = hosts
        self.at = number % len(hosts)
        self.chance = random.Random(f"{seed}-{number}")
        self.stop_at = stop_at
        self.drains = drains
        self.connection = None
        self.counts = {}
        self.lost = []

    def run(self):
        count = 0
        while time.monotonic() < self.stop_at:
            count += 1
            is_order = self.number % 4 == 0
            self.request(count, "order" if is_order else "ask")
            time.sleep(0.03 * self.chance.random())

    def request(self, count, kind):
        target = (f"/ask/{self.number}?events={EVENTS}&gap_ms={self.chance.randint(5, 80)}" if kind == "ask"
                  else f"/order/{self.number}?work_ms={self.chance.randint(20, 900)}")
        for attempt in range(MAX_TRIES):
            outcome = self.send(f"{kind}-{self.number}-{count}-{attempt}", target, kind)
            if outcome != "refused":
                break
            self.at = (self.at + 1) % len(self.hosts)
        self.counts[kind, outcome] = self.counts.get((kind, outcome), 0) + 1

    def send(self, request_id, target, kind):
        host = self.hosts[self.at]
        headers = {"Host": "f.example", "Authorization": f"Bearer {KEY}", "X-Arbutuspier-Attempt-Id": request_id,
                   "X-Arbutuspier-Deadline-Ms": str(int(CALLER_TIMEOUT_S * 1000))}
        if kind == "ask":
            headers["X-Arbutuspier-Token-Usage"] = "100,100"
        sent_at = time.monotonic()
        try:
            if self.connection is None:
                self.connection = http.client.HTTPConnection(host, timeout=CALLER_TIMEOUT_S)
                self.connection.connect()
        except OSError:
            self.close()
            return "refused"
        status = 0
        try:
            self.connection.request("POST", target, body=f"prompt {request_id}", headers=headers)
            response = self.connection.getresponse()
            status = response.status
            body = response.read().decode(errors="replace")
        except (OSError, http.client.HTTPException) as error:
            self.close()
            # An idle connection that the gateway closed as the request was sent: it was not read.
            if isinstance(error, (http.client.RemoteDisconnected, ConnectionError)) \
                    and time.monotonic() - sent_at < 0.05:
                return "refused"
            self.lost.append((request_id, host, status, self.drains.since(host, sent_at),
                              self.drains.since(host, time.monotonic()), type(error).__name__))
            return "lost"
        if response.will_close:
            self.close()
        if status == 503:
            return "refused"
        if status != 200:
            return str(status)
        expected = WHOLE_STREAM if kind == "ask" else f"ran prompt {request_id}"
        is_whole = body == expected
        if not is_whole:
            events = body.count("data: ")
            print(f"WRONG ANSWER to {request_id}: {events} events, differs at {len(os.path.commonprefix([body, expected]))}"
                  f" of {len(body)}: {body[:60]!r}")
        return "whole" if is_whole else "wrong"

    def close(self):
        if self.connection is not None:
            self.connection.close()
        self.connection = None


def change_configurations(chance, store, stop_at):
    version = 100
    while time.monotonic() < stop_at:
        time.sleep(chance.uniform(3, 6))
        version += 1
        put_config(store, config(version, chance.randint(9000, 11000), chance.randint(9000, 15000)))


def set_spoiling(replica_urls, one_in):
    for url in replica_urls:
        connection = http.client.HTTPConnection(url, timeout=2)
        connection.request("POST", "/spoil", str(one_in))
        connection.getresponse().read()
        connection.close()


def silence_replicas(chance, replicas, stop_at):
    while time.monotonic() < stop_at:
        time.sleep(chance.uniform(3, 5))
        silent = replicas if chance.random() < 0.5 else chance.sample(replicas, 3)
        for pid in silent:
            os.kill(pid, signal.SIGSTOP)
        time.sleep(chance.uniform(1.0, 1.3))
        for pid in silent:
            os.kill(pid, signal.SIGCONT)


def stop_gateways(chance, pids_dir, hosts, drains, stop_at):
    count = 0
    while time.monotonic() < stop_at - 8:
        time.sleep(chance.uniform(5, 10))
        host = hosts[count % len(hosts)]
        number = urllib.parse.urlsplit("//" + host).hostname.rsplit(".", 1)[1]
        with open(os.path.join(pids_dir, f"gateway-{number}.pid"), encoding="utf-8") as file:
            pid = int(file.read())
        drains.add(host)
        os.kill(pid, signal.SIGTERM)
        count += 1
    return count


def main():
    seed, seconds, trouble = sys.argv[1], float(sys.argv[2]), sys.argv[3]
    store = urllib.parse.urlsplit(sys.argv[4]).netloc
    pids_dir = sys.argv[5]
    hosts = [urllib.parse.urlsplit(u).netloc for u in sys.argv[6].split(",") if u]
    replicas = [int(pid) for pid in sys.argv[7].split(",") if pid]
    replica_urls = [urllib.parse.urlsplit(u).netloc for u in sys.argv[8].split(",") if u]
    drains = Drains()
    if trouble == "spoiled":
        set_spoiling(replica_urls, SPOILED_ONE_IN)
    stop_at = time.monotonic() + seconds
    callers = [Caller(i, hosts, seed, stop_at, drains) for i in range(CALLERS)]
    helpers = [threading.Thread(target=change_configurations, args=(random.Random(f"{seed}-c"), store, stop_at)),
               threading.Thread(target=stop_gateways,
                                args=(random.Random(f"{seed}-g"), pids_dir, hosts, drains, stop_at))]
    if trouble == "silent":
        helpers.append(threading.Thread(target=silence_replicas, args=(random.Random(f"{seed}-r"), replicas, stop_at)))
    for thread in callers + helpers:
        thread.start()
    for thread in callers + helpers:
        thread.join()
    if trouble == "spoiled":
        set_spoiling(replica_urls, 0)
    for request_id, host, status, sent, ended, error in sorted(x for c in callers for x in c.lost):
        print(f"lost id={request_id} gateway={host} status={status}"
              f" sent_after_sigterm_s={'-' if sent is None else f'{sent:.2f}'}"
              f" ended_after_sigterm_s={'-' if ended is None else f'{ended:.2f}'} error={error}")
    totals = {}
    for caller in callers:
        for key, count in caller.counts.items():
            totals[key] = totals.get(key, 0) + count
    lost = sum(count for (_, outcome), count in totals.items() if outcome == "lost")
    wrong = sum(count for (_, outcome), count in totals.items() if outcome == "wrong")
    outcomes = " ".join(f"{kind}_{outcome}={count}" for (kind, outcome), count in sorted(totals.items()))
    print(f"summary sigterms={sum(len(t) for t in drains.times.values())} lost={lost} wrong={wrong} {outcomes}")


main()
