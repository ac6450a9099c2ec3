"""The deployed node's libraries: the same versions as the product's, and no others."""

import subprocess
import sys
from pathlib import Path

ROOT = Path(__file__).parents[2]
# Loaded by structlog where they are there, which costs a start a third of its time.
NEEDLESS = ("rich", "pygments", "cappa", "grpc", "yaml", "cattrs", "transitions")


def pinned(path):
    lines = (ROOT / path).read_text().splitlines()
    wanted = [line for line in lines if line and not line.startswith("#")]
    assert all("==" in line for line in wanted)
    return dict(line.split("==") for line in wanted)


def test_versions_are_those_of_the_product():
    product, node = pinned("requirements.txt"), pinned("deploy/requirements.txt")
    assert {name: product[name] for name in node} == node


def test_the_node_loads_nothing_that_is_not_listed():
    hidden = "; ".join(f"sys.modules[{name!r}] = None" for name in NEEDLESS)
    program = f"import sys; {hidden}; import agaterelay.deployed"
    run = subprocess.run([sys.executable, "-c", program], cwd=ROOT, timeout=60)
    assert run.returncode == 0
