//! The program on the platform's HTTP protocol over real sockets. Each test covers one pitfall
//! of the protocol.

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
    let event = runner.events.wait("POST serve", 1);
    assert_eq!(event, format!("POST serve {id} POST /api?sid=7f3a HTTP/1.1 the body"));
    // The second, repeated call-back is answered too and has no effect.
    runner.events.wait(&format!("done {id} -> 200"), 2);
    assert_eq!(call(program.address, "GET /up HTTP/1.1", "").status(), 200);
}

#[test]
fn a_call_back_before_the_202_counts() {
    let (_discovery, _runner, program) = one_runner();
    let answer = call(program.address, &api_request("wave-release", &new_id(), "5000m", ""), "early");
    assert_eq!((answer.status(), answer.body.as_str()), (200, "by s-0"));
}

/// Request id and runner name must both match a running attempt. Otherwise a job could be served with a
/// result that no runner made for it.
#[test]
fn call_backs_that_match_no_live_attempt_change_nothing() {
    let (_discovery, runner, program) = one_runner();
    let id = new_id();
    let stream = send_api_request(&program, "short-pick", &id, "5000m", "hang");
    runner.events.wait("POST hang", 1);
    let call_back_as = |id: &str, from: &str, state: &str| {
        let body = json!({"id": id, "from": from, "state": state, "result": from}).to_string();
        call(program.address, "POST /v1/job-events HTTP/1.1", &body).status()
    };
    assert_eq!(call_back_as(&id, "s-9", "done"), 200);
    assert_eq!(call_back_as("0000", "s-0", "done"), 200);
    assert_eq!(call_back_as(&id, "s-0", "no such state"), 200);
    assert_eq!(call(program.address, "POST /v1/job-events HTTP/1.1", "{").status(), 400);
    assert_eq!(call_back_as(&id, "s-0", "done"), 200);
    let answer = read_answer(&stream).unwrap();
    assert_eq!((answer.status(), answer.body.as_str()), (200, "s-0"));
}

#[test]
fn a_runner_that_hangs_or_does_not_answer_does_not_delay_the_answer() {
    for (behaviour, class, status) in
        [("hang", "wave-release", 502), ("mute", "wave-release", 502), ("hang", "pick-route", 503)]
    {
        let (_discovery, runner, program) = one_runner();
        let id = new_id();
        let answer = call(program.address, &api_request(class, &id, "300m", ""), behaviour);
        assert_eq!(answer.status(), status, "{behaviour} {class}");
        // The attempt is cancelled: by a DELETE after the 202, by closing the connection before it.
        match behaviour {
            "hang" => runner.events.wait(&format!("DELETE {id}"), 1),
            _ => runner.events.wait("closed", 1),
        };
    }
}

/// A client that closes its connection while it waits has left, also if it shuts it down without dropping it:
/// actix-http does not report this by itself.
#[test]
fn a_client_that_closes_its_connection_is_noticed_and_its_attempt_cancelled() {
    let (_discovery, runner, program) = one_runner();
    for n in 0..2 {
        let id = new_id();
        let stream = send_api_request(&program, "short-pick", &id, "5000m", "hang");
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
fn a_refusal_has_a_retry_after_and_comes_before_the_deadline() {
    let discovery = Discovery::start(Vec::new());
    let program = Program::start(&discovery, settings(), None);
    // Refused when its objective has passed, while its deadline is hours away.
    let answer = call(program.address, &api_request("pick-route", &new_id(), "7200000m", ""), "x");
    assert_eq!(answer.status(), 503);
    assert_eq!(answer.headers["retry-after"].parse::<f64>().unwrap(), 1.0);
}

#[test]
fn a_refused_job_is_retried_and_a_runner_gets_an_id_only_once() {
    let (_discovery, runner, program) = one_runner();
    let id = new_id();
    // The job never ran, so even a class whose repeats are limited to one hall is refused.
    let answer = call(program.address, &api_request("wave-release", &id, "400m", ""), "away");
    assert_eq!(answer.status(), 503);
    assert!(runner.events.count(&format!("POST away {id}")) >= 1);
    // A runner cannot tell two requests with one id apart: the second is not sent.
    let first = send_api_request(&program, "short-pick", &id, "5000m", "hang");
    runner.events.wait(&format!("POST hang {id}"), 1);
    assert_eq!(call(program.address, &api_request("short-pick", &id, "5000m", ""), "hang").status(), 502);
    assert_eq!(runner.events.count(&format!("POST hang {id}")), 1);
    drop(first);
}

#[test]
fn a_connection_lost_before_the_202_is_a_reset_and_a_refused_one_never_ran() {
    let (_discovery, _runner, program) = one_runner();
    // The request was written and may have run, so a class whose repeats are limited to one hall fails.
    assert_eq!(
        call(program.address, &api_request("wave-release", &new_id(), "400m", ""), "reset").status(),
        502
    );
    // Nothing listens at this address, so the job cannot have run, and the same class is refused.
    let unused = TcpListener::bind("127.0.0.1:0").unwrap().local_addr().unwrap();
    let discovery = Discovery::start(vec![host("s-0", unused, "hall-a", "active")]);
    let program = Program::start(&discovery, settings(), None);
    assert_eq!(call(program.address, &api_request("wave-release", &new_id(), "400m", ""), "x").status(), 503);
}

/// A request that the runner cannot use is itself at fault: it fails at once and is not retried elsewhere.
#[test]
fn a_request_that_a_runner_cannot_use_is_not_retried() {
    let (_discovery, runner, program) = one_runner();
    assert_eq!(
        call(program.address, &api_request("bin-check", &new_id(), "5000m", ""), "unusable").status(),
        502
    );
    assert_eq!(runner.events.count("POST unusable"), 1);
}

/// Requests sent one after another on one connection all get their answers there.
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
fn after_sigterm_the_program_keeps_serving_answers_accepted_requests_and_ends() {
    let (_discovery, runner, mut program) = one_runner();
    let id = new_id();
    let taken = send_api_request(&program, "short-pick", &id, "5000m", "hang");
    runner.events.wait("POST hang", 1);
    call_back(&program, &id, "started", "");
    program.signal("TERM");
    program.log.wait("shutting down", 1);
    let late = call(program.address, &api_request("short-pick", &new_id(), "5000m", ""), "serve");
    assert_eq!(late.status(), 200);
    assert_eq!(late.headers.get("connection"), None);
    program.log.wait("closing client connections", 1);
    let last = call(program.address, &api_request("short-pick", &new_id(), "5000m", ""), "serve");
    assert_eq!((last.status(), last.headers["connection"].as_str()), (200, "close"));
    call_back(&program, &id, "done", "at last");
    assert_eq!(read_answer(&taken).unwrap().body, "at last");
    assert!(program.child.wait().unwrap().success());
}

/// Calls back as the runner `s-0` about a job.
fn call_back(program: &Program, id: &str, state: &str, result: &str) {
    let body = json!({"id": id, "from": "s-0", "state": state, "result": result}).to_string();
    assert_eq!(call(program.address, "POST /v1/job-events HTTP/1.1", &body).status(), 200);
}

/// SIGKILL does not wait for the longest deadline, so requests still unanswered shortly before it get an
/// answer.
#[test]
fn after_sigterm_a_hanging_job_is_answered_before_the_program_ends() {
    let (_discovery, runner, mut program) = one_runner();
    let ids = [new_id(), new_id()];
    let early = send_api_request(&program, "short-pick", &ids[0], "600000m", "hang");
    runner.events.wait(&format!("POST hang {}", ids[0]), 1);
    call_back(&program, &ids[0], "started", "");
    program.signal("TERM");
    program.log.wait("shutting down", 1);
    let late = send_api_request(&program, "short-pick", &ids[1], "600000m", "hang");
    runner.events.wait(&format!("POST hang {}", ids[1]), 1);
    call_back(&program, &ids[1], "started", "");
    // The balancer knew the stop time when the late request arrived and cancelled it by itself; the early one
    // is answered by the core.
    assert_eq!((read_answer(&early).unwrap().status(), read_answer(&late).unwrap().status()), (502, 503));
    assert!(program.child.wait().unwrap().success());
    assert!(program.log.wait("exiting: ", 1).ends_with("open 0"));
}
