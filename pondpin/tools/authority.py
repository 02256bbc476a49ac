"""Makes a test authority and certificates for IP numbers, for trying TLS out."""

import datetime
import ipaddress
from pathlib import Path

from cryptography import x509
from cryptography.hazmat.primitives import hashes, serialization
from cryptography.hazmat.primitives.asymmetric import ec
from cryptography.x509.oid import ExtendedKeyUsageOID, NameOID

VALID_DAYS = 30


def _name(text: str) -> x509.Name:
    return x509.Name([x509.NameAttribute(NameOID.COMMON_NAME, text)])


def _write_key(path: Path, key: ec.EllipticCurvePrivateKey) -> None:
    path.write_bytes(
        key.private_bytes(
            serialization.Encoding.PEM,
            serialization.PrivateFormat.PKCS8,
            serialization.NoEncryption(),
        )
    )
    path.chmod(0o600)


def _builder(
    subject: x509.Name, issuer: x509.Name, key: ec.EllipticCurvePrivateKey, now: datetime.datetime
) -> x509.CertificateBuilder:
    return (
        x509.CertificateBuilder()
        .subject_name(subject)
        .issuer_name(issuer)
        .public_key(key.public_key())
        .serial_number(x509.random_serial_number())
        .not_valid_before(now - datetime.timedelta(minutes=5))
        .not_valid_after(now + datetime.timedelta(days=VALID_DAYS))
    )


def make_authority(folder: Path, now: datetime.datetime) -> None:
    """Write authority.pem and authority.key into a folder."""
    key = ec.generate_private_key(ec.SECP256R1())
    name = _name("pondpin test authority")
    certificate = (
        _builder(name, name, key, now)
        .add_extension(x509.BasicConstraints(ca=True, path_length=0), critical=True)
        .sign(key, hashes.SHA256())
    )
    folder.mkdir(parents=True, exist_ok=True)
    _write_key(folder / "authority.key", key)
    pem = certificate.public_bytes(serialization.Encoding.PEM)
    (folder / "authority.pem").write_bytes(pem)


def make_certificate(folder: Path, name: str, address: str, now: datetime.datetime) -> None:
    """Write NAME.pem and NAME.key for an IP number, signed by the folder's authority."""
    authority = x509.load_pem_x509_certificate((folder / "authority.pem").read_bytes())
    signer = serialization.load_pem_private_key((folder / "authority.key").read_bytes(), None)
    assert isinstance(signer, ec.EllipticCurvePrivateKey), "made by make_authority"
    key = ec.generate_private_key(ec.SECP256R1())
    names = x509.SubjectAlternativeName([x509.IPAddress(ipaddress.ip_address(address))])
    usage = [ExtendedKeyUsageOID.SERVER_AUTH, ExtendedKeyUsageOID.CLIENT_AUTH]
    certificate = (
        _builder(_name(name), authority.subject, key, now)
        .add_extension(names, critical=False)
        .add_extension(x509.ExtendedKeyUsage(usage), critical=False)
        .sign(signer, hashes.SHA256())
    )
    _write_key(folder / f"{name}.key", key)
    pem = certificate.public_bytes(serialization.Encoding.PEM)
    (folder / f"{name}.pem").write_bytes(pem)
