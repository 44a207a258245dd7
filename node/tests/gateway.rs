//! The Faktory front by itself: framing, and the lifecycle of workers.

mod common;
#[path = "common/gateway.rs"]
mod gateway;

use common::*;
use gateway::*;
use serde_json::json;
use std::io::{BufReader, Write};
use std::net::TcpStream;
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
