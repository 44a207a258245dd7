//! The Faktory front over TLS: two sites, and SPIFFE identities.

mod common;
#[path = "common/gateway.rs"]
mod gateway;

use common::*;
use gateway::*;
use rcgen::{BasicConstraints, CertificateParams, CertifiedIssuer, ExtendedKeyUsagePurpose, IsCa, KeyPair};
use rcgen::{KeyUsagePurpose, SanType};
use rustls::pki_types::pem::PemObject;
use rustls::pki_types::{CertificateDer, PrivateKeyDer, ServerName};
use serde_json::json;
use std::io::BufReader;
use std::net::{SocketAddr, TcpStream};
use std::path::Path;
use std::sync::Arc;
use std::thread;

/// The certificate authority of a trust domain.
struct CertificateAuthority {
    domain: &'static str,
    issuer: CertifiedIssuer<'static, KeyPair>,
}

impl CertificateAuthority {
    fn new(domain: &'static str) -> CertificateAuthority {
        let mut params = CertificateParams::default();
        params.is_ca = IsCa::Ca(BasicConstraints::Unconstrained);
        params.key_usages = vec![KeyUsagePurpose::KeyCertSign, KeyUsagePurpose::CrlSign];
        CertificateAuthority {
            domain,
            issuer: CertifiedIssuer::self_signed(params, KeyPair::generate().unwrap()).unwrap(),
        }
    }

    fn svid(&self, path: &str) -> (String, String) {
        self.sign(&[&format!("spiffe://{}{path}", self.domain)], false)
    }

    fn sign(&self, ids: &[&str], expired: bool) -> (String, String) {
        let mut params = CertificateParams::default();
        params.subject_alt_names = ids.iter().map(|id| SanType::URI((*id).try_into().unwrap())).collect();
        params.key_usages = vec![KeyUsagePurpose::DigitalSignature];
        params.extended_key_usages =
            vec![ExtendedKeyUsagePurpose::ClientAuth, ExtendedKeyUsagePurpose::ServerAuth];
        if expired {
            params.not_before = rcgen::date_time_ymd(2020, 1, 1);
            params.not_after = rcgen::date_time_ymd(2021, 1, 1);
        }
        let key = KeyPair::generate().unwrap();
        (params.signed_by(&key, &self.issuer).unwrap().pem(), key.serialize_pem())
    }
}

/// Accepts any server certificate: these tests check what the server accepts.
#[derive(Debug)]
struct AcceptAnyServer(Arc<rustls::crypto::CryptoProvider>);

impl rustls::client::danger::ServerCertVerifier for AcceptAnyServer {
    fn verify_server_cert(
        &self,
        _: &CertificateDer<'_>,
        _: &[CertificateDer<'_>],
        _: &ServerName<'_>,
        _: &[u8],
        _: rustls::pki_types::UnixTime,
    ) -> Result<rustls::client::danger::ServerCertVerified, rustls::Error> {
        Ok(rustls::client::danger::ServerCertVerified::assertion())
    }

    fn verify_tls12_signature(
        &self,
        message: &[u8],
        cert: &CertificateDer<'_>,
        dss: &rustls::DigitallySignedStruct,
    ) -> Result<rustls::client::danger::HandshakeSignatureValid, rustls::Error> {
        rustls::crypto::verify_tls12_signature(message, cert, dss, &self.0.signature_verification_algorithms)
    }

    fn verify_tls13_signature(
        &self,
        message: &[u8],
        cert: &CertificateDer<'_>,
        dss: &rustls::DigitallySignedStruct,
    ) -> Result<rustls::client::danger::HandshakeSignatureValid, rustls::Error> {
        rustls::crypto::verify_tls13_signature(message, cert, dss, &self.0.signature_verification_algorithms)
    }

    fn supported_verify_schemes(&self) -> Vec<rustls::SignatureScheme> {
        self.0.signature_verification_algorithms.supported_schemes()
    }
}

type Tls = rustls::StreamOwned<rustls::ClientConnection, TcpStream>;

fn connect(address: SocketAddr, (cert, key): &(String, String)) -> FaktoryConnection<Tls> {
    let provider = Arc::new(rustls::crypto::ring::default_provider());
    let chain = CertificateDer::pem_slice_iter(cert.as_bytes()).map(Result::unwrap).collect();
    let config = rustls::ClientConfig::builder_with_provider(provider.clone())
        .with_safe_default_protocol_versions()
        .unwrap()
        .dangerous()
        .with_custom_certificate_verifier(Arc::new(AcceptAnyServer(provider)))
        .with_client_auth_cert(chain, PrivateKeyDer::from_pem_slice(key.as_bytes()).unwrap())
        .unwrap();
    let name = ServerName::try_from("gateway.example").unwrap();
    let connection = rustls::ClientConnection::new(Arc::new(config), name).unwrap();
    let stream = rustls::StreamOwned::new(connection, TcpStream::connect(address).unwrap());
    FaktoryConnection { stream: BufReader::new(stream) }
}

fn write(folder: &Path, name: &str, text: &str) {
    std::fs::write(folder.join(name), text).unwrap();
}

#[test]
fn two_sites_federate_and_unknown_identities_are_refused() {
    let (east_ca, lahore_ca, unknown_ca) = (
        CertificateAuthority::new("east.example"),
        CertificateAuthority::new("lahore.example"),
        CertificateAuthority::new("else.example"),
    );
    let folder = test_dir();
    let gateway_svid = east_ca.svid("/gateway");
    write(&folder, "svid.pem", &gateway_svid.0);
    write(&folder, "key.pem", &gateway_svid.1);
    write(&folder, "east.pem", &east_ca.issuer.pem());
    write(&folder, "lahore.pem", &lahore_ca.issuer.pem());
    let folder_path = folder.display();
    let gateway = GATEWAY_CONFIG.replace("plaintext = true\nmember = \"ravi-supply\"", "");
    let gateway = format!(
        r#"{gateway}
        [tls]
        svid = "{folder_path}/svid.pem"
        key = "{folder_path}/key.pem"
        reload_s = 3600.0
        [[tls.bundle]]
        trust_domain = "east.example"
        file = "{folder_path}/east.pem"
        [[tls.bundle]]
        trust_domain = "lahore.example"
        file = "{folder_path}/lahore.pem"
        [[identity]]
        id = "spiffe://east.example/floor/mehran"
        role = "client"
        member = "mehran-dist"
        [[identity]]
        id = "spiffe://lahore.example/pick-node/*"
        role = "worker"
        zone = "hall-b"
        kind = "k4-slow"
        "#
    );
    let (_discovery, program, address) = start(&gateway, settings());
    // A worker of one site serves a client of the other.
    let mut worker = connect(address, &lahore_ca.svid("/pick-node/7"));
    worker.hello(Some("w-7"));
    assert_eq!(worker.command("FETCH picks"), "$-1");
    let mehran_svid = east_ca.svid("/floor/mehran");
    let client = {
        let mehran_svid = mehran_svid.clone();
        thread::spawn(move || {
            let mut client = connect(address, &mehran_svid);
            client.hello(None);
            client.command(&format!(
                "PUSH {}",
                job("picks", &new_id(), "serve", json!({"member": "ravi-supply"}))
            ))
        })
    };
    let held_job = (0..100).find_map(|_| worker.fetch("picks")).expect("a job");
    assert_eq!(worker.command(&format!("ACK {}", json!({"jid": held_job["jid"]}))), "+OK");
    assert_eq!(client.join().unwrap(), "+OK");
    // Each identity is limited to its role.
    assert!(
        worker
            .command(&format!("PUSH {}", job("picks", &new_id(), "serve", json!({}))))
            .starts_with("-ERR DENIED")
    );
    let mut client = connect(address, &mehran_svid);
    assert_eq!(client.read_line().unwrap(), "+HI {\"v\":2}");
    assert!(client.command(r#"HELLO {"v":2,"wid":"w-8"}"#).starts_with("-ERR DENIED"));
    let mut impostor = connect(address, &lahore_ca.svid("/pick-node/8"));
    assert_eq!(impostor.read_line().unwrap(), "+HI {\"v\":2}");
    assert!(impostor.command(r#"HELLO {"v":2,"wid":"w-7"}"#).starts_with("-ERR DENIED this wid"));
    // Refused, and the log names the reason: one site's authority signing for the other, a domain without a
    // bundle, an expired certificate, two names, no name, and a valid one that the file does not name.
    let assert_refused = |svid: (String, String), why: &str, times: usize| {
        assert_eq!(connect(address, &svid).read_line(), None, "{why}");
        program.log.wait(why, times);
    };
    assert_refused(
        lahore_ca.sign(&["spiffe://east.example/floor/mehran"], false),
        "refused: spiffe://east.example/floor/mehran: invalid",
        1,
    );
    assert_refused(
        unknown_ca.svid("/floor/mehran"),
        "spiffe://else.example/floor/mehran: no such trust domain",
        1,
    );
    assert_refused(
        east_ca.sign(&["spiffe://east.example/floor/mehran"], true),
        "floor/mehran: invalid peer certificate: certificate expired",
        1,
    );
    assert_refused(
        east_ca.sign(&["spiffe://east.example/a", "spiffe://east.example/b"], false),
        "this has 2",
        1,
    );
    assert_refused(east_ca.sign(&["https://east.example/a"], false), "no SPIFFE ID", 1);
    assert_refused(east_ca.svid("/floor/nobody"), "floor/nobody is in no identity", 1);
    // Bundles rotate: certificates that the new authority signed are accepted, those of the old one are not.
    let rotated_ca = CertificateAuthority::new("lahore.example");
    write(&folder, "lahore.pem", &rotated_ca.issuer.pem());
    program.signal("HUP");
    program.log.wait("SVID and bundles reloaded", 1);
    connect(address, &rotated_ca.svid("/pick-node/9")).hello(Some("w-9"));
    assert_refused(
        lahore_ca.svid("/pick-node/7"),
        "refused: spiffe://lahore.example/pick-node/7: invalid",
        1,
    );
    // An invalid file changes nothing.
    write(&folder, "lahore.pem", "nothing");
    program.signal("HUP");
    program.log.wait("not reloaded, the previous ones stay in use: tls.bundle.file", 1);
    connect(address, &rotated_ca.svid("/pick-node/9")).hello(Some("w-9"));
}
