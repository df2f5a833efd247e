#!/usr/bin/env python3
"""Demo on one machine: a streamed response and a booking survive the reclaim of a data centre.

Starts the platform, 12 engines, 3 services and 6 nodes in 3 data centres as processes, reclaims
all VMs of one data centre during the stream, and checks what the caller received. demo.sh builds
the binaries and runs it.
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
RESPONSE_TOKENS = 300
RECLAIM_AT_TOKEN = 60
NOTICE_S = 4
RESPONSE_TIMEOUT_S = 60
READ_TIMEOUT_S = 5
BOOKING_KEY = "demo-booking-1"
HEADERS = {"x-workspace": WORKSPACE, "authorization": f"Bearer {KEY}",
           "content-type": "application/json"}


def expected_token(prompt, offset):
    """Returns the text of a token, as in fl_protocol::engine::stand_in_token."""
    data = prompt.encode()
    digest = hashlib.sha256(len(data).to_bytes(8, "big") + data).digest()
    return f"{offset}.{digest[4:8].hex()} "


class StreamedResponse:
    """A streamed response, read over as many connections as needed."""

    def __init__(self, nodes, messages):
        self.nodes = nodes
        self.body = {"model": MODEL, "messages": messages, "stream": True,
                     "max_tokens": RESPONSE_TOKENS}
        self.prompt = "".join(f"{part['role']}\n{part['content']}\n" for part in messages)
        self.request_id = None
        self.tokens = []
        self.complete = False
        self.connections = 0
        self.restarts = 0

    def read(self, on_token):
        """Reads up to the end marker; reconnects through the next node after a lost connection."""
        deadline = time.monotonic() + RESPONSE_TIMEOUT_S
        node = 0
        while not self.complete and time.monotonic() < deadline:
            try:
                self._read_connection(self.nodes[node % len(self.nodes)], on_token)
            except (OSError, http.client.HTTPException) as error:
                print(f"   connection lost: {type(error).__name__}")
            node += 1
            time.sleep(0.05)

    def _read_connection(self, address, on_token):
        host, port = address.rsplit(":", 1)
        connection = http.client.HTTPConnection(host, int(port), timeout=READ_TIMEOUT_S)
        try:
            response = self._open(connection)
            if response.status != 200:
                body = response.read().decode()
                print(f"   {address} answered {response.status}: {body}")
                if not json.loads(body).get("retry_after_s"):
                    raise SystemExit("the request was refused and may not be retried")
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
            if self._handle_event(event):
                return
            if "id" in event:
                on_token(len(self.tokens))
            event = {}

    def _handle_event(self, event):
        """Handles one event; returns whether the connection is to be closed."""
        name, data = event.get("event", ""), event.get("data", "")
        if name == "moved":
            print(f"   moved at token {len(self.tokens)}: the node asks to use another node")
            return True
        if name == "problem":
            raise SystemExit(f"the stream failed: {data}")
        if name == "restart":
            self.restarts += 1
            self.tokens = []
        elif data == "[DONE]":
            self.complete = True
            return True
        elif "id" in event:
            self._append_token(int(event["id"]), json.loads(data))
        return False

    def _append_token(self, offset, chunk):
        text = chunk["choices"][0]["delta"]["content"]
        expected = expected_token(self.prompt, len(self.tokens))
        if offset != len(self.tokens) or text != expected:
            raise SystemExit(f"token {offset} {text!r}, expected {expected!r}")
        self.tokens.append(text)


def book(address, attempts=20):
    """Sends a booking; retries with the same idempotency key as long as the response allows it."""
    headers = {**HEADERS, "x-class": "counter", "idempotency-key": BOOKING_KEY}
    path = "/v1/services/bookings/bookings"
    for _ in range(attempts):
        status, body = request(address, "POST", path, {"guest": "demo"}, headers)
        if status < 300 or not json.loads(body).get("retry_after_s"):
            break
        time.sleep(0.2)
    return status, body


def count_runs(services):
    """Returns how often the services ran a booking, by their own counters."""
    pages = [json.loads(request(vm["address"], "GET", "/runs")[1]) for vm in services]
    return sum(run["count"] for page in pages for run in page)


def print_time_line(fleet, binaries, request_id):
    command = [str(binaries / "filbertctl"), "timeline", "--only", "--request", request_id]
    for admin in fleet.admin_addresses():
        command += ["--admin", admin]
    sys.stdout.flush()
    subprocess.run(command, check=False)


def run_demo(fleet, binaries):
    print_command = [str(binaries / "filbertctl"), "load", "--user", "piton-frost",
                     "--print-configuration"]
    configuration = subprocess.run(print_command, check=True, capture_output=True, text=True).stdout
    print("-- push the configuration")
    fleet.push(configuration)
    fleet.wait_ready()
    print(f"-- {len(fleet.caller_addresses())} nodes are ready")

    print("-- book through entry-1")
    status, body = book(fleet.caller_addresses()[0])
    print(f"   {status} {body}")
    is_booked = status == 201

    history = " ".join(f"rental-{number}" for number in range(400))
    messages = [{"role": "system", "content": history},
                {"role": "user", "content": "draft a fitting plan"}]
    response = StreamedResponse(fleet.caller_addresses(), messages)
    reclaimed_vms = [vm for vm in fleet.vms if vm["data_center"] == "dc-a"]
    reclaimed_at = None

    def on_token(count):
        nonlocal reclaimed_at
        if count >= RECLAIM_AT_TOKEN and reclaimed_at is None:
            reclaimed_at = time.monotonic()
            print(f"-- token {count}: time line of all nodes so far")
            print_time_line(fleet, binaries, response.request_id)
            print(f"-- token {count}: dc-a with {len(reclaimed_vms)} VMs is reclaimed "
                  f"in {NOTICE_S} s")
            fleet.announce_reclaim(reclaimed_vms, NOTICE_S)

    print(f"-- stream a response of {RESPONSE_TOKENS} tokens through entry-1 in dc-a")
    response.read(on_token)
    if reclaimed_at is None:
        raise SystemExit("the stream ended before the reclaim")
    time.sleep(max(0.0, reclaimed_at + NOTICE_S - time.monotonic()))
    reclaimed_runs = count_runs([vm for vm in reclaimed_vms if vm["kind"] == "application"])
    fleet.reclaim(reclaimed_vms)
    print("-- dc-a is reclaimed")

    print("-- send the same booking again through dc-b")
    repeated = book(fleet.caller_addresses()[0])
    print(f"   {repeated[0]} {repeated[1]}")
    booking_runs = reclaimed_runs + count_runs(fleet.vms_of_kind("application"))

    print("-- time line of the streamed request on the remaining nodes")
    print_time_line(fleet, binaries, response.request_id)

    print()
    print(f"streamed answer: {len(response.tokens)} of {RESPONSE_TOKENS} tokens, "
          f"{'whole' if response.complete else 'NOT WHOLE'}, "
          f"over {response.connections} connections, {response.restarts} restarts")
    print(f"booking: ran {booking_runs} time(s), first answer {status}, second {repeated[0]}")
    same_response = is_booked and repeated == (status, body)
    return (response.complete and len(response.tokens) == RESPONSE_TOKENS and booking_runs == 1
            and same_response)


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
