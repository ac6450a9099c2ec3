"""Real node processes that authenticate each other by mutual TLS."""

import grpc
import pytest

from agaterelay.proto import peer_pb2 as pb, peer_pb2_grpc
from standins import deployment as deployments
from tests.adapters.test_tls import make_certificate, write_files
from tests.scenarios.conftest import EXAMPLES, run_cli


@pytest.fixture
def running(monkeypatch):
    authority = make_certificate()
    settings_without_tls = deployments.settings_text

    def settings_with_tls(running, host):
        folder = running.folder / f"tls-{host.ip}"
        folder.mkdir()
        certificate_and_key = make_certificate(authority, address=host.ip)
        files = write_files(folder, authority[0], *certificate_and_key)
        return settings_without_tls(running, host) + (
            f'[tls]\nca = "{files.ca}"\ncertificate = "{files.certificate}"\n'
            f'key = "{files.key}"\n'
        )

    monkeypatch.setattr(deployments, "settings_text", settings_with_tls)
    zones = {"bangkok-1": 2, "bangkok-2": 1}
    with deployments.deployment(zones, probe_period_s=0.3) as running:
        yield running


def test_a_change_is_in_force_everywhere_and_a_peer_without_certificate_is_not_heard(
    running,
):
    node = running.hosts[0].operators

    def have_joined():
        status = deployments.fetch(f"http://{node}/v1/status")
        return len(status["nodes"]) == 3

    deployments.wait_until(have_joined, "all three nodes to join")
    key_file = running.folder / "admin.key"
    key_file.write_text(deployments.ADMIN_KEY)
    command = run_cli(
        "apply", EXAMPLES / "siamsong.yaml", "--node", node, "--key-file", key_file,
        "--section", "owners", "--wait",
    )  # fmt: skip
    assert command.returncode == 0, command.stderr
    assert "in force on 3 of 3 nodes" in command.stderr
    with grpc.insecure_channel(running.hosts[0].peers) as channel:
        stub = peer_pb2_grpc.PeerStub(channel)
        with pytest.raises(grpc.RpcError) as error:
            stub.Status(pb.StatusRequest(protocol=1), timeout=2)
    assert error.value.code() is grpc.StatusCode.UNAVAILABLE
