//! What operators do to a running dispatcher: replace its process on a socket that the platform
//! holds. Each test causes one of those without the bench, between the lab's stand-ins.

mod common;

use common::*;
use serde_json::Value;
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};

/// A process of the dispatcher on a clients' socket that the test holds.
fn on_shared(config: &Value, socket: &TcpListener, replaces: Option<&Program>) -> Program {
    Program::spawn(Program::command_on_socket(config, socket, replaces), false)
}

fn served(at: SocketAddr) -> (u16, String) {
    let answer = call(at, &api_request("short-pick", &new_id(), "5000m", ""), "job");
    (answer.status(), answer.body)
}

#[test]
fn a_new_process_takes_the_shared_socket_and_the_old_one_lets_go_of_it() {
    let (runner, _discovery, mut config) = one_runner(false);
    let socket = shared_socket(&mut config);
    let mut old = on_shared(&config, &socket, None);
    runner.call_back_to(&old);
    assert_eq!(old.address, socket.local_addr().unwrap(), "it serves where the socket listens");
    assert_eq!(served(old.address), (200, "by s-0".to_owned()));
    let new = on_shared(&config, &socket, None);
    old.signal("TERM");
    assert!(old.child.wait().unwrap().success(), "the old one ends in good order");
    old.log.wait("ends: ", 1);
    // Whatever comes now finds the new one, on the same address; the old one's log has no more of it.
    let before = old.log.count("request ");
    for _ in 0..5 {
        assert_eq!(served(socket.local_addr().unwrap()), (200, "by s-0".to_owned()));
    }
    assert_eq!(old.log.count("request "), before);
    assert!(new.log.count("request ") >= 5);
}

#[test]
fn a_descriptor_that_is_not_open_is_named_and_nothing_starts() {
    let discovery = Discovery::start(Vec::new());
    let mut command = Program::command(&Program::config(discovery.address, settings()), None);
    // A number far above what a test's process holds open.
    command.env("NODE_LISTEN_FD", "900");
    let out = command.output().unwrap();
    assert_eq!(out.status.code(), Some(1), "exit code 1: it could not start");
    let said = String::from_utf8_lossy(&out.stderr);
    assert!(said.contains("NODE_LISTEN_FD: \"900\": is not open in this process"), "{said}");
}

/// One call at the door, and its whole answer.
fn door(at: SocketAddr, call: &str) -> String {
    let mut stream = TcpStream::connect(at).unwrap();
    stream.write_all(call.as_bytes()).unwrap();
    stream.set_read_timeout(Some(EVENT_TIMEOUT)).unwrap();
    let mut answer = String::new();
    let _ = stream.read_to_string(&mut answer);
    answer
}

/// A runner's word on a job, as the runner `s-0` would give it.
fn call_back(at: SocketAddr, id: &str, state: &str) -> u16 {
    // Over several lines, as a runner may write it.
    let body = serde_json::json!({"id": id, "from": "s-0", "state": state, "result": "by s-0"});
    let body = format!("{body:#}");
    call(at, "POST /v1/job-events HTTP/1.1", &body).status()
}

/// A figure from the answer to STATS.
fn figure(stats: &str, name: &str) -> u64 {
    let line = stats.lines().find_map(|line| line.strip_prefix(&format!("{name}=")));
    line.unwrap_or_else(|| panic!("{name} in {stats}")).parse().unwrap()
}

/// One runner on discovery's list, and a configuration, with a door on a port of the system's choice
/// or without one.
fn one_runner(door: bool) -> (Runner, Discovery, Value) {
    let runner = Runner::start("s-0");
    let discovery = Discovery::start(vec![host("s-0", runner.address, "hall-a", "active")]);
    let mut config = Program::config(discovery.address, settings());
    if door {
        config["admin_addr"] = "127.0.0.1:0".into();
    }
    (runner, discovery, config)
}

/// A clients' socket that the test holds, as the platform does, where the configuration says it listens.
fn shared_socket(config: &mut Value) -> TcpListener {
    let socket = TcpListener::bind("127.0.0.1:0").unwrap();
    config["listen"] = socket.local_addr().unwrap().to_string().into();
    socket
}

/// One runner, discovery, and a process on a shared socket with a door, which the runner calls back to: what
/// an upgrade begins with.
fn before_an_upgrade() -> (Runner, Discovery, Value, TcpListener, Program) {
    let (runner, discovery, mut config) = one_runner(true);
    let socket = shared_socket(&mut config);
    let old = on_shared(&config, &socket, None);
    runner.call_back_to(&old);
    (runner, discovery, config, socket, old)
}

#[test]
fn the_door_says_ready_and_tells_the_figures() {
    let (runner, _discovery, config) = one_runner(true);
    let program = Program::start_with(config, None);
    let at = program.admin_address();
    runner.call_back_to(&program);
    assert_eq!(door(at, "READY\n"), "OK ready\n");
    assert_eq!(served(program.address), (200, "by s-0".to_owned()));
    let refused =
        call(program.address, &api_request("short-pick", &new_id(), "5000m", "\r\nX-Attrs: slots=x"), "");
    assert_eq!(refused.status(), 400);
    let unknown = call(program.address, &api_request("bin-check-v2", &new_id(), "5000m", ""), "");
    assert_eq!(unknown.status(), 400, "a class this process does not know yet");
    let stats = door(at, "STATS\n");
    assert!(stats.starts_with("OK\n") && stats.ends_with("END\n"), "{stats}");
    assert_eq!(figure(&stats, "transactions.short-pick.answered"), 1);
    assert_eq!(figure(&stats, "transactions.short-pick.deferred"), 0);
    assert_eq!(figure(&stats, "transactions.short-pick.errored"), 1, "the bad head counts as errored");
    assert_eq!(figure(&stats, "transactions.bin-check-v2.errored"), 1);
    assert_eq!(figure(&stats, "sends"), 1);
    assert_eq!(figure(&stats, "current"), 0);
    assert_eq!(figure(&stats, "cluster_size"), 1);
    assert_eq!(figure(&stats, "cluster_unhealthy"), 0);
    assert_eq!(figure(&stats, "conf_loaded"), 0);
}

/// Callers that say nothing, or half a call, or far too much, get an error each; meanwhile others are
/// answered.
#[test]
fn the_door_answers_others_while_callers_are_silent_or_half_done() {
    let discovery = Discovery::start(Vec::new());
    let mut config = Program::config(discovery.address, settings());
    config["admin_addr"] = "127.0.0.1:0".into();
    let program = Program::start_with(config, None);
    let at = program.admin_address();
    let mut silent = TcpStream::connect(at).unwrap();
    let mut half = TcpStream::connect(at).unwrap();
    half.write_all(b"STA").unwrap();
    assert_eq!(door(at, "READY\n"), "OK ready\n", "answered while two callers hold theirs open");
    let mut told = String::new();
    half.set_read_timeout(Some(EVENT_TIMEOUT)).unwrap();
    half.read_to_string(&mut told).unwrap();
    assert_eq!(told, "ERR the call was not ended by a newline within 900 ms\n");
    told.clear();
    silent.set_read_timeout(Some(EVENT_TIMEOUT)).unwrap();
    silent.read_to_string(&mut told).unwrap();
    assert_eq!(told, "ERR no call within 900 ms\n");
    let long = "X".repeat(1 << 20) + "\n";
    let mut stream = TcpStream::connect(at).unwrap();
    let _ = stream.write_all(long.as_bytes());
    stream.set_read_timeout(Some(EVENT_TIMEOUT)).unwrap();
    let mut answer = String::new();
    let _ = stream.read_to_string(&mut answer);
    assert_eq!(answer, "ERR the call is longer than 256 bytes\n");
    assert!(door(at, "HELLO\n").starts_with("ERR unknown call \"HELLO\""));
    // Pieces of any size make one call.
    let mut pieces = TcpStream::connect(at).unwrap();
    for byte in b"READY\n" {
        pieces.write_all(&[*byte]).unwrap();
    }
    let mut answer = String::new();
    pieces.read_to_string(&mut answer).unwrap();
    assert_eq!(answer, "OK ready\n");
}

#[test]
fn a_runner_taken_out_by_hand_gets_nothing_new_until_it_is_put_back_even_over_an_upgrade() {
    let (runner, discovery, config, socket, mut old) = before_an_upgrade();
    let at = old.admin_address();
    assert_eq!(door(at, "DISABLE s-9\n"), "ERR no runner of that id was ever listed\n");
    assert_eq!(door(at, "DISABLE s-0\n"), "OK\n");
    assert_eq!(door(at, "DISABLE s-0\n"), "OK\n", "a repeated call changes nothing");
    assert_eq!(figure(&door(at, "STATS\n"), "cluster_unhealthy"), 1);
    let sent = runner.events.count("POST serve");
    let (status, _) = served(old.address);
    assert_eq!(status, 503, "nothing goes to a runner taken out");
    assert_eq!(runner.events.count("POST serve"), sent);
    // The successor finds the ban kept; discovery's word does not end it.
    let folder = old.temp_dir.clone();
    let new = on_shared(&config, &socket, Some(&old));
    let at = new.admin_address();
    old.signal("TERM");
    assert!(old.child.wait().unwrap().success());
    discovery.update(&[host("s-0", runner.address, "hall-a", "active")]);
    assert_eq!(figure(&door(at, "STATS\n"), "cluster_unhealthy"), 1);
    assert_eq!(served(new.address).0, 503);
    assert_eq!(door(at, "ENABLE s-0\n"), "OK\n", "one call puts it back");
    assert_eq!(figure(&door(at, "STATS\n"), "cluster_unhealthy"), 0);
    assert_eq!(served(new.address), (200, "by s-0".to_owned()));
    assert_eq!(std::fs::read_to_string(folder.join("sablerun-bans")).unwrap(), "");
}

/// While one process replaces another, a runner's word on a job of the old one reaches the new one, which
/// accepts alone by then: it is handed on, and the job is served. A word on a job of nobody is answered too.
#[test]
fn a_call_back_that_reaches_the_successor_serves_the_job_of_the_process_before() {
    let (runner, _discovery, config, socket, mut old) = before_an_upgrade();
    let at = old.address;
    old.admin_address();
    let id = new_id();
    let request = api_request("short-pick", &id, "5000m", "");
    let under_way = std::thread::spawn(move || call(at, &request, "hang"));
    runner.events.wait("POST hang", 1);
    let new = on_shared(&config, &socket, Some(&old));
    new.admin_address();
    old.signal("TERM");
    old.log.wait("lets clients go", 1);
    assert_eq!(call_back(at, "0badcafe", "done"), 200, "nobody's job");
    assert_eq!(call_back(at, &id, "started"), 200);
    assert_eq!(call_back(at, &id, "done"), 200);
    let answer = under_way.join().unwrap();
    assert_eq!((answer.status(), answer.body.as_str()), (200, "by s-0"));
    assert!(old.child.wait().unwrap().success());
    assert_eq!(call_back(at, &id, "done"), 200, "told again when nobody is left to ask");
    let doors = std::fs::read_dir(&old.temp_dir)
        .unwrap()
        .filter_map(|file| file.ok()?.file_name().into_string().ok());
    assert_eq!(doors.filter(|name| name.starts_with("sablerun-door-")).count(), 1, "the new one's");
}

/// Calls at both doors of an upgrade, one right after the other, are all kept: none writes over another's.
#[test]
fn calls_at_both_doors_of_an_upgrade_are_all_kept() {
    let (runner, discovery, config, socket, old) = before_an_upgrade();
    let new = on_shared(&config, &socket, Some(&old));
    let names: Vec<_> = (1..9).map(|n| format!("s-{n}")).collect();
    let hosts: Vec<_> = names.iter().map(|name| host(name, runner.address, "hall-a", "active")).collect();
    discovery.update(&hosts);
    for program in [&old, &new] {
        program.log.wait(": 8 entries", 1);
    }
    let doors = [old.admin_address(), new.admin_address()];
    for (n, name) in names.iter().enumerate() {
        assert_eq!(door(doors[n % 2], &format!("DISABLE {name}\n")), "OK\n");
    }
    let file = old.temp_dir.join("sablerun-bans");
    let kept = std::fs::read_to_string(file).unwrap();
    assert_eq!(kept.lines().collect::<Vec<_>>(), names);
}

/// A listed runner that nobody can connect to is avoided by choice, and counts as unhealthy.
#[test]
fn a_runner_that_can_not_be_reached_counts_as_unhealthy() {
    let nobody = TcpListener::bind("127.0.0.1:0").unwrap().local_addr().unwrap();
    let discovery = Discovery::start(vec![host("s-1", nobody, "hall-a", "active")]);
    let mut config = Program::config(discovery.address, settings());
    config["admin_addr"] = "127.0.0.1:0".into();
    let program = Program::start_with(config, None);
    let at = program.admin_address();
    let count = || {
        let stats = door(at, "STATS\n");
        (figure(&stats, "cluster_size"), figure(&stats, "cluster_unhealthy"))
    };
    let until = |want| {
        let end = std::time::Instant::now() + EVENT_TIMEOUT;
        while count() != want {
            assert!(std::time::Instant::now() < end, "{:?} in place of {want:?}", count());
            std::thread::sleep(std::time::Duration::from_millis(20));
        }
    };
    until((1, 0));
    assert_eq!(served(program.address).0, 503, "it never ran anywhere");
    until((1, 1));
}

/// A process is replaced in the midst of a burst: every job gets its answer, from the old one or the new.
#[test]
fn no_job_of_a_burst_is_lost_while_the_process_is_replaced() {
    let (runner, _discovery, config, socket, mut old) = before_an_upgrade();
    let at = old.address;
    let client = move || {
        let job = move |_| call(at, &api_request("short-pick", &new_id(), "5000m", ""), "job").status();
        (0..15).map(job).collect::<Vec<_>>()
    };
    let clients: Vec<_> = (0..16).map(|_| std::thread::spawn(client)).collect();
    runner.events.wait("POST serve", 20);
    let new = on_shared(&config, &socket, Some(&old));
    old.signal("TERM");
    let answers: Vec<_> = clients.into_iter().flat_map(|client| client.join().unwrap()).collect();
    assert!(old.child.wait().unwrap().success());
    assert_eq!(answers.len(), 240);
    let odd: Vec<_> = answers.iter().filter(|status| ![200, 503].contains(status)).collect();
    assert!(odd.is_empty(), "{odd:?}");
    assert!(answers.contains(&200));
    drop(new);
}

/// A file that is empty, cut short, lacks a key, or has a deadline or a number of attempts that is no
/// number above 0 is turned down whole, and counted; a good one is taken.
#[test]
fn a_configuration_of_no_use_at_sighup_is_turned_down_whole_and_counted() {
    let (runner, _discovery, config) = one_runner(true);
    let program = Program::start_with(config.clone(), None);
    let at = program.admin_address();
    runner.call_back_to(&program);
    let whole = config.to_string();
    let mut no_key = config.clone();
    no_key["settings"]["services"][0].as_object_mut().unwrap().remove("deadline");
    let mut no_deadline = config.clone();
    no_deadline["settings"]["services"][0]["deadline"] = 0.into();
    let mut no_tries = config.clone();
    no_tries["settings"]["limits"]["tryLimit"] = (-1).into();
    let bad = [
        String::new(),
        whole[..whole.len() / 2].to_owned(),
        no_key.to_string(),
        no_deadline.to_string(),
        no_tries.to_string(),
    ];
    for (number, text) in bad.iter().enumerate() {
        std::fs::write(&program.config, text).unwrap();
        program.signal("HUP");
        program.log.wait("configuration not read anew, the old one stays", number + 1);
    }
    std::fs::write(&program.config, &whole).unwrap();
    program.signal("HUP");
    program.log.wait("configuration read anew", 1);
    let stats = door(at, "STATS\n");
    assert_eq!((figure(&stats, "conf_invalid"), figure(&stats, "conf_loaded")), (5, 1));
    assert_eq!(served(program.address), (200, "by s-0".to_owned()), "the old settings serve on");
}

/// A class that appears is served under its own terms, one that vanishes is turned away once clients have
/// had time to hear of it, a stricter effect holds for what comes from then on, and what was under way
/// keeps its class and is served.
#[test]
fn new_settings_at_sighup_are_put_to_use_and_jobs_under_way_keep_their_class() {
    let (runner, _discovery, mut config) = one_runner(true);
    let program = Program::start_with(config.clone(), None);
    let at = program.admin_address();
    runner.call_back_to(&program);
    let post = |class: &str, keyed: bool| {
        let request = api_request(class, &new_id(), "5000m", "");
        let request = if keyed { request } else { request.replace("Idempotency-Key", "X-Other") };
        call(program.address, &request, "job").status()
    };
    assert_eq!((post("bin-check", false), post("bin-check-v2", false)), (200, 400));
    let services = config["settings"]["services"].as_array_mut().unwrap();
    let mut appears = services.iter().find(|class| class["name"] == "bin-check").unwrap().clone();
    appears["name"] = "bin-check-v2".into();
    services.push(appears);
    services.retain(|class| class["name"] != "pick-route");
    let stricter = services.iter_mut().find(|class| class["name"] == "bin-check").unwrap();
    stricter["repeat"] = "dedup".into();
    stricter["group"] = "all".into();
    stricter["window"] = 10_000_000_000u64.into();
    let unsafe_now = services.iter_mut().find(|class| class["name"] == "short-pick").unwrap();
    unsafe_now["repeat"] = "fragile".into();
    config["settings"]["limits"]["tryLimit"] = 2.into();
    // Under way while the settings change.
    let (id, to) = (new_id(), program.address);
    let request = api_request("pick-route", &id, "5000m", "");
    let under_way = std::thread::spawn(move || call(to, &request, "hang").status());
    runner.events.wait("POST hang", 1);
    std::fs::write(&program.config, config.to_string()).unwrap();
    program.signal("HUP");
    program.log.wait("new settings are in use", 1);
    assert_eq!(call_back(program.address, &id, "done"), 200);
    assert_eq!(under_way.join().unwrap(), 200, "what was under way keeps its class");
    assert_eq!(post("bin-check-v2", false), 200, "the class that appeared is served");
    assert_eq!(post("bin-check", false), 400, "the stricter effect asks for a key");
    assert_eq!(post("bin-check", true), 200);
    assert_eq!(post("short-pick", false), 200, "what must never run twice needs no key");
    let end = std::time::Instant::now() + EVENT_TIMEOUT;
    while post("pick-route", true) == 200 {
        assert!(std::time::Instant::now() < end, "the class that vanished is served for ever");
        std::thread::sleep(std::time::Duration::from_millis(100));
    }
    let stats = door(at, "STATS\n");
    assert_eq!(figure(&stats, "transactions.bin-check-v2.answered"), 1);
    assert_eq!(figure(&stats, "transactions.bin-check.answered"), 2, "old terms and new, one name");
    assert!(figure(&stats, "transactions.pick-route.answered") >= 1);
    assert_eq!(figure(&stats, "conf_loaded"), 1);
}
