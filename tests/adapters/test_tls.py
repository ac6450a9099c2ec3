import asyncio
import ipaddress
from datetime import UTC, datetime, timedelta

import pytest
from cryptography import x509
from cryptography.hazmat.primitives import hashes, serialization
from cryptography.hazmat.primitives.asymmetric import ec
from cryptography.x509.oid import NameOID

from agaterelay.adapters.peers import PeerClient, PeerHandlers, start_peer_server
from agaterelay.adapters.settings import load_settings
from agaterelay.adapters.tls import TlsFiles, find_tls_problems, load_credentials
from agaterelay.core.messages import NodeStatus
from agaterelay.ports import PeerError
from tests.adapters.test_settings import GOOD

NOW = datetime.now(UTC)
PEERS_ADDRESS = "127.0.1.1:7001"


def make_certificate(issuer=None, address="127.0.1.1", days=(-1, 30)):
    """Return a certificate and its key; without an issuer it is self-signed."""
    key = ec.generate_private_key(ec.SECP256R1())
    common_name = "node" if issuer else "authority"
    name = x509.Name([x509.NameAttribute(NameOID.COMMON_NAME, common_name)])
    issuer_certificate, issuer_key = issuer or (None, key)
    address = ipaddress.ip_address(address)
    builder = (
        x509.CertificateBuilder()
        .subject_name(name)
        .issuer_name(issuer_certificate.subject if issuer else name)
        .public_key(key.public_key())
        .serial_number(x509.random_serial_number())
        .not_valid_before(NOW + timedelta(days=days[0]))
        .not_valid_after(NOW + timedelta(days=days[1]))
        .add_extension(x509.BasicConstraints(issuer is None, None), critical=True)
        .add_extension(
            x509.SubjectAlternativeName([x509.IPAddress(address)]), critical=False
        )
    )
    return builder.sign(issuer_key, hashes.SHA256()), key


def write_files(folder, authority, certificate, key):
    encoding = serialization.Encoding.PEM
    files = TlsFiles(folder / "ca.pem", folder / "node.pem", folder / "node.key")
    files.ca.write_bytes(authority.public_bytes(encoding))
    files.certificate.write_bytes(certificate.public_bytes(encoding))
    files.key.write_bytes(
        key.private_bytes(
            encoding,
            serialization.PrivateFormat.PKCS8,
            serialization.NoEncryption(),
        )
    )
    return files


@pytest.fixture(scope="module")
def authority():
    return make_certificate()


def problems(files):
    found = find_tls_problems(files, PEERS_ADDRESS, NOW)
    return [(item.key, item.message.split(str(files.ca.parent))[-1]) for item in found]


def test_good_files_have_no_findings(tmp_path, authority):
    files = write_files(tmp_path, authority[0], *make_certificate(authority))
    assert problems(files) == []


def test_every_kind_of_bad_file_is_a_finding(tmp_path, authority):
    files = write_files(tmp_path, authority[0], *make_certificate(authority))
    files.ca.unlink()
    files.certificate.write_text("no certificate")
    files.key.write_bytes(b"\xff")
    assert problems(files) == [
        ("ca", "/ca.pem does not exist"),
        ("certificate", "/node.pem holds no certificate in PEM form"),
        ("key", "/node.key holds no private key without a passphrase in PEM form"),
    ]
    expired, _ = make_certificate(authority, address="127.0.9.9", days=(-9, -2))
    other_ca, other_ca_key = make_certificate()
    found = problems(write_files(tmp_path, other_ca, expired, other_ca_key))
    assert [key for key, _ in found] == [
        "certificate",
        "certificate",
        "key",
        "certificate",
    ]
    assert found[0][1].startswith("expired at ")
    assert found[1][1] == "does not name 127.0.1.1 as a subject alternative name"
    assert found[2][1] == "does not belong to the certificate"
    assert found[3][1] == "was not issued by the authority in tls.ca"


def test_findings_on_files_have_their_line_in_the_settings(tmp_path):
    path = tmp_path / "node.toml"
    path.write_text(GOOD + "[tls]\nca = 'a'\ncertificate = 'b'\nkey = 'c'\n")
    _, findings = load_settings(path)
    assert [(item.place.line, item.message.split(":")[0]) for item in findings] == [
        (19, "tls.ca"),
        (20, "tls.certificate"),
        (21, "tls.key"),
    ]


def test_only_peers_of_the_same_authority_are_answered(tmp_path, authority):
    credentials = []
    for number, issuer in enumerate([authority, make_certificate()]):
        folder = tmp_path / str(number)
        folder.mkdir()
        files = write_files(folder, issuer[0], *make_certificate(issuer))
        credentials.append(load_credentials(files))
    status = NodeStatus("host", "zone", 3, 3, True, False, 0)

    async def ask(client):
        try:
            return await client.status("127.0.1.1:17443")
        except PeerError:
            return None
        finally:
            await client.close()

    async def run():
        handlers = PeerHandlers(*[None] * 7, status=lambda: status)
        server = await start_peer_server(
            "127.0.1.1:17443", handlers, credentials[0].server
        )
        clients = [credentials[0].channel, credentials[1].channel, None]
        answers = [await ask(PeerClient(2.0, channel)) for channel in clients]
        await server.stop(0)
        return answers

    assert asyncio.run(run()) == [status, None, None]
