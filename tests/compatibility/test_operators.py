"""What operators hold on to: commands, options, names of figures, spellings in earlier deploy files.

Expected values stand in `tests/data/operators.json`, as of release 8a5daae.  New names may come beside them.
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
# Of `deploy/*.toml` of earlier releases and of this one.
PROGRAMS = ("proxy", "bothy", "controller", "refuge")


# In a process of its own: the pilot's service keeps `rich` away from the process that imports it.
HELP = """
import json, sys
from typer.testing import CliRunner
from flintreach.cli.app import build_app
told = {name: CliRunner().invoke(build_app(), [name, "--help"]).output for name in sys.argv[1:]}
print(json.dumps(told))
"""


def options(names: list[str]) -> dict[str, set[str]]:
    """Command -> options that its help names."""
    told = subprocess.run(
        [sys.executable, "-c", HELP, *names],
        capture_output=True,
        text=True,
        check=True,
        cwd=ROOT,
        env={**os.environ, "TERM": "dumb", "COLUMNS": "200"},
    )
    helps = json.loads(told.stdout.splitlines()[-1])
    return {name: set(re.findall(r"--[a-z][a-z-]*", helps[name])) - {"--help"} for name in names}


class Commands(unittest.TestCase):
    def test_each_command_has_the_options_that_it_had(self):
        found = options([*EXPECTED["commands"]])
        for command, names in EXPECTED["commands"].items():
            self.assertLessEqual(set(names), found[command], command)

    def test_a_file_that_cannot_be_used_ends_a_command_with_status_2(self):
        for arguments in (
            ["check", "nowhere.json"],
            ["state", "nowhere"],
            ["show", "other", "--at", "127.0.0.1:1"],
        ):
            self.assertEqual(CliRunner().invoke(build_app(), arguments).exit_code, 2, arguments)

    def test_another_side_that_does_not_answer_ends_a_command_with_status_1(self):
        for arguments in (["get", "--at", "127.0.0.1:1"], ["show", "status", "--at", "127.0.0.1:1"]):
            self.assertEqual(CliRunner().invoke(build_app(), arguments).exit_code, 1, arguments)

    def test_a_trace_of_the_simulation_tells_its_checksum_and_events(self):
        told = CliRunner().invoke(build_app(), ["simulate", "--trace", "1"])
        self.assertEqual(told.exit_code, 0, told.output)
        self.assertRegex(told.output, r"digest [0-9a-f]{8}, [0-9]+ events")


class Programs(unittest.TestCase):
    def start(self, *arguments: str) -> tuple[int, str]:
        """(status, standard error) of a program whose settings file does not exist."""
        told = subprocess.run(
            [sys.executable, "-m", "flintreach", *arguments],
            capture_output=True,
            text=True,
            timeout=60,
            check=False,
            cwd=ROOT,
            env={**os.environ, "FLINTREACH_NODE_FILE": "/nonexistent/node.yaml"},
        )
        return told.returncode, told.stderr

    def test_programs_start_by_the_names_of_earlier_deploy_files(self):
        for name in PROGRAMS:
            status, error = self.start(name)
            self.assertEqual(status, 2, name)
            self.assertEqual(error, "flintreach: /nonexistent/node.yaml: No such file or directory\n", name)

    def test_the_deploy_files_start_programs_that_there_are(self):
        system = tomllib.loads((ROOT / "deploy" / "system.toml").read_text())
        for role in system["roles"].values():
            *start, name = role["run"].split()
            self.assertEqual(start, ["python3", "-m", "flintreach"])
            self.assertEqual(self.start(name)[0], 2, name)
        served = {role["on"]: role["serves"] for role in system["roles"].values()}
        self.assertEqual(served, {"counter": ["counter"], "sorting": ["control", "directory"]})
        pilot = tomllib.loads((ROOT / "deploy" / "balancer.toml").read_text())
        self.assertEqual(sorted(pilot), ["build", "node", "packages", "policy", "run", "sim"])
        for path in (*pilot["policy"], *pilot["node"]):
            self.assertTrue((ROOT / path).exists(), path)


class Figures(unittest.TestCase):
    def test_the_names_of_a_proxys_figures(self):
        metrics = Metrics()
        for counter in EXPECTED["proxy counters"]:
            metrics.count(counter)
        names = set(re.findall(r"^(flintreach_\w+)", metrics.text(), re.MULTILINE))
        self.assertLessEqual(set(EXPECTED["proxy figures"]), names)

    def test_each_counter_is_still_counted(self):
        """By its name in the program: what is not counted any more is missing on somebody's screen."""
        texts = "".join(path.read_text() for path in (ROOT / "flintreach" / "proxy").glob("*.py"))
        for counter in EXPECTED["proxy counters"]:
            self.assertIn(f'"{counter}"', texts)


if __name__ == "__main__":
    unittest.main()
