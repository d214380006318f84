"""The node processes of the soak test, and the cluster of all its parts."""

import collections
import http.client
import json
import signal
import subprocess
import threading
import time

import links
import upstreams
from addresses import free_ports, node_address
from engine_link import LinkLoop, StoreView
from odd_names import write_odd_names

TIMEOUT_MS = 5_000
STOP_LIMIT_S = 8.0
LEASE_S = 3
START_LIMIT_S = 30.0
STORE_PAGE_SIZE = 10
# Signals sent earlier after the start may arrive while the program is being linked, before it can hold them.
STARTUP_GRACE_S = 0.1
RETRY_SLACK = 50
RETRY_RATIO = 0.2
RETRY_WINDOW_S = 10
# One node in so many cannot be partitioned from the upstreams, so that there is a relay.
NODES_PER_RELAY = 4


class Node:
    """An entry node process with its own loopback address and fault link to the store.

    It is killed, paused and terminated by signals to its process id only.
    """

    def __init__(self, cluster, number):
        self.cluster, self.name, self.ip = cluster, f"n{number}", node_address(number + 1)
        # The store with this node's own links to the upstreams; none for a node that is never partitioned.
        self.view = cluster.create_view() if (number + 1) % NODES_PER_RELAY else None
        store = self.view or cluster.store
        self.store_link = links.FaultLink(f"store-link-{number}", store.address, cluster.directory)
        self.disturbances, self.partitions = links.Disturbances(), links.Disturbances()
        self.shutdown_failures = []
        self.sigterm_times = []
        self.state = "none"
        seeds = json.dumps([f"{node_address(other + 1)}:1" for other in range(min(3, cluster.node_count))])
        ports = cluster.ports
        self.settings = cluster.directory / f"{self.name}-settings.json"
        self.settings.write_text(f"""// Settings of the soak.
{{"name": "{self.name}", "availability_zone": "z{number % 2}", "listen_callers": "{self.ip}:{ports[0]}",
 "listen_readiness": "{self.ip}:{ports[1]}", "peer_port": {ports[2]}, "seeds": {seeds},
 "store": "{self.store_link.address}", "upstreams_check_tokens": true, "lease_time_s": {LEASE_S},
 "retry_ratio": {RETRY_RATIO}, "retry_slack": {RETRY_SLACK}, "retry_window_s": {RETRY_WINDOW_S},
 "stop_timeout_s": {STOP_LIMIT_S}}}""")

    def start(self):
        log = open(self.cluster.directory / f"{self.name}.log", "a", encoding="utf-8")
        with log:
            self.process = subprocess.Popen([links.BINARIES / "lagoonsaddled", "entry", f"--settings={self.settings}"],
                                            stdout=log, stderr=log)
        if self.state != "none":
            self.disturbances.end()
        self.state = "running"
        self.started_at = time.monotonic()

    def begin_disturbance(self, state):
        self.disturbances.begin()
        self.state = state

    def kill(self):
        self.begin_disturbance("killed")
        self.process.kill()
        self.process.wait()

    def pause(self):
        self.begin_disturbance("paused")
        self.process.send_signal(signal.SIGSTOP)

    def resume(self):
        self.process.send_signal(signal.SIGCONT)
        self.state = "running"
        self.disturbances.end()

    def partition(self, how):
        """Cuts the links to all upstreams."""
        self.partitions.begin()
        self.view.cut(how)

    def heal(self):
        self.view.heal()
        self.partitions.end()

    def terminate(self):
        self.sigterm_times.append(time.monotonic())
        self.begin_disturbance("stopping")
        self.process.send_signal(signal.SIGTERM)

    def reload(self):
        """Says that the settings have changed, unless the process is not there or is being linked."""
        if self.state in ("running", "stopping") and self.started_at < time.monotonic() - STARTUP_GRACE_S:
            self.process.send_signal(signal.SIGHUP)

    def check_alive(self):
        """Records a process that has ended by itself, and starts it again."""
        if self.state == "running" and self.process.poll() is not None:
            self.shutdown_failures.append(f"{self.name}: ended by itself with status {self.process.returncode}")
            self.disturbances.begin()
            self.start()

    def restart_after_termination(self):
        remaining_s = self.sigterm_times[-1] + STOP_LIMIT_S - time.monotonic()
        try:
            status = self.process.wait(max(remaining_s, 0.0))
        except subprocess.TimeoutExpired:
            self.process.kill()
            self.process.wait()
            status = None
        if status != 0:
            self.shutdown_failures.append(f"{self.name}: exit status {status} {STOP_LIMIT_S} s after SIGTERM")
        self.start()

    def close(self):
        if self.process.poll() is None:
            self.process.kill()
        self.process.wait()
        self.store_link.close()
        if self.view:
            self.view.shutdown()
            self.view.server_close()


class Partition:
    """A time in which some nodes reach no upstream."""

    def __init__(self, nodes, how):
        self.nodes, self.begin, self.end = nodes, time.monotonic(), None
        for node in nodes:
            node.partition(how)

    def heal(self):
        for node in self.nodes:
            node.heal()
        self.end = time.monotonic()


class BrittlePeriod:
    """A time in which the engines state that they are brittle, with the falls of engines and what they refused before."""

    def __init__(self):
        self.begin, self.falls = time.monotonic(), []


class Cluster:
    """The store, links, engines, services and nodes of one seed."""

    def __init__(self, directory, nodes, engines):
        self.directory, self.node_count, self.engine_count = directory, nodes, engines
        self.nodes, self.engines, self.services = [], [], []
        self.versions = collections.defaultdict(lambda: 1)
        # Time, adapter and version of each announcement.
        self.announcements = []
        self.store_disturbances = links.Disturbances()
        self.ports = free_ports(3)
        self.configurations = []
        self.probes = set()
        self.timers = []
        self.crashing_parts = set()
        # Requests whose answers without length and chunks ended early: nothing shows that when it is between two events.
        self.unmarked_ends = set()
        # When requests with a crashing part reached an engine, with their ids, and when engines crashed on them.
        self.part_arrivals, self.part_crash_times = [], []
        self.node_links, self.partitions, self.brittle_periods = LinkLoop(), [], []

    @property
    def upstreams(self):
        return self.engines + self.services

    def start(self):
        """Starts all parts and waits until all nodes are ready."""
        self.store = upstreams.standin.Store()
        self.store.page_size = STORE_PAGE_SIZE
        write_odd_names(self.store)
        self.engines = [upstreams.Engine(self, number) for number in range(self.engine_count)]
        self.services = [upstreams.Service(self, number) for number in range(3)]
        self.write_next_configuration()
        for number in range(self.node_count):
            self.nodes.append(Node(self, number))
            self.nodes[-1].start()
        end = time.monotonic() + START_LIMIT_S
        while not all(self.is_ready(node) for node in self.nodes):
            if time.monotonic() > end:
                raise RuntimeError(f"the nodes are not ready after {START_LIMIT_S} s; logs in {self.directory}")
            time.sleep(0.1)

    def create_view(self):
        """Returns the store as one node sees it, with links of its own to all upstreams."""
        view = StoreView(self.store, self.node_links, [upstream.link.address for upstream in self.upstreams])
        for upstream, link in zip(self.upstreams, view.links):
            upstream.link.node_links.append(link)
        return view

    def is_ready(self, node):
        """Returns whether the readiness endpoint of a node answers 200."""
        connection = http.client.HTTPConnection(node.ip, self.ports[1], timeout=2)
        try:
            connection.request("GET", "/-/readiness")
            return connection.getresponse().status == 200
        except OSError:
            return False
        finally:
            connection.close()

    def write_next_configuration(self):
        """Writes the next configuration; the path of the route `moving` differs in each one."""
        version = len(self.configurations) * 3 + 1
        moving_path = f"/v{version}/"
        base = {"host": "h", "timeoutMs": TIMEOUT_MS, "targetLatencyMs": 1000, "maxAttempts": 2}
        routes = [{**base, "name": "stream", "pathPrefix": "/stream/", "kind": "streaming", "service": "llm"},
                  {**base, "name": "resumable", "pathPrefix": "/resumable/", "kind": "streaming", "service": "llm",
                   "resumable": True},
                  {**base, "name": "safe", "pathPrefix": "/safe/", "kind": "safe", "service": "plain"},
                  {**base, "name": "unsafe", "pathPrefix": "/unsafe/", "kind": "unsafe", "service": "plain"},
                  {**base, "name": "moving", "pathPrefix": moving_path, "kind": "safe", "service": "plain"}]
        services = [{"name": "llm", "maxConnections": 64, "engine": {
            "adapterSlots": 3, "loadsPerS": 2, "models": [{"name": "m", "loadS": 1}]}},
                    {"name": "plain", "maxConnections": 64}]
        self.configuration = {"version": version, "routes": routes, "services": services}
        self.put_configuration()
        self.configurations.append((time.monotonic(), moving_path))

    def put_configuration(self):
        self.store.put("config", "main", self.configuration)

    def put_version(self, name, version):
        self.store.put("versions", f"m.{name}", {"model": "m", "adapter": name, "version": version})

    def announce_next_version(self, number):
        """Announces the next version of the adapter with this number."""
        name = f"a{number}"
        self.versions[name] += 1
        self.put_version(name, self.versions[name])
        self.announcements.append((time.monotonic(), name, self.versions[name]))

    def set_store_unavailable(self, unavailable):
        """Makes the store answer 503, or serve again."""
        self.store.unavailable = unavailable
        if unavailable:
            self.store_disturbances.begin()
        else:
            self.store_disturbances.end()

    def restore_store(self, copy, outage_s, rewrite_s):
        """Takes the store away and brings it back from a copy; operator and upstreams write again `rewrite_s` later."""
        self.store_disturbances.begin()
        self.store.unavailable = True
        self.call_later(outage_s, lambda: self.finish_restore(copy))
        self.call_later(outage_s + rewrite_s, self.write_lost_objects)

    def finish_restore(self, copy):
        self.store.restore(copy)
        self.store.unavailable = False
        self.call_later(upstreams.ENTRY_EXPIRY_S, self.expire_entries)

    def expire_entries(self):
        """Removes the entries of upstreams that are gone and that the restored store has again."""
        alive = {upstream.name for upstream in self.upstreams}
        for kind, name in list(self.store.objects):
            if kind == "servers" and name not in alive:
                self.store.put(kind, name, None)

    def write_lost_objects(self):
        """Writes what the operator and the upstreams have written last, as the store may have lost it."""
        for engine in self.engines:
            if engine.running:
                engine.publish_entry(engine.state)
        for service in self.services:
            service.publish_entry()
        for name, version in dict(self.versions).items():
            if version > 1:
                self.put_version(name, version)
        self.put_configuration()
        self.store_disturbances.end()

    def call_later(self, seconds, action):
        """Calls `action` after some seconds, unless the cluster is closed before."""
        timer = threading.Timer(seconds, action)
        timer.daemon = True
        self.timers.append(timer)
        timer.start()

    def restore(self):
        """Ends the store outage, restarts crashed engines and replaces draining ones."""
        self.store.unavailable = False
        self.end_brittle_period()
        for upstream in self.upstreams:
            upstream.end_limit()
        self.crashing_parts.clear()
        for engine in self.engines:
            engine.answer_fault = ""
            engine.restart()
            if engine.state != "ready" or engine.states_leaving:
                engine.replace()

    def begin_brittle_period(self):
        """Lets all engines state that they are brittle."""
        self.brittle_periods.append(BrittlePeriod())
        for engine in self.engines:
            engine.brittle_period = self.brittle_periods[-1]

    def end_brittle_period(self):
        for engine in self.engines:
            engine.brittle_period = None

    def count_serving(self, version):
        """Returns the number of engines that take requests at a software version."""
        return sum(engine.running and engine.state == "ready" and not engine.states_leaving and
                   engine.software_version == version for engine in self.engines)

    def out_of_touch(self, begin, end, node):
        """Returns whether a fault affected the store or the node, engines apart."""
        return any(item.overlaps(begin, end) for item in
                   (self.store_disturbances, node.disturbances, node.store_link.disturbances))

    def partitioned(self, begin, end):
        """Returns whether a node was partitioned from the upstreams."""
        return any(node.partitions.overlaps(begin, end) for node in self.nodes)

    def disturbed(self, begin, end, node=None):
        """Returns whether a fault affected the store, an upstream link or the node (any node without `node`)."""
        nodes = [node] if node else self.nodes
        disturbances = [self.store_disturbances, *(upstream.link.disturbances for upstream in self.upstreams)]
        disturbances += [item for each in nodes for item in (each.disturbances, each.store_link.disturbances)]
        return any(item.overlaps(begin, end) for item in disturbances)

    def close(self):
        """Stops the timers, node processes, links, upstreams and the store."""
        for timer in self.timers:
            timer.cancel()
        for node in self.nodes:
            node.close()
        self.node_links.stop()
        for upstream in self.upstreams:
            upstream.link.close()
            upstream.shutdown()
            upstream.server_close()
        self.store.shutdown()
        self.store.server_close()
