"""Tests that nodes together do not make brittle engines refuse so many requests that they fall over."""

import collections
import concurrent.futures
import itertools
import math
import multiprocessing
import threading
import time
import unittest

import standin
from engine_link import EngineLink, LinkLoop
from entry_node_case import EntryNodeCase, send_request

# The rule of the platform: from STABILITY_S after engines began to say that they are brittle, they let fewer wait, and
# one that refuses more than it has stated in a second falls over; FALLS_MAX and a tenth of the engines may.
STABILITY_S = 3.0
FALLS_MAX = 2
MEASURED_S = 12.0
REFUSALS_PER_S = 5
RUNNING_MAX = 4
WAITING_MAX = 4
WAITING_MAX_LATER = 1
WORK_S = 0.2
DOWN_S = 3.0
RETURN_S = 0.1
# A node that refuses all would keep the rule; this share of what the engines could answer is our own target.
ANSWERED_SHARE_MIN = 0.5


def call_until(address, callers, first_id, end):
    """Lets callers send requests to one node, each one after the other, until a time; returns when each was answered, and
    the status."""
    answers, ids = [], itertools.count(first_id)

    def call():
        while time.monotonic() < end:
            try:
                status = send_request(address, f"{next(ids):016x}", "a0", deadline_ms=4_000)[0]
            except OSError:
                status = 0
            answers.append((time.monotonic(), status))
            if status != 200:
                time.sleep(RETURN_S)

    threads = [threading.Thread(target=call) for _ in range(callers)]
    for thread in threads:
        thread.start()
    for thread in threads:
        thread.join()
    return answers


class BrittleEngine(standin.Engine):
    """An engine that runs and queues a few requests, states how many it may refuse in a second, and falls over."""

    links = LinkLoop()

    def __init__(self, *arguments):
        self.running, self.admitted, self.waiting_max = 0, 0, WAITING_MAX
        self.refusals, self.falls, self.is_brittle = collections.deque(), 0, False
        self.link, self.is_down = None, False
        super().__init__(*arguments)

    @property
    def address(self):
        self.link = self.link or EngineLink(self.links, self.server_address)
        return self.link.address

    def state_brittle(self):
        self.stated_fields = {"Server-Brittle": str(REFUSALS_PER_S)}

    def become_brittle(self):
        self.is_brittle, self.waiting_max = True, WAITING_MAX_LATER

    def execute(self, handler):
        with self.lock:
            incarnation, now = self.incarnation, time.monotonic()
            if self.admitted >= RUNNING_MAX + self.waiting_max:
                return self.refuse(handler, now)
            self.admitted += 1
            while self.running >= RUNNING_MAX:
                self.lock.wait()
            self.running += 1
        time.sleep(WORK_S)
        with self.lock:
            self.running -= 1
            self.admitted -= 1
            self.lock.notify_all()
            fallen = incarnation != self.incarnation
        if fallen:
            handler.close_connection = True
            return None
        return super().execute(handler)

    def refuse(self, handler, now):
        """Refuses a request for want of room, and falls over after too many refusals."""
        self.refusals.append(now)
        while self.refusals[0] <= now - 1.0:
            self.refusals.popleft()
        if self.is_brittle and not self.is_down and len(self.refusals) > REFUSALS_PER_S:
            self.fall()
        return handler.reply(503, headers={
            "X-Not-Executed": "1", "X-Attempt-Id": handler.headers["X-Attempt-Id"], **self.stated_fields})

    def fall(self):
        """Resets all connections and refuses new ones for DOWN_S."""
        self.falls += 1
        self.is_down = True
        self.incarnation += 1
        self.refusals.clear()
        self.link.cut("reset")
        threading.Timer(DOWN_S, self.start_again).start()

    def start_again(self):
        self.link.heal()
        self.is_down = False
        self.publish_entry("ready")


class BrittleEnginesTest(EntryNodeCase):
    """Three nodes and four engines; callers come back soon after a refusal."""

    ENGINE_TYPE = BrittleEngine
    ENGINE_COUNT = 4
    NODE_COUNT = 3

    def call_from_processes(self, callers, end):
        """Lets callers of all nodes call until a time, each node's from a process of their own: in the process of the
        engines they would slow these down. Returns the answers."""
        context = multiprocessing.get_context("spawn")
        with concurrent.futures.ProcessPoolExecutor(len(self.nodes), mp_context=context) as processes:
            answers = [
                processes.submit(call_until, (node.ip, self.ports[0]), math.ceil(callers / len(self.nodes)), number << 32, end)
                for number, node in enumerate(self.nodes, 1)]
            return [answer for each in answers for answer in each.result()]

    def check_falls(self, overload):
        """Sends `overload` times as many requests as the engines have room for."""
        self.start_fleet(self.NODE_COUNT)
        for engine in self.engines:
            engine.state_brittle()
        begin = time.monotonic()
        for engine in self.engines:
            threading.Timer(STABILITY_S, engine.become_brittle).start()
        room = len(self.engines) * (RUNNING_MAX + WAITING_MAX)
        answers = self.call_from_processes(overload * room, begin + STABILITY_S + MEASURED_S)
        falls = sum(engine.falls for engine in self.engines)
        served = sum(status == 200 and at >= begin + STABILITY_S for at, status in answers)
        possible = len(self.engines) * RUNNING_MAX / WORK_S * MEASURED_S
        crashes = sum(self.read_log(node).count("event=crash ") for node in self.nodes)
        figures = f"{falls} falls, {served} served of {possible:.0f} possible, {crashes} crashes recorded"
        print(f"{self.id()}: {figures}", flush=True)
        self.assertLessEqual(falls, FALLS_MAX + len(self.engines) / 10, figures)
        self.assertGreaterEqual(served, ANSWERED_SHARE_MIN * possible, figures)
        self.assertLessEqual({status for _, status in answers}, {200, 502, 503}, figures)

    def test_twice_the_room_in_callers_makes_few_engines_fall(self):
        """Nodes must not each try a full engine in turn."""
        self.check_falls(2)

    def test_four_times_the_room_in_callers_makes_few_engines_fall(self):
        """More callers than room must be refused by the nodes, and not by the engines."""
        self.check_falls(4)


if __name__ == "__main__":
    unittest.main(warnings="ignore")
