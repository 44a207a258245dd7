//! What is checked when a queued job is handed to a Faktory worker.

mod common;
#[path = "common/gateway.rs"]
mod gateway;

use common::*;
use gateway::*;
use serde_json::json;
use std::io::Write;
use std::net::{SocketAddr, TcpStream};
use std::thread::{self, JoinHandle};
use std::time::Duration;

/// The time after which nothing new may go to a runner that is taken out of service.
const DRAIN_GRACE: Duration = Duration::from_millis(500);

/// Pushes a keyed job that a first worker fetches and loses with its connection, so that it is queued again for the
/// second worker, which does not fetch. Returns the second worker and the client's reply.
fn queue_a_repeat(
    address: SocketAddr,
    program: &Program,
    custom: serde_json::Value,
) -> (FaktoryConnection<TcpStream>, JoinHandle<String>) {
    let mut first = FaktoryConnection::connect(address, Some("w-1"));
    assert_eq!(first.command("FETCH waves"), "$-1");
    first.send("FETCH waves");
    let client = push(address, job("waves", &new_id(), "x", custom));
    first.read_fetched().expect("the job");
    let mut second = FaktoryConnection::connect(address, Some("w-2"));
    assert_eq!(second.command("FETCH waves"), "$-1");
    drop(first);
    program.log.wait("at wid:w-2", 1);
    (second, client)
}

/// Guards against a repeat that is handed out after the window for repeats (review/8): it waited for a worker's FETCH
/// and took effect twice.
#[test]
fn a_queued_repeat_is_not_handed_out_after_its_window() {
    const WINDOW: Duration = Duration::from_millis(1_500);
    let mut settings = settings();
    settings["services"][2]["window"] = json!(WINDOW.as_nanos() as u64);
    let (_discovery, program, address) = start(GATEWAY_CONFIG, settings);
    let (mut second, client) = queue_a_repeat(address, &program, json!({"timeout_ms": 4_000}));
    thread::sleep(WINDOW);
    assert_eq!(second.fetch("waves"), None);
    assert!(client.join().unwrap().starts_with("-ERR FAILED"));
}

/// Guards against the same for a worker that an operator has disabled, or that the list excludes.
#[test]
fn a_queued_job_is_not_handed_to_a_worker_that_was_disabled() {
    let discovery = Discovery::start(Vec::new());
    let mut config = Program::config(discovery.address, settings());
    config["admin_addr"] = json!("127.0.0.1:0");
    let program = Program::start_with(config, Some(GATEWAY_CONFIG));
    let address = program.faktory_address.unwrap();
    let (mut second, client) = queue_a_repeat(address, &program, json!({"timeout_ms": 4_000}));
    let mut admin = TcpStream::connect(program.admin_address()).unwrap();
    admin.write_all(b"DISABLE wid:w-2\n").unwrap();
    program.log.wait("runner disabled", 1);
    thread::sleep(DRAIN_GRACE);
    assert_eq!(second.fetch("waves"), None);
    assert!(client.join().unwrap().starts_with("-ERR"));
}

/// Guards against the same for a job whose client has left, where the settings let attempts go on: nothing may begin for
/// a client that is gone.
#[test]
fn a_queued_job_is_not_handed_out_after_its_client_has_left() {
    let mut settings = settings();
    settings["limits"]["cancel"] = json!(false);
    let (_discovery, program, address) = start(GATEWAY_CONFIG, settings);
    let mut worker = FaktoryConnection::connect(address, Some("w-1"));
    assert_eq!(worker.command("FETCH waves"), "$-1");
    let mut client = FaktoryConnection::connect(address, None);
    client.send(&format!("PUSH {}", job("waves", &new_id(), "x", json!({}))));
    program.log.wait("at wid:w-1", 1);
    drop(client);
    program.log.wait("a client has left", 1);
    assert_eq!(worker.fetch("waves"), None);
}
