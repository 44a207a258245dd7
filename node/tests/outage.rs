//! An outage of discovery that it owns: watches end, and calls are refused or turned down for longer than a list
//! holds. What failed calls say of discovery must never prolong that.

mod common;

use common::*;
use std::io::{Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

/// The protocol's clock, and as much again as a busy machine may take to note a loss.
const TOLD: Duration = Duration::from_millis(6500);
/// How long calls fail: beyond the 8 s for which failures once counted as an outage.
const FAILS: Duration = Duration::from_millis(9500);
/// Pause of the door between two looks at what it is to do.
const LOOK: Duration = Duration::from_millis(2);

#[derive(Clone, Copy, PartialEq)]
enum Way {
    Open,
    /// 503.
    Busy,
    /// Nobody listens.
    Refused,
}

/// What stands before discovery, on an address of its own that nobody else takes meanwhile.
struct Door {
    at: SocketAddr,
    way: Arc<Mutex<Way>>,
    streams: Arc<Mutex<Vec<TcpStream>>>,
}

impl Door {
    fn new(discovery: SocketAddr) -> Door {
        let listener = listen(([127, 0, 0, 2], 0).into());
        let at = listener.local_addr().unwrap();
        let door =
            Door { at, way: Arc::new(Mutex::new(Way::Open)), streams: Arc::new(Mutex::new(Vec::new())) };
        let (way, streams) = (door.way.clone(), door.streams.clone());
        thread::spawn(move || {
            let mut listener = Some(listener);
            loop {
                // What comes in while the way is open is kept under the same lock, so that an end ends it.
                let mut open = streams.lock().unwrap();
                let now = *way.lock().unwrap();
                match (&listener, now) {
                    (Some(_), Way::Refused) => listener = None,
                    (None, Way::Open | Way::Busy) => listener = Some(listen(at)),
                    (Some(listener), _) => {
                        if let Ok((caller, _)) = listener.accept() {
                            caller.set_nonblocking(false).unwrap();
                            open.push(caller.try_clone().unwrap());
                            thread::spawn(move || serve(caller, now, discovery));
                        }
                    }
                    (None, Way::Refused) => {}
                }
                drop(open);
                thread::sleep(LOOK);
            }
        });
        door
    }

    /// Ends what is open and serves what comes from now on like this.
    fn set(&self, way: Way) {
        let mut open = self.streams.lock().unwrap();
        *self.way.lock().unwrap() = way;
        for stream in open.drain(..) {
            let _ = stream.shutdown(Shutdown::Both);
        }
    }
}

fn listen(at: SocketAddr) -> TcpListener {
    let listener = TcpListener::bind(at).unwrap();
    listener.set_nonblocking(true).unwrap();
    listener
}

fn serve(mut caller: TcpStream, way: Way, discovery: SocketAddr) {
    if way == Way::Busy {
        let _ = caller.read(&mut [0; 4096]);
        let _ = caller.write_all(b"HTTP/1.1 503 Busy\r\nContent-Length: 0\r\n\r\n");
        return;
    }
    let mut there = TcpStream::connect(discovery).unwrap();
    let (mut asked, mut asks) = (caller.try_clone().unwrap(), there.try_clone().unwrap());
    thread::spawn(move || {
        let _ = std::io::copy(&mut asked, &mut asks);
        let _ = asks.shutdown(Shutdown::Both);
    });
    let _ = std::io::copy(&mut there, &mut caller);
    let _ = caller.shutdown(Shutdown::Both);
}

/// Plays an outage in which calls fail like this: what is asked for 6 s after the watch's end is sent to nobody, and
/// all is served again once discovery tells its list.
fn play(way: Way, failure: &str) {
    let runner = Runner::start("s-0");
    let discovery = Discovery::start(vec![host("s-0", runner.address, "hall-a", "active")]);
    let door = Door::new(discovery.address);
    let program = Program::start_with(Program::config(door.at, settings()), None);
    runner.call_back_to(&program);
    let ask = |timeout: &str| call(program.address, &api_request("pick-route", &new_id(), timeout, ""), "x");
    assert_eq!(ask("5000m").body, "by s-0");
    door.set(way);
    program.log.wait("watch failed", 1);
    let ended = Instant::now();
    assert_eq!(ask("5000m").body, "by s-0", "at first the list holds");
    while ended.elapsed() < TOLD {
        ask("300m");
    }
    let (sent, asked) = (runner.events.count("POST"), program.log.count(failure));
    while ended.elapsed() < FAILS {
        assert_eq!(ask("300m").status, 503);
        assert_eq!(runner.events.count("POST"), sent, "sent {:?} after the watch's end", ended.elapsed());
    }
    assert!(asked > 0 && program.log.count(failure) > asked, "discovery is asked all the while");
    door.set(Way::Open);
    program.log.wait("list Full", 2);
    assert_eq!(ask("5000m").body, "by s-0", "discovery has told its list again");
}

#[test]
fn nothing_is_sent_by_a_lost_list_while_calls_are_refused() {
    play(Way::Refused, "watch failed: Failed to connect");
}

#[test]
fn nothing_is_sent_by_a_lost_list_while_calls_are_turned_down() {
    play(Way::Busy, "watch failed: answered 503");
}
