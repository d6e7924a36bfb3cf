"""Operator interface compatibility: commands, options, metric names and program names in deploy files.

Expected values are in `tests/data/operators.json`, recorded at release 8a5daae.  Additions are allowed.
"""

import json
import os
import re
import subprocess
import sys
import tomllib
import unittest
from pathlib import Path

from typer.testing import CliRunner

from flintreach.cli.app import build_app
from flintreach.proxy.metrics import Metrics

ROOT = Path(__file__).parents[2]
EXPECTED = json.loads((ROOT / "tests" / "data" / "operators.json").read_text())
# Program names used in `deploy/*.toml` by this release and earlier ones.
PROGRAMS = ("proxy", "bothy", "controller", "refuge")


# Runs in a separate process: importing `flintreach.net.run` disables `rich`, which formats the help text.
HELP = """
import json, sys
from typer.testing import CliRunner
from flintreach.cli.app import build_app
outputs = {name: CliRunner().invoke(build_app(), [name, "--help"]).output for name in sys.argv[1:]}
print(json.dumps(outputs))
"""


def options(names: list[str]) -> dict[str, set[str]]:
    """Maps each command to the options listed in its help text."""
    result = subprocess.run(
        [sys.executable, "-c", HELP, *names],
        capture_output=True,
        text=True,
        check=True,
        cwd=ROOT,
        env={**os.environ, "TERM": "dumb", "COLUMNS": "200"},
    )
    help_texts = json.loads(result.stdout.splitlines()[-1])
    return {name: set(re.findall(r"--[a-z][a-z-]*", help_texts[name])) - {"--help"} for name in names}


class Commands(unittest.TestCase):
    def test_each_command_keeps_its_options(self):
        found = options([*EXPECTED["commands"]])
        for command, names in EXPECTED["commands"].items():
            self.assertLessEqual(set(names), found[command], command)

    def test_invalid_input_exits_with_status_2(self):
        for arguments in (
            ["check", "nowhere.json"],
            ["state", "nowhere"],
            ["show", "other", "--at", "127.0.0.1:1"],
        ):
            self.assertEqual(CliRunner().invoke(build_app(), arguments).exit_code, 2, arguments)

    def test_unreachable_server_exits_with_status_1(self):
        for arguments in (["get", "--at", "127.0.0.1:1"], ["show", "status", "--at", "127.0.0.1:1"]):
            self.assertEqual(CliRunner().invoke(build_app(), arguments).exit_code, 1, arguments)

    def test_simulation_trace_prints_digest_and_event_count(self):
        result = CliRunner().invoke(build_app(), ["simulate", "--trace", "1"])
        self.assertEqual(result.exit_code, 0, result.output)
        self.assertRegex(result.output, r"digest [0-9a-f]{8}, [0-9]+ events")


class Programs(unittest.TestCase):
    def run_program(self, *arguments: str) -> tuple[int, str]:
        """Runs a program without its settings file; returns its exit status and standard error."""
        result = subprocess.run(
            [sys.executable, "-m", "flintreach", *arguments],
            capture_output=True,
            text=True,
            timeout=60,
            check=False,
            cwd=ROOT,
            env={**os.environ, "FLINTREACH_NODE_FILE": "/nonexistent/node.yaml"},
        )
        return result.returncode, result.stderr

    def test_program_names_of_earlier_deploy_files_are_accepted(self):
        for name in PROGRAMS:
            status, error = self.run_program(name)
            self.assertEqual(status, 2, name)
            self.assertEqual(error, "flintreach: /nonexistent/node.yaml: No such file or directory\n", name)

    def test_deploy_files_refer_to_existing_programs(self):
        system = tomllib.loads((ROOT / "deploy" / "system.toml").read_text())
        for role in system["roles"].values():
            *command, name = role["run"].split()
            self.assertEqual(command, ["python3", "-m", "flintreach"])
            self.assertEqual(self.run_program(name)[0], 2, name)
        served = {role["on"]: role["serves"] for role in system["roles"].values()}
        self.assertEqual(served, {"counter": ["counter"], "sorting": ["control", "directory"]})
        balancer = tomllib.loads((ROOT / "deploy" / "balancer.toml").read_text())
        self.assertEqual(sorted(balancer), ["build", "node", "packages", "policy", "run", "sim"])
        for path in (*balancer["policy"], *balancer["node"]):
            self.assertTrue((ROOT / path).exists(), path)


class MetricNames(unittest.TestCase):
    def test_proxy_metric_names_are_exported(self):
        metrics = Metrics()
        for counter in EXPECTED["proxy counters"]:
            metrics.count(counter)
        names = set(re.findall(r"^(flintreach_\w+)", metrics.text(), re.MULTILINE))
        self.assertLessEqual(set(EXPECTED["proxy figures"]), names)

    def test_each_proxy_counter_is_incremented_in_the_code(self):
        """Searches the source for each name: a counter no longer incremented leaves a gap on dashboards."""
        source = "".join(path.read_text() for path in (ROOT / "flintreach" / "proxy").glob("*.py"))
        for counter in EXPECTED["proxy counters"]:
            self.assertIn(f'"{counter}"', source)


if __name__ == "__main__":
    unittest.main()
