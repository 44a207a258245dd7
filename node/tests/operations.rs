//! Operations on a running dispatcher: replacing its process on a socket that the platform holds, the admin
//! socket, disabled runners, and new settings at SIGHUP. Runs between the lab's stand-ins, without the bench.

mod common;

use common::*;
use serde_json::Value;
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};

/// Starts a dispatcher process on a client socket that the test holds.
fn start_on_shared_socket(config: &Value, socket: &TcpListener, replaces: Option<&Program>) -> Program {
    Program::spawn(Program::command_on_socket(config, socket, replaces), false)
}

fn run_job(address: SocketAddr) -> (u16, String) {
    let answer = call(address, &api_request("short-pick", &new_id(), "5000m", ""), "job");
    (answer.status(), answer.body)
}

#[test]
fn a_new_process_takes_over_the_shared_socket() {
    let (runner, _discovery, mut config) = runner_and_config(false);
    let socket = shared_socket(&mut config);
    let mut old = start_on_shared_socket(&config, &socket, None);
    runner.call_back_to(&old);
    assert_eq!(old.address, socket.local_addr().unwrap(), "the process serves on the address of the socket");
    assert_eq!(run_job(old.address), (200, "by s-0".to_owned()));
    let new = start_on_shared_socket(&config, &socket, None);
    old.signal("TERM");
    assert!(old.child.wait().unwrap().success(), "the old process shuts down cleanly");
    old.log.wait("exiting: ", 1);
    // New requests reach the new process on the same address; the old one's log has no more of them.
    let before = old.log.count("request ");
    for _ in 0..5 {
        assert_eq!(run_job(socket.local_addr().unwrap()), (200, "by s-0".to_owned()));
    }
    assert_eq!(old.log.count("request "), before);
    assert!(new.log.count("request ") >= 5);
}

#[test]
fn a_descriptor_that_is_not_open_fails_the_start_with_a_clear_error() {
    let discovery = Discovery::start(Vec::new());
    let mut command = Program::command(&Program::config(discovery.address, settings()), None);
    // A number far above the descriptors that a test's process has open.
    command.env("NODE_LISTEN_FD", "900");
    let out = command.output().unwrap();
    assert_eq!(out.status.code(), Some(1), "exit code 1: startup failed");
    let stderr = String::from_utf8_lossy(&out.stderr);
    assert!(stderr.contains("NODE_LISTEN_FD: \"900\": is not open in this process"), "{stderr}");
}

/// Sends one call to the admin socket and returns the whole answer.
fn admin_call(address: SocketAddr, command: &str) -> String {
    let mut stream = TcpStream::connect(address).unwrap();
    stream.write_all(command.as_bytes()).unwrap();
    stream.set_read_timeout(Some(EVENT_TIMEOUT)).unwrap();
    let mut answer = String::new();
    let _ = stream.read_to_string(&mut answer);
    answer
}

/// Calls back about a job as the runner `s-0` and returns the status.
fn call_back(address: SocketAddr, id: &str, state: &str) -> u16 {
    // The body spans several lines, as a runner may send it.
    let body = serde_json::json!({"id": id, "from": "s-0", "state": state, "result": "by s-0"});
    let body = format!("{body:#}");
    call(address, "POST /v1/job-events HTTP/1.1", &body).status()
}

/// Returns a metric from the answer to STATS.
fn metric(stats: &str, name: &str) -> u64 {
    let line = stats.lines().find_map(|line| line.strip_prefix(&format!("{name}=")));
    line.unwrap_or_else(|| panic!("{name} in {stats}")).parse().unwrap()
}

/// Starts one runner and discovery, and returns a configuration with or without an admin socket on a port
/// chosen by the system.
fn runner_and_config(admin_socket: bool) -> (Runner, Discovery, Value) {
    let runner = Runner::start("s-0");
    let discovery = Discovery::start(vec![host("s-0", runner.address, "hall-a", "active")]);
    let mut config = Program::config(discovery.address, settings());
    if admin_socket {
        config["admin_addr"] = "127.0.0.1:0".into();
    }
    (runner, discovery, config)
}

/// Opens a client socket, which the test holds as the platform does, at the address where the configuration
/// listens.
fn shared_socket(config: &mut Value) -> TcpListener {
    let socket = TcpListener::bind("127.0.0.1:0").unwrap();
    config["listen"] = socket.local_addr().unwrap().to_string().into();
    socket
}

/// Starts one runner, discovery, and a process with an admin socket on a shared client socket: the state
/// before an upgrade.
fn start_before_upgrade() -> (Runner, Discovery, Value, TcpListener, Program) {
    let (runner, discovery, mut config) = runner_and_config(true);
    let socket = shared_socket(&mut config);
    let old = start_on_shared_socket(&config, &socket, None);
    runner.call_back_to(&old);
    (runner, discovery, config, socket, old)
}

#[test]
fn the_admin_socket_answers_ready_and_stats() {
    let (runner, _discovery, config) = runner_and_config(true);
    let program = Program::start_with(config, None);
    let admin_address = program.admin_address();
    runner.call_back_to(&program);
    assert_eq!(admin_call(admin_address, "READY\n"), "OK ready\n");
    assert_eq!(run_job(program.address), (200, "by s-0".to_owned()));
    let refused =
        call(program.address, &api_request("short-pick", &new_id(), "5000m", "\r\nX-Attrs: slots=x"), "");
    assert_eq!(refused.status(), 400);
    let unknown = call(program.address, &api_request("bin-check-v2", &new_id(), "5000m", ""), "");
    assert_eq!(unknown.status(), 400, "a class that this process does not know yet");
    let stats = admin_call(admin_address, "STATS\n");
    assert!(stats.starts_with("OK\n") && stats.ends_with("END\n"), "{stats}");
    assert_eq!(metric(&stats, "transactions.short-pick.answered"), 1);
    assert_eq!(metric(&stats, "transactions.short-pick.deferred"), 0);
    assert_eq!(metric(&stats, "transactions.short-pick.errored"), 1, "the invalid header counts as errored");
    assert_eq!(metric(&stats, "transactions.bin-check-v2.errored"), 1);
    assert_eq!(metric(&stats, "sends"), 1);
    assert_eq!(metric(&stats, "current"), 0);
    assert_eq!(metric(&stats, "cluster_size"), 1);
    assert_eq!(metric(&stats, "cluster_unhealthy"), 0);
    assert_eq!(metric(&stats, "conf_loaded"), 0);
}

/// Callers that send nothing, half a call or far too much get an error each; meanwhile others are answered.
#[test]
fn the_admin_socket_answers_others_while_callers_are_silent_or_incomplete() {
    let discovery = Discovery::start(Vec::new());
    let mut config = Program::config(discovery.address, settings());
    config["admin_addr"] = "127.0.0.1:0".into();
    let program = Program::start_with(config, None);
    let admin_address = program.admin_address();
    let mut silent = TcpStream::connect(admin_address).unwrap();
    let mut half = TcpStream::connect(admin_address).unwrap();
    half.write_all(b"STA").unwrap();
    assert_eq!(
        admin_call(admin_address, "READY\n"),
        "OK ready\n",
        "answered while two other connections are open"
    );
    let mut answer = String::new();
    half.set_read_timeout(Some(EVENT_TIMEOUT)).unwrap();
    half.read_to_string(&mut answer).unwrap();
    assert_eq!(answer, "ERR the call was not ended by a newline within 900 ms\n");
    answer.clear();
    silent.set_read_timeout(Some(EVENT_TIMEOUT)).unwrap();
    silent.read_to_string(&mut answer).unwrap();
    assert_eq!(answer, "ERR no call within 900 ms\n");
    let long = "X".repeat(1 << 20) + "\n";
    let mut stream = TcpStream::connect(admin_address).unwrap();
    let _ = stream.write_all(long.as_bytes());
    stream.set_read_timeout(Some(EVENT_TIMEOUT)).unwrap();
    let mut answer = String::new();
    let _ = stream.read_to_string(&mut answer);
    assert_eq!(answer, "ERR the call is longer than 256 bytes\n");
    assert!(admin_call(admin_address, "HELLO\n").starts_with("ERR unknown call \"HELLO\""));
    // A call may arrive in pieces of any size.
    let mut pieces = TcpStream::connect(admin_address).unwrap();
    for byte in b"READY\n" {
        pieces.write_all(&[*byte]).unwrap();
    }
    let mut answer = String::new();
    pieces.read_to_string(&mut answer).unwrap();
    assert_eq!(answer, "OK ready\n");
}

#[test]
fn a_manually_disabled_runner_gets_no_new_job_until_enabled_even_across_an_upgrade() {
    let (runner, discovery, config, socket, mut old) = start_before_upgrade();
    let admin_address = old.admin_address();
    assert_eq!(admin_call(admin_address, "DISABLE s-9\n"), "ERR no runner of that id was ever listed\n");
    assert_eq!(admin_call(admin_address, "DISABLE s-0\n"), "OK\n");
    assert_eq!(admin_call(admin_address, "DISABLE s-0\n"), "OK\n", "a repeated call changes nothing");
    assert_eq!(metric(&admin_call(admin_address, "STATS\n"), "cluster_unhealthy"), 1);
    let sent = runner.events.count("POST serve");
    let (status, _) = run_job(old.address);
    assert_eq!(status, 503, "no job goes to a disabled runner");
    assert_eq!(runner.events.count("POST serve"), sent);
    // The successor keeps the runner disabled, and a report from discovery does not enable it.
    let temp_dir = old.temp_dir.clone();
    let new = start_on_shared_socket(&config, &socket, Some(&old));
    let admin_address = new.admin_address();
    old.signal("TERM");
    assert!(old.child.wait().unwrap().success());
    discovery.update(&[host("s-0", runner.address, "hall-a", "active")]);
    assert_eq!(metric(&admin_call(admin_address, "STATS\n"), "cluster_unhealthy"), 1);
    assert_eq!(run_job(new.address).0, 503);
    assert_eq!(admin_call(admin_address, "ENABLE s-0\n"), "OK\n", "one call enables the runner");
    assert_eq!(metric(&admin_call(admin_address, "STATS\n"), "cluster_unhealthy"), 0);
    assert_eq!(run_job(new.address), (200, "by s-0".to_owned()));
    assert_eq!(std::fs::read_to_string(temp_dir.join("sablerun-bans")).unwrap(), "");
}

/// While one process replaces another, call-backs about jobs of the old process reach the new one, which
/// alone accepts connections by then. It forwards them and the job is served. A call-back about an unknown
/// job is answered too.
#[test]
fn a_call_back_that_reaches_the_successor_serves_the_job_of_its_predecessor() {
    let (runner, _discovery, config, socket, mut old) = start_before_upgrade();
    let address = old.address;
    old.admin_address();
    let id = new_id();
    let request = api_request("short-pick", &id, "5000m", "");
    let in_progress = std::thread::spawn(move || call(address, &request, "hang"));
    runner.events.wait("POST hang", 1);
    let new = start_on_shared_socket(&config, &socket, Some(&old));
    new.admin_address();
    old.signal("TERM");
    old.log.wait("closing client connections", 1);
    assert_eq!(call_back(address, "0badcafe", "done"), 200, "an unknown job");
    assert_eq!(call_back(address, &id, "started"), 200);
    assert_eq!(call_back(address, &id, "done"), 200);
    let answer = in_progress.join().unwrap();
    assert_eq!((answer.status(), answer.body.as_str()), (200, "by s-0"));
    assert!(old.child.wait().unwrap().success());
    assert_eq!(call_back(address, &id, "done"), 200, "repeated when the owner has ended");
    let registrations = std::fs::read_dir(&old.temp_dir)
        .unwrap()
        .filter_map(|file| file.ok()?.file_name().into_string().ok());
    assert_eq!(
        registrations.filter(|name| name.starts_with("sablerun-door-")).count(),
        1,
        "only the new process is registered"
    );
}

/// Commands on the admin sockets of both processes of an upgrade, in quick succession, are all kept: neither
/// process overwrites changes of the other.
#[test]
fn commands_on_both_admin_sockets_of_an_upgrade_are_all_kept() {
    let (runner, discovery, config, socket, old) = start_before_upgrade();
    let new = start_on_shared_socket(&config, &socket, Some(&old));
    let names: Vec<_> = (1..9).map(|n| format!("s-{n}")).collect();
    let hosts: Vec<_> = names.iter().map(|name| host(name, runner.address, "hall-a", "active")).collect();
    discovery.update(&hosts);
    for program in [&old, &new] {
        program.log.wait(": 8 entries", 1);
    }
    let admin_addresses = [old.admin_address(), new.admin_address()];
    for (n, name) in names.iter().enumerate() {
        assert_eq!(admin_call(admin_addresses[n % 2], &format!("DISABLE {name}\n")), "OK\n");
    }
    let file = old.temp_dir.join("sablerun-bans");
    let disabled = std::fs::read_to_string(file).unwrap();
    assert_eq!(disabled.lines().collect::<Vec<_>>(), names);
}

/// A listed runner that cannot be connected to is avoided by the balancer and counts as unhealthy.
#[test]
fn an_unreachable_runner_counts_as_unhealthy() {
    let unreachable = TcpListener::bind("127.0.0.1:0").unwrap().local_addr().unwrap();
    let discovery = Discovery::start(vec![host("s-1", unreachable, "hall-a", "active")]);
    let mut config = Program::config(discovery.address, settings());
    config["admin_addr"] = "127.0.0.1:0".into();
    let program = Program::start_with(config, None);
    let admin_address = program.admin_address();
    let count = || {
        let stats = admin_call(admin_address, "STATS\n");
        (metric(&stats, "cluster_size"), metric(&stats, "cluster_unhealthy"))
    };
    let wait_until = |want| {
        let end = std::time::Instant::now() + EVENT_TIMEOUT;
        while count() != want {
            assert!(std::time::Instant::now() < end, "{:?} in place of {want:?}", count());
            std::thread::sleep(std::time::Duration::from_millis(20));
        }
    };
    wait_until((1, 0));
    assert_eq!(run_job(program.address).0, 503, "the job never ran");
    wait_until((1, 1));
}

/// A process is replaced during a burst: every job gets its answer from the old process or the new one.
#[test]
fn no_job_of_a_burst_is_lost_while_the_process_is_replaced() {
    let (runner, _discovery, config, socket, mut old) = start_before_upgrade();
    let address = old.address;
    let client = move || {
        let job = move |_| call(address, &api_request("short-pick", &new_id(), "5000m", ""), "job").status();
        (0..15).map(job).collect::<Vec<_>>()
    };
    let clients: Vec<_> = (0..16).map(|_| std::thread::spawn(client)).collect();
    runner.events.wait("POST serve", 20);
    let new = start_on_shared_socket(&config, &socket, Some(&old));
    old.signal("TERM");
    let answers: Vec<_> = clients.into_iter().flat_map(|client| client.join().unwrap()).collect();
    assert!(old.child.wait().unwrap().success());
    assert_eq!(answers.len(), 240);
    let unexpected: Vec<_> = answers.iter().filter(|status| ![200, 503].contains(status)).collect();
    assert!(unexpected.is_empty(), "{unexpected:?}");
    assert!(answers.contains(&200));
    drop(new);
}

/// A file that is empty, truncated, lacks a key, or has a deadline or a number of attempts that is not above
/// 0 is rejected as a whole and counted; a valid one is used.
#[test]
fn an_invalid_configuration_at_sighup_is_rejected_whole_and_counted() {
    let (runner, _discovery, config) = runner_and_config(true);
    let program = Program::start_with(config.clone(), None);
    let admin_address = program.admin_address();
    runner.call_back_to(&program);
    let whole = config.to_string();
    let mut no_key = config.clone();
    no_key["settings"]["services"][0].as_object_mut().unwrap().remove("deadline");
    let mut no_deadline = config.clone();
    no_deadline["settings"]["services"][0]["deadline"] = 0.into();
    let mut no_attempts = config.clone();
    no_attempts["settings"]["limits"]["tryLimit"] = (-1).into();
    let invalid = [
        String::new(),
        whole[..whole.len() / 2].to_owned(),
        no_key.to_string(),
        no_deadline.to_string(),
        no_attempts.to_string(),
    ];
    for (number, text) in invalid.iter().enumerate() {
        std::fs::write(&program.config, text).unwrap();
        program.signal("HUP");
        program.log.wait("configuration not reloaded, the previous one stays in use", number + 1);
    }
    std::fs::write(&program.config, &whole).unwrap();
    program.signal("HUP");
    program.log.wait("configuration reloaded", 1);
    let stats = admin_call(admin_address, "STATS\n");
    assert_eq!((metric(&stats, "conf_invalid"), metric(&stats, "conf_loaded")), (5, 1));
    assert_eq!(run_job(program.address), (200, "by s-0".to_owned()), "the settings are still in use");
}

/// A new class is served under its own terms. A removed class is refused once clients have had time to learn
/// of it. A stricter idempotency applies to later requests, and requests in progress keep their class and are
/// served.
#[test]
fn new_settings_at_sighup_take_effect_and_jobs_in_progress_keep_their_class() {
    let (runner, _discovery, mut config) = runner_and_config(true);
    let program = Program::start_with(config.clone(), None);
    let admin_address = program.admin_address();
    runner.call_back_to(&program);
    let post = |class: &str, keyed: bool| {
        let request = api_request(class, &new_id(), "5000m", "");
        let request = if keyed { request } else { request.replace("Idempotency-Key", "X-Other") };
        call(program.address, &request, "job").status()
    };
    assert_eq!((post("bin-check", false), post("bin-check-v2", false)), (200, 400));
    let services = config["settings"]["services"].as_array_mut().unwrap();
    let mut added = services.iter().find(|class| class["name"] == "bin-check").unwrap().clone();
    added["name"] = "bin-check-v2".into();
    services.push(added);
    services.retain(|class| class["name"] != "pick-route");
    let stricter = services.iter_mut().find(|class| class["name"] == "bin-check").unwrap();
    stricter["repeat"] = "dedup".into();
    stricter["group"] = "all".into();
    stricter["window"] = 10_000_000_000u64.into();
    let unsafe_class = services.iter_mut().find(|class| class["name"] == "short-pick").unwrap();
    unsafe_class["repeat"] = "fragile".into();
    config["settings"]["limits"]["tryLimit"] = 2.into();
    // In progress while the settings change.
    let (id, to) = (new_id(), program.address);
    let request = api_request("pick-route", &id, "5000m", "");
    let in_progress = std::thread::spawn(move || call(to, &request, "hang").status());
    runner.events.wait("POST hang", 1);
    std::fs::write(&program.config, config.to_string()).unwrap();
    program.signal("HUP");
    program.log.wait("new settings are in use", 1);
    assert_eq!(call_back(program.address, &id, "done"), 200);
    assert_eq!(in_progress.join().unwrap(), 200, "a request in progress keeps its class");
    assert_eq!(post("bin-check-v2", false), 200, "the new class is served");
    assert_eq!(post("bin-check", false), 400, "the stricter class requires a key");
    assert_eq!(post("bin-check", true), 200);
    assert_eq!(post("short-pick", false), 200, "a class that is never repeated needs no key");
    let end = std::time::Instant::now() + EVENT_TIMEOUT;
    while post("pick-route", true) == 200 {
        assert!(std::time::Instant::now() < end, "the removed class is still served");
        std::thread::sleep(std::time::Duration::from_millis(100));
    }
    let stats = admin_call(admin_address, "STATS\n");
    assert_eq!(metric(&stats, "transactions.bin-check-v2.answered"), 1);
    assert_eq!(
        metric(&stats, "transactions.bin-check.answered"),
        2,
        "counted under one name, before and after the change"
    );
    assert!(metric(&stats, "transactions.pick-route.answered") >= 1);
    assert_eq!(metric(&stats, "conf_loaded"), 1);
}
