//! Invalid input from clients and configurations: each gets a clear error in time, and other clients are
//! unaffected.

mod common;

use common::*;
use serde_json::{Value, json};
use std::io::{Read, Write};
use std::net::{Shutdown, TcpListener, TcpStream};
use std::process::Stdio;
use std::thread;

#[test]
fn bad_input_gets_its_status() {
    let (_discovery, runner, program) = one_runner();
    let status = |head: &str, body: &str| call(program.address, head, body).status();
    let valid = api_request("pick-route", "good", "100m", "");
    let without = |name: &str| {
        let lines = valid.split("\r\n").filter(|line| !line.starts_with(name));
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
        assert_eq!(status(&valid.replace(from, to), "x"), 400, "{to}");
    }
    assert_eq!(status(&valid, &"x".repeat(64 * 1024 + 1)), 413);
    assert_eq!(status("GET /api HTTP/1.1", ""), 405);
    assert_eq!(status("POST /up HTTP/1.1", ""), 405);
    assert_eq!(status("GET /v1/job-events HTTP/1.1", ""), 405);
    assert_eq!(status("GET /elsewhere HTTP/1.1", ""), 404);
    assert_eq!(runner.events.count("POST"), 0);
    // A body of exactly the maximum size passes, and microseconds are a valid unit.
    let answer =
        call(program.address, &api_request("pick-route", &new_id(), "5000000u", ""), &"x".repeat(64 * 1024));
    assert_eq!(answer.status(), 200);
}

/// Returns the status of the last response on a connection, after which the stream must end. A reset instead
/// of an end could lose the response in transit.
fn read_last_status(stream: &mut TcpStream, context: &str) -> u16 {
    stream.set_read_timeout(Some(EVENT_TIMEOUT)).unwrap();
    let mut text = String::new();
    stream.read_to_string(&mut text).unwrap_or_else(|e| panic!("{context}: {e}"));
    assert_eq!(text.matches("HTTP/1.1").count(), 1, "{context}: {text}");
    text.split(' ').nth(1).unwrap().parse().unwrap()
}

/// After a framing error nothing that follows can be trusted: the client gets an error and the connection
/// closes. Nothing of it is sent to a runner, in particular no request hidden in the body of another.
#[test]
fn a_request_with_invalid_framing_gets_an_error_and_is_not_sent_to_a_runner() {
    let (_discovery, runner, program) = one_runner();
    let hidden = format!(
        "{}\r\nHost: t\r\nContent-Length: 1\r\n\r\nx",
        api_request("bin-check", "hidden", "5000m", "")
    );
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
        let mut stream = TcpStream::connect(program.address).unwrap();
        let head = api_request("bin-check", &new_id(), "5000m", "");
        write!(stream, "{head}\r\nHost: t\r\n{framing}\r\n\r\n{body}").unwrap();
        assert!((400..500).contains(&read_last_status(&mut stream, &framing)), "{framing}");
    }
    for text in ["no request at all\r\n\r\n", "GET /up HTTP/1.1\r\n\r\n", "\0\0\0\0\r\n\r\n"] {
        let mut stream = TcpStream::connect(program.address).unwrap();
        stream.write_all(text.as_bytes()).unwrap();
        assert_eq!(read_last_status(&mut stream, text), 400);
    }
    assert_eq!(runner.events.all(), Vec::<String>::new());
}

/// A body or head that is far too large is refused at once, and the answer arrives although the client goes
/// on writing.
#[test]
fn an_oversized_request_gets_its_answer_however_much_is_sent() {
    let (_discovery, _runner, program) = one_runner();
    let mut stream = TcpStream::connect(program.address).unwrap();
    let body = vec![b'x'; 8 * 1024 * 1024];
    write!(
        stream,
        "{}\r\nHost: t\r\nContent-Length: {}\r\n\r\n",
        api_request("bin-check", "a", "50m", ""),
        body.len()
    )
    .unwrap();
    stream.write_all(&body).unwrap();
    stream.shutdown(Shutdown::Write).unwrap();
    assert_eq!(read_last_status(&mut stream, "body"), 413);
    // A head far over the limit, but within the limit of actix-http.
    let mut stream = TcpStream::connect(program.address).unwrap();
    write!(stream, "GET /up HTTP/1.1\r\nX: {}", "x".repeat(32 * 1024)).unwrap();
    assert_eq!(read_last_status(&mut stream, "head"), 431);
}

/// A client that sends nothing, or stops within a head or body, gets a 408 and is closed, also on a
/// connection that has carried a request. A connection that is idle between requests stays open.
#[test]
fn an_incomplete_request_times_out() {
    let (_discovery, runner, program) = one_runner();
    let served_connection = || {
        let mut stream = TcpStream::connect(program.address).unwrap();
        let id = new_id();
        write!(
            stream,
            "{}\r\nHost: t\r\nContent-Length: 1\r\n\r\nx",
            api_request("short-pick", &id, "5000m", "")
        )
        .unwrap();
        assert_eq!(read_answer(&stream).unwrap().status(), 200);
        stream
    };
    let idle = served_connection();
    let half_body = format!(
        "{}\r\nHost: t\r\nContent-Length: 100\r\n\r\nx",
        api_request("bin-check", &new_id(), "5000m", "")
    );
    let new_connection = || TcpStream::connect(program.address).unwrap();
    let mut streams = [
        (new_connection(), ""),
        (new_connection(), "POST /api"),
        (new_connection(), half_body.as_str()),
        (served_connection(), "POST"),
        (served_connection(), half_body.as_str()),
    ];
    for (stream, text) in &mut streams {
        stream.write_all(text.as_bytes()).unwrap();
    }
    for (stream, text) in &mut streams {
        assert_eq!(read_last_status(stream, text), 408, "{text}");
    }
    assert_eq!(runner.events.count("POST"), 3);
    write!(&idle, "GET /up HTTP/1.1\r\nHost: t\r\n\r\n").unwrap();
    assert_eq!(read_answer(&idle).unwrap().status(), 200);
}

/// Hundreds of connections that send nothing (here 40, with 64 descriptors): a later client gets a connection
/// before they time out, and an existing one keeps its own.
#[test]
fn silent_connections_do_not_block_clients() {
    let (_discovery, _runner, program) = one_runner_with_descriptors(64);
    let send_job = |stream: &mut TcpStream| {
        write!(
            stream,
            "{}\r\nHost: t\r\nContent-Length: 1\r\n\r\nx",
            api_request("short-pick", &new_id(), "5000m", "")
        )
        .unwrap();
        read_answer(stream).unwrap()
    };
    let mut existing = TcpStream::connect(program.address).unwrap();
    assert_eq!(send_job(&mut existing).status(), 200);
    let _silent: Vec<_> = (0..40).map(|_| TcpStream::connect(program.address).unwrap()).collect();
    let late = send_job(&mut TcpStream::connect(program.address).unwrap());
    let again = send_job(&mut existing);
    assert_eq!((late.status(), again.status()), (200, 200));
    assert_eq!((late.headers.get("connection"), again.headers.get("connection")), (None, None));
}

#[test]
fn an_invalid_configuration_ends_the_program_with_one_line_that_names_the_key() {
    let discovery = TcpListener::bind("127.0.0.1:0").unwrap().local_addr().unwrap();
    let valid = Program::config(discovery, settings());
    let with = |pointer: &str, value: Value| {
        let mut config = valid.clone();
        *config.pointer_mut(pointer).unwrap() = value;
        config
    };
    let gateway = |from: &str, to: &str| Some(GATEWAY_CONFIG.replace(from, to));
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
        (valid.clone(), gateway("class = \"wave-release\"", "class = \"waves\""), "route.class"),
        (valid.clone(), gateway("plaintext = true", ""), "plaintext"),
        (valid.clone(), gateway("fetch_wait_ms = 200", "fetch_wait = 200"), "fetch_wait"),
        (valid.clone(), gateway("fetch_wait_ms = 200", "fetch_wait_ms = \"long\""), "fetch_wait_ms"),
        (valid.clone(), gateway("zone = \"hall-a\"", "zone = \"hall-z\""), "zone"),
        (valid.clone(), gateway("listen = ", "listen = = "), "gateway.toml"),
    ] {
        let mut command = Program::command(&config, gateway.as_deref());
        let output = command.env("RUST_LOG", "info").stderr(Stdio::piped()).output().unwrap();
        let log = String::from_utf8(output.stderr).unwrap();
        assert!(!output.status.success());
        assert!(log.lines().count() == 1 && log.contains(key), "{key}: {log}");
    }
}

/// More clients than descriptors: they wait or get an error, and the program keeps running.
#[test]
fn at_the_descriptor_limit_the_program_degrades_and_keeps_running() {
    let (_discovery, _runner, program) = one_runner_with_descriptors(64);
    let _idle: Vec<_> = (0..14).map(|_| TcpStream::connect(program.address).unwrap()).collect();
    let clients: Vec<_> = (0..40)
        .map(|_| {
            let address = program.address;
            thread::spawn(move || {
                call(address, &api_request("short-pick", &new_id(), "5000m", ""), "early").status()
            })
        })
        .collect();
    // The runner's call-back needs a connection too: idle ones are closed to make room.
    let statuses: Vec<_> = clients.into_iter().map(|client| client.join().unwrap()).collect();
    assert!(statuses.iter().all(|status| [200, 503, 502].contains(status)), "{statuses:?}");
    assert_eq!(call(program.address, "GET /up HTTP/1.1", "").status(), 200);
}

/// A tenant that the settings do not name gets an error that names the header, and the next request is
/// served.
#[test]
fn an_unknown_tenant_gets_an_error_that_names_the_header() {
    let (_discovery, _runner, program) = one_runner_with_descriptors(64);
    let head = api_request("short-pick", &new_id(), "5000m", "").replace("mehran-dist", "nobody-known");
    let answer = call(program.address, &head, "early");
    assert_eq!(answer.status(), 400);
    assert!(answer.body.contains("x-tenant-id"), "{}", answer.body);
    assert_eq!(
        call(program.address, &api_request("short-pick", &new_id(), "5000m", ""), "early").status(),
        200
    );
}
