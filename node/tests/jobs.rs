//! The `sablerun jobs` commands on a store of durable jobs, run as an operator runs them.

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

fn create_store(folder: &Path, jobs: Vec<Job>) -> PathBuf {
    let file = folder.join("jobs");
    let mut disk = DiskStore::open(&file).unwrap();
    disk.numbers_for(&["mehran-dist", "wave-release"]).unwrap();
    disk.commit(&jobs.into_iter().map(Change::Put).collect::<Vec<_>>()).unwrap();
    file
}

fn run_jobs_command(args: &[&str], file: &Path, more_args: &[&str]) -> (i32, String, String) {
    let mut command = Command::new(env!("CARGO_BIN_EXE_sablerun"));
    let out = command.arg("jobs").args(args).arg(file).args(more_args).output().unwrap();
    let text = |bytes| String::from_utf8(bytes).unwrap();
    (out.status.code().unwrap(), text(out.stdout), text(out.stderr))
}

#[test]
fn commands_list_show_export_and_retry_jobs() {
    let folder = tempfile::tempdir().unwrap();
    let timestamp = Time(1_700_000_001_000_000_000);
    let done = State::Completed { finished_at: timestamp, result: "made".into() };
    let file = create_store(
        folder.path(),
        vec![
            job(1, State::Waiting { due_at: timestamp }),
            job(2, State::Dead { finished_at: timestamp }),
            job(3, done),
        ],
    );
    let (code, out, _) = run_jobs_command(&["list"], &file, &[]);
    assert!(code == 0 && out.contains("wave-release") && out.contains("completed"), "{out}");
    assert!(!out.contains('\u{1b}'), "a worker's text reaches the terminal unescaped");
    let (_, out, _) = run_jobs_command(&["list", "--json", "--state", "completed"], &file, &[]);
    let listed: Value = serde_json::from_str(&out).unwrap();
    assert_eq!((listed.as_array().unwrap().len(), &listed[0]["result"]), (1, &json!("made")));
    assert_eq!(
        serde_json::from_str::<Value>(
            &run_jobs_command(&["list", "--json", "--member", "nobody"], &file, &[]).1
        )
        .unwrap(),
        json!([])
    );
    let (_, out, _) = run_jobs_command(&["export"], &file, &[]);
    assert_eq!(out.lines().count(), 3);
    assert!(out.lines().all(|line| serde_json::from_str::<Value>(line).unwrap()["member"] == "mehran-dist"));
    let (code, _, error) = run_jobs_command(&["retry"], &file, &["3"]);
    assert!(code == 1 && error.contains("3: is completed, and only a dead job is tried again"), "{error}");
    let (code, _, error) = run_jobs_command(&["show"], &file, &["9"]);
    assert!(code == 1 && error.contains("9: no such job"), "{error}");
    let (code, out, _) = run_jobs_command(&["retry"], &file, &["2"]);
    assert!(code == 0 && out.starts_with("1 to be tried again"), "{out}");
    let shown: Value = serde_json::from_str(&run_jobs_command(&["show"], &file, &["2"]).1).unwrap();
    assert_eq!(
        (&shown["state"], &shown["tries"], &shown["epoch"]),
        (&json!("waiting"), &json!(0), &json!(4))
    );
    assert_eq!(
        serde_json::from_str::<Value>(&run_jobs_command(&["dead", "--json"], &file, &[]).1).unwrap(),
        json!([])
    );
    let (code, out, _) = run_jobs_command(&["verify"], &file, &[]);
    assert!(code == 0 && out == "3 jobs, 0 invariants broken\n", "{out}");
}

#[test]
fn verify_finds_broken_invariants() {
    let timestamp = Time(1);
    let verify_with = |change: &dyn Fn(&mut Job)| {
        let folder = tempfile::tempdir().unwrap();
        let mut bad = job(2, State::Leased { expires_at: timestamp });
        change(&mut bad);
        let file = create_store(folder.path(), vec![job(1, State::Waiting { due_at: timestamp }), bad]);
        let (code, out, _) = run_jobs_command(&["verify"], &file, &[]);
        assert_eq!(code, 1, "{out}");
        out
    };
    assert!(verify_with(&|job| job.attempts = 4).contains("job 2: it had more tries than it may have"));
    assert!(
        verify_with(&|job| job.epoch = Epoch(0))
            .contains("job 2: it has a worker's state, and never had a lease")
    );
    assert!(verify_with(&|job| job.key = Some("k1".into())).contains("jobs 1 and 2 have one key"));
    assert!(verify_with(&|job| job.class = 7).contains("job 2: its class has no name"));
    assert!(
        verify_with(&|job| (job.state, job.last_error) = (State::Dead { finished_at: timestamp }, None))
            .contains("job 2: it is dead of nothing")
    );
}

#[test]
fn a_store_that_is_in_use_missing_or_damaged_gets_a_clear_error() {
    let folder = tempfile::tempdir().unwrap();
    let file = create_store(folder.path(), vec![]);
    let open_store = DiskStore::open(&file).unwrap();
    let (code, _, error) = run_jobs_command(&["list"], &file, &[]);
    assert!(code == 1 && error.contains("another process has it open; end that one"), "{error}");
    drop(open_store);
    let (code, _, error) = run_jobs_command(&["list"], &folder.path().join("joobs"), &[]);
    assert!(code == 1 && error.contains("joobs: no such file"), "{error}");
    assert!(!folder.path().join("joobs").exists());
    std::fs::write(&file, "this is no store").unwrap();
    let (code, _, error) = run_jobs_command(&["verify"], &file, &[]);
    assert!(code == 1 && error.contains("not a store of jobs"), "{error}");
}
