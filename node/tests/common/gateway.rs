//! A program with the Faktory front, and clients that push to it.

#![allow(dead_code, reason = "each test file uses its part")]

use crate::common::*;
use std::net::SocketAddr;
use std::thread::{self, JoinHandle};

/// Starts discovery and a program with the Faktory front; returns the front's address too.
pub fn start(gateway: &str, settings: serde_json::Value) -> (Discovery, Program, SocketAddr) {
    let discovery = Discovery::start(Vec::new());
    let program = Program::start(&discovery, settings, Some(gateway));
    let address = program.faktory_address.unwrap();
    (discovery, program, address)
}

/// Pushes a job from a new thread; joining it returns the reply.
pub fn push(address: SocketAddr, job: String) -> JoinHandle<String> {
    thread::spawn(move || FaktoryConnection::connect(address, None).command(&format!("PUSH {job}")))
}
