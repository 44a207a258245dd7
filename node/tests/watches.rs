//! The watch on discovery: silence of every kind, updates that overtake a list, and late calls.

mod common;

use common::*;

/// Starts two runners, discovery with the planned replies that lists only the first, and the program.
fn start_with_replies(plan: &[PlannedReply]) -> (Runner, Runner, Discovery, Program) {
    let (first, second) = (Runner::start("s-0"), Runner::start("s-1"));
    let discovery = Discovery::start_with_replies(vec![host("s-0", first.address, "hall-a", "active")], plan);
    let program = Program::start(&discovery, settings(), None);
    first.call_back_to(&program);
    second.call_back_to(&program);
    (first, second, discovery, program)
}

/// Sends a request with a short deadline.
fn send_short_request(program: &Program) -> Message {
    call(program.address, &api_request("pick-route", &new_id(), "300m", ""), "x")
}

/// Sends a request that must be served, with a deadline long enough for a busy machine. Returns the body.
fn served_by(program: &Program) -> String {
    call(program.address, &api_request("pick-route", &new_id(), "5000m", ""), "x").body
}

/// Bytes that never complete an object do not keep a watch alive.
#[test]
fn a_watch_that_trickles_counts_as_silent() {
    let (_first, _second, discovery, program) = start_with_replies(&[PlannedReply::Trickle]);
    program.log.wait("watch failed: silent", 1);
    discovery.request_lines.wait("stream=1", 2);
    program.log.wait("list Full", 2);
    assert_eq!(served_by(&program), "by s-0");
}

/// A watch without any answer is called again after the timeout, and the answer to the second call is used.
#[test]
fn a_call_without_an_answer_is_repeated() {
    let (_first, _second, discovery, program) = start_with_replies(&[PlannedReply::NoReply]);
    program.log.wait("watch failed: no answer", 1);
    discovery.request_lines.wait("stream=1", 2);
    program.log.wait("list Full", 1);
    assert_eq!(served_by(&program), "by s-0");
}

/// No job is sent once a silent watch may have missed updates that are already in force. An empty line on
/// that same watch shows that it was only late, and sending resumes.
#[test]
fn an_empty_line_on_a_late_watch_resumes_sending() {
    let plan: Vec<_> =
        std::iter::once(PlannedReply::DelayedUpdates).chain([PlannedReply::NoReply; 20]).collect();
    let (_first, _second, discovery, program) = start_with_replies(&plan);
    program.log.wait("watch failed: silent", 1);
    // On a busy machine a job may fail for other reasons: sending counts as stopped after five failures in a
    // row without a new attempt.
    let attempts_started = || program.log.count(", pick-route, at s-0");
    let nothing_sent = || {
        let before = attempts_started();
        send_short_request(&program).status() != 200 && attempts_started() == before
    };
    while !(0..5).all(|_| nothing_sent()) {}
    assert!(nothing_sent(), "sending is still stopped");
    discovery.resume();
    while send_short_request(&program).status() != 200 {
        assert!(program.log.count("no answer") < 15, "sending did not resume");
    }
}

/// The list of a new watch was made before a change that the old watch reported meanwhile: it is ignored.
#[test]
fn a_list_older_than_an_update_is_ignored() {
    let (first, second, discovery, program) =
        start_with_replies(&[PlannedReply::DelayedUpdates, PlannedReply::DelayedList]);
    discovery.request_lines.wait("stream=1", 2);
    let leaving = host("s-0", first.address, "hall-a", "leaving");
    discovery.update(&[leaving, host("s-1", second.address, "hall-a", "active")]);
    discovery.resume();
    program.log.wait("list Delta 2", 1);
    discovery.resume();
    discovery.request_lines.wait("stream=1", 2);
    discovery.update(&[host("s-1", second.address, "hall-a", "active")]);
    program.log.wait("list Delta 3", 1);
    assert_eq!(program.log.count("list Full 1: 1 entries"), 1, "the list from before the drain was used");
    assert_eq!(served_by(&program), "by s-1");
}

/// A restarted discovery restarts its sequence numbers: its list is used, however low its number.
#[test]
fn the_list_of_a_restarted_discovery_is_used() {
    let (first, second, discovery, program) = start_with_replies(&[]);
    for n in 2..5 {
        discovery.update(&[host("s-0", first.address, "hall-a", "active")]);
        program.log.wait(&format!("list Delta {n}"), 1);
    }
    discovery.restart(vec![host("s-1", second.address, "hall-a", "active")]);
    program.log.wait("list Full 1", 2);
    assert_eq!(served_by(&program), "by s-1");
}

/// Discovery closes a connection while a further call could go out on it. No call is lost by that, because no
/// connection is used twice.
#[test]
fn no_call_reuses_a_connection() {
    let (_first, _second, _discovery, program) = start_with_replies(&[PlannedReply::UnavailableThenClose]);
    program.log.wait("list Full", 1);
    assert_eq!(program.log.count("watch failed"), 1);
}
