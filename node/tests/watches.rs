//! The watch and what may cross it: silence of every kind, news that overtakes a list, calls that are late.

mod common;

use common::*;

/// Two runners, discovery that goes as planned and tells of the first alone, and the program.
fn start(plan: &[PlannedReply]) -> (Runner, Runner, Discovery, Program) {
    let (one, two) = (Runner::start("s-0"), Runner::start("s-1"));
    let discovery = Discovery::start_with_replies(vec![host("s-0", one.address, "hall-a", "active")], plan);
    let program = Program::start(&discovery, settings(), None);
    one.call_back_to(&program);
    two.call_back_to(&program);
    (one, two, discovery, program)
}

fn ask(program: &Program) -> Message {
    call(program.address, &api_request("pick-route", &new_id(), "300m", ""), "x")
}

/// A request that is to be served, however busy the machine is.
fn served(program: &Program) -> String {
    call(program.address, &api_request("pick-route", &new_id(), "5000m", ""), "x").body
}

/// Bytes that never end an object are no sign of life.
#[test]
fn a_watch_that_trickles_is_silent() {
    let (_one, _two, discovery, program) = start(&[PlannedReply::Trickle]);
    program.log.wait("watch failed: silent", 1);
    discovery.request_lines.wait("stream=1", 2);
    program.log.wait("list Full", 2);
    assert_eq!(served(&program), "by s-0");
}

/// Silent from the first byte on: called for anew in time, and what answers then counts.
#[test]
fn a_call_that_is_never_answered_is_made_anew() {
    let (_one, _two, discovery, program) = start(&[PlannedReply::NoReply]);
    program.log.wait("watch failed: no answer", 1);
    discovery.request_lines.wait("stream=1", 2);
    program.log.wait("list Full", 1);
    assert_eq!(served(&program), "by s-0");
}

/// Nobody is sent to once what a silent watch misses counts as told; an empty line on that very watch shows that
/// it was only late, and all goes on.
#[test]
fn an_empty_line_on_a_watch_that_was_late_ends_the_blindness() {
    let plan: Vec<_> =
        std::iter::once(PlannedReply::DelayedUpdates).chain([PlannedReply::NoReply; 20]).collect();
    let (_one, _two, discovery, program) = start(&plan);
    program.log.wait("watch failed: silent", 1);
    // On a busy machine a job may be late without that: blind is who begins nothing, five times in a row.
    let begun = || program.log.count(", pick-route, at s-0");
    let unsent = || {
        let before = begun();
        ask(&program).status() != 200 && begun() == before
    };
    while !(0..5).all(|_| unsent()) {}
    assert!(unsent(), "still blind");
    discovery.resume();
    while ask(&program).status() != 200 {
        assert!(program.log.count("no answer") < 15, "blind for good");
    }
}

/// The list that a new watch tells was made before a change that the old one told meanwhile: it is passed over.
#[test]
fn a_list_that_newer_news_has_crossed_is_passed_over() {
    let (one, two, discovery, program) = start(&[PlannedReply::DelayedUpdates, PlannedReply::DelayedList]);
    discovery.request_lines.wait("stream=1", 2);
    let leaving = host("s-0", one.address, "hall-a", "leaving");
    discovery.update(&[leaving, host("s-1", two.address, "hall-a", "active")]);
    discovery.resume();
    program.log.wait("list Delta 2", 1);
    discovery.resume();
    discovery.request_lines.wait("stream=1", 2);
    discovery.update(&[host("s-1", two.address, "hall-a", "active")]);
    program.log.wait("list Delta 3", 1);
    assert_eq!(program.log.count("list Full 1: 1 entries"), 1, "the list from before the drain was taken");
    assert_eq!(served(&program), "by s-1");
}

/// A discovery that was restarted counts anew: its list holds, however low its version.
#[test]
fn a_discovery_that_counts_anew_is_believed() {
    let (one, two, discovery, program) = start(&[]);
    for n in 2..5 {
        discovery.update(&[host("s-0", one.address, "hall-a", "active")]);
        program.log.wait(&format!("list Delta {n}"), 1);
    }
    discovery.restart(vec![host("s-1", two.address, "hall-a", "active")]);
    program.log.wait("list Full 1", 2);
    assert_eq!(served(&program), "by s-1");
}

/// A connection that discovery closes as a further call comes on it costs no call: none is used twice.
#[test]
fn no_call_is_written_to_a_connection_that_was_kept() {
    let (_one, _two, _discovery, program) = start(&[PlannedReply::UnavailableThenClose]);
    program.log.wait("list Full", 1);
    assert_eq!(program.log.count("watch failed"), 1);
}
