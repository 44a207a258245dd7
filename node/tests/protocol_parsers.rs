//! Protocol parsers and helpers: JSON objects cut from a stream, SPIFFE ids, commands on the admin socket,
//! the registry of peer processes, and the inherited listening socket. Each with valid and invalid input.

use sablerun_node::metrics::Metrics;
use sablerun_node::net::admin::{AdminLimits, Command, execute, parse};
use sablerun_node::net::json_stream::JsonStream;
use sablerun_node::net::peers::{Forwarded, PeerRegistry};
use sablerun_node::net::socket_activation::listener_from_fd;
use sablerun_node::net::spiffe::SpiffeId;
use serde_json::{Value, json};
use std::net::SocketAddr;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::sync::mpsc;

/// Returns all objects of a text that arrives in chunks of this size, or the parse error.
fn read(text: &str, chunk: usize) -> Result<Vec<Value>, String> {
    let (mut stream, mut all) = (JsonStream::new(200), Vec::new());
    for bytes in text.as_bytes().chunks(chunk) {
        stream.extend(bytes);
        while let Some(object) = stream.next()? {
            all.push(object);
        }
    }
    Ok(all)
}

#[test]
fn objects_are_parsed_whole_whatever_their_indentation_and_chunks() {
    let (one, two) = (json!({"seq": 1, "hosts": [{"host": "a}"}]}), json!({"seq": 2, "hosts": []}));
    let pretty = serde_json::to_string_pretty(&one).expect("it is an object");
    let text = format!("\n{pretty}\r\n\n\n{two}\n{one}{two}\n");
    for chunk in 1..text.len() {
        let want = vec![one.clone(), two.clone(), one.clone(), two.clone()];
        assert_eq!(read(&text, chunk), Ok(want), "in chunks of {chunk}");
    }
}

#[test]
fn invalid_or_oversized_objects_get_a_clear_error() {
    assert!(read("{\"seq\": nonsense}", 3).unwrap_err().contains("can't be read"));
    assert_eq!(read("503 busy", 100).unwrap_err(), "what comes is no object");
    assert!(read(&format!("{{\"a\": \"{}", "x".repeat(300)), 7).unwrap_err().contains("longer than 200"));
    assert_eq!(read("{\"cut\": [1, 2", 4), Ok(Vec::new()));
}

#[test]
fn spiffe_ids_are_parsed_as_the_standard_says() {
    let id = SpiffeId::parse("spiffe://karachi-east.example/pick-node/7").unwrap();
    assert_eq!(id.trust_domain(), "karachi-east.example");
    assert!(SpiffeId::parse("spiffe://example.org").is_ok());
    for bad in [
        "",
        "example.org/a",
        "https://example.org/a",
        "spiffe://",
        "spiffe:///a",
        "spiffe://Example.org/a",
        "spiffe://example.org:80/a",
        "spiffe://me@example.org/a",
        "spiffe://example.org/",
        "spiffe://example.org/a/",
        "spiffe://example.org//a",
        "spiffe://example.org/./a",
        "spiffe://example.org/a/../b",
        "spiffe://example.org/a?b",
        "spiffe://example.org/a#b",
        "spiffe://example.org/a%20b",
    ] {
        assert!(SpiffeId::parse(bad).is_err(), "{bad:?}");
    }
    assert!(SpiffeId::parse(&format!("spiffe://example.org/{}", "a".repeat(2048))).is_err());
}

/// An admin command that the serving thread does not apply in time is still answered with a whole line.
#[test]
fn a_command_not_applied_in_time_gets_a_whole_line() {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_time().build().unwrap();
    let (command_sender, _command_receiver) = mpsc::unbounded_channel();
    let limits =
        AdminLimits { execute_timeout: std::time::Duration::from_millis(1), ..AdminLimits::default() };
    let metrics = Metrics::default();
    let reply = runtime.block_on(execute(Command::Disable("s-0".into()), &metrics, &command_sender, limits));
    assert_eq!(reply, "ERR not carried out within 1 ms: call again\n");
}

#[test]
fn admin_commands_are_parsed_and_errors_are_clear() {
    assert_eq!(parse(b"READY\n"), Ok(Command::Ready));
    assert_eq!(parse(b"stats\r\n"), Ok(Command::Stats));
    assert_eq!(parse(b"DISABLE s-0badcafe\n"), Ok(Command::Disable("s-0badcafe".into())));
    assert_eq!(parse(b"ENABLE s-1"), Ok(Command::Enable("s-1".into())));
    assert!(parse(b"\n").unwrap_err().starts_with("empty call"));
    assert!(parse(b"DISABLE\n").unwrap_err().contains("which runner"));
    assert!(parse(b"READY now\n").unwrap_err().contains("takes no argument"));
    assert!(parse(b"DISABLE a b\n").unwrap_err().contains("too many words"));
    assert!(parse(b"DRAIN s-1\n").unwrap_err().contains("unknown call \"DRAIN\""));
    assert!(parse(&[0xff, b'\n']).unwrap_err().contains("UTF-8"));
}

#[test]
fn a_call_back_is_forwarded_to_the_owner_and_dead_peers_are_removed() {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().unwrap();
    let folder = tempfile::tempdir().unwrap();
    let timeout = Duration::from_secs(10);
    let loopback = |n: u16| SocketAddr::from(([127, 0, 0, 1], n));
    let own_registration = PeerRegistry::register(folder.path().to_owned(), loopback(1), timeout).unwrap();
    let registered = || std::fs::read_dir(folder.path()).unwrap().count();
    runtime.block_on(async {
        assert_eq!(
            own_registration.forward(b"{}").await,
            Forwarded::NoOwner,
            "no other process is registered"
        );
        // Nothing listens on port 2; the other admin socket answers busy once and then accepts the call.
        let listener = tokio::net::TcpListener::bind("127.0.0.1:0").await.unwrap();
        let live_address = listener.local_addr().unwrap();
        let dead = PeerRegistry::register(folder.path().to_owned(), loopback(2), timeout).unwrap();
        let live = PeerRegistry::register(folder.path().to_owned(), live_address, timeout).unwrap();
        assert_eq!(registered(), 3);
        let serve = tokio::spawn(async move {
            let mut calls = Vec::new();
            for answer in ["ERR busy: too many calls at once, call again\n", "OK\n", "ERR no job\n"] {
                let (mut stream, _) = listener.accept().await.unwrap();
                let mut call = vec![0; 100];
                let read = stream.read(&mut call).await.unwrap();
                calls.push(String::from_utf8_lossy(&call[..read]).into_owned());
                stream.write_all(answer.as_bytes()).await.unwrap();
            }
            calls
        });
        assert_eq!(own_registration.forward(br#"{"id":"a"}"#).await, Forwarded::Accepted);
        assert_eq!(registered(), 2, "the dead peer is removed");
        assert_eq!(own_registration.forward(br#"{"id":"b"}"#).await, Forwarded::NoOwner);
        assert_eq!(
            serve.await.unwrap(),
            ["TOLD {\"id\":\"a\"}\n", "TOLD {\"id\":\"a\"}\n", "TOLD {\"id\":\"b\"}\n"]
        );
        drop((dead, live));
        assert_eq!(registered(), 1);
    });
    drop(own_registration);
    assert_eq!(registered(), 0);
}

#[test]
fn an_invalid_listening_socket_gets_a_clear_error() {
    assert!(listener_from_fd("five").unwrap_err().contains("is no descriptor number"));
    assert!(listener_from_fd("2").unwrap_err().contains("standard stream"));
    assert!(listener_from_fd("1000000").unwrap_err().contains("is not open"));
}
