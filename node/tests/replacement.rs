//! Two processes of one dispatcher while one replaces the other: they keep limits together, whichever is told to end,
//! is killed or stands still.

mod common;
#[path = "common/descriptors.rs"]
mod descriptors;
#[path = "common/replacement.rs"]
mod replacement;

use common::*;
use descriptors::DescriptorSampler;
use replacement::Replacement;
use serde_json::json;
use std::io::Write;
use std::net::{SocketAddr, TcpStream};

/// The settings' limit of open requests.
const MAX_OPEN: usize = 4;

/// Opens a connection, sends half a request and stays.
fn silent_request(address: SocketAddr) -> TcpStream {
    let mut stream = TcpStream::connect(address).unwrap();
    let _ = stream.write_all(b"POST /api HTTP/1.1\r\n");
    stream
}

/// Guards against twice the limits while a process is replaced (review/10): the new process has what the old one
/// leaves, and the whole once that was killed. Another replacement follows at once.
#[test]
fn both_processes_keep_to_one_limit_and_the_survivor_has_the_whole() {
    let mut replacement = Replacement::start(|settings| settings["limits"]["maxOpen"] = json!(MAX_OPEN));
    let open: Vec<_> = (0..MAX_OPEN).map(|_| replacement.open_job(&new_id())).collect();
    let new = replacement.replace();
    assert_eq!(replacement.run_job(&new_id(), ""), 503, "the old process holds all places");
    replacement.old.child.kill().unwrap();
    replacement.old.child.wait().unwrap();
    replacement.wait_until_served();
    drop(open);
    replacement.old = new;
    let open: Vec<_> = (0..MAX_OPEN).map(|_| replacement.open_job(&new_id())).collect();
    assert_eq!(open.len(), MAX_OPEN, "one process alone has all places");
    let _newest = replacement.replace();
    assert_eq!(replacement.run_job(&new_id(), ""), 503);
}

/// Guards against a limit that stays divided when it is the new process that ends.
#[test]
fn the_old_process_has_the_whole_again_when_the_new_one_dies() {
    let replacement = Replacement::start(|settings| settings["limits"]["maxOpen"] = json!(MAX_OPEN));
    let mut new = replacement.start_new();
    new.child.kill().unwrap();
    new.child.wait().unwrap();
    let open: Vec<_> = (0..MAX_OPEN).map(|_| replacement.open_job(&new_id())).collect();
    assert_eq!(open.len(), MAX_OPEN);
    // The next one finds all places taken.
    let _next = replacement.replace();
    assert_eq!(replacement.run_job(&new_id(), ""), 503);
}

/// Guards against places being given away that a process holds which stands still.
#[test]
fn a_stalled_process_keeps_the_places_of_its_open_requests() {
    let replacement = Replacement::start(|settings| settings["limits"]["maxOpen"] = json!(MAX_OPEN));
    let _open: Vec<_> = (0..MAX_OPEN).map(|_| replacement.open_job(&new_id())).collect();
    let _new = replacement.replace();
    replacement.old.signal("STOP");
    assert_eq!(replacement.run_job(&new_id(), ""), 503);
    replacement.old.signal("CONT");
}

/// Guards against twice the descriptors while a process is replaced under hundreds of connections.
#[test]
fn both_processes_together_keep_to_the_limit_of_descriptors() {
    const DESCRIPTORS: usize = 256;
    const CONNECTIONS: usize = 300;
    let mut replacement = Replacement::start_with_config(|config| {
        config["limits"]["sockets"] = json!(DESCRIPTORS);
    });
    let _connections: Vec<_> = (0..CONNECTIONS).map(|_| silent_request(replacement.address)).collect();
    let old = replacement.old.child.id();
    let sampler = DescriptorSampler::start(old);
    let new = replacement.start_new();
    sampler.add(new.child.id());
    let _more: Vec<_> = (0..CONNECTIONS).map(|_| silent_request(replacement.address)).collect();
    replacement.old.signal("TERM");
    assert!(replacement.old.child.wait().unwrap().success());
    replacement.wait_until_served();
    let most = sampler.stop();
    assert!(most <= DESCRIPTORS, "{most} descriptors of {DESCRIPTORS}");
    drop(new);
}
