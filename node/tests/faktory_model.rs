//! Random lines against a model of a Faktory connection's states: new, client, worker, closed. Whatever lines
//! arrive, in chunks of any size, the reply is the one that the state allows.

#[path = "common/env.rs"]
mod env;

use proptest::prelude::*;
use proptest::test_runner::RngSeed;
use sablerun as sr;
use sablerun_node::core::Core;
use sablerun_node::limits::Limits;
use sablerun_node::net::faktory::Faktory;
use sablerun_node::runtime::{Clock, Runtime};
use sablerun_settings::{NameTable, Tables};
use std::rc::Rc;
use tokio::io::{AsyncBufReadExt, AsyncReadExt, AsyncWriteExt, BufReader};

#[derive(Clone, Copy, Debug, PartialEq)]
enum State {
    New,
    Client,
    Worker,
    Closed,
}

/// Returns the next state and the start of the reply to a line; no reply means that the connection ends.
fn reply(state: State, line: &str) -> (State, Option<&'static str>) {
    use State::*;
    let worker = |reply| if state == Worker { (Worker, Some(reply)) } else { (state, Some("-ERR DENIED")) };
    match (state, line) {
        (Closed, _) => (Closed, None),
        (New, r#"HELLO {"v":2}"#) => (Client, Some("+OK")),
        (New, r#"HELLO {"v":2,"wid":"w"}"#) => (Worker, Some("+OK")),
        (New, _) => (Closed, Some("-ERR MALFORMED")),
        (_, "END") => (Closed, None),
        (_, "INFO") => (state, Some("$")),
        (_, "FLUSH") => (state, Some("-ERR DENIED")),
        (_, "PUSH {}") => (state, Some("-ERR MALFORMED PUSH")),
        // No worker runs it, so it is refused once its objective has passed.
        (_, line) if line.starts_with("PUSH ") => (state, Some("-ERR REFUSED retry_after=")),
        (_, "FETCH q") => worker("$-1"),
        (_, r#"ACK {"jid":"12345678"}"# | r#"FAIL {"jid":"12345678"}"# | r#"BEAT {"wid":"w"}"#) => {
            worker("+OK")
        }
        (_, "ACK" | "FAIL x") => worker("-ERR MALFORMED"),
        (_, r#"BEAT {"wid":"other"}"#) => worker("-ERR MALFORMED BEAT"),
        _ => (state, Some("-ERR UNKNOWN")),
    }
}

const LINES: [&str; 17] = [
    r#"HELLO {"v":2}"#,
    r#"HELLO {"v":2,"wid":"w"}"#,
    r#"HELLO {"v":1}"#,
    "HELLO",
    "END",
    "INFO",
    "FLUSH",
    "PUSH {}",
    r#"PUSH {"jid":"12345678","jobtype":"t","queue":"q","args":[]}"#,
    "FETCH q",
    r#"ACK {"jid":"12345678"}"#,
    r#"FAIL {"jid":"12345678"}"#,
    "ACK",
    "FAIL x",
    r#"BEAT {"wid":"w"}"#,
    r#"BEAT {"wid":"other"}"#,
    "",
];

fn front() -> Rc<Faktory> {
    let class = sr::Class {
        objective: sr::Span::from_secs(0.002),
        stretch: 0.0,
        deadline: sr::Span::from_secs(5.0),
        worth: 1.0,
        late_worth: 0.0,
        idempotency: sr::Idempotency::Safe,
        window: sr::Span(0),
        kind: None,
    };
    let max_hold_off = sr::Span::from_secs(1.0);
    let settings = sr::Settings { classes: vec![class], max_hold_off, ..sr::Settings::default() };
    let (names, classes) = (NameTable::default, NameTable::of([&"c".to_owned()]));
    let (workers, zones, kinds, tenants) = (names(), names(), names(), names());
    let tables = Tables { workers, zones, kinds, classes, tenants, fields: Vec::new() };
    let env = env::test_env();
    let limits = Limits::new(1024, 192, &env, true);
    let clock = Clock::new();
    let core =
        Core::new(settings, tables, ([127, 0, 0, 1], 8500).into(), 1, clock.now(), limits.max_open).unwrap();
    let runtime = Runtime::new(core, clock, limits);
    let file = "listen = \"127.0.0.1:0\"\nplaintext = true\nfetch_wait_ms = 1\n[[route]]\nclass = \"c\"\n";
    let gateway = toml::from_str(file).unwrap();
    let front = Faktory::new(&runtime, gateway).unwrap();
    runtime.add_link(front.clone());
    let timer = runtime.clone();
    actix_rt::spawn(async move { timer.run_timers().await });
    front
}

async fn run_conversation(lines: Vec<usize>, chunk_size: usize) {
    let front = front();
    let (client_end, server_end) = tokio::io::duplex(256);
    let peer = front.plaintext_peer(([127, 0, 0, 1], 1).into());
    let server_task = actix_rt::spawn(front.serve_connection(server_end, peer));
    let (reader, mut writer) = tokio::io::split(client_end);
    let mut reader = BufReader::new(reader);
    let mut text = String::new();
    reader.read_line(&mut text).await.unwrap();
    assert_eq!(text, "+HI {\"v\":2}\r\n");
    let mut state = State::New;
    for line in lines.into_iter().map(|n| LINES[n]) {
        let (next_state, expected) = reply(state, line);
        for part in format!("{line}\r\n").as_bytes().chunks(chunk_size) {
            // The connection may be closed already.
            let _ = writer.write_all(part).await;
            tokio::task::yield_now().await;
        }
        text.clear();
        let _ = reader.read_line(&mut text).await;
        match expected {
            None => assert_eq!(text, "", "{state:?} {line}"),
            Some(start) => assert!(text.starts_with(start), "{state:?} {line:?}: {text:?}, not {start:?}"),
        }
        if expected == Some("$") {
            let mut body = vec![0; text[1..].trim().parse::<usize>().unwrap() + 2];
            reader.read_exact(&mut body).await.unwrap();
        }
        state = next_state;
    }
    drop((reader, writer));
    server_task.await.unwrap();
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 100,
        rng_seed: RngSeed::Fixed(0x5ab1e),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    #[test]
    fn a_connection_replies_as_its_state_allows(
        hello in 0..2usize,
        lines in prop::collection::vec(0..LINES.len(), 1..14),
        chunk_size in 1..80usize,
        greets in prop::bool::weighted(0.9),
    ) {
        let lines = greets.then_some(hello).into_iter().chain(lines).collect();
        actix_rt::System::new().block_on(run_conversation(lines, chunk_size));
    }
}
