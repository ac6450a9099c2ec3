import signal
import subprocess
import sys

import psutil
import pytest


@pytest.mark.parametrize(
    ("number", "status"), [(signal.SIGINT, 130), (signal.SIGTERM, 143)]
)
def test_an_interrupted_demo_leaves_no_process_behind(number, status):
    command = [sys.executable, "-m", "demo.siamsong"]
    with subprocess.Popen(command, stdout=subprocess.PIPE, text=True) as demo:
        for line in demo.stdout:
            if "section owners changed" in line:
                break
        children = psutil.Process(demo.pid).children(recursive=True)
        assert len(children) >= 1 + 6 + 11
        demo.send_signal(number)
        demo.communicate(timeout=30)
    assert demo.returncode == status
    assert not [child for child in children if child.is_running()]
