"""A reload signal during the import of the node is kept and does not end the process."""

import subprocess
import sys

PROGRAM = """
import os, signal, sys, types
deployed = types.ModuleType("agaterelay.deployed")

def main(reload_requested):
    early = reload_requested()
    os.kill(os.getpid(), signal.SIGHUP)
    return 7 if reload_requested() and not early else 1

deployed.main = main
sys.modules["agaterelay.deployed"] = deployed
import agaterelay.start
sys.exit(agaterelay.start.main())
"""


def test_settings_to_be_read_again_are_noted_before_the_node_listens():
    run = subprocess.run([sys.executable, "-c", PROGRAM], timeout=60)
    assert run.returncode == 7


def test_nothing_of_the_node_is_loaded_before_that():
    program = "import agaterelay.start, sys; sys.exit('aiohttp' in sys.modules)"
    assert subprocess.run([sys.executable, "-c", program], timeout=60).returncode == 0
