//! The program's end, on its own process: what clients have sent, half sent or keep open when it is told
//! to end, and signals in every order.

mod common;

use common::*;
use serde_json::json;
use std::io::{BufReader, Read, Write};
use std::net::{TcpListener, TcpStream};

/// A connection that has carried a request and rests.
fn kept(program: &Program) -> TcpStream {
    let mut stream = TcpStream::connect(program.address).unwrap();
    stream.set_read_timeout(Some(EVENT_TIMEOUT)).unwrap();
    write!(stream, "GET /up HTTP/1.1\r\nHost: t\r\n\r\n").unwrap();
    assert_eq!(answer(&stream).unwrap().status(), 200);
    stream
}

fn text(id: &str, body: &str) -> String {
    let head = api_request("short-pick", id, "5000m", "");
    format!("{head}\r\nHost: t\r\nContent-Length: {}\r\n\r\n{body}", body.len())
}

/// A program on a socket that the test holds too: on SIGTERM it lets clients go at once.
fn on_a_shared_socket(discovery: &Discovery) -> Program {
    let socket = TcpListener::bind("127.0.0.1:0").unwrap();
    let mut config = Program::config(discovery.address, settings());
    config["listen"] = json!(socket.local_addr().unwrap().to_string());
    Program::spawn(Program::command_on_socket(&config, &socket, None), false)
}

/// Half a head and half a body on kept connections, that come to their end once clients are let go: each
/// gets its answer, the last on its connection. On a shared socket clients are let go at once.
#[test]
fn what_is_half_read_when_clients_are_let_go_is_answered() {
    let discovery = Discovery::start(Vec::new());
    let mut program = on_a_shared_socket(&discovery);
    let (mut heads, mut bodies) = (kept(&program), kept(&program));
    let rests = kept(&program);
    let up = "GET /up HTTP/1.1\r\nHost: t\r\n\r\n";
    let job = text(&new_id(), "to nobody");
    heads.write_all(&up.as_bytes()[..up.len() / 2]).unwrap();
    bodies.write_all(&job.as_bytes()[..job.len() - 4]).unwrap();
    // The program answers a call after these bytes were there: it has read them.
    assert_eq!(call(program.address, "GET /up HTTP/1.1", "").status(), 200);
    program.signal("TERM");
    program.log.wait("lets clients go", 1);
    // Whoever rests is let go by an end between requests.
    let mut nothing = Vec::new();
    (&rests).read_to_end(&mut nothing).expect("an end, no reset");
    assert!(nothing.is_empty());
    heads.write_all(&up.as_bytes()[up.len() / 2..]).unwrap();
    bodies.write_all(&job.as_bytes()[job.len() - 4..]).unwrap();
    for (stream, status) in [(&heads, 200), (&bodies, 503)] {
        let answer = answer(stream).expect("what is half read is answered");
        assert_eq!((answer.status(), answer.headers["connection"].as_str()), (status, "close"));
    }
    assert!(program.child.wait().unwrap().success());
}

/// A second request right behind the one whose answer ends the connection is not sent on: nobody would
/// read its answer. It is the client's to send again.
#[test]
fn a_request_behind_the_last_answer_is_not_sent_on() {
    let runner = Runner::start("s-0");
    let discovery = Discovery::start(vec![host("s-0", runner.address, "hall-a", "active")]);
    let mut program = on_a_shared_socket(&discovery);
    let (first, behind) = (new_id(), new_id());
    let mut stream = open(&program, "short-pick", &first, "5000m", "hang");
    runner.events.wait("POST hang", 1);
    // The runner's call-backs come over one connection, which stays.
    let mut runners = TcpStream::connect(program.address).unwrap();
    let mut tell = |state: &str| {
        let body = json!({"id": first, "from": "s-0", "state": state, "result": "at last"}).to_string();
        let length = body.len();
        write!(runners, "POST /v1/job-events HTTP/1.1\r\nHost: t\r\nContent-Length: {length}\r\n\r\n{body}")
            .unwrap();
        let answer = answer(&runners).unwrap_or_else(|| panic!("{:#?}", program.log.all()));
        assert_eq!(answer.status(), 200);
    };
    tell("started");
    program.signal("TERM");
    program.log.wait("lets clients go", 1);
    stream.write_all(text(&behind, "early").as_bytes()).unwrap();
    tell("done");
    stream.set_read_timeout(Some(EVENT_TIMEOUT)).unwrap();
    let mut words = String::new();
    stream.read_to_string(&mut words).unwrap();
    assert!(words.starts_with("HTTP/1.1 200") && words.contains("at last"), "{words}");
    assert!(program.child.wait().unwrap().success());
    assert_eq!(runner.events.count(&behind), 0);
}

/// On a kept connection each of two requests sent at once gets its own answer, in order.
#[test]
fn a_request_behind_another_gets_its_own_answer() {
    let (_discovery, _runner, program) = one_runner();
    let mut stream = TcpStream::connect(program.address).unwrap();
    stream.set_read_timeout(Some(EVENT_TIMEOUT)).unwrap();
    let up = "GET /up HTTP/1.1\r\nHost: t\r\n\r\n";
    let both = text(&new_id(), "early") + up + &text(&new_id(), "early");
    stream.write_all(both.as_bytes()).unwrap();
    let mut reader = BufReader::new(stream);
    for body in ["by s-0", "", "by s-0"] {
        let answer = read_message(&mut reader).unwrap();
        assert_eq!((answer.status(), answer.body.as_str()), (200, body));
    }
}

/// Signals that come before the configuration is read whole do not kill: it waits in a pipe until the
/// test has signalled.
#[test]
fn a_signal_during_the_start_does_not_kill() {
    let discovery = Discovery::start(Vec::new());
    let config = Program::config(discovery.address, settings());
    let mut command = Program::command(&config, None);
    let place = command.get_envs().find(|(name, _)| *name == "NODE_CONFIG").unwrap().1.unwrap().to_owned();
    std::fs::remove_file(&place).unwrap();
    assert!(std::process::Command::new("mkfifo").arg(&place).status().unwrap().success());
    command.stderr(std::process::Stdio::piped());
    let mut child = command.spawn().unwrap();
    // Opens once the program reads.
    let mut pipe = std::fs::OpenOptions::new().write(true).open(&place).unwrap();
    // What the signal has it read anew is a plain file.
    let plain = std::path::Path::new(&place).with_extension("plain");
    std::fs::write(&plain, config.to_string()).unwrap();
    std::fs::rename(&plain, &place).unwrap();
    let id = child.id().to_string();
    let kill = |name: &str| {
        assert!(std::process::Command::new("/bin/kill").args(["-s", name, &id]).status().unwrap().success());
    };
    kill("HUP");
    pipe.write_all(config.to_string().as_bytes()).unwrap();
    drop(pipe);
    let log = Events::default();
    let (told, lines) = (log.clone(), BufReader::new(child.stderr.take().unwrap()));
    std::thread::spawn(move || {
        std::io::BufRead::lines(lines).map_while(Result::ok).for_each(|line| told.push(line));
    });
    log.wait("ready on ", 1);
    log.wait("configuration read anew", 1);
    kill("TERM");
    assert!(child.wait().unwrap().success());
}

/// The end keeps to the settings in force when it is told, also where SIGHUP and SIGTERM arrive at once;
/// further signals change nothing.
#[test]
fn the_end_follows_the_settings_in_force_then() {
    let discovery = Discovery::start(Vec::new());
    let mut config = Program::config(discovery.address, settings());
    let mut program = Program::start_with(config.clone(), None);
    for service in config["settings"]["services"].as_array_mut().unwrap() {
        service["deadline"] = json!(400_000_000);
        service["objective"] = json!(200_000_000);
    }
    std::fs::write(&program.config, config.to_string()).unwrap();
    // Both wait until the program goes on.
    program.signal("STOP");
    program.signal("TERM");
    program.signal("HUP");
    program.signal("CONT");
    let line = program.log.wait("told to end", 1);
    assert!(line.contains("told to end within 0.800 s"), "{line}");
    program.signal("TERM");
    program.signal("HUP");
    assert!(program.child.wait().unwrap().success());
    assert_eq!(program.log.count("told to end"), 1);
}
