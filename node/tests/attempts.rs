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

/// The third class may not be repeated once it may have run.
fn fragile(settings: &mut serde_json::Value) {
    settings["services"][2]["repeat"] = json!("fragile");
}

fn tell(program: &Program, id: &str, from: &str, state: &str) {
    let body = json!({"id": id, "from": from, "state": state, "result": "made once"}).to_string();
    assert_eq!(call(program.at, "POST /v1/job-events HTTP/1.1", &body).status(), 200);
}

/// the second is out at the same runner: it proves nothing of that one, which is given up and not repeated.
#[test]
fn a_repeated_word_does_not_end_a_later_attempt_as_never_run() {
    let (_discovery, runner, program) = one_raw(fragile);
    let id = new_id();
    let client = open(&program, "wave-release", &id, "5000m", "x");
    for _ in 0..2 {
        let (mut line, _) = runner.next("POST");
        line.answer(TAKEN);
        tell(&program, &id, "s-0", "returned");
    }
    let (mut line, call) = runner.next("DELETE");
    assert_eq!(call.target, format!("/jobs/{id}"));
    line.answer("200 OK");
    assert_eq!(answer(&client).unwrap().status(), 502);
    assert_eq!(program.log.count(&format!("of {id}, wave-release, at s-0")), 2);
}

/// What a word that may be old does not end, what the runner made still serves.
#[test]
fn a_result_serves_whichever_attempt_made_it() {
    let (_discovery, runner, program) = one_raw(fragile);
    let id = new_id();
    let client = open(&program, "wave-release", &id, "5000m", "x");
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
    for class in ["pick-route", "wave-release"] {
        let id = new_id();
        assert_eq!(call(program.at, &api(class, &id, "0m", ""), "x").status(), 503, "{class}");
        assert_eq!(program.log.count(&format!("of {id}, {class}, at")), 0, "{class}");
    }
}
