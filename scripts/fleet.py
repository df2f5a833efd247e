"""Starts a test fleet of stand-ins and nodes as processes on loopback addresses.

Used by demo.py and measure-routing.py. Needs the built binaries and only the standard library.
"""

import http.client
import json
import pathlib
import random
import signal
import subprocess
import sys
import time

CALLERS_PORT = 8080
PEER_PORT = 7000
GOSSIP_PORT = 7001
ADMIN_PORT = 9090
BACKEND_PORT = 8000
PLATFORM_PORT = 7200
NODE_HOST_BASE = 1
ENGINE_HOST_BASE = 60
SERVICE_HOST_BASE = 120
PLATFORM_HOST = 200
DATA_CENTERS = ("dc-a", "dc-b", "dc-c")
READY_TIMEOUT_S = 60
POLL_INTERVAL_S = 0.05
STOP_TIMEOUT_S = 10
FLEET_KEY_HEX = "5a" * 32


def request(address, method, path, body=None, headers=None, timeout_s=10):
    """Sends a request and returns the status and the body; raises OSError if no response comes."""
    host, port = address.rsplit(":", 1)
    connection = http.client.HTTPConnection(host, int(port), timeout=timeout_s)
    try:
        data = None if body is None else json.dumps(body)
        connection.request(method, path, data, headers or {})
        response = connection.getresponse()
        return response.status, response.read().decode()
    finally:
        connection.close()


class Fleet:
    """A running system: the platform, and the engines, services and nodes of three data centres.

    Used as a context manager: entering starts all processes, and leaving ends them.
    """

    def __init__(self, binaries, directory, engines=12, services=3, nodes=6, policy="prefix",
                 engine_args=(), list_lag_ms=1000, node_settings=None):
        self.binaries = pathlib.Path(binaries)
        self.directory = pathlib.Path(directory)
        self.engine_args = [str(argument) for argument in engine_args]
        self.list_lag_ms = list_lag_ms
        self.policy = policy
        self.node_settings = node_settings or {}
        base = f"127.{random.randint(1, 254)}.{random.randint(0, 255)}"
        self.platform = f"{base}.{PLATFORM_HOST}"
        self.vms = []
        for index in range(engines):
            address = f"{base}.{ENGINE_HOST_BASE + index}:{BACKEND_PORT}"
            self._add_vm(f"runner-{index + 1}", "runner", "models", index, address)
        for index in range(services):
            address = f"{base}.{SERVICE_HOST_BASE + index}:{BACKEND_PORT}"
            self._add_vm(f"application-{index + 1}", "application", "application", index, address)
        for index in range(nodes):
            address = f"{base}.{NODE_HOST_BASE + index}:{PEER_PORT}"
            self._add_vm(f"entry-{index + 1}", "entry", "entry", index, address)
        self.processes = {}

    def _add_vm(self, name, kind, pool, index, address):
        self.vms.append({
            "name": name, "kind": kind, "pool": pool, "address": address,
            "data_center": DATA_CENTERS[index % len(DATA_CENTERS)],
            "machine_class": "standard", "reclaimable": True, "leaving": False,
        })

    def __enter__(self):
        # On a termination signal, exit through __exit__ so that no child process is left.
        for signal_number in (signal.SIGTERM, signal.SIGINT):
            signal.signal(signal_number, lambda *_: sys.exit("terminated by a signal"))
        try:
            self._start()
        except BaseException:
            self.stop()
            raise
        return self

    def __exit__(self, *_):
        self.stop()

    def _start(self):
        self.directory.mkdir(parents=True, exist_ok=True)
        examples = self.binaries / "examples"
        self._spawn("platform", [examples / "platform", "--address",
                                 f"{self.platform}:{PLATFORM_PORT}",
                                 "--list-lag-ms", self.list_lag_ms])
        for number, vm in enumerate(self.vms):
            arguments = ["--address", vm["address"], "--vm", vm["name"]]
            if vm["kind"] == "runner":
                engine_options = ["--seed", number + 1, *self.engine_args]
                self._spawn(vm["name"], [examples / "engine", *arguments, *engine_options])
            if vm["kind"] == "application":
                self._spawn(vm["name"], [examples / "service", *arguments])
        self._wait_for(lambda: self._responds(self.cloud, "/counters"), "the platform")
        for vm in self.vms_of_kind("runner") + self.vms_of_kind("application"):
            self._wait_for(lambda: self._responds(vm["address"], "/v1/load"), vm["name"])
        request(self.cloud, "PUT", "/control/vms", self.vms)
        for vm in self.vms_of_kind("entry"):
            settings = self.directory / f"{vm['name']}.ini"
            settings.write_text(self._format_settings(vm))
            self._spawn(vm["name"], [self.binaries / "filbertlead", "--settings", settings])

    def _spawn(self, name, command):
        log = open(self.directory / f"{name}.log", "w")
        command = [str(part) for part in command]
        self.processes[name] = subprocess.Popen(command, stdin=subprocess.DEVNULL, stdout=log,
                                                stderr=subprocess.STDOUT)
        log.close()

    def _format_settings(self, vm):
        ip = vm["address"].split(":")[0]
        seeds = [other["address"].split(":")[0] for other in self.vms_of_kind("entry")[:3]]
        sections = {
            "node": {"vm": vm["name"], "data_center": vm["data_center"], "region": "region-1"},
            "listen": {"callers": f"{ip}:{CALLERS_PORT}", "peer": f"{ip}:{PEER_PORT}",
                       "gossip": f"{ip}:{GOSSIP_PORT}", "admin": f"{ip}:{ADMIN_PORT}"},
            "platform": {"table": self.table, "objects": self.objects, "vm_list": self.cloud,
                         "cloud": self.cloud, "weights": f"{self.platform}:{PLATFORM_PORT + 3}"},
            "fleet": {"key_hex": FLEET_KEY_HEX,
                      "seeds": ", ".join(f"{seed}:{GOSSIP_PORT}" for seed in seeds)},
            "routing": {"policy": self.policy},
            "log": {"level": "warn"},
        }
        for section, values in self.node_settings.items():
            sections.setdefault(section, {}).update(values)
        lines = []
        for section, values in sections.items():
            lines.append(f"[{section}]")
            lines += [f"{key} = {value}" for key, value in values.items()]
        return "\n".join(lines) + "\n"

    @property
    def table(self):
        return f"{self.platform}:{PLATFORM_PORT}"

    @property
    def objects(self):
        return f"{self.platform}:{PLATFORM_PORT + 1}"

    @property
    def cloud(self):
        return f"{self.platform}:{PLATFORM_PORT + 2}"

    def vms_of_kind(self, kind):
        return [vm for vm in self.vms if vm["kind"] == kind]

    def node_address(self, vm, port):
        return f"{vm['address'].split(':')[0]}:{port}"

    def caller_addresses(self):
        return [self.node_address(vm, CALLERS_PORT) for vm in self.vms_of_kind("entry")]

    def admin_addresses(self):
        return [self.node_address(vm, ADMIN_PORT) for vm in self.vms_of_kind("entry")]

    def push(self, configuration):
        """Pushes a configuration with `filbertctl push` and waits until it is in force."""
        for admin in self.admin_addresses():
            self._wait_for(lambda: self._responds(admin, "/healthz"), f"the node at {admin}")
        path = self.directory / "configuration.ini"
        path.write_text(configuration)
        command = [self.binaries / "filbertctl", "push", path, "--wait", "--table", self.table,
                   "--objects", self.objects]
        for admin in self.admin_addresses():
            command += ["--admin", admin]
        subprocess.run([str(part) for part in command], check=True)

    def wait_ready(self):
        """Waits until every node is ready and sees all nodes and backend servers."""
        for admin in self.admin_addresses():
            self._wait_for(lambda: self._is_ready(admin), f"the node at {admin}")

    def _is_ready(self, admin):
        try:
            page = json.loads(request(admin, "GET", "/status")[1])
        except (OSError, ValueError):
            return False
        healthy = sum(count["healthy"] for count in page["backends"] if count["kind"] != "entry")
        backends = len(self.vms_of_kind("runner")) + len(self.vms_of_kind("application"))
        peers = len(self.vms_of_kind("entry"))
        return page["ready"] and len(page["members"]) >= peers and healthy >= backends

    def _responds(self, address, path):
        try:
            return request(address, "GET", path)[0] == 200
        except OSError:
            return False

    def _wait_for(self, condition, what):
        deadline = time.monotonic() + READY_TIMEOUT_S
        while not condition():
            self._check_processes()
            if time.monotonic() > deadline:
                raise RuntimeError(f"{what} is not ready; see the logs in {self.directory}")
            time.sleep(POLL_INTERVAL_S)

    def _check_processes(self):
        for name, process in self.processes.items():
            if process.poll() is not None:
                log = (self.directory / f"{name}.log").read_text()
                raise RuntimeError(f"{name} exited with code {process.returncode}: {log}")

    def announce_reclaim(self, vms, notice_s):
        """Announces the reclaim of VMs; engines also report it themselves and exit at that time."""
        leaving_at_ms = int((time.time() + notice_s) * 1000)
        for vm in vms:
            notice = {"vm": vm["name"], "leaving_at_ms": leaving_at_ms}
            request(self.cloud, "POST", "/control/notices", notice)
        for vm in vms:
            if vm["kind"] == "runner":
                request(vm["address"], "PUT", "/faults", {"reclaim_in_ms": int(notice_s * 1000)})

    def reclaim(self, vms):
        """Kills the processes of reclaimed VMs and removes the VMs from the list."""
        for vm in vms:
            process = self.processes.pop(vm["name"])
            process.kill()
            process.wait()
        names = {vm["name"] for vm in vms}
        self.vms = [vm for vm in self.vms if vm["name"] not in names]
        request(self.cloud, "PUT", "/control/vms", self.vms)

    def stop(self):
        """Ends all processes that this fleet started; kills those that do not exit in time."""
        for process in self.processes.values():
            process.terminate()
        deadline = time.monotonic() + STOP_TIMEOUT_S
        for process in self.processes.values():
            try:
                process.wait(max(0.1, deadline - time.monotonic()))
            except subprocess.TimeoutExpired:
                process.kill()
                process.wait()
        self.processes = {}
