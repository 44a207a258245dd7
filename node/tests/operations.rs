//! What operators do to a running dispatcher: replace its process on a socket that the platform
//! holds. Each test causes one of those without the bench, between the lab's stand-ins.

mod common;

use command_fds::{CommandFdExt, FdMapping};
use common::*;
use serde_json::Value;
use std::net::{SocketAddr, TcpListener};
use std::os::fd::OwnedFd;

/// A process of the dispatcher on a clients' socket that the test holds, as the platform does.
fn on_shared(config: &Value, socket: &TcpListener) -> Program {
    let mut command = Program::command(config, None);
    let copy: OwnedFd = socket.try_clone().unwrap().into();
    command.fd_mappings(vec![FdMapping { parent_fd: copy, child_fd: 5 }]).unwrap();
    command.env("NODE_LISTEN_FD", "5");
    Program::spawn(command, false)
}

fn served(at: SocketAddr) -> (u16, String) {
    let answer = call(at, &api("short-pick", &new_id(), "5000m", ""), "job");
    (answer.status(), answer.body)
}

#[test]
fn a_new_process_takes_the_shared_socket_and_the_old_one_lets_go_of_it() {
    let runner = Runner::start("s-0");
    let discovery = Discovery::start(vec![host("s-0", runner.at, "hall-a", "active")]);
    let socket = TcpListener::bind("127.0.0.1:0").unwrap();
    let mut config = Program::config(discovery.at, settings());
    config["listen"] = socket.local_addr().unwrap().to_string().into();
    let mut old = on_shared(&config, &socket);
    runner.call_back_to(&old);
    assert_eq!(old.at, socket.local_addr().unwrap(), "it serves where the socket listens");
    assert_eq!(served(old.at), (200, "by s-0".to_owned()));
    let new = on_shared(&config, &socket);
    old.signal("TERM");
    assert!(old.child.wait().unwrap().success(), "the old one ends in good order");
    old.log.wait("ends: ", 1);
    // Whatever comes now finds the new one, on the same address; the old one's log has no more of it.
    let before = old.log.count("request ");
    for _ in 0..5 {
        assert_eq!(served(socket.local_addr().unwrap()), (200, "by s-0".to_owned()));
    }
    assert_eq!(old.log.count("request "), before);
    assert!(new.log.count("request ") >= 5);
}

#[test]
fn a_descriptor_that_is_not_open_is_named_and_nothing_starts() {
    let discovery = Discovery::start(Vec::new());
    let mut command = Program::command(&Program::config(discovery.at, settings()), None);
    // A number far above what a test's process holds open.
    command.env("NODE_LISTEN_FD", "900");
    let out = command.output().unwrap();
    assert_eq!(out.status.code(), Some(1), "exit code 1: it could not start");
    let said = String::from_utf8_lossy(&out.stderr);
    assert!(said.contains("NODE_LISTEN_FD: \"900\": is not open in this process"), "{said}");
}
