//! The Faktory front by itself: framing, workers' lives, and SPIFFE identities over TLS.

mod common;

use common::*;
use rcgen::{BasicConstraints, CertificateParams, CertifiedIssuer, ExtendedKeyUsagePurpose, IsCa, KeyPair};
use rcgen::{KeyUsagePurpose, SanType};
use rustls::pki_types::pem::PemObject;
use rustls::pki_types::{CertificateDer, PrivateKeyDer, ServerName};
use serde_json::json;
use std::io::{BufReader, Write};
use std::net::{SocketAddr, TcpStream};
use std::path::Path;
use std::sync::Arc;
use std::thread::{self, JoinHandle};

fn start(gateway: &str, settings: serde_json::Value) -> (Discovery, Program, SocketAddr) {
    let discovery = Discovery::start(Vec::new());
    let program = Program::start(&discovery, settings, Some(gateway));
    let at = program.faktory_address.unwrap();
    (discovery, program, at)
}

/// Pushes from a thread of its own; joins to the answer.
fn push(at: SocketAddr, job: String) -> JoinHandle<String> {
    thread::spawn(move || FaktoryConnection::connect(at, None).command(&format!("PUSH {job}")))
}

/// Fetches until there is a job.
fn fetch(caller: &mut FaktoryConnection<TcpStream>, queues: &str) -> serde_json::Value {
    (0..100).find_map(|_| caller.fetch(queues)).expect("a job")
}

#[test]
fn commands_get_the_replies_of_the_protocol() {
    let (_discovery, _program, at) = start(GATEWAY_CONFIG, settings());
    let mut client = FaktoryConnection::connect(at, None);
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
    // A worker: no job in time, BEAT under its own wid alone, bad words about jobs.
    let mut worker = FaktoryConnection::connect(at, Some("w-1"));
    assert_eq!(worker.command("FETCH routes"), "$-1");
    assert_eq!(worker.command(r#"BEAT {"wid":"w-1"}"#), "+OK");
    assert!(worker.command(r#"BEAT {"wid":"w-2"}"#).starts_with("-ERR MALFORMED BEAT"));
    assert!(worker.command("ACK nothing").starts_with("-ERR MALFORMED ACK"));
    assert!(worker.command("FAIL {}").starts_with("-ERR MALFORMED FAIL"));
}

#[test]
fn what_can_not_be_a_conversation_is_closed() {
    let (_discovery, _program, at) = start(GATEWAY_CONFIG, settings());
    let open = || {
        let mut caller = FaktoryConnection { stream: BufReader::new(TcpStream::connect(at).unwrap()) };
        assert_eq!(caller.read_line().unwrap(), "+HI {\"v\":2}");
        caller
    };
    for line in ["PUSH {}", "HELLO", "HELLO {\"v\":1}", "HELLO {\"v\":2,\"wid\":7}"] {
        let mut caller = open();
        assert!(caller.command(line).starts_with("-ERR MALFORMED"), "{line}");
        assert_eq!(caller.read_line(), None, "{line}");
    }
    // A frame that never ends.
    let mut caller = FaktoryConnection::connect(at, None);
    let _ = caller.stream.get_mut().write_all(&vec![b'x'; 200 * 1024]);
    assert!(caller.read_line().is_none_or(|line| line.starts_with("-ERR MALFORMED a frame")));
    // One that breaks off in its midst; a connection that rests between two is left alone.
    let (mut rests, mut halts) = (FaktoryConnection::connect(at, None), FaktoryConnection::connect(at, None));
    halts.stream.get_mut().write_all(b"PUSH {").unwrap();
    assert!(halts.read_line().unwrap().starts_with("-ERR MALFORMED a frame is too slow"));
    assert_eq!(halts.read_line(), None);
    assert!(rests.command("INFO").starts_with('$'));
    // And the front goes on.
    assert_eq!(FaktoryConnection::connect(at, Some("w-1")).command("FETCH routes"), "$-1");
}

#[test]
fn a_password_is_asked_for_and_checked() {
    use sha2::{Digest, Sha256};
    let file = test_dir().join("password");
    std::fs::write(&file, "open sesame\n").unwrap();
    let gateway = format!("password_file = {:?}\n{GATEWAY_CONFIG}", file);
    let (_discovery, _program, at) = start(&gateway, settings());
    for (password, good) in [("open sesame", true), ("open barley", false)] {
        let mut caller = FaktoryConnection { stream: BufReader::new(TcpStream::connect(at).unwrap()) };
        let hi = caller.read_line().unwrap();
        let hi: serde_json::Value = serde_json::from_str(hi.strip_prefix("+HI ").unwrap()).unwrap();
        let mut hash = format!("{password}{}", hi["s"].as_str().unwrap()).into_bytes();
        for _ in 0..hi["i"].as_u64().unwrap() {
            hash = Sha256::digest(&hash).to_vec();
        }
        let hash: String = hash.iter().map(|b| format!("{b:02x}")).collect();
        let reply = caller.command(&format!("HELLO {}", json!({"v": 2, "pwdhash": hash})));
        assert_eq!(reply == "+OK", good, "{reply}");
    }
}

/// A worker that goes quiet drains: what waited for it goes elsewhere at once, what it runs it ends.
#[test]
fn nothing_new_goes_to_a_worker_once_it_is_quiet() {
    let (_discovery, program, at) = start(GATEWAY_CONFIG, settings());
    let mut one = FaktoryConnection::connect(at, Some("w-1"));
    assert_eq!(one.command("FETCH waves"), "$-1");
    let clients: Vec<_> = (0..4).map(|_| push(at, job("waves", &new_id(), "serve", json!({})))).collect();
    let running = fetch(&mut one, "waves");
    let seen = Events::default();
    worker(at, "w-2", 1, &seen);
    program.log.wait("worker w-2 of", 1);
    assert_eq!(one.command(r#"BEAT {"wid":"w-1","current_state":"quiet"}"#), "+OK");
    program.log.wait("w-1 is quiet", 1);
    // The rest reaches the other one; the quiet one fetches in vain, and its running job counts.
    for done in 1..=3 {
        assert_eq!(one.command("FETCH waves"), "$-1");
        seen.wait("w-2 told serve", done);
    }
    assert_eq!(one.command(&format!("ACK {}", json!({"jid": running["jid"]}))), "+OK");
    assert!(clients.into_iter().all(|client| client.join().unwrap() == "+OK"));
}

/// A new wid is a process that has just started: it gets no more than a cold one can stand, however
/// many of its connections are parked.
#[test]
fn a_cold_worker_is_not_flooded() {
    let mut cold = settings();
    cold["rules"]["coldFrom"] = json!(0.32);
    cold["rules"]["fallMultiple"] = json!(2.5);
    cold["rules"]["warmAfter"] = json!(3_600_000_000_000u64);
    for (settings, flooded) in [(cold, false), (settings(), true)] {
        let (_discovery, program, at) = start(GATEWAY_CONFIG, settings);
        let seen = Events::default();
        worker(at, "w-1", 20, &seen);
        program.log.wait("worker w-1 of", 1);
        let clients: Vec<_> =
            (0..60).map(|_| push(at, job("routes", &new_id(), "serve", json!({})))).collect();
        let heard: Vec<_> = clients.into_iter().map(|client| client.join().unwrap()).collect();
        let served = heard.iter().filter(|reply| *reply == "+OK").count();
        assert_eq!(served, seen.count("got serve"));
        assert_eq!(served == 60, flooded, "{served} served");
        assert!(heard.iter().all(|reply| reply == "+OK" || reply.starts_with("-ERR REFUSED")), "{heard:?}");
    }
}

#[test]
fn a_worker_without_beats_is_gone_and_a_deadline_holds_whatever_it_does() {
    let gateway = format!("beat_limit_s = 0.5\n{GATEWAY_CONFIG}");
    let (_discovery, program, at) = start(&gateway, settings());
    let mut silent = FaktoryConnection::connect(at, Some("w-1"));
    assert_eq!(silent.command("FETCH waves"), "$-1");
    let lost = push(at, job("waves", &new_id(), "serve", json!({"timeout_ms": 6000})));
    let job_held = fetch(&mut silent, "waves");
    program.log.wait("w-1 has missed its beats", 1);
    // What it ran may have run: the class keyed by hall can only fail.
    assert!(lost.join().unwrap().starts_with("-ERR FAILED"));
    // It hears so on its old connection, and is taken back on a new one, whose life the end of the
    // old one does not touch.
    for line in [&format!("ACK {}", json!({"jid": job_held["jid"]})), r#"BEAT {"wid":"w-1"}"#, "FETCH waves"]
    {
        assert!(silent.command(line).starts_with("-ERR DENIED this worker was given up"));
    }
    let seen = Events::default();
    worker(at, "w-1", 1, &seen);
    program.log.wait("worker w-1 of", 2);
    drop(silent);
    assert_eq!(push(at, job("waves", &new_id(), "serve", json!({}))).join().unwrap(), "+OK");
}

/// Jobs of both fronts draw on one member's share: what one front has used up the other can't use,
/// and what goes beyond the share is served after what another member has within its own.
#[test]
fn both_fronts_count_under_one_members_share() {
    let mut tight = settings();
    tight["projects"][0]["quotaPerS"] = json!(1.0);
    tight["services"][3]["objective"] = json!(5_000_000_000u64);
    let (_discovery, program, at) = start(GATEWAY_CONFIG, tight);
    let ids: Vec<String> = (0..3).map(|_| new_id()).collect();
    let (id, to) = (ids[0].clone(), program.address);
    let within =
        thread::spawn(move || call(to, &api_request("short-pick", &id, "6000m", ""), "serve").status());
    program.log.wait(&format!("request {}", ids[0]), 1);
    // The same member's second job, by the other front, and another member's first.
    let beyond = push(at, job("picks", &ids[1], "serve", json!({"member": "mehran-dist"})));
    program.log.wait(&format!("request {}", ids[1]), 1);
    let other = push(at, job("picks", &ids[2], "serve", json!({})));
    program.log.wait(&format!("request {}", ids[2]), 1);
    let seen = Events::default();
    worker(at, "w-1", 1, &seen);
    assert_eq!(within.join().unwrap(), 200);
    assert_eq!((beyond.join().unwrap().as_str(), other.join().unwrap().as_str()), ("+OK", "+OK"));
    let got = seen.all();
    let place =
        |id: &String| got.iter().position(|event| event.contains(&format!("got serve {id}"))).unwrap();
    assert!(place(&ids[0]) < place(&ids[2]) && place(&ids[2]) < place(&ids[1]), "{got:?}");
}

// ---- SPIFFE ----

/// A trust domain's authority.
struct Site {
    domain: &'static str,
    issuer: CertifiedIssuer<'static, KeyPair>,
}

impl Site {
    fn new(domain: &'static str) -> Site {
        let mut params = CertificateParams::default();
        params.is_ca = IsCa::Ca(BasicConstraints::Unconstrained);
        params.key_usages = vec![KeyUsagePurpose::KeyCertSign, KeyUsagePurpose::CrlSign];
        Site { domain, issuer: CertifiedIssuer::self_signed(params, KeyPair::generate().unwrap()).unwrap() }
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

/// Takes any server: these tests are about what the server takes.
#[derive(Debug)]
struct Trusting(Arc<rustls::crypto::CryptoProvider>);

impl rustls::client::danger::ServerCertVerifier for Trusting {
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

fn connect(at: SocketAddr, (cert, key): &(String, String)) -> FaktoryConnection<Tls> {
    let provider = Arc::new(rustls::crypto::ring::default_provider());
    let chain = CertificateDer::pem_slice_iter(cert.as_bytes()).map(Result::unwrap).collect();
    let config = rustls::ClientConfig::builder_with_provider(provider.clone())
        .with_safe_default_protocol_versions()
        .unwrap()
        .dangerous()
        .with_custom_certificate_verifier(Arc::new(Trusting(provider)))
        .with_client_auth_cert(chain, PrivateKeyDer::from_pem_slice(key.as_bytes()).unwrap())
        .unwrap();
    let name = ServerName::try_from("gateway.example").unwrap();
    let connection = rustls::ClientConnection::new(Arc::new(config), name).unwrap();
    let stream = rustls::StreamOwned::new(connection, TcpStream::connect(at).unwrap());
    FaktoryConnection { stream: BufReader::new(stream) }
}

fn write(folder: &Path, name: &str, text: &str) {
    std::fs::write(folder.join(name), text).unwrap();
}

#[test]
fn two_sites_federate_and_strangers_are_refused() {
    let (east, lahore, elsewhere) =
        (Site::new("east.example"), Site::new("lahore.example"), Site::new("else.example"));
    let folder = test_dir();
    let own = east.svid("/gateway");
    write(&folder, "svid.pem", &own.0);
    write(&folder, "key.pem", &own.1);
    write(&folder, "east.pem", &east.issuer.pem());
    write(&folder, "lahore.pem", &lahore.issuer.pem());
    let at = folder.display();
    let gateway = GATEWAY_CONFIG.replace("plaintext = true\nmember = \"ravi-supply\"", "");
    let gateway = format!(
        r#"{gateway}
        [tls]
        svid = "{at}/svid.pem"
        key = "{at}/key.pem"
        reload_s = 3600.0
        [[tls.bundle]]
        trust_domain = "east.example"
        file = "{at}/east.pem"
        [[tls.bundle]]
        trust_domain = "lahore.example"
        file = "{at}/lahore.pem"
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
    let (_discovery, program, at) = start(&gateway, settings());
    // A worker of one site serves a client of the other.
    let mut worker = connect(at, &lahore.svid("/pick-node/7"));
    worker.hello(Some("w-7"));
    assert_eq!(worker.command("FETCH picks"), "$-1");
    let mehran = east.svid("/floor/mehran");
    let client = {
        let mehran = mehran.clone();
        thread::spawn(move || {
            let mut client = connect(at, &mehran);
            client.hello(None);
            client.command(&format!(
                "PUSH {}",
                job("picks", &new_id(), "serve", json!({"member": "ravi-supply"}))
            ))
        })
    };
    let job_held = (0..100).find_map(|_| worker.fetch("picks")).expect("a job");
    assert_eq!(worker.command(&format!("ACK {}", json!({"jid": job_held["jid"]}))), "+OK");
    assert_eq!(client.join().unwrap(), "+OK");
    // Each identity keeps to its role.
    assert!(
        worker
            .command(&format!("PUSH {}", job("picks", &new_id(), "serve", json!({}))))
            .starts_with("-ERR DENIED")
    );
    let mut client = connect(at, &mehran);
    assert_eq!(client.read_line().unwrap(), "+HI {\"v\":2}");
    assert!(client.command(r#"HELLO {"v":2,"wid":"w-8"}"#).starts_with("-ERR DENIED"));
    let mut thief = connect(at, &lahore.svid("/pick-node/8"));
    assert_eq!(thief.read_line().unwrap(), "+HI {\"v\":2}");
    assert!(thief.command(r#"HELLO {"v":2,"wid":"w-7"}"#).starts_with("-ERR DENIED this wid"));
    // Refused, and the log says why: one site's authority signing for the other, a domain without a
    // bundle, one expired, two names, none, and a good one that the file does not name.
    let refused = |svid: (String, String), why: &str, times: usize| {
        assert_eq!(connect(at, &svid).read_line(), None, "{why}");
        program.log.wait(why, times);
    };
    refused(
        lahore.sign(&["spiffe://east.example/floor/mehran"], false),
        "refused: spiffe://east.example/floor/mehran: invalid",
        1,
    );
    refused(elsewhere.svid("/floor/mehran"), "spiffe://else.example/floor/mehran: no such trust domain", 1);
    refused(
        east.sign(&["spiffe://east.example/floor/mehran"], true),
        "floor/mehran: invalid peer certificate: certificate expired",
        1,
    );
    refused(east.sign(&["spiffe://east.example/a", "spiffe://east.example/b"], false), "this has 2", 1);
    refused(east.sign(&["https://east.example/a"], false), "no SPIFFE ID", 1);
    refused(east.svid("/floor/nobody"), "floor/nobody is in no identity", 1);
    // Bundles rotate: what the new authority signs is taken, what the old one signed is not.
    let rotated = Site::new("lahore.example");
    write(&folder, "lahore.pem", &rotated.issuer.pem());
    program.signal("HUP");
    program.log.wait("SVID and bundles reloaded", 1);
    connect(at, &rotated.svid("/pick-node/9")).hello(Some("w-9"));
    refused(lahore.svid("/pick-node/7"), "refused: spiffe://lahore.example/pick-node/7: invalid", 1);
    // A file that is of no use changes nothing.
    write(&folder, "lahore.pem", "nothing");
    program.signal("HUP");
    program.log.wait("not reloaded, the old ones stay: tls.bundle.file", 1);
    connect(at, &rotated.svid("/pick-node/9")).hello(Some("w-9"));
}
