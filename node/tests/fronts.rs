//! The same jobs through both fronts: every rule holds whichever protocol a job arrived or was sent by.

mod common;

use common::*;
use serde_json::{Value, json};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::thread;

/// Pushes a job and returns the reply.
fn push(address: SocketAddr, queue: &str, jid: &str, behaviour: &str, custom: Value) -> String {
    FaktoryConnection::connect(address, None).command(&format!("PUSH {}", job(queue, jid, behaviour, custom)))
}

/// Runs a job through the Faktory front and returns the result as the client sees it.
fn through_faktory(address: SocketAddr, queue: &str, behaviour: &str, timeout_ms: u64) -> &'static str {
    match push(address, queue, &new_id(), behaviour, json!({"timeout_ms": timeout_ms})).as_str() {
        "+OK" => "served",
        reply if reply.starts_with("-ERR REFUSED retry_after=") => "refused",
        reply if reply.starts_with("-ERR FAILED ") => "failed",
        other => panic!("{other}"),
    }
}

/// Runs a job through the HTTP front and returns the result as the client sees it.
fn through_http(address: SocketAddr, class: &str, behaviour: &str, timeout_ms: u64) -> &'static str {
    let answer = call(address, &api_request(class, &new_id(), &format!("{timeout_ms}m"), ""), behaviour);
    match answer.status() {
        200 => "served",
        503 => {
            let wait: f64 = answer.headers["retry-after"].parse().unwrap();
            assert!(wait > 0.0);
            "refused"
        }
        502 => "failed",
        other => panic!("{other}"),
    }
}

/// Each case: the queue, its class, what becomes of the job, and the result that the client must get.
const SUITE: [(&str, &str, &str, &str); 12] = [
    ("routes", "pick-route", "serve", "served"),
    ("waves", "wave-release", "serve", "served"),
    ("picks", "short-pick", "serve", "served"),
    // Errors: a job that may be retried is refused in the end; one that may have run in one hall fails.
    ("routes", "pick-route", "error", "refused"),
    ("waves", "wave-release", "error", "failed"),
    ("picks", "short-pick", "error", "refused"),
    // Jobs that hang: the deadlines hold.
    ("routes", "pick-route", "hang", "refused"),
    ("waves", "wave-release", "hang", "failed"),
    ("picks", "short-pick", "hang", "refused"),
    // The runners still serve after that.
    ("routes", "pick-route", "serve", "served"),
    ("waves", "wave-release", "serve", "served"),
    ("picks", "short-pick", "serve", "served"),
];

/// After a broken connection it is unknown whether the job ran. Its worker is avoided for a while, so each of
/// these cases has its own program.
const BROKEN: [(&str, &str, &str, &str); 2] =
    [("routes", "pick-route", "reset", "refused"), ("waves", "wave-release", "reset", "failed")];

/// Runs a suite through a front and counts the results.
fn run_suite(
    suite: &[(&'static str, &'static str, &'static str, &'static str)],
    send: impl Fn(&'static str, &'static str, &'static str) -> &'static str,
) -> BTreeMap<&'static str, usize> {
    let mut counts = BTreeMap::new();
    for &(queue, class, behaviour, expected) in suite {
        let result = send(queue, class, behaviour);
        assert_eq!(result, expected, "{class} {behaviour}");
        *counts.entry(result).or_insert(0) += 1;
    }
    counts
}

/// Starts a program with three runners of the platform.
fn platform() -> (Discovery, Vec<Runner>, Program) {
    let runners: Vec<Runner> = (0..3).map(|n| Runner::start(&format!("s-{n}"))).collect();
    let hosts =
        runners.iter().enumerate().map(|(n, r)| host(&format!("s-{n}"), r.address, "hall-a", "active"));
    let discovery = Discovery::start(hosts.collect());
    let program = Program::start(&discovery, settings(), Some(GATEWAY_CONFIG));
    runners.iter().for_each(|runner| runner.call_back_to(&program));
    (discovery, runners, program)
}

/// Starts a program with this many Faktory workers and no runner.
fn gateway(workers: usize) -> (Discovery, Events, Program) {
    let discovery = Discovery::start(Vec::new());
    let program = Program::start(&discovery, settings(), Some(GATEWAY_CONFIG));
    let events = Events::default();
    for n in 0..workers {
        worker(program.faktory_address.unwrap(), &format!("w-{n}"), 5, &events);
        program.log.wait(&format!("worker w-{n} of"), 1);
    }
    (discovery, events, program)
}

#[test]
fn the_same_suite_gives_the_same_counts_through_both_fronts() {
    // Clients of both fronts, over the platform's runners and over Faktory's workers.
    let mut all = vec![Vec::new(); 4];
    for suite in [&SUITE[..], &BROKEN[..1], &BROKEN[1..]] {
        for (n, counts) in all.iter_mut().enumerate() {
            let (over_workers, over_faktory) = (n / 2 == 1, n % 2 == 1);
            let (_guard, program) = if over_workers {
                let (discovery, _, program) = gateway(3);
                ((discovery, Vec::new()), program)
            } else {
                let (discovery, runners, program) = platform();
                ((discovery, runners), program)
            };
            counts.push(run_suite(suite, |queue, class, behaviour| {
                // A job that hangs gets a shorter deadline than one that must be served.
                let timeout = if behaviour == "hang" { 400 } else { 5000 };
                if over_faktory {
                    through_faktory(program.faktory_address.unwrap(), queue, behaviour, timeout)
                } else {
                    through_http(program.address, class, behaviour, timeout)
                }
            }));
        }
    }
    assert!(all.iter().all(|counts| *counts == all[0]), "{all:?}");
    assert_eq!(all[0][0], BTreeMap::from([("failed", 2), ("refused", 4), ("served", 6)]));
}

#[test]
fn an_answer_returns_through_the_front_that_received_the_job() {
    let (_discovery, events, program) = gateway(1);
    let answer = call(program.address, &api_request("short-pick", &new_id(), "5000m", ""), "serve");
    assert_eq!((answer.status(), answer.body.as_str()), (200, "by w-0"));
    let got = events.wait("w-0 got serve", 1);
    assert!(got.contains("\"queue\":\"picks\"") && got.contains("\"key\":\"key-"), "{got}");
    let (_discovery, runners, program) = platform();
    let jid = new_id();
    assert_eq!(push(program.faktory_address.unwrap(), "picks", &jid, "serve", json!({})), "+OK");
    let posts: Vec<_> =
        runners.iter().flat_map(|r| r.events.all()).filter(|e| e.contains("POST /api")).collect();
    assert_eq!(posts.len(), 1, "{posts:?}");
    assert!(posts[0].contains(&jid) && posts[0].ends_with("[\"serve\"]"), "{posts:?}");
}

#[test]
fn a_fail_after_the_job_was_served_changes_nothing() {
    let (_discovery, _, program) = gateway(0);
    let address = program.faktory_address.unwrap();
    let mut worker = FaktoryConnection::connect(address, Some("w-late"));
    worker.send("FETCH picks");
    let jid = new_id();
    let client = {
        let jid = jid.clone();
        thread::spawn(move || push(address, "picks", &jid, "serve", json!({})))
    };
    let mut got = worker.read_fetched();
    while got.is_none() {
        got = worker.fetch("picks");
    }
    assert_eq!(got.unwrap()["jid"], json!(jid));
    assert_eq!(worker.command(&format!("ACK {}", json!({"jid": jid}))), "+OK");
    assert_eq!(client.join().unwrap(), "+OK");
    // Late, repeated and unknown reports are acknowledged and ignored, and the worker continues.
    assert_eq!(worker.command(&format!("FAIL {}", json!({"jid": jid}))), "+OK");
    assert_eq!(worker.command(&format!("ACK {}", json!({"jid": jid}))), "+OK");
    assert_eq!(worker.command(&format!("FAIL {}", json!({"jid": "never-seen"}))), "+OK");
    worker.send("INFO");
    assert_eq!(worker.read_fetched().unwrap()["faktory"]["total_processed"], json!(1));
}
