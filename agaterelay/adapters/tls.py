"""Validation of the files for mutual TLS between nodes, and gRPC credentials from them.

The certificate library is imported only on hosts whose settings enable TLS.
"""

from __future__ import annotations

import ipaddress
from datetime import datetime
from pathlib import Path

import attrs
import grpc

MAX_FILE_BYTES = 1 << 20


@attrs.frozen
class TlsFiles:
    """The PEM files of a node: the fleet's CA, the node's certificate and its key."""

    ca: Path
    certificate: Path
    key: Path


@attrs.frozen
class TlsFinding:
    """A problem with one of the files; ``key`` is its name in the settings."""

    key: str
    message: str


@attrs.frozen
class TlsCredentials:
    """The gRPC credentials for serving peers and for calling them."""

    server: grpc.ServerCredentials
    channel: grpc.ChannelCredentials


def load_credentials(files: TlsFiles) -> TlsCredentials:
    """Load the credentials from validated files.

    Raises:
        OSError: A file can no longer be read.
    """
    authority = files.ca.read_bytes()
    certificate = files.certificate.read_bytes()
    key = files.key.read_bytes()
    return TlsCredentials(
        server=grpc.ssl_server_credentials(
            [(key, certificate)],
            root_certificates=authority,
            require_client_auth=True,
        ),
        channel=grpc.ssl_channel_credentials(authority, key, certificate),
    )


def find_tls_problems(
    files: TlsFiles, address: str, now: datetime
) -> tuple[TlsFinding, ...]:
    """Check that the files exist, match each other and are currently valid.

    Args:
        files: The files to check.
        address: The address at which peers reach this node, as IP:PORT.
        now: The current time.

    Returns:
        All problems; empty if the files can be used.
    """
    from cryptography import x509

    findings: list[TlsFinding] = []
    authorities = _load(files, "ca", x509.load_pem_x509_certificates, findings)
    chain = _load(files, "certificate", x509.load_pem_x509_certificates, findings)
    key = _load(files, "key", _load_key, findings)
    for certificate in authorities or ():
        findings.extend(_find_validity_problems("ca", certificate, now))
    if chain:
        findings.extend(_find_validity_problems("certificate", chain[0], now))
        findings.extend(_find_address_problems(chain[0], address))
    if chain and key and key.public_key() != chain[0].public_key():
        findings.append(TlsFinding("key", "does not belong to the certificate"))
    if chain and authorities and not _is_issued(chain[-1], authorities):
        message = "was not issued by the authority in tls.ca"
        findings.append(TlsFinding("certificate", message))
    return tuple(findings)


def _load(
    files: TlsFiles, key: str, load: object, findings: list[TlsFinding]
) -> object | None:
    path: Path = getattr(files, key)
    try:
        if path.stat().st_size > MAX_FILE_BYTES:
            message = f"{path} has more than {MAX_FILE_BYTES} bytes"
            findings.append(TlsFinding(key, message))
            return None
        return load(path.read_bytes())
    except FileNotFoundError:
        findings.append(TlsFinding(key, f"{path} does not exist"))
    except OSError as error:
        findings.append(TlsFinding(key, f"{path} cannot be read: {error.strerror}"))
    except (ValueError, TypeError):
        kind = "private key without a passphrase" if key == "key" else "certificate"
        findings.append(TlsFinding(key, f"{path} holds no {kind} in PEM form"))
    return None


def _load_key(content: bytes) -> object:
    from cryptography.hazmat.primitives.serialization import load_pem_private_key

    return load_pem_private_key(content, password=None)


def _find_validity_problems(
    key: str, certificate: object, now: datetime
) -> list[TlsFinding]:
    until = certificate.not_valid_after_utc
    since = certificate.not_valid_before_utc
    if now > until:
        return [TlsFinding(key, f"expired at {until.isoformat()}")]
    if now < since:
        return [TlsFinding(key, f"is not valid before {since.isoformat()}")]
    return []


def _find_address_problems(certificate: object, address: str) -> list[TlsFinding]:
    """Check the certificate's names; peers connect by IP address, so it must be listed."""
    from cryptography import x509

    own = ipaddress.ip_address(address.rsplit(":", 1)[0])
    try:
        extension = certificate.extensions.get_extension_for_class(
            x509.SubjectAlternativeName
        )
        named = extension.value.get_values_for_type(x509.IPAddress)
    except (x509.ExtensionNotFound, ValueError):
        named = []
    if own in named:
        return []
    message = f"does not name {own} as a subject alternative name"
    return [TlsFinding("certificate", message)]


def _is_issued(certificate: object, authorities: object) -> bool:
    for authority in authorities:
        try:
            certificate.verify_directly_issued_by(authority)
        except Exception:
            # The exception on an invalid signature depends on the type of the key.
            continue
        return True
    return False
