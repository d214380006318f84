"""Starts stand-ins and nodes as processes on loopback, for the demo, the benchmarks and the integration tests."""

import http.client
import json
import os
import pathlib
import secrets
import shutil
import signal
import subprocess
import tempfile
import threading
import time
from dataclasses import dataclass, field

ROOT = pathlib.Path(__file__).resolve().parent.parent
START_TIMEOUT_S = 30.0
POLL_S = 0.02


def request(port, method, path, body=None, headers=None, timeout=30.0):
    """Sends one HTTP request to a local port; returns status, headers with lower-case names, and the body as text."""
    connection = http.client.HTTPConnection("127.0.0.1", port, timeout=timeout)
    try:
        payload = json.dumps(body) if isinstance(body, (dict, list)) else body
        connection.request(method, path, payload, headers or {})
        response = connection.getresponse()
        return response.status, dict((k.lower(), v) for k, v in response.getheaders()), response.read().decode()
    finally:
        connection.close()


def request_json(port, method, path, body=None, headers=None, timeout=30.0):
    """Like `request`, with the body parsed as JSON; None for an empty body."""
    status, fields, text = request(port, method, path, body, headers, timeout)
    return status, fields, json.loads(text) if text else None


def wait_until(condition, timeout=START_TIMEOUT_S, what="condition"):
    """Polls until the condition returns a true value and returns it; raises TimeoutError after `timeout` seconds."""
    end = time.monotonic() + timeout
    while True:
        value = condition()
        if value:
            return value
        if time.monotonic() >= end:
            raise TimeoutError(f"{what} did not become true within {timeout} s")
        time.sleep(POLL_S)


class Process:
    """A child process that prints its ports on the first lines of its output. The standard error goes to a log file."""

    def __init__(self, name, command, log_directory):
        self.name = name
        self.command = [str(part) for part in command]
        self.log = open(pathlib.Path(log_directory) / f"{name}.log", "ab")
        self.popen = subprocess.Popen(
            self.command, stdin=subprocess.DEVNULL, stdout=subprocess.PIPE, stderr=self.log)
        self.first_line = self._read_ready_line()

    def _read_ready_line(self):
        line = self.popen.stdout.readline().decode().strip()
        if line.startswith("control on"):
            # A fault proxy prints the address of its control interface first.
            line = f"{self.popen.stdout.readline().decode().strip()} {line}"
        if not line.startswith("listening"):
            self.stop(signal.SIGKILL)
            raise RuntimeError(f"{self.name} did not start, its first line is {line!r}; see its log")
        return line

    def stop(self, signal_number=signal.SIGTERM, timeout=30.0):
        """Sends a signal and waits for the exit; returns the exit status."""
        if self.popen.poll() is None:
            self.popen.send_signal(signal_number)
        return self.wait(timeout)

    def wait(self, timeout=30.0):
        """Waits for the exit and returns the exit status; a process that does not end in time is killed."""
        try:
            status = self.popen.wait(timeout)
        except subprocess.TimeoutExpired:
            self.popen.kill()
            status = self.popen.wait()
        self.popen.stdout.close()
        self.log.close()
        return status

    def kill(self):
        """Sends SIGKILL and waits for the exit; returns the exit status."""
        return self.stop(signal.SIGKILL)

    def pause(self):
        """Sends SIGSTOP."""
        self.popen.send_signal(signal.SIGSTOP)

    def resume(self):
        """Sends SIGCONT."""
        self.popen.send_signal(signal.SIGCONT)


class Standin(Process):
    """A stand-in process and its control interface."""

    def __init__(self, name, kind, options, binaries, log_directory):
        command = [binaries / "lagoonsaddle_standin", kind]
        command += [f"--{key}={value}" if value is not True else f"--{key}" for key, value in options.items()]
        super().__init__(name, command, log_directory)
        endpoints = [part for part in self.first_line.replace("=", " ").split() if ":" in part]
        self.port = int(endpoints[0].rsplit(":", 1)[1])
        self.control_port = int(endpoints[-1].rsplit(":", 1)[1])

    def set_faults(self, **values):
        """Sets faults by their names; raises RuntimeError when the stand-in refuses them."""
        status, _, text = request(self.control_port, "POST", "/faults", values)
        if status != 200:
            raise RuntimeError(f"{self.name} refused the faults {values}: {text}")

    def counters(self):
        """Returns the counters of the stand-in since its start."""
        return request_json(self.control_port, "GET", "/counters")[2]


class Node(Process):
    """A node process, started with the given settings."""

    def __init__(self, name, settings, binaries, log_directory):
        self.settings = settings
        path = pathlib.Path(log_directory) / f"{name}.json"
        path.write_text(json.dumps(settings, indent=2))
        super().__init__(name, [binaries / "lagoonsaddled", f"--settings={path}"], log_directory)
        ports = dict(part.split("=") for part in self.first_line.split()[1:])
        self.port = int(ports["caller_api"])
        self.peer_port = int(ports["peer"])
        self.membership_port = int(ports["membership"])
        self.operator_port = int(ports.get("operator_api", 0))

    def is_ready(self):
        """Returns whether /readyz answers 200."""
        try:
            return request(self.port, "GET", "/readyz", timeout=5.0)[0] == 200
        except OSError:
            return False


@dataclass
class FleetOptions:
    """Size and settings of a fleet. `node_settings` is merged into the settings of each node.

    Services run only in `service_zones`, or in all zones when it is empty.
    """

    zones: tuple = ("maradana", "dehiwala", "kotte")
    nodes_per_zone: int = 1
    engines_per_zone: int = 3
    services_per_zone: int = 1
    service_zones: tuple = ()
    service: str = "scheduling"
    base_model: str = "base"
    engine: dict = field(default_factory=dict)
    weight_store: dict = field(default_factory=dict)
    node_settings: dict = field(default_factory=dict)
    ignore_fencing: bool = False
    object_store_proxy: bool = False
    build_directory: str = os.environ.get("LAGOONSADDLE_BUILD", str(ROOT / "build"))


class Fleet:
    """Stand-ins and nodes. Used as a context manager, it ends all its processes; it prints where their logs are
    when the block raises."""

    def __init__(self, options=None):
        self.options = options or FleetOptions()
        self.binaries = pathlib.Path(self.options.build_directory) / "bin"
        self.directory = pathlib.Path(tempfile.mkdtemp(prefix="lagoonsaddle-"))
        self.token = secrets.token_hex(16)
        self.token_file = self.directory / "operator-token"
        self.token_file.write_text(self.token + "\n")
        self.processes = []
        self.nodes = {}
        self.engines = {}
        self.services = {}

    def __enter__(self):
        try:
            self.start()
        except BaseException:
            self.stop(keep_logs=True)
            raise
        return self

    def __exit__(self, exception_type, exception, traceback):
        self.stop(keep_logs=exception_type is not None)

    def start(self):
        """Starts all processes and waits until all nodes are ready and all upstreams have an owner."""
        self.object_store = self.start_standin("object_store", "object_store", {})
        self.vm_list = self.start_standin("vm_list", "vm_list", {"lag-ms": 0})
        self.weight_store = self.start_standin("weight_store", "weight_store", self.options.weight_store)
        self.object_store_port = self.object_store.port
        if self.options.object_store_proxy:
            self.object_store_proxy = self.start_standin(
                "object_store_proxy", "fault_proxy", {"target": f"127.0.0.1:{self.object_store.port}"})
            self.object_store_port = self.object_store_proxy.port
        for zone in self.options.zones:
            for index in range(self.options.engines_per_zone):
                self.add_engine(f"engine-{zone}-{index}", zone)
            has_services = not self.options.service_zones or zone in self.options.service_zones
            for index in range(self.options.services_per_zone if has_services else 0):
                self.add_service(f"{self.options.service}-{zone}-{index}", zone)
        for zone in self.options.zones:
            for index in range(self.options.nodes_per_zone):
                self.add_node(f"node-{zone}-{index}", zone)
        self.wait_until_ready()

    def stop(self, keep_logs=False):
        """Kills all processes; removes the logs unless `keep_logs` is set."""
        for process in reversed(self.processes):
            if process.popen.poll() is None:
                process.popen.send_signal(signal.SIGCONT)
                process.stop(signal.SIGKILL)
        if keep_logs:
            print(f"logs: {self.directory}")
        else:
            shutil.rmtree(self.directory, ignore_errors=True)

    def start_standin(self, name, kind, options):
        """Starts a stand-in process that ends with the fleet."""
        process = Standin(name, kind, options, self.binaries, self.directory)
        self.processes.append(process)
        return process

    def add_engine(self, name, zone, **overrides):
        """Starts an engine and adds it to the VM list."""
        options = {"name": name, "weight-store": f"127.0.0.1:{self.weight_store.port}", **self.options.engine,
                   **overrides}
        if self.options.ignore_fencing:
            options["ignore-fencing"] = True
        engine = self.start_standin(name, "engine", options)
        engine.zone = zone
        self.engines[name] = engine
        checks_fencing_token = "false" if "ignore-fencing" in options else "true"
        self.put_vm(name, engine.port, zone, "engine",
                     {"base_model": self.options.base_model, "checks_fencing_token": checks_fencing_token})
        return engine

    def add_reference_engine(self, adapter="reference", version="v1"):
        """Starts an engine outside the VM list with one adapter loaded; tests take expected responses from it."""
        engine = self.start_standin("reference-engine", "engine", {"name": "reference", "load-ms": 0, "step-ms": 1})
        order = {"order": "load_adapter", "adapter": adapter, "version": version, "fencing_token": 1}
        status, _, text = request(engine.port, "POST", "/orders", order)
        if status != 200:
            raise RuntimeError(f"the reference engine refused to load: {text}")
        return engine

    def add_service(self, name, zone):
        """Starts a plain service and adds it to the VM list."""
        service = self.start_standin(name, "service", {})
        service.zone = zone
        self.services[name] = service
        self.put_vm(name, service.port, zone, "service", {"service": self.options.service})
        return service

    def put_vm(self, name, port, zone, kind, labels, state="live"):
        """Writes the row of a VM in the VM list."""
        row = {"address": "127.0.0.1", "port": port, "availability_zone": zone, "state": state, "kind": kind,
               "labels": labels}
        status, _, text = request(self.vm_list.port, "PUT", f"/vms/{name}", row)
        if status != 200:
            raise RuntimeError(f"the VM list refused {name}: {text}")

    def add_node(self, name, zone):
        """Starts a node and adds it to the VM list."""
        listen = {"address": "127.0.0.1", "port": 0}
        settings = {
            "node": {"name": name, "availability_zone": zone, "threads": 4},
            "caller_api": dict(listen),
            "operator_api": {**listen, "token_file": str(self.token_file)},
            "peer": dict(listen),
            "membership": dict(listen),
            "seeds": [f"127.0.0.1:{node.membership_port}" for node in self.nodes.values()],
            "platform": {
                "object_store": f"127.0.0.1:{self.object_store_port}",
                "vm_list": f"127.0.0.1:{self.vm_list.port}",
                "vm_list_refresh_ms": 500,
            },
        }
        for group, values in self.options.node_settings.items():
            if isinstance(values, dict):
                settings.setdefault(group, {}).update(values)
            else:
                settings[group] = values
        node = Node(name, settings, self.binaries, self.directory)
        node.zone = zone
        self.processes.append(node)
        self.nodes[name] = node
        self.put_vm(name, node.membership_port, zone, "entry", {})
        return node

    def remove_node(self, name):
        """Removes a node that has ended, so that new nodes do not use it as a seed."""
        self.nodes.pop(name)
        request(self.vm_list.port, "DELETE", f"/vms/{name}")

    def wait_until_ready(self, timeout=START_TIMEOUT_S):
        """Waits until all nodes are ready and the ownership objects name each upstream."""
        wait_until(lambda: all(node.is_ready() for node in self.nodes.values()), timeout, "readiness of all nodes")
        wait_until(self._upstreams_owned, timeout, "ownership of all upstreams")

    def operator_headers(self):
        """Returns the request headers for the operator interface."""
        return {"authorization": f"Bearer {self.token}", "content-type": "application/json"}

    def owners(self, zone):
        """Returns the owner of each upstream by the ownership object of a zone; empty when it cannot be read."""
        status, _, text = request(self.object_store.port, "GET", f"/objects/ownership/{zone}")
        if status != 200:
            return {}
        return {name: entry["owner"] for name, entry in json.loads(text)["upstreams"].items()}

    def _upstreams_owned(self):
        owned = set()
        for zone in self.options.zones:
            status, _, text = request(self.object_store.port, "GET", f"/objects/ownership/{zone}")
            if status == 200:
                owned |= {name for name in [*self.engines, *self.services] if f'"{name}"' in text}
        return owned == {*self.engines, *self.services}
