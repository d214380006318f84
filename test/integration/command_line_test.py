"""Tests the exit codes and the output of the command line tool against real nodes."""

import json
import os
import socket
import subprocess
import unittest

import support

RULE = {"name": "closed", "when": {"caller": "bob"},
        "then": {"action": "refuse", "reason": "Closed.", "retry_after_ms": 1000}}


class CommandLineTest(support.FleetTestCase):
    """Runs every subcommand against the first node of a fleet."""

    options = {"zones": ("maradana",), "services_per_zone": 1}

    def run_command(self, *arguments, port=None, token_file=None):
        """Runs the tool; returns the exit code, standard output and standard error."""
        command = [self.fleet.binaries / "lagoonsaddle", *arguments,
                   f"--node=127.0.0.1:{port or self.nodes[0].operator_port}"]
        environment = {**os.environ, "LAGOONSADDLE_TOKEN_FILE": str(token_file or self.fleet.token_file)}
        finished = subprocess.run([str(part) for part in command], capture_output=True, text=True, env=environment,
                                  check=False)
        return finished.returncode, finished.stdout, finished.stderr

    def check_command(self, code, text, *arguments, **options):
        """Checks the exit code, and that standard output (code 0) or standard error contains the text."""
        result = self.run_command(*arguments, **options)
        self.assertEqual(result[0], code, (arguments, result))
        self.assertIn(text, result[1] if code == 0 else result[2], arguments)

    def write_file(self, name, text):
        path = self.fleet.directory / name
        path.write_text(text if isinstance(text, str) else json.dumps(text))
        return path

    def test_subcommands_and_errors(self):
        """Runs the views, the changes of rules, and each error with its exit code."""
        answer = support.send_completion(self.nodes[0], "stairlift@v1", "prompt")
        for command, text in (("status", "live_nodes"), ("nodes", "node-maradana-0"),
                              ("upstreams", "engine-maradana-0"), ("events", "upstream_taken"),
                              ("dump", '"boot_id"')):
            self.check_command(0, text, command)
        self.eventually(lambda: "stairlift@v1" in self.run_command("adapters")[1], "the adapter is listed")
        self.check_command(0, "engine-maradana-0", "explain", answer.request_id)
        self.check_command(6, "no node has a record", "explain", "unknown")
        good = self.write_file("good.json", {"rules": [RULE]})
        bad = self.write_file("bad.json", {"rules": [{**RULE, "when": {"callr": "bob"}}]})
        self.check_command(0, "would be decided differently", "rules", "preview", good)
        self.check_command(7, "rules[0].when.callr", "rules", "preview", bad)
        self.check_command(7, "were not saved", "rules", "apply", bad, "--expected-version=0")
        self.check_command(2, "is not a JSON object", "rules", "preview", self.write_file("text.json", "[1"))
        self.check_command(2, "pass --expected-version", "rules", "apply", good)
        self.check_command(0, "saved version 1", "rules", "apply", good, "--expected-version=0")
        self.check_command(5, "version 1 by command line is in force", "rules", "apply", good, "--expected-version=0")
        self.check_command(0, "closed", "rules", "list")
        self.check_command(0, "Closed.", "rules", "show", "closed")
        self.check_command(6, "there is no rule", "rules", "show", "absent")
        self.check_command(0, "saved version 2", "drain", "engine-maradana-0")
        self.check_command(0, "drained already", "drain", "engine-maradana-0")
        self.check_command(0, "saved version 3", "drain", "engine-maradana-0", "--undo")
        self.check_command(0, "saved version 4", "rules", "undo")
        token = self.write_file("token", "a-token-that-is-wrong\n")
        self.check_command(4, "does not accept the token", "status", token_file=token)
        with socket.socket() as unused:
            # The port is bound but not listening, so that no other process can answer on it.
            unused.bind(("127.0.0.1", 0))
            self.check_command(3, "no answer from node", "status", port=unused.getsockname()[1])
        self.check_command(2, "arguments are not accepted", "bogus")


if __name__ == "__main__":
    unittest.main()
