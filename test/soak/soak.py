#!/usr/bin/env python3
"""Randomized fault-injection soak test of entry node processes against stand-ins for the platform.

Usage: soak.py [--seeds=LIST] [--seconds=N] [--nodes=N] [--engines=N] [--fresh=MINUTES] [--keep=DIRECTORY]

LIST is like 1-50 or 3,7; without it, the regression seeds of this file run. --fresh runs random seeds for MINUTES.
A seed fixes the order, targets and durations of the faults, but not the interleaving of the processes.
The exit status is 1 when an invariant was violated; the logs of that seed are kept then.
"""

import argparse
import pathlib
import random
import shutil
import sys
import tempfile
import time

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parent))

import callers  # noqa: E402
import promises  # noqa: E402
import upstreams  # noqa: E402
import world  # noqa: E402

# Seeds that failed before, with the cause of the failure.
REGRESSION_SEEDS = {
    5: "crashes of engines on requests that a peer relays were not recorded",
    6: "broken connections to live upstreams counted as crashes: all nodes refused a request that many callers send",
}
RECOVERY_LIMIT_S = 15.0
LINK_FLUSH_S = 4.5


class Faults:
    """Injects randomly drawn faults and ends each after its drawn duration. Faults may overlap."""

    def __init__(self, cluster, seed):
        self.cluster, self.rng = cluster, random.Random(seed)
        # Draws of its own, so that series of versions leave the other faults of a seed as they are.
        self.series_rng = random.Random(f"series {seed}")
        self.pending_ends = []
        self.kinds = [
            (self.kill_node, 3), (self.pause_node, 3), (self.stop_node, 3), (self.harm_engine_link, 4),
            (self.harm_store_link, 4), (self.store_down, 1), (self.crash_engine, 3), (self.drain_engine, 2),
            (self.slow_engine, 2), (self.failing_service, 2), (self.new_configuration, 3), (self.new_version, 2),
            (self.kill_all, 1), (self.restore_store, 3), (self.limit_upstream, 3), (self.crash_on_part, 2),
            (self.spoil_answers, 4), (self.partition_nodes, 3), (self.make_engines_brittle, 2), (self.silence_engine, 3), (self.reload_nodes, 2)]

    def step(self):
        """Ends the faults that are due and injects one to three faults of one kind."""
        now = time.monotonic()
        due = [entry for entry in self.pending_ends if entry[0] <= now]
        self.pending_ends = [entry for entry in self.pending_ends if entry[0] > now]
        for _, end in due:
            end()
        for node in self.cluster.nodes:
            node.check_alive()
        fault = self.rng.choices([kind for kind, _ in self.kinds], [weight for _, weight in self.kinds])[0]
        for _ in range(self.rng.choice([1, 1, 1, 2, 3])):
            fault()

    def finish(self):
        """Ends all faults."""
        for _, end in self.pending_ends:
            end()
        self.pending_ends = []

    def end_after(self, seconds, end):
        """Schedules `end` for the first `step` after the given time, or for `finish`."""
        self.pending_ends.append((time.monotonic() + seconds, end))

    def draw_running_node(self):
        """Draws a running node that can be sent signals; returns None when there is none."""
        started_before = time.monotonic() - world.STARTUP_GRACE_S
        nodes = [node for node in self.cluster.nodes if node.state == "running" and node.started_at < started_before]
        return self.rng.choice(nodes) if nodes else None

    def kill_node(self):
        if node := self.draw_running_node():
            node.kill()
            self.end_after(self.rng.uniform(0.1, 2.0), node.start)

    def kill_all(self):
        for node in self.cluster.nodes:
            if node.state == "running":
                node.kill()
                self.end_after(0.3, node.start)

    def pause_node(self):
        if node := self.draw_running_node():
            node.pause()
            self.end_after(self.rng.uniform(0.2, 4.0), node.resume)

    def stop_node(self):
        if node := self.draw_running_node():
            node.terminate()
            self.end_after(world.STOP_LIMIT_S + self.rng.uniform(0.1, 1.0), node.restart_after_termination)

    def reload_nodes(self):
        """Sends SIGHUP in series, also to nodes that have just started or are stopping."""
        for _ in range(self.rng.choice([1, 3, 10])):
            self.rng.choice(self.cluster.nodes).reload()

    def inject_link_fault(self, link):
        fault = self.rng.choice([
            {"cut": True}, {"freeze": True}, {"half_open": True}, {"drop_answers": True},
            {"delay_ms": self.rng.choice([20, 200, 1500])}])
        link.inject_fault(fault)
        self.end_after(self.rng.uniform(0.3, 4.0), link.clear_faults)

    def harm_engine_link(self):
        self.inject_link_fault(self.rng.choice(self.cluster.upstreams).link)

    def harm_store_link(self):
        self.inject_link_fault(self.rng.choice(self.cluster.nodes).store_link)

    def store_down(self):
        self.cluster.set_store_unavailable(True)
        self.end_after(self.rng.uniform(0.5, 5.0), lambda: self.cluster.set_store_unavailable(False))

    def restore_store(self):
        copy = self.cluster.store.copy()
        outage_s, rewrite_s = self.rng.uniform(0.1, 1.5), self.rng.uniform(0.1, 3.0)
        self.end_after(self.rng.uniform(0.5, 5.0), lambda: self.cluster.restore_store(copy, outage_s, rewrite_s))

    def crash_engine(self):
        engine = self.rng.choice(self.cluster.engines)
        engine.crash(same_id=self.rng.random() < 0.5)
        version = self.rng.choice(upstreams.SOFTWARE_VERSIONS)
        self.end_after(self.rng.uniform(0.5, 3.0), lambda: engine.restart(version))

    def drain_engine(self):
        engine = self.rng.choice(self.cluster.engines)
        if engine.drain(announce=self.rng.random() < 0.6):
            self.end_after(self.rng.uniform(3.0, 5.0), engine.replace)

    def limit_upstream(self):
        upstream = self.rng.choice(self.cluster.upstreams)
        upstream.end_limit()
        upstream.name_limit(self.rng.choice([0.5, 1.0, 2.5, 6.0]))
        self.end_after(self.rng.uniform(5.0, 12.0), upstream.end_limit)

    def partition_nodes(self):
        """Cuts the links of some nodes to all upstreams."""
        whole = [node for node in self.cluster.nodes if node.view and not node.partitions.active_count]
        if whole:
            chosen = self.rng.sample(whole, self.rng.randint(1, len(whole)))
            partition = world.Partition(chosen, self.rng.choice(["hang", "reset", "refuse"]))
            self.cluster.partitions.append(partition)
            self.end_after(self.rng.uniform(1.0, 8.0), partition.heal)

    def make_engines_brittle(self):
        if not self.cluster.engines[0].brittle_period:
            self.cluster.begin_brittle_period()
            self.end_after(self.rng.uniform(5.0, 10.0), self.cluster.end_brittle_period)

    def silence_engine(self):
        self.rng.choice(self.cluster.engines).fall_silent(self.rng.uniform(0.5, 1.5))

    def slow_engine(self):
        engine = self.rng.choice(self.cluster.engines)
        engine.event_interval_s = 0.3
        self.end_after(2.0, lambda: setattr(engine, "event_interval_s", upstreams.EVENT_INTERVAL_S))

    def crash_on_part(self):
        """Lets one prompt part crash engines until the end of the run; there is only one such part."""
        self.cluster.crashing_parts.add("dead")

    def spoil_answers(self):
        engine = self.rng.choice(self.cluster.engines)
        engine.answer_fault = self.rng.choice(upstreams.ANSWER_FAULTS)
        engine.link.disturbances.begin()
        self.end_after(self.rng.uniform(1.0, 6.0), lambda: self.end_spoiling(engine))

    @staticmethod
    def end_spoiling(engine):
        engine.answer_fault = ""
        engine.link.disturbances.end()

    def failing_service(self):
        service = self.rng.choice(self.cluster.services)
        service.failure_mode = self.rng.choice(["status", "full", "cut"])
        self.end_after(self.rng.uniform(0.5, 3.0), lambda: setattr(service, "failure_mode", ""))

    def new_configuration(self):
        self.cluster.write_next_configuration()

    def new_version(self):
        """Announces a version of an adapter, often followed by further ones at a pace around the grace time."""
        number = self.rng.randrange(callers.ADAPTERS)
        self.cluster.announce_next_version(number)
        pace_s = self.series_rng.uniform(0.2, 3.0)
        for count in range(1, self.series_rng.choice([1, 2, 4])):
            self.cluster.call_later(count * pace_s, lambda: self.cluster.announce_next_version(number))


def run_seed(seed, arguments, directory):
    """Runs one seed; returns the violations and the number of calls."""
    cluster = world.Cluster(directory, arguments.nodes, arguments.engines)
    try:
        cluster.start()
        load = callers.Callers(cluster, seed)
        faults = Faults(cluster, seed)
        end = time.monotonic() + arguments.seconds
        while time.monotonic() < end:
            faults.step()
            time.sleep(faults.rng.uniform(0.2, 1.5))
        faults.finish()
        cluster.restore()
        violations = promises.check_recovery(cluster, RECOVERY_LIMIT_S)
        load.stop()
        # Data buffered in the fault links may reach an upstream after its request was answered.
        time.sleep(LINK_FLUSH_S)
        return violations + promises.check(cluster, load.calls), len(load.calls)
    finally:
        cluster.close()


def parse_seeds(text):
    """Yields the seeds of a list like 1-5,9."""
    for part in text.split(","):
        first, _, last = part.partition("-")
        yield from range(int(first), int(last or first) + 1)


def main():
    """Runs the seeds one after the other; returns the exit status."""
    parser = argparse.ArgumentParser(description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter)
    parser.add_argument("--seeds", default="")
    parser.add_argument("--seconds", type=float, default=20.0)
    parser.add_argument("--nodes", type=int, default=4)
    parser.add_argument("--engines", type=int, default=5)
    parser.add_argument("--fresh", type=float, default=0.0)
    parser.add_argument("--keep", default=tempfile.gettempdir())
    arguments = parser.parse_args()
    seeds = list(parse_seeds(arguments.seeds)) if arguments.seeds else list(REGRESSION_SEEDS)
    end = time.monotonic() + arguments.fresh * 60.0
    failed, seeds_run = [], 0
    while seeds or time.monotonic() < end:
        seed = seeds.pop(0) if seeds else random.SystemRandom().randrange(1_000, 1_000_000)
        directory = pathlib.Path(tempfile.mkdtemp(prefix=f"soak-{seed}-", dir=arguments.keep))
        violations, calls = run_seed(seed, arguments, directory)
        seeds_run += 1
        print(f"seed {seed}: {calls} calls, " + (f"{len(violations)} violations, logs in {directory}" if violations
                                                 else "no violations"),
              flush=True)
        for line in violations[:20]:
            print(f"  {line}", flush=True)
        if violations:
            failed.append(seed)
        else:
            shutil.rmtree(directory)
    print(f"{seeds_run} seeds run, failed: {failed}")
    return 1 if failed else 0


if __name__ == "__main__":
    sys.exit(main())
