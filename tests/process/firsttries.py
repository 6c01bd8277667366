#!/usr/bin/env python3
"""Sends first tries to gateways while the links of some of them are partitioned, and prints what callers got.

    firsttries.py LINK_STATE SECONDS CUT_URL,... OTHER_URL,... CONTROL_URL,...

The links at the control addresses are in the state for so many seconds and connected again for a few more. Each
gateway gets streams, calls that may be repeated and calls that may not, on kept and on new connections. Prints a
line for each gateway, and one on the calls that may not be repeated.
"""
import http.client
import random
import sys
import threading
import time
import urllib.parse

KEY = "saw-key"
CONTACT_S = 3.0  # what is served is counted from so long after a change of the links
AFTER_S = 6.0
WORKERS_PER_GATEWAY = 6
PAUSE_S = 0.08
CALLER_TIMEOUT_S = 5.0
KINDS = ("ask", "look", "order")


def set_links(urls, state):
    for url in urls:
        host = urllib.parse.urlsplit(url).netloc
        connection = http.client.HTTPConnection(host, timeout=2)
        connection.request("PUT", "/state", body=state)
        assert connection.getresponse().status == 200
        connection.close()


class Worker(threading.Thread):
    """One caller. It keeps its connection, or opens one for each request."""

    def __init__(self, url, number, stop_at):
        super().__init__()
        self.host = urllib.parse.urlsplit(url).netloc
        self.number = number
        self.keeps_connection = number % 2 == 0
        self.stop_at = stop_at
        self.connection = None
        self.results = []  # (begun at, kind, status, is served, duration)

    def run(self):
        chance = random.Random(f"{self.host}-{self.number}")
        count = 0
        while time.monotonic() < self.stop_at:
            kind = KINDS[(count + self.number) % len(KINDS)]
            begun = time.monotonic()
            status, is_served = self.send(kind, f"{self.number}{kind}{count}-{chance.getrandbits(32):08x}")
            self.results.append((begun, kind, status, is_served, time.monotonic() - begun))
            count += 1
            time.sleep(PAUSE_S * (0.5 + chance.random()))

    def send(self, kind, request_id):
        headers = {"Host": "f.example", "Authorization": f"Bearer {KEY}", "X-Arbutuspier-Attempt-Id": request_id,
                   "X-Arbutuspier-Deadline-Ms": str(int(CALLER_TIMEOUT_S * 1000))}
        if kind == "ask":
            headers["X-Arbutuspier-Token-Usage"] = "100,100"
        try:
            if self.connection is None:
                self.connection = http.client.HTTPConnection(self.host, timeout=CALLER_TIMEOUT_S)
            self.connection.request("POST", f"/{kind}/{request_id}", body=f"prompt {request_id}", headers=headers)
            response = self.connection.getresponse()
            body = response.read().decode()
            is_own = response.headers.get("X-Arbutuspier-Attempt-Id") == request_id
            is_whole = body.count("data: ") == 5 if kind == "ask" else body == f"ran prompt {request_id}"
            is_kept = self.keeps_connection and not response.will_close
            if not is_kept:
                self.close()
            if response.status == 200 and not (is_own and is_whole):
                print(f"WRONG ANSWER to {request_id}: {body[:80]!r}")
            return response.status, response.status == 200 and is_own and is_whole
        except (OSError, http.client.HTTPException):
            self.close()
            return 0, False

    def close(self):
        if self.connection is not None:
            self.connection.close()
        self.connection = None


def report(name, url, results, cut_at, cut_end):
    during = [r for r in results if cut_at + CONTACT_S <= r[0] < cut_end]
    after = [r for r in results if cut_end + CONTACT_S <= r[0]]
    failed_s = [r[0] - cut_at for r in results if cut_at <= r[0] < cut_end and not r[3]]
    refusals_ms = sorted(1000 * r[4] for r in during if r[2] == 503)
    print(f"gateway={name} url={url} served={sum(r[3] for r in during)} sent={len(during)} "
          f"last_failure_s={max(failed_s, default=0):.2f} failures={len(failed_s)} "
          f"served_after={sum(r[3] for r in after)} sent_after={len(after)} "
          f"median_ms={1000 * sorted(r[4] for r in during)[len(during) // 2] if during else 0:.0f} "
          f"slowest_refusal_ms={refusals_ms[-1] if refusals_ms else 0:.0f}", flush=True)


def main():
    state, seconds = sys.argv[1], float(sys.argv[2])
    cut, others, controls = ([u for u in arg.split(",") if u] for arg in sys.argv[3:6])
    stop_at = time.monotonic() + 1 + seconds + AFTER_S
    workers = {url: [Worker(url, i, stop_at) for i in range(WORKERS_PER_GATEWAY)] for url in cut + others}
    for group in workers.values():
        for worker in group:
            worker.start()
    time.sleep(1)
    set_links(controls, state)
    cut_at = time.monotonic()
    time.sleep(seconds)
    set_links(controls, "connected")
    cut_end = time.monotonic()
    for group in workers.values():
        for worker in group:
            worker.join()
    for name, urls in (("cut", cut), ("other", others)):
        for url in urls:
            report(name, url, [r for w in workers[url] for r in w.results], cut_at, cut_end)
    orders = [r for group in workers.values() for w in group for r in w.results if r[1] == "order"]
    print(f"orders sent={len(orders)} answered={sum(r[3] for r in orders)} "
          f"refused={sum(r[2] == 503 for r in orders)}", flush=True)


main()
