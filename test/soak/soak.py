"""Randomized fault soak: real entry nodes, stand-ins of the platform, and faults injected from outside.

Usage: soak.py [--seeds=LIST] [--seconds=N] [--nodes=N] [--engines=N] [--fresh=MINUTES] [--keep=DIRECTORY]

LIST is like 1-50 or 3,7; without it, the regression seeds of this file run. --fresh plays new seeds for some minutes.
Each seed fixes the order, the targets and the lengths of the faults; the interleaving of the processes is their own.
Exit status 1 when a promise was broken; the logs of that seed are then kept.
"""

import argparse
import pathlib
import random
import shutil
import sys
import tempfile
import time

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parent))

import promises  # noqa: E402
import world  # noqa: E402

# Seeds that failed once, with the cause.
REGRESSIONS = {
    6: "broken connections to live upstreams counted as crashes: all nodes refused a request that many callers send",
}
RECOVERY_LIMIT_S = 15.0
SETTLE_S = 4.5


class Faults:
    """Draws faults, applies them, and ends each after its time. Faults overlap."""

    def __init__(self, scene, draw):
        self.scene, self.draw = scene, draw
        self.ends = []
        self.kinds = [
            (self.kill_node, 3), (self.pause_node, 3), (self.stop_node, 3), (self.harm_engine_link, 4),
            (self.harm_store_link, 4), (self.store_down, 1), (self.crash_engine, 3), (self.drain_engine, 2),
            (self.slow_engine, 2), (self.failing_service, 2), (self.new_configuration, 3), (self.new_version, 2),
            (self.kill_all, 1)]

    def step(self):
        """Ends what is due and begins one fault, or a series of one kind."""
        now = time.monotonic()
        due = [entry for entry in self.ends if entry[0] <= now]
        self.ends = [entry for entry in self.ends if entry[0] > now]
        for _, end in due:
            end()
        fault = self.draw.choices([kind for kind, _ in self.kinds], [weight for _, weight in self.kinds])[0]
        for _ in range(self.draw.choice([1, 1, 1, 2, 3])):
            fault()

    def finish(self):
        """Ends all faults."""
        for _, end in self.ends:
            end()
        self.ends = []

    def during(self, seconds, end):
        """Calls `end` after some seconds."""
        self.ends.append((time.monotonic() + seconds, end))

    def running_node(self):
        """Draws a node whose process runs undisturbed, or None."""
        latest = time.monotonic() - world.STARTUP_S
        nodes = [node for node in self.scene.nodes if node.state == "running" and node.started_at < latest]
        return self.draw.choice(nodes) if nodes else None

    def kill_node(self):
        if node := self.running_node():
            node.kill()
            self.during(self.draw.uniform(0.1, 2.0), node.start)

    def kill_all(self):
        for node in self.scene.nodes:
            if node.state == "running":
                node.kill()
                self.during(0.3, node.start)

    def pause_node(self):
        if node := self.running_node():
            node.pause()
            self.during(self.draw.uniform(0.2, 4.0), node.resume)

    def stop_node(self):
        if node := self.running_node():
            node.terminate()
            self.during(world.STOP_LIMIT_S + self.draw.uniform(0.1, 1.0), node.restart_after_stop)

    def harm(self, link):
        how = self.draw.choice([
            {"cut": True}, {"freeze": True}, {"half_open": True}, {"drop_answers": True},
            {"delay_ms": self.draw.choice([20, 200, 1500])}])
        link.harm(how)
        self.during(self.draw.uniform(0.3, 4.0), link.heal)

    def harm_engine_link(self):
        self.harm(self.draw.choice(self.scene.upstreams).link)

    def harm_store_link(self):
        self.harm(self.draw.choice(self.scene.nodes).store_link)

    def store_down(self):
        self.scene.disturb_store(True)
        self.during(self.draw.uniform(0.5, 5.0), lambda: self.scene.disturb_store(False))

    def crash_engine(self):
        engine = self.draw.choice(self.scene.engines)
        engine.crash(same_id=self.draw.random() < 0.5)
        self.during(self.draw.uniform(0.5, 3.0), engine.begin_again)

    def drain_engine(self):
        engine = self.draw.choice(self.scene.engines)
        if engine.drain():
            self.during(self.draw.uniform(3.0, 5.0), engine.replace)

    def slow_engine(self):
        engine = self.draw.choice(self.scene.engines)
        engine.event_pause_s = 0.3
        self.during(2.0, lambda: setattr(engine, "event_pause_s", world.EVENT_PAUSE_S))

    def failing_service(self):
        service = self.draw.choice(self.scene.services)
        service.failing = self.draw.choice(["status", "full", "cut"])
        self.during(self.draw.uniform(0.5, 3.0), lambda: setattr(service, "failing", ""))

    def new_configuration(self):
        self.scene.move_route()

    def new_version(self):
        self.scene.name_version(self.draw.randrange(world.ADAPTERS))


def play(seed, arguments, directory):
    """Plays one seed; returns what was broken."""
    draw = random.Random(seed)
    scene = world.World(directory, arguments.nodes, arguments.engines)
    try:
        scene.start()
        callers = world.Callers(scene, seed)
        faults = Faults(scene, draw)
        end = time.monotonic() + arguments.seconds
        while time.monotonic() < end:
            faults.step()
            time.sleep(draw.uniform(0.2, 1.5))
        faults.finish()
        scene.heal()
        broken = promises.recovers(scene, RECOVERY_LIMIT_S)
        callers.stop()
        # Bytes that links still hold may reach an upstream after their request was answered.
        time.sleep(SETTLE_S)
        return broken + promises.check(scene, callers.calls), len(callers.calls)
    finally:
        scene.close()


def seeds_of(text):
    """Reads a list like 1-5,9."""
    for part in text.split(","):
        first, _, last = part.partition("-")
        yield from range(int(first), int(last or first) + 1)


def main():
    """Plays the seeds one after the other."""
    parser = argparse.ArgumentParser(description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter)
    parser.add_argument("--seeds", default="")
    parser.add_argument("--seconds", type=float, default=20.0)
    parser.add_argument("--nodes", type=int, default=4)
    parser.add_argument("--engines", type=int, default=5)
    parser.add_argument("--fresh", type=float, default=0.0)
    parser.add_argument("--keep", default=tempfile.gettempdir())
    arguments = parser.parse_args()
    seeds = list(seeds_of(arguments.seeds)) if arguments.seeds else list(REGRESSIONS)
    stop_at = time.monotonic() + arguments.fresh * 60.0
    failed, played = [], 0
    while seeds or time.monotonic() < stop_at:
        seed = seeds.pop(0) if seeds else random.SystemRandom().randrange(1_000, 1_000_000)
        directory = pathlib.Path(tempfile.mkdtemp(prefix=f"soak-{seed}-", dir=arguments.keep))
        broken, calls = play(seed, arguments, directory)
        played += 1
        print(f"seed {seed}: {calls} calls, " + (f"{len(broken)} broken, logs in {directory}" if broken else "kept"),
              flush=True)
        for line in broken[:20]:
            print(f"  {line}", flush=True)
        if broken:
            failed.append(seed)
        else:
            shutil.rmtree(directory)
    print(f"{played} seeds played, failed: {failed}")
    return 1 if failed else 0


if __name__ == "__main__":
    sys.exit(main())
