"""The operator's configuration file."""

import json
import os
import subprocess
import sys
from pathlib import Path

import pytest

from flintreach.pilot import operator_file
from flintreach.pilot.interface import SECOND
from flintreach.standins.platform import platform_config


@pytest.mark.parametrize(
    "text, error",
    [
        ("cores {\n workers = 3\n}\n", None),
        ("# nothing\n", None),
        ("core {\n}\n", "core: no such block; expected one of"),
        ("cores {\n worker = 3\n}\n", "cores: worker: unknown field; expected one of workers, search"),
        ("cores {\n workers = 300\n}\n", "cores: workers: expected an integer from 0 to 64, not 300"),
        ('cores {\n workers = "3"\n}\n', "cores: workers: expected an integer from 0 to 64, not '3'"),
        (
            "cores {\n hang = 2\n}\n",
            'cores: hang: expected a duration such as "250ms", from 200ms to 60s, not 2',
        ),
        ('cores {\n hang = "10ms"\n}\n', "cores: hang: expected a duration"),
        ('cores {\n stale = "60ms"\n sign = "70ms"\n}\n', "cores: sign: expected no more than stale"),
        ("cores {\n}\ncores {\n}\n", "cores: block given 2 times; expected once"),
        ("cores = 3\n", "cores: expected a block, cores { ... }"),
        ("cores {\n workers = \n}\n", "invalid HCL at line"),
        ('telemetry {\n graphite = "graphite.example:2003"\n}\n', "graphite: expected a numeric address"),
        ("telemetry {\n tags = { a = 3 }\n}\n", "telemetry: tags: expected a map of strings"),
        ('telemetry {\n tags = { a = "b;c" }\n}\n', "telemetry: tags: a: expected a text without blanks"),
        ('telemetry {\n every = "1500ms"\n}\n', "telemetry: every: expected whole seconds"),
        ('evidence {\n accept = "any"\n}\n', "evidence: listen: expected an address here or in lines"),
        ('evidence {\n listen = "127.0.0.1:1"\n}\n', "evidence: keys: expected a file"),
        ('evidence {\n listen = "127.0.0.1:1"\n accept = "no"\n}\n', "accept: expected one of signed, any"),
        ("cores {\n", "invalid HCL at"),
        ("\udcff", "not valid UTF-8"),
        (None, "No such file or directory"),
    ],
)
def test_an_error_is_one_line_that_names_block_field_and_expected_values(tmp_path, text, error):
    path = tmp_path / "own.hcl"
    if text is not None:
        path.write_bytes(text.encode("utf-8", "surrogateescape"))
    if error is None:
        assert operator_file.describe(operator_file.load(str(path)))
        return
    with pytest.raises(operator_file.OperatorConfigError) as raised:
        operator_file.load(str(path))
    assert error in str(raised.value) and "\n" not in str(raised.value)
    assert str(raised.value).startswith(str(path))


def test_values_are_converted_to_internal_units(tmp_path):
    path = tmp_path / "own.hcl"
    path.write_text('cores {\n workers = 3\n hang = "1.5s"\n share = 0.5\n}\n')
    cores = operator_file.load(None, {"FLINTREACH_OPERATOR": str(path)}).block("cores")
    assert (cores.workers, cores.hang, cores.share) == (3, 3 * SECOND // 2, 0.5)
    assert operator_file.load(None, {}) is None


def test_the_example_blocks_of_the_shipped_file_are_valid(tmp_path):
    shown = Path("deploy/flintreach.hcl").read_text()
    path = tmp_path / "own.hcl"
    lines = shown[shown.index("# cores") :].splitlines()
    path.write_text("\n".join(line.removeprefix("# ") for line in lines))
    assert set(operator_file.load(str(path)).blocks) == set(operator_file.known_blocks())
    assert operator_file.load("deploy/flintreach.hcl").blocks == {}


@pytest.mark.parametrize(
    "command, workers, status",
    [
        ("serve", "2.5", 2),
        ("check-config", "2.5", 2),
        ("check-config", "2", 0),
        ("check-config", "40", 2),
        ("serve", "40", 2),
    ],
)
def test_the_command_line_validates_the_file_before_anything_starts(tmp_path, command, workers, status):
    path = tmp_path / "own.hcl"
    path.write_text(f"cores {{\n workers = {workers}\n}}\n")
    (tmp_path / "config.json").write_text(json.dumps(platform_config()))
    ran = subprocess.run(
        [
            sys.executable,
            "-m",
            "flintreach",
            command,
            "--operator",
            str(path),
            "--config",
            str(tmp_path / "config.json"),
        ],
        capture_output=True,
        text=True,
        timeout=60,
        env=os.environ,
    )
    assert ran.returncode == status and "Traceback" not in ran.stderr
    assert ("workers 2" in ran.stdout) if not status else ran.stderr.count("\n") == 1
