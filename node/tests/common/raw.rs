//! A runner whose every byte the test writes, and one whose connections don't come up until the test lets
//! them. Both act on what arrives, never on time.

#![allow(dead_code, reason = "each test file uses its part")]

use crate::common::*;
use socket2::{Domain, Socket, Type};
use std::io::{BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::mpsc;
use std::thread;

/// A connection to a raw runner, by its place among those that came up.
#[derive(Debug)]
pub struct Line {
    pub number: usize,
    stream: TcpStream,
}

impl Line {
    pub fn write(&mut self, text: &str) {
        // The other side may have closed it: what is tested then is what it made of the text, if anything.
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
    pub at: SocketAddr,
    asked: mpsc::Receiver<(Line, Message)>,
}

impl RawRunner {
    pub fn start() -> RawRunner {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let (at, (tell, asked)) = (listener.local_addr().unwrap(), mpsc::channel());
        thread::spawn(move || {
            for (number, stream) in listener.incoming().map_while(Result::ok).enumerate() {
                let tell = tell.clone();
                thread::spawn(move || {
                    let mut reader = BufReader::new(stream.try_clone().unwrap());
                    while let Some(message) = read_message(&mut reader) {
                        let line = Line { number, stream: stream.try_clone().unwrap() };
                        if tell.send((line, message)).is_err() {
                            return;
                        }
                    }
                });
            }
        });
        RawRunner { at, asked }
    }

    /// The next request of this method, by whatever connection; others in between get no answer.
    pub fn next(&self, method: &str) -> (Line, Message) {
        loop {
            let (line, message) = self.asked.recv_timeout(EVENT_TIMEOUT).expect(method);
            if message.method == method {
                return (line, message);
            }
        }
    }
}

/// A listener that is full: whoever connects waits until it is let in.
pub struct FullRunner {
    pub at: SocketAddr,
    listener: Socket,
    filler: TcpStream,
}

impl FullRunner {
    pub fn start() -> FullRunner {
        let listener = Socket::new(Domain::IPV4, Type::STREAM, None).unwrap();
        listener.bind(&SocketAddr::from(([127, 0, 0, 1], 0)).into()).unwrap();
        // Room for a single connection that nobody has accepted.
        listener.listen(0).unwrap();
        let at = listener.local_addr().unwrap().as_socket().unwrap();
        FullRunner { at, filler: TcpStream::connect(at).unwrap(), listener }
    }

    /// Waits until somebody has called, and in vain: the system's table of connections says so. It calls again
    /// by itself after a second.
    pub fn called(&self) {
        let calls = format!(":{:04X} 02 ", self.at.port());
        let end = std::time::Instant::now() + EVENT_TIMEOUT;
        while !std::fs::read_to_string("/proc/net/tcp").unwrap().contains(&calls) {
            assert!(std::time::Instant::now() < end, "nobody calls");
            thread::yield_now();
        }
    }

    /// Lets in whoever waits: what comes first by that connection, if anything does.
    pub fn let_in(self) -> String {
        let own = self.filler.local_addr().unwrap();
        loop {
            let (stream, from) = self.listener.accept().unwrap();
            if from.as_socket() != Some(own) {
                let (mut stream, mut first) = (TcpStream::from(stream), [0; 4096]);
                stream.set_read_timeout(Some(EVENT_TIMEOUT)).unwrap();
                let read = stream.read(&mut first).unwrap();
                return String::from_utf8_lossy(&first[..read]).into_owned();
            }
        }
    }
}
