//! The commands on a store of durable jobs, run as an operator runs them.

use sablerun::{Span, Time};
use sablerun_ledger::{Change, Epoch, Job, JobId, State};
use sablerun_store::{DiskStore, JobStore};
use serde_json::{Value, json};
use std::path::{Path, PathBuf};
use std::process::Command;

fn job(id: u64, state: State) -> Job {
    Job {
        id: JobId(id),
        member: 0,
        class: 1,
        key: Some(format!("k{id}").into()),
        body: "the body".into(),
        accepted_at: Time(1_700_000_000_000_000_000),
        lease: Span::from_secs(30.0),
        max_attempts: 3,
        attempts: 3,
        epoch: Epoch(4),
        last_error: Some("no \u{1b}[31mwalk".to_owned()),
        state,
    }
}

fn store(folder: &Path, jobs: Vec<Job>) -> PathBuf {
    let file = folder.join("jobs");
    let mut disk = DiskStore::open(&file).unwrap();
    disk.numbers_for(&["mehran-dist", "wave-release"]).unwrap();
    disk.commit(&jobs.into_iter().map(Change::Put).collect::<Vec<_>>()).unwrap();
    file
}

fn jobs(args: &[&str], file: &Path, more: &[&str]) -> (i32, String, String) {
    let mut command = Command::new(env!("CARGO_BIN_EXE_sablerun"));
    let out = command.arg("jobs").args(args).arg(file).args(more).output().unwrap();
    let text = |bytes| String::from_utf8(bytes).unwrap();
    (out.status.code().unwrap(), text(out.stdout), text(out.stderr))
}

#[test]
fn an_operator_sees_what_is_there_and_revives_what_is_dead() {
    let folder = tempfile::tempdir().unwrap();
    let at = Time(1_700_000_001_000_000_000);
    let done = State::Completed { finished_at: at, result: "made".into() };
    let file = store(
        folder.path(),
        vec![job(1, State::Waiting { due_at: at }), job(2, State::Dead { finished_at: at }), job(3, done)],
    );
    let (code, out, _) = jobs(&["list"], &file, &[]);
    assert!(code == 0 && out.contains("wave-release") && out.contains("completed"), "{out}");
    assert!(!out.contains('\u{1b}'), "what a worker said reaches the terminal as it is");
    let (_, out, _) = jobs(&["list", "--json", "--state", "completed"], &file, &[]);
    let listed: Value = serde_json::from_str(&out).unwrap();
    assert_eq!((listed.as_array().unwrap().len(), &listed[0]["result"]), (1, &json!("made")));
    assert_eq!(
        serde_json::from_str::<Value>(&jobs(&["list", "--json", "--member", "nobody"], &file, &[]).1)
            .unwrap(),
        json!([])
    );
    let (_, out, _) = jobs(&["export"], &file, &[]);
    assert_eq!(out.lines().count(), 3);
    assert!(out.lines().all(|line| serde_json::from_str::<Value>(line).unwrap()["member"] == "mehran-dist"));
    let (code, _, why) = jobs(&["retry"], &file, &["3"]);
    assert!(code == 1 && why.contains("3: is completed, and only a dead job is tried again"), "{why}");
    let (code, _, why) = jobs(&["show"], &file, &["9"]);
    assert!(code == 1 && why.contains("9: no such job"), "{why}");
    let (code, out, _) = jobs(&["retry"], &file, &["2"]);
    assert!(code == 0 && out.starts_with("1 to be tried again"), "{out}");
    let shown: Value = serde_json::from_str(&jobs(&["show"], &file, &["2"]).1).unwrap();
    assert_eq!(
        (&shown["state"], &shown["tries"], &shown["epoch"]),
        (&json!("waiting"), &json!(0), &json!(4))
    );
    assert_eq!(serde_json::from_str::<Value>(&jobs(&["dead", "--json"], &file, &[]).1).unwrap(), json!([]));
    let (code, out, _) = jobs(&["verify"], &file, &[]);
    assert!(code == 0 && out == "3 jobs, 0 invariants broken\n", "{out}");
}

#[test]
fn verify_finds_what_can_not_be() {
    let at = Time(1);
    let broken = |change: &dyn Fn(&mut Job)| {
        let folder = tempfile::tempdir().unwrap();
        let mut bad = job(2, State::Leased { expires_at: at });
        change(&mut bad);
        let file = store(folder.path(), vec![job(1, State::Waiting { due_at: at }), bad]);
        let (code, out, _) = jobs(&["verify"], &file, &[]);
        assert_eq!(code, 1, "{out}");
        out
    };
    assert!(broken(&|job| job.attempts = 4).contains("job 2: it had more tries than it may have"));
    assert!(
        broken(&|job| job.epoch = Epoch(0)).contains("job 2: it has a worker's state, and never had a lease")
    );
    assert!(broken(&|job| job.key = Some("k1".into())).contains("jobs 1 and 2 have one key"));
    assert!(broken(&|job| job.class = 7).contains("job 2: its class has no name"));
    assert!(
        broken(&|job| (job.state, job.last_error) = (State::Dead { finished_at: at }, None))
            .contains("job 2: it is dead of nothing")
    );
}

#[test]
fn a_store_in_use_or_missing_or_damaged_is_named() {
    let folder = tempfile::tempdir().unwrap();
    let file = store(folder.path(), vec![]);
    let held = DiskStore::open(&file).unwrap();
    let (code, _, why) = jobs(&["list"], &file, &[]);
    assert!(code == 1 && why.contains("another process has it open; end that one"), "{why}");
    drop(held);
    let (code, _, why) = jobs(&["list"], &folder.path().join("joobs"), &[]);
    assert!(code == 1 && why.contains("joobs: no such file"), "{why}");
    assert!(!folder.path().join("joobs").exists());
    std::fs::write(&file, "this is no store").unwrap();
    let (code, _, why) = jobs(&["verify"], &file, &[]);
    assert!(code == 1 && why.contains("not a store of jobs"), "{why}");
}
