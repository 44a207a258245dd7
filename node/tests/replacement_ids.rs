//! Request ids while one process of a dispatcher replaces the other: an id is open once, whichever process gets it,
//! is killed or stands still.

mod common;
#[path = "common/replacement.rs"]
mod replacement;

use common::*;
use replacement::Replacement;

/// Guards against another client's open id at the other process (review/6), also under another member or class:
/// both clients got each other's results.
#[test]
fn an_id_that_is_open_at_the_old_process_is_taken_at_the_new_one() {
    let mut replacement = Replacement::start(|_| {});
    let id = new_id();
    let client = replacement.open_job(&id);
    let _new = replacement.replace();
    assert_eq!(replacement.run_job(&id, ""), 502);
    let head = api_request("bin-check", &id, "5000m", "").replace("mehran-dist", "ravi-supply");
    assert_eq!(call(replacement.address, &head, "job").status(), 502);
    assert_eq!(replacement.run_job(&new_id(), ""), 200);
    replacement.report_done(&id);
    let answer = read_answer(&client).unwrap();
    assert_eq!((answer.status(), answer.body.as_str()), (200, "made once"));
    assert!(replacement.old.child.wait().unwrap().success());
    assert_eq!(replacement.run_job(&id, ""), 200, "free again once the first has ended");
}

/// Guards against the same while the old process stands still, and after it was killed: its job may still run.
#[test]
fn the_ids_of_a_stalled_or_killed_process_stay_taken() {
    let mut replacement = Replacement::start(|_| {});
    let id = new_id();
    let _client = replacement.open_job(&id);
    let _new = replacement.replace();
    replacement.old.signal("STOP");
    assert_eq!(replacement.run_job(&id, ""), 502);
    assert_eq!(replacement.run_job(&new_id(), ""), 200);
    replacement.old.child.kill().unwrap();
    replacement.old.child.wait().unwrap();
    assert_eq!(replacement.run_job(&id, ""), 502);
    assert_eq!(replacement.run_job(&new_id(), ""), 200);
}

/// Guards against the same where one id arrives at both processes within milliseconds: the runner gets it once.
#[test]
fn an_id_that_arrives_at_both_processes_at_once_is_sent_once() {
    const PAIRS: usize = 25;
    let replacement = Replacement::start(|_| {});
    let _new = replacement.start_new();
    let ids: Vec<_> = (0..PAIRS).map(|_| new_id()).collect();
    let send = |id: &String| {
        let head = api_request("short-pick", id, "2000m", "");
        let address = replacement.address;
        std::thread::spawn(move || call(address, &head, "hang").status())
    };
    let clients: Vec<_> = ids.iter().flat_map(|id| [send(id), send(id)]).collect();
    let statuses: Vec<_> = clients.into_iter().map(|client| client.join().unwrap()).collect();
    assert_eq!(statuses.iter().filter(|status| **status == 200).count(), 0);
    let sent: Vec<_> =
        ids.iter().map(|id| replacement.runner.events.count(&format!("POST hang {id}"))).collect();
    assert!(sent.contains(&1) && sent.iter().all(|count| *count <= 1), "{sent:?}");
}

/// A client's own repeat at the new process, with `[keys]`: under an id of its own it is served; under the first one's
/// id it is told to come again, and is served once the first has ended.
#[test]
fn a_clients_own_repeat_is_served_at_the_new_process() {
    let replacement = Replacement::start_with(|_| {}, Some("[keys]\n"));
    let id = new_id();
    let head = |id: &str| api_request("short-pick", id, "5000m", "").replace(&format!("key-{id}"), "k");
    let client = send_request(&replacement.old, &head(&id), "hang");
    replacement.runner.events.wait(&format!("POST hang {id}"), 1);
    let _new = replacement.replace();
    let refused = call(replacement.address, &head(&id), "hang");
    assert_eq!((refused.status(), refused.header("retry-after").is_empty()), (503, false));
    let other_member = head(&id).replace("mehran-dist", "ravi-supply");
    assert_eq!(call(replacement.address, &other_member, "hang").status(), 502);
    assert_eq!(call(replacement.address, &head(&new_id()), "job").status(), 200);
    replacement.report_done(&id);
    assert_eq!(read_answer(&client).unwrap().status(), 200);
    assert_eq!(call(replacement.address, &head(&id), "job").status(), 200);
}
