//! A runner whose every byte the test writes, and a listener that accepts connections only when the test lets
//! it. Both react to events and never to elapsed time.

#![allow(dead_code, reason = "each test file uses its part")]

use crate::common::*;
use socket2::{Domain, Socket, Type};
use std::io::{BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::mpsc;
use std::thread;

/// A connection to a raw runner, numbered in the order of acceptance.
#[derive(Debug)]
pub struct RawConnection {
    pub number: usize,
    stream: TcpStream,
}

impl RawConnection {
    pub fn write(&mut self, text: &str) {
        // The program may have closed the connection; the test then checks how it treated the text, if at
        // all.
        let _ = self.stream.write_all(text.as_bytes());
    }

    pub fn answer(&mut self, status: &str) {
        self.write(&format!("HTTP/1.1 {status}\r\nContent-Length: 0\r\n\r\n"));
    }

    pub fn close(&self) {
        let _ = self.stream.shutdown(std::net::Shutdown::Both);
    }
}

pub struct RawRunner {
    pub address: SocketAddr,
    requests: mpsc::Receiver<(RawConnection, Message)>,
}

impl RawRunner {
    pub fn start() -> RawRunner {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let (address, (sender, requests)) = (listener.local_addr().unwrap(), mpsc::channel());
        thread::spawn(move || {
            for (number, stream) in listener.incoming().map_while(Result::ok).enumerate() {
                let sender = sender.clone();
                thread::spawn(move || {
                    let mut reader = BufReader::new(stream.try_clone().unwrap());
                    while let Some(message) = read_message(&mut reader) {
                        let connection = RawConnection { number, stream: stream.try_clone().unwrap() };
                        if sender.send((connection, message)).is_err() {
                            return;
                        }
                    }
                });
            }
        });
        RawRunner { address, requests }
    }

    /// Returns the next request with this method, on any connection. Requests with other methods are
    /// discarded unanswered.
    pub fn next_request(&self, method: &str) -> (RawConnection, Message) {
        loop {
            let (connection, message) = self.requests.recv_timeout(EVENT_TIMEOUT).expect(method);
            if message.method == method {
                return (connection, message);
            }
        }
    }
}

/// A listener with a full accept queue: connection attempts stay pending until `accept_and_read`.
pub struct FullListener {
    pub address: SocketAddr,
    listener: Socket,
    filler: TcpStream,
}

impl FullListener {
    pub fn start() -> FullListener {
        let listener = Socket::new(Domain::IPV4, Type::STREAM, None).unwrap();
        listener.bind(&SocketAddr::from(([127, 0, 0, 1], 0)).into()).unwrap();
        // A backlog of 0 leaves room for one connection that is not accepted; `filler` takes it.
        listener.listen(0).unwrap();
        let address = listener.local_addr().unwrap().as_socket().unwrap();
        FullListener { address, filler: TcpStream::connect(address).unwrap(), listener }
    }

    /// Waits until a connection attempt to the listener is pending (SYN_SENT in the system's connection
    /// table). The system retries it after a second.
    pub fn wait_for_connect(&self) {
        let syn_sent_entry = format!(":{:04X} 02 ", self.address.port());
        let end = std::time::Instant::now() + EVENT_TIMEOUT;
        while !std::fs::read_to_string("/proc/net/tcp").unwrap().contains(&syn_sent_entry) {
            assert!(std::time::Instant::now() < end, "no connection attempt");
            thread::yield_now();
        }
    }

    /// Accepts the pending connection and returns the first bytes read from it, empty if it ends without any.
    pub fn accept_and_read(self) -> String {
        let filler_address = self.filler.local_addr().unwrap();
        loop {
            let (stream, from) = self.listener.accept().unwrap();
            if from.as_socket() != Some(filler_address) {
                let (mut stream, mut first) = (TcpStream::from(stream), [0; 4096]);
                stream.set_read_timeout(Some(EVENT_TIMEOUT)).unwrap();
                let read = stream.read(&mut first).unwrap();
                return String::from_utf8_lossy(&first[..read]).into_owned();
            }
        }
    }
}
