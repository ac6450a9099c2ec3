"""The deployed node uses the product's library versions and imports no other library."""

import subprocess
import sys
from pathlib import Path

ROOT = Path(__file__).parents[2]
# structlog imports some of these if they are installed, which takes a third of the
# start-up time.
FORBIDDEN_MODULES = (
    "rich",
    "pygments",
    "cappa",
    "grpc",
    "yaml",
    "cattrs",
    "transitions",
)


def pinned(path):
    lines = (ROOT / path).read_text().splitlines()
    requirements = [line for line in lines if line and not line.startswith("#")]
    assert all("==" in line for line in requirements)
    return dict(line.split("==") for line in requirements)


def test_versions_are_those_of_the_product():
    product, node = pinned("requirements.txt"), pinned("deploy/requirements.txt")
    assert {name: product[name] for name in node} == node


def test_the_node_loads_nothing_that_is_not_listed():
    hidden = "; ".join(f"sys.modules[{name!r}] = None" for name in FORBIDDEN_MODULES)
    program = f"import sys; {hidden}; import agaterelay.deployed"
    run = subprocess.run([sys.executable, "-c", program], cwd=ROOT, timeout=60)
    assert run.returncode == 0
