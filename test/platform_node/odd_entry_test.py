"""Tests entry nodes while another writer leaves odd records in the store, and engines send odd reports."""

import json
import unittest

import standin
from entry_node_case import CONFIGURATION, EntryNodeCase

ROUTE = CONFIGURATION["routes"][0]
KINDS = ("servers", "config", "versions", "load-leases", "stream-origins")
DEPTH = 5_000
# Deep enough to exhaust the stack of a node that reads it by recursion; too long to stand in each field of one list.
DEPTH_MAX = 200_000
# Text that stands in the store where the marker of the same name is written: Python cannot write it as a value.
RAW = {"@deep": "[" * DEPTH + "]" * DEPTH, "@deep-object": '{"a":' * DEPTH + "1" + "}" * DEPTH, "@huge": "1e400",
       "@negative": "-9e99999", "@digits": "9" * 400, "@surrogate": '"\\ud800"'}
DEEPEST = {"@max": "[" * DEPTH_MAX + "]" * DEPTH_MAX}


class OddStore(standin.Store):
    """A store that replaces markers by raw text."""

    def reply(self, handler, status, body=None):
        text = json.dumps(body) if body is not None else ""
        for marker, raw in {**RAW, **DEEPEST}.items():
            text = text.replace(f'"{marker}"', raw)
        handler.reply(status, text.encode(), {"Store-Era": str(self.era)})


class OddEngine(standin.Engine):
    """An engine whose reports hold an odd field."""

    odd_field = None

    def respond(self, handler, body):
        if handler.path != "/-/report" or self.odd_field is None:
            return super().respond(handler, body)
        with self.lock:
            report = {"models": [{"name": "m", "version": 1, "adapters": sorted(self.resident)}],
                      "seq": self.order_count, "coming": [], "busy": False, "kvTotal": self.odd_field}
        return handler.reply(200, json.dumps(report).replace(f'"{self.odd_field}"', RAW[self.odd_field]).encode())


class OddEntryTest(EntryNodeCase):
    """Two nodes whose store holds odd records of all kinds, from the start on or later."""

    STORE_TYPE = OddStore
    ENGINE_TYPE = OddEngine

    def sound_entry(self, **fields):
        return {**self.engines[0].entry("ready"), **fields}

    def write_odd_records(self, suffix):
        """Writes records of which each has one odd value, for all kinds and for each field of an engine's entry."""
        for marker in RAW:
            for kind in KINDS:
                self.store.put(kind, f"odd-{kind}{marker}{suffix}", {"version": marker, "other": marker})
                self.store.put(kind, f"whole-{kind}{marker}{suffix}", marker)
            for field in (*self.sound_entry(), "unread"):
                self.store.put("servers", f"e-{field}{marker}{suffix}", self.sound_entry(
                    **{"state": "draining", field: marker}))
        for field in ("version", "models", "unread"):
            self.store.put("servers", f"deepest-{field}{suffix}", self.sound_entry(
                **{"state": "draining", field: "@max"}))
        for port in ("0", "-1", "99999", "9" * 23, ""):
            self.store.put("servers", f"port{port}{suffix}", self.sound_entry(address=f"127.0.0.1:{port}"))
        self.store.put("servers", "n" * 5_000 + suffix, self.sound_entry(state="draining"))

    def assert_nodes_follow(self, version):
        """Checks that nodes live and follow changes of the configuration and of the engines."""
        path = f"/c{version}/"
        self.store.put("config", "main", {**CONFIGURATION, "version": version, "routes": [
            *CONFIGURATION["routes"], {**ROUTE, "name": "c", "pathPrefix": path}]})
        self.engines.append(self.ENGINE_TYPE(self.store, f"i-added-{version}", "z"))
        for node in self.nodes:
            self.eventually(lambda node=node: node.send_request(next(self.ids), "a0", f"{path}1")[0] == 200,
                            "the added route is served")
            self.eventually(lambda node=node: f"upstream=i-added-{version} " in self.read_log(node),
                            "the added engine is known")
            self.assertTrue(node.is_ready())
            self.assertIsNone(node.process.poll())

    def test_nodes_start_and_follow_beside_odd_records(self):
        """One odd record must neither end a node nor keep it from reading the others."""
        self.write_odd_records("-start")
        self.start_fleet(2)
        self.assert_nodes_follow(2)

    def test_nodes_follow_beside_odd_records_that_come_later(self):
        """An odd record that comes by a watch, again, or at the name of a sound one must cost only itself."""
        self.start_fleet(2)
        for version in (2, 3):
            self.write_odd_records("-later")
            self.assert_nodes_follow(version)
        replaced = self.engines.pop()
        for marker in RAW:
            self.store.put("servers", replaced.name, self.sound_entry(address=marker))
            self.store.put("load-leases", "z", {"holder": marker, "fence": marker})
        replaced.shutdown()
        replaced.server_close()
        self.assert_nodes_follow(4)

    def test_engines_with_odd_reports_are_placed(self):
        """An odd field of a report must not keep an engine from getting adapters."""
        self.start_fleet(1)
        for number, marker in enumerate(RAW):
            for engine in self.engines:
                engine.odd_field = marker
            adapter = f"b{number}"
            self.eventually(lambda adapter=adapter: self.is_served(self.nodes[0], adapter), "the adapter is served")
        self.assertIsNone(self.nodes[0].process.poll())


if __name__ == "__main__":
    unittest.main(warnings="ignore")
