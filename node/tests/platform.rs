//! The program on the platform's sockets: each test settles one trap of the protocol.

mod common;

use common::*;
use serde_json::json;
use std::io::{BufReader, Write};
use std::net::{Shutdown, TcpListener, TcpStream};

#[test]
fn a_job_passes_unchanged_and_its_result_is_the_answer() {
    let (_discovery, runner, program) = one_runner();
    let id = new_id();
    let answer = call(
        program.address,
        &api_request("short-pick", &id, "5000m", "\r\nX-Cost: 1500\r\nX-Attrs: slots=2"),
        "the body",
    );
    assert_eq!((answer.status(), answer.body.as_str()), (200, "by s-0"));
    let seen = runner.events.wait("POST serve", 1);
    assert_eq!(seen, format!("POST serve {id} POST /api?sid=7f3a HTTP/1.1 the body"));
    // The second, repeated call-back is answered too, and changes nothing.
    runner.events.wait(&format!("done {id} -> 200"), 2);
    assert_eq!(call(program.address, "GET /up HTTP/1.1", "").status(), 200);
}

#[test]
fn a_call_back_before_the_202_counts() {
    let (_discovery, _runner, program) = one_runner();
    let answer = call(program.address, &api_request("wave-release", &new_id(), "5000m", ""), "early");
    assert_eq!((answer.status(), answer.body.as_str()), (200, "by s-0"));
}

/// Id and name must both match an attempt that is out: anything else could serve a job with what no
/// runner made for it.
#[test]
fn call_backs_that_match_no_live_attempt_change_nothing() {
    let (_discovery, runner, program) = one_runner();
    let id = new_id();
    let stream = open(&program, "short-pick", &id, "5000m", "hang");
    runner.events.wait("POST hang", 1);
    let back = |id: &str, from: &str, state: &str| {
        let body = json!({"id": id, "from": from, "state": state, "result": from}).to_string();
        call(program.address, "POST /v1/job-events HTTP/1.1", &body).status()
    };
    assert_eq!(back(&id, "s-9", "done"), 200);
    assert_eq!(back("0000", "s-0", "done"), 200);
    assert_eq!(back(&id, "s-0", "no such state"), 200);
    assert_eq!(call(program.address, "POST /v1/job-events HTTP/1.1", "{").status(), 400);
    assert_eq!(back(&id, "s-0", "done"), 200);
    let answer = answer(&stream).unwrap();
    assert_eq!((answer.status(), answer.body.as_str()), (200, "s-0"));
}

#[test]
fn a_runner_that_hangs_or_says_nothing_does_not_keep_the_answer() {
    for (word, class, status) in
        [("hang", "wave-release", 502), ("mute", "wave-release", 502), ("hang", "pick-route", 503)]
    {
        let (_discovery, runner, program) = one_runner();
        let id = new_id();
        let answer = call(program.address, &api_request(class, &id, "300m", ""), word);
        assert_eq!(answer.status(), status, "{word} {class}");
        // And the attempt is given up: by a call after the 202, by the connection's end before it.
        match word {
            "hang" => runner.events.wait(&format!("DELETE {id}"), 1),
            _ => runner.events.wait("closed", 1),
        };
    }
}

/// A client that closes its connection while it waits has gone away, also where it only shuts down
/// its writing side's end: actix-http has to be told so.
#[test]
fn a_client_that_hangs_up_is_noticed_and_its_attempt_given_up() {
    let (_discovery, runner, program) = one_runner();
    for n in 0..2 {
        let id = new_id();
        let stream = open(&program, "short-pick", &id, "5000m", "hang");
        program.log.wait(&format!("took {id}"), 1);
        if n == 0 {
            stream.shutdown(Shutdown::Both).unwrap()
        } else {
            drop(stream)
        }
        runner.events.wait(&format!("DELETE {id}"), 1);
    }
}

#[test]
fn a_refusal_says_when_to_come_back_and_comes_before_the_deadline() {
    let discovery = Discovery::start(Vec::new());
    let program = Program::start(&discovery, settings(), None);
    // Given up when its aim is past, while its deadline is hours away.
    let answer = call(program.address, &api_request("pick-route", &new_id(), "7200000m", ""), "x");
    assert_eq!(answer.status(), 503);
    assert_eq!(answer.headers["retry-after"].parse::<f64>().unwrap(), 1.0);
}

#[test]
fn work_turned_away_goes_elsewhere_and_one_runner_holds_a_job_once() {
    let (_discovery, runner, program) = one_runner();
    let id = new_id();
    // Never run, so even a class that is keyed by hall may be refused.
    let answer = call(program.address, &api_request("wave-release", &id, "400m", ""), "away");
    assert_eq!(answer.status(), 503);
    assert!(runner.events.count(&format!("POST away {id}")) >= 1);
    // Two requests under one id can't be told apart by a runner: the second is not sent.
    let first = open(&program, "short-pick", &id, "5000m", "hang");
    runner.events.wait(&format!("POST hang {id}"), 1);
    assert_eq!(call(program.address, &api_request("short-pick", &id, "5000m", ""), "hang").status(), 502);
    assert_eq!(runner.events.count(&format!("POST hang {id}")), 1);
    drop(first);
}

#[test]
fn a_connection_that_breaks_before_the_202_is_a_reset_and_one_refused_never_ran() {
    let (_discovery, _runner, program) = one_runner();
    // The request was written: it may have run, so a class keyed by hall can only fail.
    assert_eq!(
        call(program.address, &api_request("wave-release", &new_id(), "400m", ""), "reset").status(),
        502
    );
    // Nobody listens there: nothing can have run, and the same class is refused.
    let free = TcpListener::bind("127.0.0.1:0").unwrap().local_addr().unwrap();
    let discovery = Discovery::start(vec![host("s-0", free, "hall-a", "active")]);
    let program = Program::start(&discovery, settings(), None);
    assert_eq!(call(program.address, &api_request("wave-release", &new_id(), "400m", ""), "x").status(), 503);
}

/// A request that its runner can't use is at fault itself: it fails at once and goes nowhere else.
#[test]
fn a_request_that_a_runner_cannot_use_is_not_tried_again() {
    let (_discovery, runner, program) = one_runner();
    assert_eq!(
        call(program.address, &api_request("bin-check", &new_id(), "5000m", ""), "unusable").status(),
        502
    );
    assert_eq!(runner.events.count("POST unusable"), 1);
}

/// The jobs of a client that sends one after another on one connection all get their answers there.
#[test]
fn a_connection_carries_one_request_after_another() {
    let (_discovery, _runner, program) = one_runner();
    let mut stream = TcpStream::connect(program.address).unwrap();
    let mut reader = BufReader::new(stream.try_clone().unwrap());
    for _ in 0..5 {
        let head = api_request("short-pick", &new_id(), "5000m", "");
        write!(stream, "{head}\r\nHost: t\r\nContent-Length: 1\r\n\r\nx").unwrap();
        assert_eq!(read_message(&mut reader).unwrap().status(), 200);
    }
}

#[test]
fn after_sigterm_it_serves_on_answers_what_it_took_and_ends() {
    let (_discovery, runner, mut program) = one_runner();
    let id = new_id();
    let taken = open(&program, "short-pick", &id, "5000m", "hang");
    runner.events.wait("POST hang", 1);
    tell(&program, &id, "started", "");
    program.signal("TERM");
    program.log.wait("told to end", 1);
    let late = call(program.address, &api_request("short-pick", &new_id(), "5000m", ""), "serve");
    assert_eq!(late.status(), 200);
    assert_eq!(late.headers.get("connection"), None);
    program.log.wait("lets clients go", 1);
    let last = call(program.address, &api_request("short-pick", &new_id(), "5000m", ""), "serve");
    assert_eq!((last.status(), last.headers["connection"].as_str()), (200, "close"));
    tell(&program, &id, "done", "at last");
    assert_eq!(answer(&taken).unwrap().body, "at last");
    assert!(program.child.wait().unwrap().success());
}

/// The runner s-0 tells the program something of a job.
fn tell(program: &Program, id: &str, state: &str, result: &str) {
    let body = json!({"id": id, "from": "s-0", "state": state, "result": result}).to_string();
    assert_eq!(call(program.address, "POST /v1/job-events HTTP/1.1", &body).status(), 200);
}

/// SIGKILL does not wait for the longest deadline: what is unanswered shortly before it is answered.
#[test]
fn after_sigterm_a_job_that_hangs_is_answered_before_the_program_ends() {
    let (_discovery, runner, mut program) = one_runner();
    let ids = [new_id(), new_id()];
    let early = open(&program, "short-pick", &ids[0], "600000m", "hang");
    runner.events.wait(&format!("POST hang {}", ids[0]), 1);
    tell(&program, &ids[0], "started", "");
    program.signal("TERM");
    program.log.wait("told to end", 1);
    let late = open(&program, "short-pick", &ids[1], "600000m", "hang");
    runner.events.wait(&format!("POST hang {}", ids[1]), 1);
    tell(&program, &ids[1], "started", "");
    // The module knew the late one's end and gave it up by itself; the early one is the core's to answer.
    assert_eq!((answer(&early).unwrap().status(), answer(&late).unwrap().status()), (502, 503));
    assert!(program.child.wait().unwrap().success());
    assert!(program.log.wait("ends: ", 1).ends_with("open 0"));
}
