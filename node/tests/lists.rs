//! The program and discovery: watches that break or fall silent, outdated lists, and an address that changes.

mod common;

use common::*;
use serde_json::json;

/// A drain reported on the watch takes effect at once. A watch that breaks is opened again and reports later
/// changes.
#[test]
fn no_new_job_goes_to_a_draining_runner() {
    let (leaving, staying) = (Runner::start("s-0"), Runner::start("s-1"));
    let discovery = Discovery::start(vec![host("s-0", leaving.address, "hall-a", "active")]);
    let program = Program::start(&discovery, settings(), None);
    leaving.call_back_to(&program);
    staying.call_back_to(&program);
    assert_eq!(call(program.address, &api_request("pick-route", &new_id(), "5000m", ""), "x").body, "by s-0");
    discovery.update(&[
        host("s-0", leaving.address, "hall-a", "leaving"),
        host("s-1", staying.address, "hall-a", "active"),
    ]);
    program.log.wait("list Delta", 1);
    let before = leaving.events.count("POST");
    for _ in 0..20 {
        assert_eq!(
            call(program.address, &api_request("pick-route", &new_id(), "5000m", ""), "x").body,
            "by s-1"
        );
    }
    assert_eq!(leaving.events.count("POST"), before);
    discovery.break_watches();
    program.log.wait("list Full", 2);
    assert!(discovery.request_lines.wait("stream=1", 2).contains("index=2"));
}

/// Failed calls and a silent watch are repeated. The list known at the start may be outdated: a runner that
/// the first full list omits is gone.
#[test]
fn the_watch_is_reopened_and_an_outdated_list_is_corrected() {
    let (old, new) = (Runner::start("s-0"), Runner::start("s-1"));
    let hosts = vec![host("s-1", new.address, "hall-a", "active")];
    let discovery = Discovery::start_with_replies(
        hosts,
        &[PlannedReply::Unavailable, PlannedReply::Close, PlannedReply::StalledWatch],
    );
    let mut config = Program::config(discovery.address, settings());
    config["known"]["hosts"] = json!([host("s-0", old.address, "hall-a", "active")]);
    let program = Program::start_with(config, None);
    old.call_back_to(&program);
    new.call_back_to(&program);
    for _ in 0..10 {
        assert_eq!(
            call(program.address, &api_request("pick-route", &new_id(), "5000m", ""), "x").body,
            "by s-1"
        );
    }
    program.log.wait("watch failed: answered 503", 1);
    program.log.wait("watch failed: silent", 1);
    program.log.wait("list Full", 2);
    assert!(program.log.count("watch failed") >= 3);
    assert_eq!(old.events.count("POST"), 0);
}

/// Changes that discovery reported while the program was down are not in the list that it starts with, but
/// they are in force. Requests are refused while calls to discovery fail, and the first one served goes by
/// discovery's list.
#[test]
fn the_list_from_before_the_start_is_not_used_for_sending() {
    let (old, new) = (Runner::start("s-0"), Runner::start("s-1"));
    let hosts = vec![host("s-1", new.address, "hall-a", "active")];
    let discovery = Discovery::start_with_replies(
        hosts,
        &[
            PlannedReply::Unavailable,
            PlannedReply::Unavailable,
            PlannedReply::Unavailable,
            PlannedReply::Unavailable,
        ],
    );
    let mut config = Program::config(discovery.address, settings());
    config["known"]["hosts"] = json!([host("s-0", old.address, "hall-a", "active")]);
    let program = Program::spawn_until(Program::command(&config, None), false, "watch failed");
    old.call_back_to(&program);
    new.call_back_to(&program);
    // The health check fails meanwhile, so that clients are sent to other dispatchers.
    assert_eq!(call(program.address, "GET /up HTTP/1.1", "").status, 503);
    let served = loop {
        let answer = call(program.address, &api_request("pick-route", &new_id(), "5000m", ""), "x");
        if answer.status != 503 {
            break answer;
        }
    };
    assert_eq!((served.body.as_str(), old.events.count("POST")), ("by s-1", 0));
    assert_eq!(call(program.address, "GET /up HTTP/1.1", "").status, 200);
}

/// Discovery moves under load: the new address is asked at once for the full list, the known list stays valid
/// until then, and the end of the old watch has no further effect.
#[test]
fn sighup_moves_the_watch_to_the_discovery_address_in_the_file() {
    let (leaving, staying) = (Runner::start("s-0"), Runner::start("s-1"));
    let hosts =
        [host("s-0", leaving.address, "hall-a", "active"), host("s-1", staying.address, "hall-a", "active")];
    let old = Discovery::start(hosts[..1].to_vec());
    let program = Program::start(&old, settings(), None);
    leaving.call_back_to(&program);
    staying.call_back_to(&program);
    old.update(&hosts[..1]);
    program.log.wait("list Delta 2", 1);
    // The first call to the new address fails. It is repeated there and not at the old address.
    let new = Discovery::start_with_replies(hosts[..1].to_vec(), &[PlannedReply::Unavailable]);
    std::fs::write(&program.config, Program::config(new.address, settings()).to_string()).unwrap();
    program.signal("HUP");
    program.log.wait("watch failed: answered 503", 1);
    assert_eq!(call(program.address, &api_request("pick-route", &new_id(), "5000m", ""), "x").body, "by s-0");
    assert!(new.request_lines.wait("stream=1", 2).contains("index=0"));
    program.log.wait("list Full 1", 2);
    old.break_watches();
    new.update(&[host("s-0", leaving.address, "hall-a", "leaving"), hosts[1].clone()]);
    program.log.wait("list Delta 2", 2);
    for _ in 0..10 {
        assert_eq!(
            call(program.address, &api_request("pick-route", &new_id(), "5000m", ""), "x").body,
            "by s-1"
        );
    }
    assert_eq!((old.request_lines.count("stream=1"), program.log.count("watch failed")), (1, 1));
}

/// In pushed mode, lists come over a watch on the machine's agent. It is opened at once, the list known
/// before the start is not used, and a watch that ends is opened again.
#[test]
fn a_pushed_list_comes_over_a_watch_on_the_agent() {
    let (old, new) = (Runner::start("s-0"), Runner::start("s-1"));
    let agent = Discovery::start_with_replies(
        vec![host("s-1", new.address, "hall-a", "active")],
        &[PlannedReply::Close],
    );
    let mut pushed = settings();
    pushed["membershipMode"] = json!("pushed");
    let mut config = Program::config(agent.address, pushed);
    config["known"]["hosts"] = json!([host("s-0", old.address, "hall-a", "active")]);
    let program = Program::start_with(config, None);
    new.call_back_to(&program);
    for _ in 0..10 {
        assert_eq!(
            call(program.address, &api_request("pick-route", &new_id(), "5000m", ""), "x").body,
            "by s-1"
        );
    }
    assert_eq!(old.events.count("POST"), 0);
    agent.break_watches();
    agent.request_lines.wait("stream=1", 3);
}

/// A file that is half written or invalid changes nothing, and an error is logged.
#[test]
fn sighup_with_an_invalid_file_changes_nothing() {
    let (discovery, _runner, program) = one_runner();
    let valid = Program::config(([127, 0, 0, 1], 1).into(), settings());
    let mut invalid = valid.clone();
    invalid["settings"]["services"][0]["repeat"] = json!("maybe");
    let half = valid.to_string()[..200].to_owned();
    for (n, (text, key)) in
        [(half, "EOF"), (String::new(), "EOF"), (invalid.to_string(), "repeat")].into_iter().enumerate()
    {
        std::fs::write(&program.config, text).unwrap();
        program.signal("HUP");
        assert!(program.log.wait("configuration not reloaded", n + 1).contains(key));
    }
    assert_eq!(call(program.address, &api_request("pick-route", &new_id(), "5000m", ""), "x").body, "by s-0");
    discovery.break_watches();
    discovery.request_lines.wait("stream=1", 2);
}
