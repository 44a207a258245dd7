//! The small parts of the wires: objects cut out of a stream, identities, calls at the operators' door, the
//! register of doors and the socket handed down. It owns what each makes of good and bad words.

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

/// All objects of a text that comes in chunks of a length, or why one can't be read.
fn read(text: &str, chunk: usize) -> Result<Vec<Value>, String> {
    let (mut objects, mut all) = (JsonStream::new(200), Vec::new());
    for part in text.as_bytes().chunks(chunk) {
        objects.extend(part);
        while let Some(object) = objects.next()? {
            all.push(object);
        }
    }
    Ok(all)
}

#[test]
fn objects_come_out_whole_however_they_are_indented_and_cut() {
    let (one, two) = (json!({"seq": 1, "hosts": [{"host": "a}"}]}), json!({"seq": 2, "hosts": []}));
    let pretty = serde_json::to_string_pretty(&one).expect("it is an object");
    let text = format!("\n{pretty}\r\n\n\n{two}\n{one}{two}\n");
    for chunk in 1..text.len() {
        let want = vec![one.clone(), two.clone(), one.clone(), two.clone()];
        assert_eq!(read(&text, chunk), Ok(want), "in chunks of {chunk}");
    }
}

#[test]
fn what_is_no_object_or_too_long_is_named() {
    assert!(read("{\"seq\": nonsense}", 3).unwrap_err().contains("can't be read"));
    assert_eq!(read("503 busy", 100).unwrap_err(), "what comes is no object");
    assert!(read(&format!("{{\"a\": \"{}", "x".repeat(300)), 7).unwrap_err().contains("longer than 200"));
    assert_eq!(read("{\"cut\": [1, 2", 4), Ok(Vec::new()));
}

#[test]
fn ids_are_read_as_their_document_says() {
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

/// A change that the serving thread never carries out is answered with a whole line all the same.
#[test]
fn a_change_not_carried_out_in_time_gets_a_whole_line() {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_time().build().unwrap();
    let (asks, _held) = mpsc::unbounded_channel();
    let limits =
        AdminLimits { execute_timeout: std::time::Duration::from_millis(1), ..AdminLimits::default() };
    let figures = Metrics::default();
    let said = runtime.block_on(execute(Command::Disable("s-0".into()), &figures, &asks, limits));
    assert_eq!(said, "ERR not carried out within 1 ms: call again\n");
}

#[test]
fn calls_are_read_and_what_is_wrong_is_named() {
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
fn a_call_back_goes_to_the_door_that_has_the_job_and_dead_doors_are_struck_off() {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().unwrap();
    let folder = tempfile::tempdir().unwrap();
    let second = Duration::from_secs(10);
    let at = |n: u16| SocketAddr::from(([127, 0, 0, 1], n));
    let here = PeerRegistry::register(folder.path().to_owned(), at(1), second).unwrap();
    let listed = || std::fs::read_dir(folder.path()).unwrap().count();
    runtime.block_on(async {
        assert_eq!(here.forward("{}").await, Forwarded::NoOwner, "there is only this process");
        // Port 2 is nobody's; the other door answers busy once and takes the call then.
        let listener = tokio::net::TcpListener::bind("127.0.0.1:0").await.unwrap();
        let there = listener.local_addr().unwrap();
        let dead = PeerRegistry::register(folder.path().to_owned(), at(2), second).unwrap();
        let live = PeerRegistry::register(folder.path().to_owned(), there, second).unwrap();
        assert_eq!(listed(), 3);
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
        assert_eq!(here.forward(r#"{"id":"a"}"#).await, Forwarded::Accepted);
        assert_eq!(listed(), 2, "the dead one is struck off");
        assert_eq!(here.forward(r#"{"id":"b"}"#).await, Forwarded::NoOwner);
        assert_eq!(
            serve.await.unwrap(),
            ["TOLD {\"id\":\"a\"}\n", "TOLD {\"id\":\"a\"}\n", "TOLD {\"id\":\"b\"}\n"]
        );
        drop((dead, live));
        assert_eq!(listed(), 1);
    });
    drop(here);
    assert_eq!(listed(), 0);
}

#[test]
fn what_is_no_listening_socket_is_named() {
    assert!(listener_from_fd("five").unwrap_err().contains("is no descriptor number"));
    assert!(listener_from_fd("2").unwrap_err().contains("standard stream"));
    assert!(listener_from_fd("1000000").unwrap_err().contains("is not open"));
}
