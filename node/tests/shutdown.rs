//! The shutdown of the program as a process: requests that are complete, half sent, or on idle connections at
//! SIGTERM, and signals in every order.

mod common;

use common::*;
use serde_json::json;
use std::io::{BufReader, Read, Write};
use std::net::{TcpListener, TcpStream};

/// Opens a connection that has carried a request and is idle.
fn idle_connection(program: &Program) -> TcpStream {
    let mut stream = TcpStream::connect(program.address).unwrap();
    stream.set_read_timeout(Some(EVENT_TIMEOUT)).unwrap();
    write!(stream, "GET /up HTTP/1.1\r\nHost: t\r\n\r\n").unwrap();
    assert_eq!(read_answer(&stream).unwrap().status(), 200);
    stream
}

fn request_text(id: &str, body: &str) -> String {
    let head = api_request("short-pick", id, "5000m", "");
    format!("{head}\r\nHost: t\r\nContent-Length: {}\r\n\r\n{body}", body.len())
}

/// Starts a program on a listening socket that the test holds too: on SIGTERM it closes client connections at
/// once.
fn start_on_shared_socket(discovery: &Discovery) -> Program {
    let socket = TcpListener::bind("127.0.0.1:0").unwrap();
    let mut config = Program::config(discovery.address, settings());
    config["listen"] = json!(socket.local_addr().unwrap().to_string());
    Program::spawn(Program::command_on_socket(&config, &socket, None), false)
}

/// Half a head and half a body on persistent connections, completed after the program began to close client
/// connections: each gets its answer, the last on its connection.
#[test]
fn half_read_requests_are_answered_when_client_connections_close() {
    let discovery = Discovery::start(Vec::new());
    let mut program = start_on_shared_socket(&discovery);
    let (mut half_head, mut half_body) = (idle_connection(&program), idle_connection(&program));
    let idle = idle_connection(&program);
    let up = "GET /up HTTP/1.1\r\nHost: t\r\n\r\n";
    let job = request_text(&new_id(), "to nobody");
    half_head.write_all(&up.as_bytes()[..up.len() / 2]).unwrap();
    half_body.write_all(&job.as_bytes()[..job.len() - 4]).unwrap();
    // The program answers a call made after these bytes arrived, so it has read them.
    assert_eq!(call(program.address, "GET /up HTTP/1.1", "").status(), 200);
    program.signal("TERM");
    program.log.wait("closing client connections", 1);
    // An idle connection is closed between requests.
    let mut rest = Vec::new();
    (&idle).read_to_end(&mut rest).expect("a close, not a reset");
    assert!(rest.is_empty());
    half_head.write_all(&up.as_bytes()[up.len() / 2..]).unwrap();
    half_body.write_all(&job.as_bytes()[job.len() - 4..]).unwrap();
    for (stream, status) in [(&half_head, 200), (&half_body, 503)] {
        let answer = read_answer(stream).expect("a half-read request is answered");
        assert_eq!((answer.status(), answer.headers["connection"].as_str()), (status, "close"));
    }
    assert!(program.child.wait().unwrap().success());
}

/// A second request right after the one whose answer ends the connection is not sent to a runner, since its
/// answer could not be delivered. The client has to send it again.
#[test]
fn a_request_after_the_last_answer_is_not_sent_to_a_runner() {
    let runner = Runner::start("s-0");
    let discovery = Discovery::start(vec![host("s-0", runner.address, "hall-a", "active")]);
    let mut program = start_on_shared_socket(&discovery);
    let (first, second) = (new_id(), new_id());
    let mut stream = send_api_request(&program, "short-pick", &first, "5000m", "hang");
    runner.events.wait("POST hang", 1);
    // The runner's call-backs use one connection, which stays open.
    let mut call_backs = TcpStream::connect(program.address).unwrap();
    let mut call_back = |state: &str| {
        let body = json!({"id": first, "from": "s-0", "state": state, "result": "at last"}).to_string();
        let length = body.len();
        write!(
            call_backs,
            "POST /v1/job-events HTTP/1.1\r\nHost: t\r\nContent-Length: {length}\r\n\r\n{body}"
        )
        .unwrap();
        let answer = read_answer(&call_backs).unwrap_or_else(|| panic!("{:#?}", program.log.all()));
        assert_eq!(answer.status(), 200);
    };
    call_back("started");
    program.signal("TERM");
    program.log.wait("closing client connections", 1);
    stream.write_all(request_text(&second, "early").as_bytes()).unwrap();
    call_back("done");
    stream.set_read_timeout(Some(EVENT_TIMEOUT)).unwrap();
    let mut response = String::new();
    stream.read_to_string(&mut response).unwrap();
    assert!(response.starts_with("HTTP/1.1 200") && response.contains("at last"), "{response}");
    assert!(program.child.wait().unwrap().success());
    assert_eq!(runner.events.count(&second), 0);
}

/// Requests sent at once on a persistent connection each get their own answer, in order.
#[test]
fn pipelined_requests_get_their_own_answers() {
    let (_discovery, _runner, program) = one_runner();
    let mut stream = TcpStream::connect(program.address).unwrap();
    stream.set_read_timeout(Some(EVENT_TIMEOUT)).unwrap();
    let up = "GET /up HTTP/1.1\r\nHost: t\r\n\r\n";
    let pipelined = request_text(&new_id(), "early") + up + &request_text(&new_id(), "early");
    stream.write_all(pipelined.as_bytes()).unwrap();
    let mut reader = BufReader::new(stream);
    for body in ["by s-0", "", "by s-0"] {
        let answer = read_message(&mut reader).unwrap();
        assert_eq!((answer.status(), answer.body.as_str()), (200, body));
    }
}

/// Signals that arrive before the configuration has been read do not kill the process. The configuration is a
/// pipe that the test writes only after the signal.
#[test]
fn a_signal_during_startup_does_not_kill_the_process() {
    let discovery = Discovery::start(Vec::new());
    let config = Program::config(discovery.address, settings());
    let mut command = Program::command(&config, None);
    let config_path =
        command.get_envs().find(|(name, _)| *name == "NODE_CONFIG").unwrap().1.unwrap().to_owned();
    std::fs::remove_file(&config_path).unwrap();
    assert!(std::process::Command::new("mkfifo").arg(&config_path).status().unwrap().success());
    command.stderr(std::process::Stdio::piped());
    let mut child = command.spawn().unwrap();
    // Opens once the program reads the pipe.
    let mut pipe = std::fs::OpenOptions::new().write(true).open(&config_path).unwrap();
    // The file that the program reads again on the signal is a plain one.
    let plain = std::path::Path::new(&config_path).with_extension("plain");
    std::fs::write(&plain, config.to_string()).unwrap();
    std::fs::rename(&plain, &config_path).unwrap();
    let id = child.id().to_string();
    let kill = |name: &str| {
        assert!(std::process::Command::new("/bin/kill").args(["-s", name, &id]).status().unwrap().success());
    };
    kill("HUP");
    pipe.write_all(config.to_string().as_bytes()).unwrap();
    drop(pipe);
    let log = Events::default();
    let (log_writer, lines) = (log.clone(), BufReader::new(child.stderr.take().unwrap()));
    std::thread::spawn(move || {
        std::io::BufRead::lines(lines).map_while(Result::ok).for_each(|line| log_writer.push(line));
    });
    log.wait("ready on ", 1);
    log.wait("configuration reloaded", 1);
    kill("TERM");
    assert!(child.wait().unwrap().success());
}

/// The shutdown uses the settings in force when it begins, also if SIGHUP and SIGTERM arrive together.
/// Further signals change nothing.
#[test]
fn the_shutdown_uses_the_settings_in_force_when_it_begins() {
    let discovery = Discovery::start(Vec::new());
    let mut config = Program::config(discovery.address, settings());
    let mut program = Program::start_with(config.clone(), None);
    for service in config["settings"]["services"].as_array_mut().unwrap() {
        service["deadline"] = json!(400_000_000);
        service["objective"] = json!(200_000_000);
    }
    std::fs::write(&program.config, config.to_string()).unwrap();
    // Both signals stay pending until the program continues.
    program.signal("STOP");
    program.signal("TERM");
    program.signal("HUP");
    program.signal("CONT");
    // The longest deadline plus 0.4 s.
    let line = program.log.wait("shutting down", 1);
    assert!(line.contains("shutting down within 0.800 s"), "{line}");
    program.signal("TERM");
    program.signal("HUP");
    assert!(program.child.wait().unwrap().success());
    assert_eq!(program.log.count("shutting down"), 1);
}
