#!/usr/bin/env python3
"""The main job on one machine: a streamed answer and a booking through a reclaim.

Starts the platform, 12 engines, 3 services and 6 nodes over 3 data centres as processes, takes a
whole data centre back in mid-stream, and checks what the caller got. Run it by demo.sh.
"""

import hashlib
import http.client
import json
import pathlib
import subprocess
import sys
import tempfile
import time

from fleet import Fleet, request

WORKSPACE = "alpine-counter"
KEY = f"load-key-of-{WORKSPACE}"
MODEL = "fitting"
ANSWER_TOKENS = 300
RECLAIM_AT_TOKEN = 60
NOTICE_S = 4
ANSWER_TIMEOUT_S = 60
STALL_S = 5
BOOKING_KEY = "demo-booking-1"
HEADERS = {"x-workspace": WORKSPACE, "authorization": f"Bearer {KEY}",
           "content-type": "application/json"}


def expected_token(prompt, offset):
    """The text that a stand-in engine gives; see fl_protocol::engine::stand_in_token."""
    data = prompt.encode()
    digest = hashlib.sha256(len(data).to_bytes(8, "big") + data).digest()
    return f"{offset}.{digest[4:8].hex()} "


class Answer:
    """One streamed answer, read over as many connections as it takes."""

    def __init__(self, nodes, messages):
        self.nodes = nodes
        self.body = {"model": MODEL, "messages": messages, "stream": True,
                     "max_tokens": ANSWER_TOKENS}
        self.prompt = "".join(f"{part['role']}\n{part['content']}\n" for part in messages)
        self.request_id = None
        self.tokens = []
        self.whole = False
        self.connections = 0
        self.restarts = 0

    def read(self, on_token):
        """Reads to the end marker; comes back through the next node after each cut."""
        deadline = time.monotonic() + ANSWER_TIMEOUT_S
        node = 0
        while not self.whole and time.monotonic() < deadline:
            try:
                self._read_connection(self.nodes[node % len(self.nodes)], on_token)
            except (OSError, http.client.HTTPException) as error:
                print(f"   the connection broke: {type(error).__name__}")
            node += 1
            time.sleep(0.05)

    def _read_connection(self, address, on_token):
        host, port = address.rsplit(":", 1)
        connection = http.client.HTTPConnection(host, int(port), timeout=STALL_S)
        try:
            response = self._open(connection)
            if response.status != 200:
                body = response.read().decode()
                print(f"   {address} answered {response.status}: {body}")
                if not json.loads(body).get("retry_after_s"):
                    raise SystemExit("the answer was refused for good")
                return
            self.connections += 1
            self.request_id = response.getheader("x-request-id")
            print(f"   connection {self.connections}: through {address}, token {len(self.tokens)}")
            self._read_events(response, on_token)
        finally:
            connection.close()

    def _open(self, connection):
        if self.request_id is None:
            headers = {**HEADERS, "x-class": "plan"}
            connection.request("POST", "/v1/chat/completions", json.dumps(self.body), headers)
        else:
            headers = dict(HEADERS)
            if self.tokens:
                headers["last-event-id"] = str(len(self.tokens) - 1)
            connection.request("GET", f"/v1/requests/{self.request_id}", headers=headers)
        return connection.getresponse()

    def _read_events(self, response, on_token):
        event = {}
        for line in response:
            line = line.decode().rstrip("\n")
            if line:
                field, _, value = line.partition(":")
                event[field] = value.removeprefix(" ")
                continue
            if self._take(event):
                return
            if "id" in event:
                on_token(len(self.tokens))
            event = {}

    def _take(self, event):
        """Takes one event; true ends the connection."""
        name, data = event.get("event", ""), event.get("data", "")
        if name == "moved":
            print(f"   moved at token {len(self.tokens)}: the node asks to come back elsewhere")
            return True
        if name == "problem":
            raise SystemExit(f"the answer was given up: {data}")
        if name == "restart":
            self.restarts += 1
            self.tokens = []
        elif data == "[DONE]":
            self.whole = True
            return True
        elif "id" in event:
            self._take_token(int(event["id"]), json.loads(data))
        return False

    def _take_token(self, offset, chunk):
        text = chunk["choices"][0]["delta"]["content"]
        expected = expected_token(self.prompt, len(self.tokens))
        if offset != len(self.tokens) or text != expected:
            raise SystemExit(f"token {offset} {text!r}, expected {expected!r}")
        self.tokens.append(text)


def book(address, attempts=20):
    """Books once; comes back with the same key as long as the system says to."""
    headers = {**HEADERS, "x-class": "counter", "idempotency-key": BOOKING_KEY}
    path = "/v1/services/bookings/bookings"
    for _ in range(attempts):
        status, body = request(address, "POST", path, {"guest": "demo"}, headers)
        if status < 300 or not json.loads(body).get("retry_after_s"):
            break
        time.sleep(0.2)
    return status, body


def runs(services):
    """How often the services ran the booking, by their own count."""
    pages = [json.loads(request(vm["address"], "GET", "/runs")[1]) for vm in services]
    return sum(run["count"] for page in pages for run in page)


def print_time_line(fleet, binaries, request_id):
    command = [str(binaries / "filbertctl"), "timeline", "--only", "--request", request_id]
    for admin in fleet.admins():
        command += ["--admin", admin]
    sys.stdout.flush()
    subprocess.run(command, check=False)


def run_demo(fleet, binaries):
    load = [str(binaries / "filbertctl"), "load", "--user", "piton-frost", "--print-configuration"]
    configuration = subprocess.run(load, check=True, capture_output=True, text=True).stdout
    print("-- push the configuration")
    fleet.push(configuration)
    fleet.wait_ready()
    print(f"-- {len(fleet.callers())} nodes are ready")

    print("-- book through entry-1")
    status, body = book(fleet.callers()[0])
    print(f"   {status} {body}")
    booked = status == 201

    history = " ".join(f"rental-{number}" for number in range(400))
    messages = [{"role": "system", "content": history},
                {"role": "user", "content": "draft a fitting plan"}]
    answer = Answer(fleet.callers(), messages)
    lost = [vm for vm in fleet.vms if vm["data_center"] == "dc-a"]
    reclaimed_at = None

    def on_token(count):
        nonlocal reclaimed_at
        if count >= RECLAIM_AT_TOKEN and reclaimed_at is None:
            reclaimed_at = time.monotonic()
            print(f"-- token {count}: time line so far, of all nodes")
            print_time_line(fleet, binaries, answer.request_id)
            print(f"-- token {count}: dc-a with {len(lost)} VMs is taken back in {NOTICE_S} s")
            fleet.announce(lost, NOTICE_S)

    print(f"-- stream an answer of {ANSWER_TOKENS} tokens through entry-1 in dc-a")
    answer.read(on_token)
    if reclaimed_at is None:
        raise SystemExit("the answer did not get as far as the reclaim")
    time.sleep(max(0.0, reclaimed_at + NOTICE_S - time.monotonic()))
    lost_runs = runs([vm for vm in lost if vm["kind"] == "application"])
    fleet.end(lost)
    print("-- dc-a is gone")

    print("-- send the same booking again through dc-b")
    again = book(fleet.callers()[0])
    print(f"   {again[0]} {again[1]}")
    booking_runs = lost_runs + runs(fleet.of_kind("application"))

    print("-- time line of the streamed request, of the nodes that are left")
    print_time_line(fleet, binaries, answer.request_id)

    print()
    print(f"streamed answer: {len(answer.tokens)} of {ANSWER_TOKENS} tokens, "
          f"{'whole' if answer.whole else 'NOT WHOLE'}, over {answer.connections} connections, "
          f"{answer.restarts} restarts")
    print(f"booking: ran {booking_runs} time(s), first answer {status}, second {again[0]}")
    same = booked and again == (status, body)
    return answer.whole and len(answer.tokens) == ANSWER_TOKENS and booking_runs == 1 and same


def main():
    binaries = pathlib.Path(sys.argv[1])
    with tempfile.TemporaryDirectory(prefix="filbertlead-demo-") as directory:
        print("-- start the platform, 12 engines, 3 services and 6 nodes in 3 data centres")
        engine_args = ["--models", MODEL, "--between-tokens-ms", 25]
        with Fleet(binaries, directory, engine_args=engine_args) as fleet:
            passed = run_demo(fleet, binaries)
    print("demo passed" if passed else "demo FAILED")
    return 0 if passed else 1


if __name__ == "__main__":
    sys.exit(main())
