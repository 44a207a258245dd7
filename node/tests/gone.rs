//! Clients that leave while their requests wait, and what lies unread behind a request.

mod common;

use common::*;
use serde_json::json;
use socket2::SockRef;
use std::io::{Read, Write};
use std::net::{Shutdown, TcpStream};
use std::time::Duration;

fn text(id: &str, body: &str) -> String {
    let head = api_request("short-pick", id, "5000m", "");
    format!("{head}\r\nHost: t\r\nContent-Length: {}\r\n\r\n{body}", body.len())
}

/// However a client leaves, and whatever it wrote behind its request, its attempt is given up.
#[test]
fn a_client_that_leaves_is_noticed_over_whatever_it_wrote() {
    let (_discovery, runner, program) = one_runner();
    let up = "GET /up HTTP/1.1\r\nHost: t\r\n\r\n";
    let behind =
        [String::new(), up.to_owned(), up.repeat(30_000), "x".repeat(200 * 1024), "\r\n".repeat(300_000)];
    let mut left = 0;
    for more in &behind {
        for how in ["fin", "rst", "half"] {
            let id = new_id();
            let mut stream = TcpStream::connect(program.address).unwrap();
            stream.write_all(text(&id, "hang").as_bytes()).unwrap();
            program.log.wait(&format!("request {id} of class"), 1);
            // Nobody has to take all of it.
            stream.set_write_timeout(Some(Duration::from_millis(50))).unwrap();
            let _ = stream.write_all(more.as_bytes());
            match how {
                "half" => stream.shutdown(Shutdown::Write).unwrap(),
                "rst" => SockRef::from(&stream).set_linger(Some(Duration::ZERO)).unwrap(),
                _ => {}
            }
            let held = (how == "half").then(|| stream.try_clone().unwrap());
            drop(stream);
            left += 1;
            program.log.wait("a client has left", left);
            if program.log.count(&format!("took {id}")) > 0 {
                runner.events.wait(&format!("DELETE {id}"), 1);
            }
            drop(held);
        }
    }
}

/// What lies behind a request does not cost it its answer.
#[test]
fn what_is_written_behind_a_request_does_not_cost_its_answer() {
    let (_discovery, runner, program) = one_runner();
    for more in ["no request\r\n\r\n", "GET /up HTTP/1.1\r\nHost: t\r\n\r\n", "\r\n"] {
        let id = new_id();
        let mut stream = TcpStream::connect(program.address).unwrap();
        stream.write_all(text(&id, "hang").as_bytes()).unwrap();
        runner.events.wait(&format!("POST hang {id}"), 1);
        stream.write_all(more.repeat(2000).as_bytes()).unwrap();
        // It reads what lies there before it answers others.
        assert_eq!(call(program.address, "GET /up HTTP/1.1", "").status(), 200);
        let body = json!({"id": id, "from": "s-0", "state": "done", "result": "made"}).to_string();
        assert_eq!(call(program.address, "POST /v1/job-events HTTP/1.1", &body).status(), 200);
        let answer = answer(&stream).unwrap_or_else(|| panic!("no answer before {more:?}"));
        assert_eq!((answer.status(), answer.body.as_str()), (200, "made"));
    }
}

/// An error's answer arrives although more was written than anybody reads.
#[test]
fn an_error_arrives_over_unread_bytes() {
    let (_discovery, _runner, program) = one_runner();
    for (head, status) in
        [("no request at all\r\n\r\n", "400"), ("POST /api HTTP/1.1\r\nHost: t\r\n\r\n", "400")]
    {
        let mut stream = TcpStream::connect(program.address).unwrap();
        stream.set_read_timeout(Some(EVENT_TIMEOUT)).unwrap();
        // Whether all of it finds a reader or not.
        let _ = stream.write_all((head.to_owned() + &"x".repeat(1 << 20)).as_bytes());
        let _ = stream.shutdown(Shutdown::Write);
        let mut words = String::new();
        stream.read_to_string(&mut words).unwrap_or_else(|e| panic!("{head:?}: {e}"));
        assert_eq!(words.split(' ').nth(1), Some(status), "{words}");
    }
}

/// Many that wait leave at once: all of them are noticed, and what was out for them is given up.
#[test]
fn a_crowd_that_leaves_at_once_leaves_nothing_out() {
    let (_discovery, runner, program) = one_runner();
    let crowd: Vec<_> = (0..400)
        .map(|_| {
            let id = new_id();
            let stream = open(&program, "short-pick", &id, "5000m", "hang");
            program.log.wait(&format!("request {id} of class"), 1);
            stream
        })
        .collect();
    drop(crowd);
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
    let begun = || program.log.count(", short-pick, at s-0");
    let (before, sent) = (begun(), runner.events.count("POST hang"));
    runner.events.wait("DELETE", sent);
    // What was on its way by then may be read there later: nothing more is begun.
    assert_eq!(begun(), before);
    assert!(runner.events.count("POST hang") <= before);
}

/// Half a head on every connection that there is room for: whoever gives way to others hears so first.
#[test]
fn who_gives_way_in_the_midst_of_a_head_gets_an_answer() {
    let (_discovery, _runner, program) = one_runner_on(64);
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
        let mut words = String::new();
        stream.read_to_string(&mut words).unwrap_or_else(|e| panic!("a reset: {e}"));
        assert!(words.starts_with("HTTP/1.1 408"), "{words:?}");
    }
}
