//! Attempts on the wire where two events cross: late, duplicate or invalid answers, repeated call-backs,
//! cancellations in flight, and connections established after the client left.

mod common;
#[path = "common/raw.rs"]
mod raw;

use common::*;
use raw::{FullListener, RawRunner};
use serde_json::json;

const ACCEPTED: &str = "202 Accepted";
/// The time after which nothing new may go to a runner that drains.
const DRAIN_GRACE: std::time::Duration = std::time::Duration::from_millis(500);

/// Starts a program with one raw runner and the given change to the settings.
fn one_raw(change: impl FnOnce(&mut serde_json::Value)) -> (Discovery, RawRunner, Program) {
    let runner = RawRunner::start();
    let discovery = Discovery::start(vec![host("s-0", runner.address, "hall-a", "active")]);
    let mut changed = settings();
    change(&mut changed);
    let program = Program::start(&discovery, changed, None);
    (discovery, runner, program)
}

/// Makes the third class unsafe to repeat once it may have run, with time to be retried after a runner turned
/// it away.
fn make_unsafe_to_repeat(settings: &mut serde_json::Value) {
    settings["services"][2]["repeat"] = json!("fragile");
    settings["services"][2]["objective"] = json!(60_000_000_000u64);
    settings["services"][2]["deadline"] = json!(120_000_000_000u64);
}

fn call_back(program: &Program, id: &str, from: &str, state: &str) {
    let body = json!({"id": id, "from": from, "state": state, "result": "made once"}).to_string();
    assert_eq!(call(program.address, "POST /v1/job-events HTTP/1.1", &body).status(), 200);
}

/// Closing the connection does not cancel the job once the runner's 202 is on its way, so a DELETE is sent
/// too.
#[test]
fn a_cancellation_that_crosses_the_202_reaches_the_runner() {
    let (_discovery, runner, program) = one_raw(|_| {});
    let id = new_id();
    let client = send_api_request(&program, "short-pick", &id, "5000m", "x");
    let (mut connection, _) = runner.next_request("POST");
    drop(client);
    program.log.wait("attempt 0.0 given up", 1);
    connection.answer(ACCEPTED);
    let (mut connection, call) = runner.next_request("DELETE");
    assert_eq!(call.target, format!("/jobs/{id}"));
    connection.answer("200 OK");
}

/// A DELETE lost because the runner had just closed the connection is sent again.
#[test]
fn a_cancellation_lost_with_a_closing_connection_is_sent_again() {
    let (_discovery, runner, program) = one_raw(|_| {});
    let id = new_id();
    let client = send_api_request(&program, "short-pick", &id, "5000m", "x");
    let (mut connection, _) = runner.next_request("POST");
    connection.answer(ACCEPTED);
    program.log.wait(&format!("runner s-0 took {id}"), 1);
    drop(client);
    let (closing, _) = runner.next_request("DELETE");
    closing.close();
    let (mut connection, call) = runner.next_request("DELETE");
    assert_eq!(call.target, format!("/jobs/{id}"));
    connection.answer("200 OK");
}

/// An invalid answer does not tell whether the runner has the job: the job is cancelled, and not retried in a
/// class that is unsafe to repeat.
#[test]
fn an_invalid_answer_cancels_the_job() {
    for invalid in [
        "HTTP/1.1 2\u{1}2 ?\r\n\r\n",
        "HTTP/1.1 204 No Content\r\n\r\n",
        "HTTP/1.1 404 Not Found\r\nContent-Length: 0\r\n\r\n",
    ] {
        let (_discovery, runner, program) = one_raw(make_unsafe_to_repeat);
        let id = new_id();
        let client = send_api_request(&program, "wave-release", &id, "120000m", "x");
        let (mut connection, _) = runner.next_request("POST");
        connection.write(invalid);
        let (mut connection, call) = runner.next_request("DELETE");
        assert_eq!(call.target, format!("/jobs/{id}"), "{invalid:?}");
        connection.answer("200 OK");
        assert_eq!(read_answer(&client).unwrap().status(), 502, "{invalid:?}");
        program.log.wait(": Failed(", 1);
        assert_eq!(program.log.count(" at s-0"), 1, "{invalid:?}");
    }
}

/// A runner that turns a job away may send its answer twice, some milliseconds apart. The second answer must
/// not be taken for the answer to the next attempt, so the connection is not reused.
#[test]
fn a_duplicate_answer_ends_only_one_attempt() {
    let (_discovery, runner, program) = one_raw(make_unsafe_to_repeat);
    let id = new_id();
    let client = send_api_request(&program, "wave-release", &id, "120000m", "x");
    let (mut first, _) = runner.next_request("POST");
    let not_processed = "503 Service Unavailable\r\nX-Not-Processed: 1";
    first.answer(not_processed);
    let (mut second, _) = runner.next_request("POST");
    first.answer(not_processed);
    assert_ne!(first.number, second.number, "reused a connection that may still carry an answer");
    second.answer(ACCEPTED);
    program.log.wait(&format!("runner s-0 took {id}"), 1);
    call_back(&program, &id, "s-0", "done");
    assert_eq!(read_answer(&client).unwrap().body, "made once");
    program.log.wait(&format!("runner s-0 ended {id}"), 1);
    assert_eq!(program.log.count(&format!("of {id}, wave-release, at s-0")), 2);
}

/// A call-back names the request and not the attempt. `returned` of the first attempt, whose answer was lost,
/// is repeated while the second attempt runs at the same runner. It does not show that the second never ran,
/// so that one is cancelled and not retried.
#[test]
fn a_repeated_call_back_does_not_end_a_later_attempt_as_never_run() {
    let (_discovery, runner, program) = one_raw(make_unsafe_to_repeat);
    let id = new_id();
    let client = send_api_request(&program, "wave-release", &id, "120000m", "x");
    for _ in 0..2 {
        let (mut connection, _) = runner.next_request("POST");
        connection.answer(ACCEPTED);
        call_back(&program, &id, "s-0", "returned");
    }
    let (mut connection, call) = runner.next_request("DELETE");
    assert_eq!(call.target, format!("/jobs/{id}"));
    connection.answer("200 OK");
    assert_eq!(read_answer(&client).unwrap().status(), 502);
    program.log.wait(": Failed(", 1);
    assert_eq!(program.log.count(&format!("of {id}, wave-release, at s-0")), 2);
}

/// A call-back that may concern an older attempt does not end the current one, but a result in it still
/// serves the request.
#[test]
fn a_result_serves_the_request_whichever_attempt_made_it() {
    let (_discovery, runner, program) = one_raw(make_unsafe_to_repeat);
    let id = new_id();
    let client = send_api_request(&program, "wave-release", &id, "120000m", "x");
    for state in ["returned", "done"] {
        let (mut connection, _) = runner.next_request("POST");
        connection.answer(ACCEPTED);
        call_back(&program, &id, "s-0", state);
    }
    assert_eq!(read_answer(&client).unwrap().body, "made once");
}

/// The balancer refuses a request whose deadline has passed on arrival, and no runner gets it.
#[test]
fn no_attempt_starts_for_a_request_that_arrives_after_its_deadline() {
    let (_discovery, _runner, program) = one_raw(|_| {});
    for (before, class) in ["pick-route", "wave-release"].into_iter().enumerate() {
        let id = new_id();
        assert_eq!(call(program.address, &api_request(class, &id, "0m", ""), "x").status(), 503, "{class}");
        program.log.wait(": Refused(", before + 1);
        assert_eq!(program.log.count(&format!("of {id}, {class}, at")), 0, "{class}");
    }
}

/// Nothing is written to a connection established after the client has left, also where attempts in flight
/// cannot be cancelled.
#[test]
fn nothing_is_written_if_the_client_left_before_the_connection_was_established() {
    let runner = FullListener::start();
    let discovery = Discovery::start(vec![host("s-0", runner.address, "hall-a", "active")]);
    let mut changed = settings();
    changed["limits"]["cancel"] = json!(false);
    changed["limits"]["connectTimeout"] = json!(10_000_000_000u64);
    let program = Program::start(&discovery, changed, None);
    let client = send_api_request(&program, "short-pick", &new_id(), "5000m", "x");
    runner.wait_for_connect();
    drop(client);
    program.log.wait("a client has left", 1);
    assert_eq!(runner.accept_and_read(), "");
}

/// A repeat is decided within the window but its connection is established after it. The runner may have
/// forgotten the first attempt by then, so the repeat is not written.
#[test]
fn a_repeat_that_would_arrive_after_the_window_is_not_written() {
    let late_runner = FullListener::start();
    let (discovery, runner, program) = one_raw(|settings| {
        settings["services"][2]["window"] = json!(900_000_000u64);
        settings["services"][2]["objective"] = json!(5_000_000_000u64);
        settings["limits"]["connectTimeout"] = json!(10_000_000_000u64);
    });
    let id = new_id();
    let _client = send_api_request(&program, "wave-release", &id, "6000m", "x");
    let (mut connection, _) = runner.next_request("POST");
    connection.answer(ACCEPTED);
    discovery.update(&[host("s-1", late_runner.address, "hall-a", "active")]);
    program.log.wait("list Delta", 1);
    call_back(&program, &id, "s-0", "lost");
    late_runner.wait_for_connect();
    assert_eq!(late_runner.accept_and_read(), "");
    // The attempt ends as never sent, which does not count against the runner.
    program.log.wait("ended: Moot", 1);
}

/// Guards against an attempt that is written when its connection is established, though its runner has been draining
/// for longer than the grace by then.
#[test]
fn nothing_is_written_to_a_runner_that_began_to_drain_before_the_connection_was_established() {
    let late_runner = FullListener::start();
    let discovery = Discovery::start(vec![host("s-0", late_runner.address, "hall-a", "active")]);
    let mut changed = settings();
    changed["limits"]["connectTimeout"] = json!(10_000_000_000u64);
    let program = Program::start(&discovery, changed, None);
    let _client = send_api_request(&program, "short-pick", &new_id(), "6000m", "x");
    late_runner.wait_for_connect();
    discovery.update(&[host("s-0", late_runner.address, "hall-a", "leaving")]);
    program.log.wait("list Delta", 1);
    std::thread::sleep(DRAIN_GRACE);
    assert_eq!(late_runner.accept_and_read(), "");
    program.log.wait("ended: Moot", 1);
}
