//! Clients that leave while their requests wait, and unread bytes after a request.

mod common;

use common::*;
use serde_json::json;
use socket2::SockRef;
use std::io::{Read, Write};
use std::net::{Shutdown, TcpStream};
use std::time::Duration;

fn request_text(id: &str, body: &str) -> String {
    let head = api_request("short-pick", id, "5000m", "");
    format!("{head}\r\nHost: t\r\nContent-Length: {}\r\n\r\n{body}", body.len())
}

/// Whichever way a client leaves, and whatever it wrote after its request, its attempt is cancelled.
#[test]
fn a_client_that_leaves_is_noticed_whatever_it_wrote() {
    let (_discovery, runner, program) = one_runner();
    let up = "GET /up HTTP/1.1\r\nHost: t\r\n\r\n";
    let trailing_data =
        [String::new(), up.to_owned(), up.repeat(30_000), "x".repeat(200 * 1024), "\r\n".repeat(300_000)];
    let mut departures = 0;
    for trailing in &trailing_data {
        for how in ["fin", "rst", "half"] {
            let id = new_id();
            let mut stream = TcpStream::connect(program.address).unwrap();
            stream.write_all(request_text(&id, "hang").as_bytes()).unwrap();
            program.log.wait(&format!("request {id} of class"), 1);
            // The program need not read all of it.
            stream.set_write_timeout(Some(Duration::from_millis(50))).unwrap();
            let _ = stream.write_all(trailing.as_bytes());
            match how {
                "half" => stream.shutdown(Shutdown::Write).unwrap(),
                "rst" => SockRef::from(&stream).set_linger(Some(Duration::ZERO)).unwrap(),
                _ => {}
            }
            let half_closed = (how == "half").then(|| stream.try_clone().unwrap());
            drop(stream);
            departures += 1;
            program.log.wait("a client has left", departures);
            if program.log.count(&format!("took {id}")) > 0 {
                runner.events.wait(&format!("DELETE {id}"), 1);
            }
            drop(half_closed);
        }
    }
}

/// Bytes after a request do not prevent its answer.
#[test]
fn bytes_after_a_request_do_not_prevent_its_answer() {
    let (_discovery, runner, program) = one_runner();
    for trailing in ["no request\r\n\r\n", "GET /up HTTP/1.1\r\nHost: t\r\n\r\n", "\r\n"] {
        let id = new_id();
        let mut stream = TcpStream::connect(program.address).unwrap();
        stream.write_all(request_text(&id, "hang").as_bytes()).unwrap();
        runner.events.wait(&format!("POST hang {id}"), 1);
        stream.write_all(trailing.repeat(2000).as_bytes()).unwrap();
        // By answering another connection the program shows that it has read these bytes.
        assert_eq!(call(program.address, "GET /up HTTP/1.1", "").status(), 200);
        let body = json!({"id": id, "from": "s-0", "state": "done", "result": "made"}).to_string();
        assert_eq!(call(program.address, "POST /v1/job-events HTTP/1.1", &body).status(), 200);
        let answer = read_answer(&stream).unwrap_or_else(|| panic!("no answer before {trailing:?}"));
        assert_eq!((answer.status(), answer.body.as_str()), (200, "made"));
    }
}

/// An error answer arrives although the client wrote more than the program reads.
#[test]
fn an_error_answer_arrives_despite_unread_bytes() {
    let (_discovery, _runner, program) = one_runner();
    for (head, status) in
        [("no request at all\r\n\r\n", "400"), ("POST /api HTTP/1.1\r\nHost: t\r\n\r\n", "400")]
    {
        let mut stream = TcpStream::connect(program.address).unwrap();
        stream.set_read_timeout(Some(EVENT_TIMEOUT)).unwrap();
        // The write may fail part way.
        let _ = stream.write_all((head.to_owned() + &"x".repeat(1 << 20)).as_bytes());
        let _ = stream.shutdown(Shutdown::Write);
        let mut response = String::new();
        stream.read_to_string(&mut response).unwrap_or_else(|e| panic!("{head:?}: {e}"));
        assert_eq!(response.split(' ').nth(1), Some(status), "{response}");
    }
}

/// Many waiting clients leave at once: each departure is noticed, and all their attempts are cancelled.
#[test]
fn many_clients_that_leave_at_once_leave_no_attempt_running() {
    let (_discovery, runner, program) = one_runner();
    let clients: Vec<_> = (0..400)
        .map(|_| {
            let id = new_id();
            let stream = send_api_request(&program, "short-pick", &id, "5000m", "hang");
            program.log.wait(&format!("request {id} of class"), 1);
            stream
        })
        .collect();
    drop(clients);
    let end = std::time::Instant::now() + EVENT_TIMEOUT;
    let noticed = || program.log.count("a client has left");
    let answered = || {
        program
            .log
            .all()
            .iter()
            .filter(|line| line.contains(": Refused") || line.contains(": Failed"))
            .count()
    };
    while noticed() + answered() < 400 {
        assert!(std::time::Instant::now() < end, "{} noticed, {} answered", noticed(), answered());
        std::thread::yield_now();
    }
    assert_eq!(call(program.address, "GET /up HTTP/1.1", "").status(), 200);
    let attempts_started = || program.log.count(", short-pick, at s-0");
    let (before, sent) = (attempts_started(), runner.events.count("POST hang"));
    runner.events.wait("DELETE", sent);
    // Attempts already being sent may arrive at the runner later, but no further attempt starts.
    assert_eq!(attempts_started(), before);
    assert!(runner.events.count("POST hang") <= before);
}

/// Half a head on every connection that the limit allows: one that is closed to make room gets an answer
/// first.
#[test]
fn a_connection_closed_to_make_room_within_a_head_gets_an_answer() {
    let (_discovery, _runner, program) = one_runner_with_descriptors(64);
    let halves: Vec<_> = (0..14)
        .map(|_| {
            let mut stream = TcpStream::connect(program.address).unwrap();
            stream.set_read_timeout(Some(EVENT_TIMEOUT)).unwrap();
            stream.write_all(b"POST /api").unwrap();
            stream
        })
        .collect();
    assert_eq!(call(program.address, "GET /up HTTP/1.1", "").status(), 200);
    for mut stream in halves {
        let mut response = String::new();
        stream.read_to_string(&mut response).unwrap_or_else(|e| panic!("a reset: {e}"));
        assert!(response.starts_with("HTTP/1.1 408"), "{response:?}");
    }
}
