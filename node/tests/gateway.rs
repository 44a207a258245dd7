//! The Faktory front by itself: framing, the lifecycle of workers, and SPIFFE identities over TLS.

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
use std::io::{BufReader, Write};
use std::net::{SocketAddr, TcpStream};
use std::path::Path;
use std::sync::Arc;
use std::thread;

/// Fetches until there is a job.
fn fetch(connection: &mut FaktoryConnection<TcpStream>, queues: &str) -> serde_json::Value {
    (0..100).find_map(|_| connection.fetch(queues)).expect("a job")
}

#[test]
fn commands_get_the_replies_of_the_protocol() {
    let (_discovery, _program, address) = start(GATEWAY_CONFIG, settings());
    let mut client = FaktoryConnection::connect(address, None);
    for (line, start) in [
        ("FLUSH", "-ERR DENIED FLUSH"),
        ("FETCH routes", "-ERR DENIED FETCH"),
        ("ACK {}", "-ERR DENIED ACK"),
        ("MUTATE {}", "-ERR UNKNOWN command MUTATE"),
        ("PUSH", "-ERR MALFORMED PUSH"),
        ("PUSH {", "-ERR MALFORMED PUSH: no JSON"),
        (r#"PUSH {"jid":"12345678","args":[]}"#, "-ERR MALFORMED PUSH: jobtype"),
        (r#"PUSH {"jid":"1","jobtype":"a","args":[]}"#, "-ERR MALFORMED PUSH: jid"),
        (r#"PUSH {"jid":"12345678","jobtype":"a","args":1}"#, "-ERR MALFORMED PUSH: args"),
        (r#"PUSH {"jid":"12345678","jobtype":"a","args":[]}"#, "-ERR MALFORMED PUSH: queue and jobtype"),
        (
            r#"PUSH {"jid":"12345678","jobtype":"a","args":[],"at":"2030-01-01T00:00:00Z"}"#,
            "-ERR MALFORMED PUSH: at",
        ),
        (
            r#"PUSH {"jid":"12345678","jobtype":"a","args":[],"queue":"routes","custom":{"timeout_ms":"x"}}"#,
            "-ERR MALFORMED PUSH: custom.timeout_ms",
        ),
    ] {
        let reply = client.command(line);
        assert!(reply.starts_with(start), "{line}: {reply}");
    }
    client.send("INFO");
    assert!(client.read_fetched().unwrap()["server"]["connections"].is_u64());
    client.send("END");
    assert_eq!(client.read_line(), None);
    // A worker: no job within the wait, BEAT only under its own wid, invalid reports about jobs.
    let mut worker = FaktoryConnection::connect(address, Some("w-1"));
    assert_eq!(worker.command("FETCH routes"), "$-1");
    assert_eq!(worker.command(r#"BEAT {"wid":"w-1"}"#), "+OK");
    assert!(worker.command(r#"BEAT {"wid":"w-2"}"#).starts_with("-ERR MALFORMED BEAT"));
    assert!(worker.command("ACK nothing").starts_with("-ERR MALFORMED ACK"));
    assert!(worker.command("FAIL {}").starts_with("-ERR MALFORMED FAIL"));
}

#[test]
fn an_invalid_conversation_is_closed() {
    let (_discovery, _program, address) = start(GATEWAY_CONFIG, settings());
    let open = || {
        let mut connection =
            FaktoryConnection { stream: BufReader::new(TcpStream::connect(address).unwrap()) };
        assert_eq!(connection.read_line().unwrap(), "+HI {\"v\":2}");
        connection
    };
    for line in ["PUSH {}", "HELLO", "HELLO {\"v\":1}", "HELLO {\"v\":2,\"wid\":7}"] {
        let mut connection = open();
        assert!(connection.command(line).starts_with("-ERR MALFORMED"), "{line}");
        assert_eq!(connection.read_line(), None, "{line}");
    }
    // A frame that never ends.
    let mut connection = FaktoryConnection::connect(address, None);
    let _ = connection.stream.get_mut().write_all(&vec![b'x'; 200 * 1024]);
    assert!(connection.read_line().is_none_or(|line| line.starts_with("-ERR MALFORMED a frame")));
    // A frame that stops half way; a connection that is idle between frames stays open.
    let (mut idle, mut stalled) =
        (FaktoryConnection::connect(address, None), FaktoryConnection::connect(address, None));
    stalled.stream.get_mut().write_all(b"PUSH {").unwrap();
    assert!(stalled.read_line().unwrap().starts_with("-ERR MALFORMED a frame is too slow"));
    assert_eq!(stalled.read_line(), None);
    assert!(idle.command("INFO").starts_with('$'));
    // The front still serves.
    assert_eq!(FaktoryConnection::connect(address, Some("w-1")).command("FETCH routes"), "$-1");
}

#[test]
fn a_password_is_requested_and_checked() {
    use sha2::{Digest, Sha256};
    let file = test_dir().join("password");
    std::fs::write(&file, "open sesame\n").unwrap();
    let gateway = format!("password_file = {:?}\n{GATEWAY_CONFIG}", file);
    let (_discovery, _program, address) = start(&gateway, settings());
    for (password, accepted) in [("open sesame", true), ("open barley", false)] {
        let mut connection =
            FaktoryConnection { stream: BufReader::new(TcpStream::connect(address).unwrap()) };
        let greeting = connection.read_line().unwrap();
        let greeting: serde_json::Value =
            serde_json::from_str(greeting.strip_prefix("+HI ").unwrap()).unwrap();
        let mut hash = format!("{password}{}", greeting["s"].as_str().unwrap()).into_bytes();
        for _ in 0..greeting["i"].as_u64().unwrap() {
            hash = Sha256::digest(&hash).to_vec();
        }
        let hash: String = hash.iter().map(|b| format!("{b:02x}")).collect();
        let reply = connection.command(&format!("HELLO {}", json!({"v": 2, "pwdhash": hash})));
        assert_eq!(reply == "+OK", accepted, "{reply}");
    }
}

/// A worker that was removed leaves its place among the runners to the next one, which gets jobs under its own id;
/// if the first one returns, it is served as well.
#[test]
fn a_new_worker_takes_the_place_of_a_removed_one() {
    let gateway = format!("beat_limit_s = 0.2\n{GATEWAY_CONFIG}");
    let (_discovery, program, address) = start(&gateway, settings());
    let mut first = FaktoryConnection::connect(address, Some("w-1"));
    assert_eq!(first.command("FETCH waves"), "$-1");
    drop(first);
    program.log.wait("worker w-1 missed its heartbeats", 1);
    for (number, wid) in ["w-2", "w-1"].into_iter().enumerate() {
        let events = Events::default();
        worker(address, wid, 1, &events);
        program.log.wait(&format!("worker {wid} of"), if wid == "w-1" { 2 } else { 1 });
        let replies: Vec<_> =
            (0..4).map(|_| push(address, job("waves", &new_id(), "serve", json!({})))).collect();
        replies.into_iter().for_each(|reply| assert_eq!(reply.join().unwrap(), "+OK"));
        if number == 0 {
            events.wait("w-2 told serve", 4);
        }
    }
}

/// A worker that goes quiet drains: jobs that waited for it go elsewhere at once, and it finishes those that
/// it runs.
#[test]
fn no_new_job_goes_to_a_quiet_worker() {
    let (_discovery, program, address) = start(GATEWAY_CONFIG, settings());
    let mut quiet = FaktoryConnection::connect(address, Some("w-1"));
    assert_eq!(quiet.command("FETCH waves"), "$-1");
    let clients: Vec<_> =
        (0..4).map(|_| push(address, job("waves", &new_id(), "serve", json!({})))).collect();
    let running = fetch(&mut quiet, "waves");
    let events = Events::default();
    worker(address, "w-2", 1, &events);
    program.log.wait("worker w-2 of", 1);
    assert_eq!(quiet.command(r#"BEAT {"wid":"w-1","current_state":"quiet"}"#), "+OK");
    program.log.wait("w-1 is quiet", 1);
    // The remaining jobs reach the other worker. The quiet one fetches in vain, and the result of its running
    // job counts.
    for done in 1..=3 {
        assert_eq!(quiet.command("FETCH waves"), "$-1");
        events.wait("w-2 told serve", done);
    }
    assert_eq!(quiet.command(&format!("ACK {}", json!({"jid": running["jid"]}))), "+OK");
    assert!(clients.into_iter().all(|client| client.join().unwrap() == "+OK"));
}

/// A new wid is a process that has just started: it gets no more jobs than slow start allows, however many of
/// its connections are parked.
#[test]
fn a_worker_in_slow_start_is_not_flooded() {
    let mut slow_start = settings();
    slow_start["rules"]["coldFrom"] = json!(0.32);
    slow_start["rules"]["fallMultiple"] = json!(2.5);
    slow_start["rules"]["warmAfter"] = json!(3_600_000_000_000u64);
    for (settings, all_served) in [(slow_start, false), (settings(), true)] {
        let (_discovery, program, address) = start(GATEWAY_CONFIG, settings);
        let events = Events::default();
        worker(address, "w-1", 20, &events);
        program.log.wait("worker w-1 of", 1);
        let clients: Vec<_> =
            (0..60).map(|_| push(address, job("routes", &new_id(), "serve", json!({})))).collect();
        let replies: Vec<_> = clients.into_iter().map(|client| client.join().unwrap()).collect();
        let served = replies.iter().filter(|reply| *reply == "+OK").count();
        assert_eq!(served, events.count("got serve"));
        assert_eq!(served == 60, all_served, "{served} served");
        assert!(
            replies.iter().all(|reply| reply == "+OK" || reply.starts_with("-ERR REFUSED")),
            "{replies:?}"
        );
    }
}

#[test]
fn a_worker_without_heartbeats_is_removed_and_deadlines_still_hold() {
    let gateway = format!("beat_limit_s = 0.5\n{GATEWAY_CONFIG}");
    let (_discovery, program, address) = start(&gateway, settings());
    let mut silent = FaktoryConnection::connect(address, Some("w-1"));
    assert_eq!(silent.command("FETCH waves"), "$-1");
    let lost_push = push(address, job("waves", &new_id(), "serve", json!({"timeout_ms": 6000})));
    let held_job = fetch(&mut silent, "waves");
    program.log.wait("w-1 missed its heartbeats", 1);
    // The job may have run, so a class whose repeats are limited to one hall fails.
    assert!(lost_push.join().unwrap().starts_with("-ERR FAILED"));
    // The worker gets an error on its old connection and is accepted on a new one, which the end of the old
    // one does not affect.
    for line in [&format!("ACK {}", json!({"jid": held_job["jid"]})), r#"BEAT {"wid":"w-1"}"#, "FETCH waves"]
    {
        assert!(silent.command(line).starts_with("-ERR DENIED this worker was given up"));
    }
    let events = Events::default();
    worker(address, "w-1", 1, &events);
    program.log.wait("worker w-1 of", 2);
    drop(silent);
    assert_eq!(push(address, job("waves", &new_id(), "serve", json!({}))).join().unwrap(), "+OK");
}

/// Jobs of both fronts draw on one member's share: what one front has used up is not available to the other,
/// and jobs beyond the share are served after jobs of other members within their share.
#[test]
fn both_fronts_count_under_one_members_share() {
    let mut limited = settings();
    limited["projects"][0]["quotaPerS"] = json!(1.0);
    limited["services"][3]["objective"] = json!(5_000_000_000u64);
    let (_discovery, program, address) = start(GATEWAY_CONFIG, limited);
    let ids: Vec<String> = (0..3).map(|_| new_id()).collect();
    let (id, to) = (ids[0].clone(), program.address);
    let within =
        thread::spawn(move || call(to, &api_request("short-pick", &id, "6000m", ""), "serve").status());
    program.log.wait(&format!("request {}", ids[0]), 1);
    // The same member's second job through the other front, and another member's first.
    let beyond = push(address, job("picks", &ids[1], "serve", json!({"member": "mehran-dist"})));
    program.log.wait(&format!("request {}", ids[1]), 1);
    let other = push(address, job("picks", &ids[2], "serve", json!({})));
    program.log.wait(&format!("request {}", ids[2]), 1);
    let events = Events::default();
    worker(address, "w-1", 1, &events);
    assert_eq!(within.join().unwrap(), 200);
    assert_eq!((beyond.join().unwrap().as_str(), other.join().unwrap().as_str()), ("+OK", "+OK"));
    let all_events = events.all();
    let position_of =
        |id: &String| all_events.iter().position(|event| event.contains(&format!("got serve {id}"))).unwrap();
    assert!(
        position_of(&ids[0]) < position_of(&ids[2]) && position_of(&ids[2]) < position_of(&ids[1]),
        "{all_events:?}"
    );
}

// ---- SPIFFE ----

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
