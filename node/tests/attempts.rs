//! Attempts on the wire where two events cross: answers that come late, twice or as nonsense, words that are
//! repeated, give-ups on their way, connections that come up when nobody waits any more.

mod common;
#[path = "common/raw.rs"]
mod raw;

use common::*;
use raw::{FullRunner, RawRunner};
use serde_json::json;

const TAKEN: &str = "202 Accepted";

/// A program with one raw runner, its settings as changed.
fn one_raw(change: impl FnOnce(&mut serde_json::Value)) -> (Discovery, RawRunner, Program) {
    let runner = RawRunner::start();
    let discovery = Discovery::start(vec![host("s-0", runner.at, "hall-a", "active")]);
    let mut changed = settings();
    change(&mut changed);
    let program = Program::start(&discovery, changed, None);
    (discovery, runner, program)
}

/// The third class may not be repeated once it may have run, and has time to be tried where it was turned away.
fn fragile(settings: &mut serde_json::Value) {
    settings["services"][2]["repeat"] = json!("fragile");
    settings["services"][2]["objective"] = json!(60_000_000_000u64);
    settings["services"][2]["deadline"] = json!(120_000_000_000u64);
}

fn tell(program: &Program, id: &str, from: &str, state: &str) {
    let body = json!({"id": id, "from": from, "state": state, "result": "made once"}).to_string();
    assert_eq!(call(program.address, "POST /v1/job-events HTTP/1.1", &body).status(), 200);
}

/// A connection's end means nothing to a runner whose 202 is on its way: the job is given up by a call too.
#[test]
fn a_give_up_that_crosses_the_202_reaches_the_runner() {
    let (_discovery, runner, program) = one_raw(|_| {});
    let id = new_id();
    let client = open(&program, "short-pick", &id, "5000m", "x");
    let (mut line, _) = runner.next("POST");
    drop(client);
    program.log.wait("attempt 0.0 given up", 1);
    line.answer(TAKEN);
    let (mut line, call) = runner.next("DELETE");
    assert_eq!(call.target, format!("/jobs/{id}"));
    line.answer("200 OK");
}

/// A give-up that goes down with a connection which its runner has just closed is said again.
#[test]
fn a_give_up_that_a_closing_connection_eats_is_said_again() {
    let (_discovery, runner, program) = one_raw(|_| {});
    let id = new_id();
    let client = open(&program, "short-pick", &id, "5000m", "x");
    let (mut line, _) = runner.next("POST");
    line.answer(TAKEN);
    program.log.wait(&format!("runner s-0 took {id}"), 1);
    drop(client);
    let (eaten, _) = runner.next("DELETE");
    eaten.close();
    let (mut line, call) = runner.next("DELETE");
    assert_eq!(call.target, format!("/jobs/{id}"));
    line.answer("200 OK");
}

/// What is no answer says nothing of the job, which the runner may hold: it is given up, and a class that is
/// unsafe to repeat is not.
#[test]
fn a_spoilt_answer_gives_the_job_up() {
    for spoilt in [
        "HTTP/1.1 2\u{1}2 ?\r\n\r\n",
        "HTTP/1.1 204 No Content\r\n\r\n",
        "HTTP/1.1 404 Not Found\r\nContent-Length: 0\r\n\r\n",
    ] {
        let (_discovery, runner, program) = one_raw(fragile);
        let id = new_id();
        let client = open(&program, "wave-release", &id, "120000m", "x");
        let (mut line, _) = runner.next("POST");
        line.write(spoilt);
        let (mut line, call) = runner.next("DELETE");
        assert_eq!(call.target, format!("/jobs/{id}"), "{spoilt:?}");
        line.answer("200 OK");
        assert_eq!(answer(&client).unwrap().status(), 502, "{spoilt:?}");
        program.log.wait(": Failed(", 1);
        assert_eq!(program.log.count(" at s-0"), 1, "{spoilt:?}");
    }
}

/// A runner that turned a job away may say so twice, some milliseconds apart. Nothing that comes by that
/// connection is taken for the answer to the next attempt.
#[test]
fn an_answer_that_comes_twice_ends_one_attempt() {
    let (_discovery, runner, program) = one_raw(fragile);
    let id = new_id();
    let client = open(&program, "wave-release", &id, "120000m", "x");
    let (mut first, _) = runner.next("POST");
    let away = "503 Service Unavailable\r\nX-Not-Processed: 1";
    first.answer(away);
    let (mut second, _) = runner.next("POST");
    first.answer(away);
    assert_ne!(first.number, second.number, "a connection used again that may hold an answer");
    second.answer(TAKEN);
    program.log.wait(&format!("runner s-0 took {id}"), 1);
    tell(&program, &id, "s-0", "done");
    assert_eq!(answer(&client).unwrap().body, "made once");
    program.log.wait(&format!("runner s-0 ended {id}"), 1);
    assert_eq!(program.log.count(&format!("of {id}, wave-release, at s-0")), 2);
}

/// A word names the request, not the attempt. `returned` of the first, whose answer was lost, comes again while
/// the second is out at the same runner: it proves nothing of that one, which is given up and not repeated.
#[test]
fn a_repeated_word_does_not_end_a_later_attempt_as_never_run() {
    let (_discovery, runner, program) = one_raw(fragile);
    let id = new_id();
    let client = open(&program, "wave-release", &id, "120000m", "x");
    for _ in 0..2 {
        let (mut line, _) = runner.next("POST");
        line.answer(TAKEN);
        tell(&program, &id, "s-0", "returned");
    }
    let (mut line, call) = runner.next("DELETE");
    assert_eq!(call.target, format!("/jobs/{id}"));
    line.answer("200 OK");
    assert_eq!(answer(&client).unwrap().status(), 502);
    program.log.wait(": Failed(", 1);
    assert_eq!(program.log.count(&format!("of {id}, wave-release, at s-0")), 2);
}

/// What a word that may be old does not end, what the runner made still serves.
#[test]
fn a_result_serves_whichever_attempt_made_it() {
    let (_discovery, runner, program) = one_raw(fragile);
    let id = new_id();
    let client = open(&program, "wave-release", &id, "120000m", "x");
    for state in ["returned", "done"] {
        let (mut line, _) = runner.next("POST");
        line.answer(TAKEN);
        tell(&program, &id, "s-0", state);
    }
    assert_eq!(answer(&client).unwrap().body, "made once");
}

/// A request whose time is over as it arrives is refused by the module, and no runner hears of it.
#[test]
fn nothing_is_begun_for_a_request_that_is_late_as_it_arrives() {
    let (_discovery, _runner, program) = one_raw(|_| {});
    for (before, class) in ["pick-route", "wave-release"].into_iter().enumerate() {
        let id = new_id();
        assert_eq!(call(program.address, &api_request(class, &id, "0m", ""), "x").status(), 503, "{class}");
        program.log.wait(": Refused(", before + 1);
        assert_eq!(program.log.count(&format!("of {id}, {class}, at")), 0, "{class}");
    }
}

/// A connection that comes up after the client has left carries nothing, also where attempts can't be called
/// back once they are out.
#[test]
fn nothing_is_written_for_a_client_that_left_before_the_connection_came_up() {
    let runner = FullRunner::start();
    let discovery = Discovery::start(vec![host("s-0", runner.at, "hall-a", "active")]);
    let mut bound = settings();
    bound["limits"]["cancel"] = json!(false);
    bound["limits"]["connectTimeout"] = json!(10_000_000_000u64);
    let program = Program::start(&discovery, bound, None);
    let client = open(&program, "short-pick", &new_id(), "5000m", "x");
    runner.called();
    drop(client);
    program.log.wait("a client has left", 1);
    assert_eq!(runner.let_in(), "");
}

/// A repeat is decided on within the window, but its connection comes up after it: its runner may not know the
/// first any more, so it is not written.
#[test]
fn a_repeat_that_would_come_after_the_window_is_not_written() {
    let late = FullRunner::start();
    let (discovery, runner, program) = one_raw(|settings| {
        settings["services"][2]["window"] = json!(900_000_000u64);
        settings["services"][2]["objective"] = json!(5_000_000_000u64);
        settings["limits"]["connectTimeout"] = json!(10_000_000_000u64);
    });
    let id = new_id();
    let _client = open(&program, "wave-release", &id, "6000m", "x");
    let (mut line, _) = runner.next("POST");
    line.answer(TAKEN);
    discovery.update(&[host("s-1", late.at, "hall-a", "active")]);
    program.log.wait("list Delta", 1);
    tell(&program, &id, "s-0", "lost");
    late.called();
    assert_eq!(late.let_in(), "");
    // The runner is not to blame.
    program.log.wait("ended: Moot", 1);
}
