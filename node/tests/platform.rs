//! The program on the platform's sockets: each test settles one trap of the protocol.

mod common;

use common::*;
use serde_json::{Value, json};
use std::io::{BufReader, Read, Write};
use std::net::{Shutdown, TcpListener, TcpStream};
use std::process::Stdio;
use std::thread;

fn one_runner() -> (Discovery, Runner, Program) {
    one_runner_on(1024)
}

/// The same with so many descriptors for the program.
fn one_runner_on(sockets: u64) -> (Discovery, Runner, Program) {
    let runner = Runner::start("s-0");
    let discovery = Discovery::start(vec![host("s-0", runner.at, "hall-a", "active")]);
    let mut config = Program::config(discovery.at, settings());
    config["limits"]["sockets"] = json!(sockets);
    let program = Program::start_with(config, None);
    runner.call_back_to(&program);
    (discovery, runner, program)
}

fn open(program: &Program, class: &str, id: &str, timeout: &str, body: &str) -> TcpStream {
    let mut stream = TcpStream::connect(program.at).unwrap();
    let head = api(class, id, timeout, "");
    write!(stream, "{head}\r\nHost: t\r\nContent-Length: {}\r\n\r\n{body}", body.len()).unwrap();
    stream
}

fn answer(stream: &TcpStream) -> Option<Message> {
    stream.set_read_timeout(Some(PATIENCE)).unwrap();
    read_message(&mut BufReader::new(stream.try_clone().unwrap()))
}

#[test]
fn a_job_passes_unchanged_and_its_result_is_the_answer() {
    let (_discovery, runner, program) = one_runner();
    let id = new_id();
    let answer = call(
        program.at,
        &api("short-pick", &id, "5000m", "\r\nX-Cost: 1500\r\nX-Attrs: slots=2"),
        "the body",
    );
    assert_eq!((answer.status(), answer.body.as_str()), (200, "by s-0"));
    let seen = runner.seen.wait("POST serve", 1);
    assert_eq!(seen, format!("POST serve {id} POST /api?sid=7f3a HTTP/1.1 the body"));
    // The second, repeated call-back is answered too, and changes nothing.
    runner.seen.wait(&format!("done {id} -> 200"), 2);
    assert_eq!(call(program.at, "GET /up HTTP/1.1", "").status(), 200);
}

#[test]
fn a_call_back_before_the_202_counts() {
    let (_discovery, _runner, program) = one_runner();
    let answer = call(program.at, &api("wave-release", &new_id(), "5000m", ""), "early");
    assert_eq!((answer.status(), answer.body.as_str()), (200, "by s-0"));
}

/// Id and name must both match an attempt that is out: anything else could serve a job with what no
/// runner made for it.
#[test]
fn call_backs_that_match_no_live_attempt_change_nothing() {
    let (_discovery, runner, program) = one_runner();
    let id = new_id();
    let stream = open(&program, "short-pick", &id, "5000m", "hang");
    runner.seen.wait("POST hang", 1);
    let back = |id: &str, from: &str, state: &str| {
        let body = json!({"id": id, "from": from, "state": state, "result": from}).to_string();
        call(program.at, "POST /v1/job-events HTTP/1.1", &body).status()
    };
    assert_eq!(back(&id, "s-9", "done"), 200);
    assert_eq!(back("0000", "s-0", "done"), 200);
    assert_eq!(back(&id, "s-0", "no such state"), 200);
    assert_eq!(call(program.at, "POST /v1/job-events HTTP/1.1", "{").status(), 400);
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
        let answer = call(program.at, &api(class, &id, "300m", ""), word);
        assert_eq!(answer.status(), status, "{word} {class}");
        // And the attempt is given up: by a call after the 202, by the connection's end before it.
        match word {
            "hang" => runner.seen.wait(&format!("DELETE {id}"), 1),
            _ => runner.seen.wait("closed", 1),
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
        runner.seen.wait(&format!("DELETE {id}"), 1);
    }
}

#[test]
fn a_refusal_says_when_to_come_back_and_comes_before_the_deadline() {
    let discovery = Discovery::start(Vec::new());
    let program = Program::start(&discovery, settings(), None);
    // Given up when its aim is past, while its deadline is hours away.
    let answer = call(program.at, &api("pick-route", &new_id(), "7200000m", ""), "x");
    assert_eq!(answer.status(), 503);
    assert_eq!(answer.headers["retry-after"].parse::<f64>().unwrap(), 1.0);
}

#[test]
fn bad_input_gets_its_status() {
    let (_discovery, runner, program) = one_runner();
    let status = |head: &str, body: &str| call(program.at, head, body).status();
    let good = api("pick-route", "good", "100m", "");
    let without = |name: &str| {
        let lines = good.split("\r\n").filter(|line| !line.starts_with(name));
        lines.collect::<Vec<_>>().join("\r\n")
    };
    for name in ["X-Request-ID", "X-Priority-Class", "X-Timeout", "X-Tenant-Id"] {
        assert_eq!(status(&without(name), "x"), 400, "{name}");
    }
    assert_eq!(status(&without("Idempotency-Key").replace("pick-route", "short-pick"), "x"), 400);
    for (from, to) in [
        ("pick-route", "no-class"),
        ("mehran-dist", "nobody"),
        ("ID: good", "ID: a/b"),
        ("100m", "100"),
        ("100m", "-1m"),
        ("100m", "NaNm"),
        ("100m", "m"),
        ("100m", "100m\r\nX-Cost: much"),
        ("100m", "100m\r\nX-Attrs: slots"),
        ("100m", "100m\r\nX-Attrs: slots=-2"),
    ] {
        assert_eq!(status(&good.replace(from, to), "x"), 400, "{to}");
    }
    assert_eq!(status(&good, &"x".repeat(64 * 1024 + 1)), 413);
    assert_eq!(status("GET /api HTTP/1.1", ""), 405);
    assert_eq!(status("POST /up HTTP/1.1", ""), 405);
    assert_eq!(status("GET /v1/job-events HTTP/1.1", ""), 405);
    assert_eq!(status("GET /elsewhere HTTP/1.1", ""), 404);
    assert_eq!(runner.seen.count("POST"), 0);
    // A body of just the size passes, and microseconds are a unit too.
    let answer = call(program.at, &api("pick-route", &new_id(), "5000000u", ""), &"x".repeat(64 * 1024));
    assert_eq!(answer.status(), 200);
}

#[test]
fn work_turned_away_goes_elsewhere_and_one_runner_holds_a_job_once() {
    let (_discovery, runner, program) = one_runner();
    let id = new_id();
    // Never run, so even a class that is keyed by hall may be refused.
    let answer = call(program.at, &api("wave-release", &id, "400m", ""), "away");
    assert_eq!(answer.status(), 503);
    assert!(runner.seen.count(&format!("POST away {id}")) >= 1);
    // Two requests under one id can't be told apart by a runner: the second is not sent.
    let first = open(&program, "short-pick", &id, "5000m", "hang");
    runner.seen.wait(&format!("POST hang {id}"), 1);
    assert_eq!(call(program.at, &api("short-pick", &id, "5000m", ""), "hang").status(), 502);
    assert_eq!(runner.seen.count(&format!("POST hang {id}")), 1);
    drop(first);
}

#[test]
fn a_connection_that_breaks_before_the_202_is_a_reset_and_one_refused_never_ran() {
    let (_discovery, _runner, program) = one_runner();
    // The request was written: it may have run, so a class keyed by hall can only fail.
    assert_eq!(call(program.at, &api("wave-release", &new_id(), "400m", ""), "reset").status(), 502);
    // Nobody listens there: nothing can have run, and the same class is refused.
    let free = TcpListener::bind("127.0.0.1:0").unwrap().local_addr().unwrap();
    let discovery = Discovery::start(vec![host("s-0", free, "hall-a", "active")]);
    let program = Program::start(&discovery, settings(), None);
    assert_eq!(call(program.at, &api("wave-release", &new_id(), "400m", ""), "x").status(), 503);
}

/// A drain told on the watch binds at once; a watch that breaks is begun anew and tells the rest.
#[test]
fn nothing_new_goes_to_a_runner_once_it_drains() {
    let (leaving, staying) = (Runner::start("s-0"), Runner::start("s-1"));
    let discovery = Discovery::start(vec![host("s-0", leaving.at, "hall-a", "active")]);
    let program = Program::start(&discovery, settings(), None);
    leaving.call_back_to(&program);
    staying.call_back_to(&program);
    assert_eq!(call(program.at, &api("pick-route", &new_id(), "5000m", ""), "x").body, "by s-0");
    discovery
        .tell(&[host("s-0", leaving.at, "hall-a", "leaving"), host("s-1", staying.at, "hall-a", "active")]);
    program.log.wait("list Delta", 1);
    let before = leaving.seen.count("POST");
    for _ in 0..20 {
        assert_eq!(call(program.at, &api("pick-route", &new_id(), "5000m", ""), "x").body, "by s-1");
    }
    assert_eq!(leaving.seen.count("POST"), before);
    discovery.break_watches();
    program.log.wait("list Full", 2);
    assert!(discovery.calls.wait("stream=1", 2).contains("index=2"));
}

/// Calls that discovery turns down and a watch on which nobody speaks any more are made anew, and the
/// list that is known at the start may be old: a runner that the first whole list leaves out is gone.
#[test]
fn the_watch_is_made_anew_and_an_old_list_is_corrected() {
    let (old, new) = (Runner::start("s-0"), Runner::start("s-1"));
    let hosts = vec![host("s-1", new.at, "hall-a", "active")];
    let discovery = Discovery::planned(hosts, &[Planned::Busy, Planned::Reset, Planned::Silent]);
    let mut config = Program::config(discovery.at, settings());
    config["known"]["hosts"] = json!([host("s-0", old.at, "hall-a", "active")]);
    let program = Program::start_with(config, None);
    old.call_back_to(&program);
    new.call_back_to(&program);
    for _ in 0..10 {
        assert_eq!(call(program.at, &api("pick-route", &new_id(), "5000m", ""), "x").body, "by s-1");
    }
    program.log.wait("watch failed: answered 503", 1);
    program.log.wait("watch failed: silent", 1);
    program.log.wait("list Full", 2);
    assert!(program.log.count("watch failed") >= 3);
    assert_eq!(old.seen.count("POST"), 0);
}

/// Discovery that moves under load: the new address is asked at once and for the whole list, what is
/// known holds until it tells something, and the end of the old watch changes nothing any more.
#[test]
fn sighup_moves_the_watch_to_the_discovery_that_the_file_names() {
    let (leaving, staying) = (Runner::start("s-0"), Runner::start("s-1"));
    let hosts = [host("s-0", leaving.at, "hall-a", "active"), host("s-1", staying.at, "hall-a", "active")];
    let old = Discovery::start(hosts[..1].to_vec());
    let program = Program::start(&old, settings(), None);
    leaving.call_back_to(&program);
    staying.call_back_to(&program);
    old.tell(&hosts[..1]);
    program.log.wait("list Delta 2", 1);
    // The first call there fails: it is made again there and not at the old address.
    let new = Discovery::planned(hosts[..1].to_vec(), &[Planned::Busy]);
    std::fs::write(&program.config, Program::config(new.at, settings()).to_string()).unwrap();
    program.signal("HUP");
    program.log.wait("watch failed: answered 503", 1);
    assert_eq!(call(program.at, &api("pick-route", &new_id(), "5000m", ""), "x").body, "by s-0");
    assert!(new.calls.wait("stream=1", 2).contains("index=0"));
    program.log.wait("list Full 1", 2);
    old.break_watches();
    new.tell(&[host("s-0", leaving.at, "hall-a", "leaving"), hosts[1].clone()]);
    program.log.wait("list Delta 2", 2);
    for _ in 0..10 {
        assert_eq!(call(program.at, &api("pick-route", &new_id(), "5000m", ""), "x").body, "by s-1");
    }
    assert_eq!((old.calls.count("stream=1"), program.log.count("watch failed")), (1, 1));
}

/// A file that is half written, or makes no sense, leaves everything as it is and says so.
#[test]
fn sighup_with_a_file_of_no_use_changes_nothing() {
    let (discovery, _runner, program) = one_runner();
    let good = Program::config(([127, 0, 0, 1], 1).into(), settings());
    let mut senseless = good.clone();
    senseless["settings"]["services"][0]["repeat"] = json!("maybe");
    let half = good.to_string()[..200].to_owned();
    for (n, (text, key)) in
        [(half, "EOF"), (String::new(), "EOF"), (senseless.to_string(), "repeat")].into_iter().enumerate()
    {
        std::fs::write(&program.config, text).unwrap();
        program.signal("HUP");
        assert!(program.log.wait("configuration not read anew", n + 1).contains(key));
    }
    assert_eq!(call(program.at, &api("pick-route", &new_id(), "5000m", ""), "x").body, "by s-0");
    discovery.break_watches();
    discovery.calls.wait("stream=1", 2);
}

/// What is written, as it comes back: the status, and that nothing but the stream's end follows. A
/// reset in place of the end would mean that the answer may get lost on its way.
fn last_words(stream: &mut TcpStream, what: &str) -> u16 {
    stream.set_read_timeout(Some(PATIENCE)).unwrap();
    let mut text = String::new();
    stream.read_to_string(&mut text).unwrap_or_else(|e| panic!("{what}: {e}"));
    assert_eq!(text.matches("HTTP/1.1").count(), 1, "{what}: {text}");
    text.split(' ').nth(1).unwrap().parse().unwrap()
}

/// After an error on framing nothing that follows can be trusted: an error, then the end, and nothing
/// of it goes on to a runner, above all no request that is hidden in another's body.
#[test]
fn what_cannot_be_framed_gets_an_error_and_the_end_and_is_not_sent_on() {
    let (_discovery, runner, program) = one_runner();
    let hidden =
        format!("{}\r\nHost: t\r\nContent-Length: 1\r\n\r\nx", api("bin-check", "hidden", "5000m", ""));
    let chunked = format!("{:x}\r\n{hidden}\r\n0\r\n\r\n", hidden.len());
    for (framing, body) in [
        (format!("Content-Length: {}\r\nTransfer-Encoding: chunked", chunked.len()), chunked.as_str()),
        ("Transfer-Encoding: chunked\r\nContent-Length: 5".to_owned(), "0\r\n\r\n"),
        ("Content-Length: 1\r\nContent-Length: 2".to_owned(), "xx"),
        ("Content-Length: -1".to_owned(), "x"),
        ("Content-Length: +1".to_owned(), "x"),
        ("Content-Length: one".to_owned(), "x"),
        ("Content-Length: 99999999999999999999999".to_owned(), "x"),
        ("Content-Length: 18446744073709551615".to_owned(), hidden.as_str()),
        ("Transfer-Encoding: gzip".to_owned(), "x"),
        ("Transfer-Encoding: chunked".to_owned(), "-1\r\nx\r\n0\r\n\r\n"),
        ("Transfer-Encoding: chunked".to_owned(), "fffffffffffffffff\r\nx\r\n0\r\n\r\n"),
        ("No colon".to_owned(), hidden.as_str()),
    ] {
        let mut stream = TcpStream::connect(program.at).unwrap();
        let head = api("bin-check", &new_id(), "5000m", "");
        write!(stream, "{head}\r\nHost: t\r\n{framing}\r\n\r\n{body}").unwrap();
        assert!((400..500).contains(&last_words(&mut stream, &framing)), "{framing}");
    }
    for text in ["no request at all\r\n\r\n", "GET /up HTTP/1.1\r\n\r\n", "\0\0\0\0\r\n\r\n"] {
        let mut stream = TcpStream::connect(program.at).unwrap();
        stream.write_all(text.as_bytes()).unwrap();
        assert_eq!(last_words(&mut stream, text), 400);
    }
    assert_eq!(runner.seen.all(), Vec::<String>::new());
}

/// What is far too large is turned down at once, and the answer arrives although the client writes on.
#[test]
fn what_is_too_large_gets_its_answer_however_much_is_sent() {
    let (_discovery, _runner, program) = one_runner();
    let mut stream = TcpStream::connect(program.at).unwrap();
    let body = vec![b'x'; 8 * 1024 * 1024];
    write!(
        stream,
        "{}\r\nHost: t\r\nContent-Length: {}\r\n\r\n",
        api("bin-check", "a", "50m", ""),
        body.len()
    )
    .unwrap();
    stream.write_all(&body).unwrap();
    stream.shutdown(Shutdown::Write).unwrap();
    assert_eq!(last_words(&mut stream, "body"), 413);
    // A head far over the size, but within what actix-http would take.
    let mut stream = TcpStream::connect(program.at).unwrap();
    write!(stream, "GET /up HTTP/1.1\r\nX: {}", "x".repeat(32 * 1024)).unwrap();
    assert_eq!(last_words(&mut stream, "head"), 431);
}

/// Whoever says nothing, or breaks off in the midst of a head or body, hears so and is let go, also on
/// a connection that has carried a request; one that rests between requests is left alone.
#[test]
fn what_does_not_come_to_its_end_is_not_waited_for() {
    let (_discovery, runner, program) = one_runner();
    let served = || {
        let mut stream = TcpStream::connect(program.at).unwrap();
        let id = new_id();
        write!(stream, "{}\r\nHost: t\r\nContent-Length: 1\r\n\r\nx", api("short-pick", &id, "5000m", ""))
            .unwrap();
        assert_eq!(answer(&stream).unwrap().status(), 200);
        stream
    };
    let rests = served();
    let half =
        format!("{}\r\nHost: t\r\nContent-Length: 100\r\n\r\nx", api("bin-check", &new_id(), "5000m", ""));
    let fresh = || TcpStream::connect(program.at).unwrap();
    let mut streams = [
        (fresh(), ""),
        (fresh(), "POST /api"),
        (fresh(), half.as_str()),
        (served(), "POST"),
        (served(), half.as_str()),
    ];
    for (stream, text) in &mut streams {
        stream.write_all(text.as_bytes()).unwrap();
    }
    for (stream, text) in &mut streams {
        assert_eq!(last_words(stream, text), 408, "{text}");
    }
    assert_eq!(runner.seen.count("POST"), 3);
    write!(&rests, "GET /up HTTP/1.1\r\nHost: t\r\n\r\n").unwrap();
    assert_eq!(answer(&rests).unwrap().status(), 200);
}

/// Hundreds that connect and say nothing: a client that comes after them finds a place before their
/// time is up, and one that was there keeps its own.
#[test]
fn silent_connections_cost_clients_nothing() {
    let (_discovery, _runner, program) = one_runner_on(64);
    let ask = |stream: &mut TcpStream| {
        write!(
            stream,
            "{}\r\nHost: t\r\nContent-Length: 1\r\n\r\nx",
            api("short-pick", &new_id(), "5000m", "")
        )
        .unwrap();
        answer(stream).unwrap()
    };
    let mut there = TcpStream::connect(program.at).unwrap();
    assert_eq!(ask(&mut there).status(), 200);
    let _silent: Vec<_> = (0..40).map(|_| TcpStream::connect(program.at).unwrap()).collect();
    let late = ask(&mut TcpStream::connect(program.at).unwrap());
    let again = ask(&mut there);
    assert_eq!((late.status(), again.status()), (200, 200));
    assert_eq!((late.headers.get("connection"), again.headers.get("connection")), (None, None));
}

/// A request that its runner can't use is at fault itself: it fails at once and goes nowhere else.
#[test]
fn a_request_that_a_runner_cannot_use_is_not_tried_again() {
    let (_discovery, runner, program) = one_runner();
    assert_eq!(call(program.at, &api("bin-check", &new_id(), "5000m", ""), "unusable").status(), 502);
    assert_eq!(runner.seen.count("POST unusable"), 1);
}

/// The jobs of a client that sends one after another on one connection all get their answers there.
#[test]
fn a_connection_carries_one_request_after_another() {
    let (_discovery, _runner, program) = one_runner();
    let mut stream = TcpStream::connect(program.at).unwrap();
    let mut reader = BufReader::new(stream.try_clone().unwrap());
    for _ in 0..5 {
        let head = api("short-pick", &new_id(), "5000m", "");
        write!(stream, "{head}\r\nHost: t\r\nContent-Length: 1\r\n\r\nx").unwrap();
        assert_eq!(read_message(&mut reader).unwrap().status(), 200);
    }
}

#[test]
fn after_sigterm_it_serves_on_answers_what_it_took_and_ends() {
    let (_discovery, runner, mut program) = one_runner();
    let id = new_id();
    let taken = open(&program, "short-pick", &id, "5000m", "hang");
    runner.seen.wait("POST hang", 1);
    tell(&program, &id, "started", "");
    program.signal("TERM");
    program.log.wait("told to end", 1);
    let late = call(program.at, &api("short-pick", &new_id(), "5000m", ""), "serve");
    assert_eq!(late.status(), 200);
    assert_eq!(late.headers.get("connection"), None);
    program.log.wait("lets clients go", 1);
    let last = call(program.at, &api("short-pick", &new_id(), "5000m", ""), "serve");
    assert_eq!((last.status(), last.headers["connection"].as_str()), (200, "close"));
    tell(&program, &id, "done", "at last");
    assert_eq!(answer(&taken).unwrap().body, "at last");
    assert!(program.child.wait().unwrap().success());
}

/// The runner s-0 tells the program something of a job.
fn tell(program: &Program, id: &str, state: &str, result: &str) {
    let body = json!({"id": id, "from": "s-0", "state": state, "result": result}).to_string();
    assert_eq!(call(program.at, "POST /v1/job-events HTTP/1.1", &body).status(), 200);
}

/// SIGKILL does not wait for the longest deadline: what is unanswered shortly before it is answered.
#[test]
fn after_sigterm_a_job_that_hangs_is_answered_before_the_program_ends() {
    let (_discovery, runner, mut program) = one_runner();
    let ids = [new_id(), new_id()];
    let early = open(&program, "short-pick", &ids[0], "600000m", "hang");
    runner.seen.wait(&format!("POST hang {}", ids[0]), 1);
    tell(&program, &ids[0], "started", "");
    program.signal("TERM");
    program.log.wait("told to end", 1);
    let late = open(&program, "short-pick", &ids[1], "600000m", "hang");
    runner.seen.wait(&format!("POST hang {}", ids[1]), 1);
    tell(&program, &ids[1], "started", "");
    // The module knew the late one's end and gave it up by itself; the early one is the core's to answer.
    assert_eq!((answer(&early).unwrap().status(), answer(&late).unwrap().status()), (502, 503));
    assert!(program.child.wait().unwrap().success());
    assert!(program.log.wait("ends: ", 1).ends_with("open 0"));
}

#[test]
fn bad_configuration_ends_it_with_one_line_that_names_the_key() {
    let discovery = TcpListener::bind("127.0.0.1:0").unwrap().local_addr().unwrap();
    let good = Program::config(discovery, settings());
    let with = |pointer: &str, value: Value| {
        let mut config = good.clone();
        *config.pointer_mut(pointer).unwrap() = value;
        config
    };
    let gateway = |from: &str, to: &str| Some(GATEWAY.replace(from, to));
    for (config, gateway, key) in [
        (with("/listen", json!("nowhere")), None, "listen"),
        (with("/seed", json!("xyz")), None, "seed"),
        (with("/settings/rules/coldFrom", json!("warm")), None, "settings.rules.coldFrom"),
        (with("/settings/rules/coldFrom", json!(7)), None, "cold_from"),
        (with("/settings/services/0/repeat", json!("maybe")), None, "repeat"),
        (with("/settings/services/0/window", json!(-1)), None, "settings.services[0].window"),
        (with("/settings/balancers", json!(0)), None, "balancers"),
        (with("/settings/balancers", json!(1_000_000_000_000u64)), None, "settings.balancers"),
        (with("/settings/projects/0/quotaPerS", json!(-1)), None, "projects.quotaPerS"),
        (with("/settings/projects/0/quotaPerS", json!("many")), None, "settings.projects[0].quotaPerS"),
        (with("/settings/rules/fallMultiple", json!(0)), None, "rules.fallMultiple"),
        (good.clone(), gateway("class = \"wave-release\"", "class = \"waves\""), "route.class"),
        (good.clone(), gateway("plaintext = true", ""), "plaintext"),
        (good.clone(), gateway("fetch_wait_ms = 200", "fetch_wait = 200"), "fetch_wait"),
        (good.clone(), gateway("fetch_wait_ms = 200", "fetch_wait_ms = \"long\""), "fetch_wait_ms"),
        (good.clone(), gateway("zone = \"hall-a\"", "zone = \"hall-z\""), "zone"),
        (good.clone(), gateway("listen = ", "listen = = "), "gateway.toml"),
    ] {
        let mut command = Program::command(&config, gateway.as_deref());
        let output = command.env("RUST_LOG", "info").stderr(Stdio::piped()).output().unwrap();
        let log = String::from_utf8(output.stderr).unwrap();
        assert!(!output.status.success());
        assert!(log.lines().count() == 1 && log.contains(key), "{key}: {log}");
    }
}

/// More clients than descriptors: they wait or are turned away, and the program lives.
#[test]
fn at_the_descriptor_limit_it_degrades_and_lives() {
    let (_discovery, _runner, program) = one_runner_on(64);
    let _idle: Vec<_> = (0..14).map(|_| TcpStream::connect(program.at).unwrap()).collect();
    let clients: Vec<_> = (0..40)
        .map(|_| {
            let at = program.at;
            thread::spawn(move || call(at, &api("short-pick", &new_id(), "5000m", ""), "early").status())
        })
        .collect();
    // A runner's call-back must find a connection too: the idle ones are closed to make room.
    let heard: Vec<_> = clients.into_iter().map(|client| client.join().unwrap()).collect();
    assert!(heard.iter().all(|status| [200, 503, 502].contains(status)), "{heard:?}");
    assert_eq!(call(program.at, "GET /up HTTP/1.1", "").status(), 200);
}

/// A tenant that the settings do not name: an error that names the header, and the next request is served.
#[test]
fn an_unknown_tenant_is_turned_down_by_name() {
    let (_discovery, _runner, program) = one_runner_on(64);
    let head = api("short-pick", &new_id(), "5000m", "").replace("mehran-dist", "nobody-known");
    let answer = call(program.at, &head, "early");
    assert_eq!(answer.status(), 400);
    assert!(answer.body.contains("x-tenant-id"), "{}", answer.body);
    assert_eq!(call(program.at, &api("short-pick", &new_id(), "5000m", ""), "early").status(), 200);
}
