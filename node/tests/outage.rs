//! An outage of discovery in which watches end and calls are refused or answered 503 for longer than a list
//! stays valid. Failed calls must never prolong its validity.

mod common;

use common::*;
use std::io::{Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

/// The 6 s for which a list stays valid after its watch ended, and an allowance for a busy machine to notice
/// the end.
const LIST_VALIDITY: Duration = Duration::from_millis(6500);
/// How long calls fail: longer than the 8 s during which failed calls once counted as evidence of an outage.
const OUTAGE: Duration = Duration::from_millis(9500);
/// The pause between two iterations of the proxy loop.
const POLL_INTERVAL: Duration = Duration::from_millis(2);

#[derive(Clone, Copy, PartialEq)]
enum ProxyMode {
    /// Connections are forwarded to discovery.
    Forwarding,
    /// Connections are answered 503.
    Unavailable,
    /// No socket listens.
    Refused,
}

/// A proxy in front of discovery, on a loopback address that no other process binds meanwhile.
struct Proxy {
    address: SocketAddr,
    mode: Arc<Mutex<ProxyMode>>,
    streams: Arc<Mutex<Vec<TcpStream>>>,
}

impl Proxy {
    fn new(discovery: SocketAddr) -> Proxy {
        let listener = listen(([127, 0, 0, 2], 0).into());
        let address = listener.local_addr().unwrap();
        let proxy = Proxy {
            address,
            mode: Arc::new(Mutex::new(ProxyMode::Forwarding)),
            streams: Arc::new(Mutex::new(Vec::new())),
        };
        let (mode, streams) = (proxy.mode.clone(), proxy.streams.clone());
        thread::spawn(move || {
            let mut listener = Some(listener);
            loop {
                // Connections are accepted and recorded under one lock, so that `set` closes every one
                // accepted before it.
                let mut open = streams.lock().unwrap();
                let current_mode = *mode.lock().unwrap();
                match (&listener, current_mode) {
                    (Some(_), ProxyMode::Refused) => listener = None,
                    (None, ProxyMode::Forwarding | ProxyMode::Unavailable) => {
                        listener = Some(listen(address))
                    }
                    (Some(listener), _) => {
                        if let Ok((client, _)) = listener.accept() {
                            client.set_nonblocking(false).unwrap();
                            open.push(client.try_clone().unwrap());
                            thread::spawn(move || serve_connection(client, current_mode, discovery));
                        }
                    }
                    (None, ProxyMode::Refused) => {}
                }
                drop(open);
                thread::sleep(POLL_INTERVAL);
            }
        });
        proxy
    }

    /// Closes all open connections and handles later ones in this mode.
    fn set(&self, mode: ProxyMode) {
        let mut open = self.streams.lock().unwrap();
        *self.mode.lock().unwrap() = mode;
        for stream in open.drain(..) {
            let _ = stream.shutdown(Shutdown::Both);
        }
    }
}

fn listen(address: SocketAddr) -> TcpListener {
    let listener = TcpListener::bind(address).unwrap();
    listener.set_nonblocking(true).unwrap();
    listener
}

fn serve_connection(mut client: TcpStream, mode: ProxyMode, discovery: SocketAddr) {
    if mode == ProxyMode::Unavailable {
        let _ = client.read(&mut [0; 4096]);
        let _ = client.write_all(b"HTTP/1.1 503 Busy\r\nContent-Length: 0\r\n\r\n");
        return;
    }
    let mut upstream = TcpStream::connect(discovery).unwrap();
    let (mut client_reader, mut upstream_writer) =
        (client.try_clone().unwrap(), upstream.try_clone().unwrap());
    thread::spawn(move || {
        let _ = std::io::copy(&mut client_reader, &mut upstream_writer);
        let _ = upstream_writer.shutdown(Shutdown::Both);
    });
    let _ = std::io::copy(&mut upstream, &mut client);
    let _ = client.shutdown(Shutdown::Both);
}

/// Runs an outage in which calls fail in this mode. Jobs that arrive later than `LIST_VALIDITY` after the end
/// of the watch are sent to no runner, and all jobs are served again once discovery sends its list.
fn run_outage(mode: ProxyMode, failure: &str) {
    let runner = Runner::start("s-0");
    let discovery = Discovery::start(vec![host("s-0", runner.address, "hall-a", "active")]);
    let proxy = Proxy::new(discovery.address);
    let program = Program::start_with(Program::config(proxy.address, settings()), None);
    runner.call_back_to(&program);
    let send_job =
        |timeout: &str| call(program.address, &api_request("pick-route", &new_id(), timeout, ""), "x");
    assert_eq!(send_job("5000m").body, "by s-0");
    proxy.set(mode);
    program.log.wait("watch failed", 1);
    let watch_ended_at = Instant::now();
    assert_eq!(send_job("5000m").body, "by s-0", "the list is still valid at first");
    while watch_ended_at.elapsed() < LIST_VALIDITY {
        send_job("300m");
    }
    let (sent, failures) = (runner.events.count("POST"), program.log.count(failure));
    while watch_ended_at.elapsed() < OUTAGE {
        assert_eq!(send_job("300m").status, 503);
        assert_eq!(
            runner.events.count("POST"),
            sent,
            "sent {:?} after the watch's end",
            watch_ended_at.elapsed()
        );
    }
    assert!(
        failures > 0 && program.log.count(failure) > failures,
        "discovery is called throughout the outage"
    );
    proxy.set(ProxyMode::Forwarding);
    program.log.wait("list Full", 2);
    assert_eq!(send_job("5000m").body, "by s-0", "discovery has sent its list again");
}

#[test]
fn an_expired_list_is_not_used_while_calls_are_refused() {
    run_outage(ProxyMode::Refused, "watch failed: Failed to connect");
}

#[test]
fn an_expired_list_is_not_used_while_calls_are_answered_503() {
    run_outage(ProxyMode::Unavailable, "watch failed: answered 503");
}
