//! The store on a real disk: its contents after a close, a kill, flipped bits and failed commits.

use bytes::Bytes;
use sablerun::{Span, Time};
use sablerun_ledger::{Change, Epoch, Job, JobId, State};
use sablerun_store::{
    CommitOutcome, Committer, DiskStore, Fault, FaultyStore, JobStore, StoreContents, StoreError,
};
use std::io::{BufRead, BufReader};
use std::path::Path;
use std::process::{Command, Stdio};
use std::sync::mpsc::channel;

fn job(id: u64, size: usize) -> Job {
    Job {
        id: JobId(id),
        member: 1,
        class: 2,
        key: Some(Bytes::from(format!("key-{id}"))),
        body: Bytes::from(vec![b'b'; size]),
        accepted_at: Time(5),
        lease: Span(6),
        max_attempts: 3,
        attempts: 1,
        epoch: Epoch(1),
        last_error: Some("why".to_owned()),
        state: State::Leased { expires_at: Time(9) },
    }
}

fn load(file: &Path) -> Result<StoreContents, StoreError> {
    DiskStore::open(file)?.load()
}

#[test]
fn committed_jobs_are_loaded_and_ids_are_never_reused() {
    let folder = tempfile::tempdir().unwrap();
    let file = folder.path().join("jobs");
    let mut disk = DiskStore::open(&file).unwrap();
    disk.commit(&[Change::Put(job(1, 10)), Change::Put(job(2, 60_000)), Change::Put(job(7, 0))]).unwrap();
    disk.commit(&[Change::Put(job(1, 20)), Change::Delete(JobId(2))]).unwrap();
    drop(disk);
    let jobs = vec![job(1, 20), job(7, 0)];
    assert_eq!(load(&file).unwrap(), StoreContents { next_id: 8, jobs, names: vec![] });
    let mut disk = DiskStore::open(&file).unwrap();
    disk.commit(&[Change::Delete(JobId(1)), Change::Delete(JobId(7))]).unwrap();
    drop(disk);
    assert_eq!(load(&file).unwrap(), StoreContents { next_id: 8, jobs: vec![], names: vec![] });
}

#[test]
fn names_keep_their_numbers() {
    let folder = tempfile::tempdir().unwrap();
    let file = folder.path().join("jobs");
    let mut disk = DiskStore::open(&file).unwrap();
    assert_eq!(disk.numbers_for(&["mehran", "wave", "mehran"]).unwrap(), [0, 1, 0]);
    drop(disk);
    let mut disk = DiskStore::open(&file).unwrap();
    assert_eq!(disk.numbers_for(&["pick", "wave", "mehran"]).unwrap(), [2, 1, 0]);
    assert_eq!(disk.load().unwrap().names, ["mehran", "wave", "pick"]);
}

#[test]
fn only_one_process_can_open_a_store() {
    let folder = tempfile::tempdir().unwrap();
    let file = folder.path().join("jobs");
    let _open = DiskStore::open(&file).unwrap();
    let error = DiskStore::open(&file).err().unwrap();
    assert!(matches!(&error, StoreError::Locked(_)), "{error}");
    assert!(error.to_string().contains("another process has it open"));
}

/// With any bit flipped, a load returns the original jobs or an error, and never panics.
#[test]
fn a_flipped_bit_is_detected_or_harmless() {
    let folder = tempfile::tempdir().unwrap();
    let (good, bad) = (folder.path().join("good"), folder.path().join("bad"));
    let mut disk = DiskStore::open(&good).unwrap();
    let jobs: Vec<_> = (1..40).map(|id| job(id, 700 + id as usize)).collect();
    disk.commit(&jobs.iter().cloned().map(Change::Put).collect::<Vec<_>>()).unwrap();
    drop(disk);
    let bytes = std::fs::read(&good).unwrap();
    let original = load(&good).unwrap();
    let mut detected = 0;
    // Only non-zero bytes hold data; every 37th of them, to limit the time.
    for (at, _) in bytes.iter().enumerate().filter(|(_, byte)| **byte != 0).step_by(37) {
        let mut flipped = bytes.clone();
        flipped[at] ^= 1 << (at % 8);
        std::fs::write(&bad, &flipped).unwrap();
        match std::panic::catch_unwind(|| load(&bad)) {
            Ok(Ok(loaded)) => assert!(loaded == original, "a flip in byte {at} changed the loaded jobs"),
            Ok(Err(_)) => detected += 1,
            Err(_) => panic!("a flip in byte {at} made the store panic"),
        }
    }
    // The output may contain panic messages of redb, which the store has caught.
    assert!(detected > 0);
}

#[test]
fn a_file_that_is_no_store_or_has_a_newer_schema_is_rejected() {
    let folder = tempfile::tempdir().unwrap();
    let text = folder.path().join("text");
    std::fs::write(&text, "this is no store of jobs").unwrap();
    assert!(matches!(load(&text), Err(StoreError::InvalidFile(_) | StoreError::Io(_))));
    let newer = folder.path().join("newer");
    drop(DiskStore::open(&newer).unwrap());
    let table: redb::TableDefinition<&str, u64> = redb::TableDefinition::new("facts");
    let database = redb::Database::open(&newer).unwrap();
    let write = database.begin_write().unwrap();
    write.open_table(table).unwrap().insert("schema", 9).unwrap();
    write.commit().unwrap();
    drop(database);
    let error = load(&newer).unwrap_err();
    assert_eq!(error, StoreError::UnsupportedSchema(9));
    assert!(error.to_string().contains("use a newer one"), "{error}");
}

#[test]
fn steps_are_reported_in_order_and_none_after_a_failed_commit() {
    for (fault, written) in [(Fault::Full, 2), (Fault::SyncLost, 2), (Fault::SyncWritten, 3)] {
        let folder = tempfile::tempdir().unwrap();
        let file = folder.path().join("jobs");
        // One step per commit, so that the fault hits the third step.
        let store = FaultyStore::new(DiskStore::open(&file).unwrap(), [Fault::None, Fault::None, fault]);
        let (send, outcomes) = channel();
        let mut committer = Committer::start(store, 8, 1, move |outcome| send.send(outcome).unwrap());
        for number in 1..=2 {
            assert_eq!(committer.enqueue(vec![Change::Put(job(number, 1))]), Some(number));
            assert_eq!(outcomes.recv().unwrap(), CommitOutcome::Durable(number));
        }
        assert_eq!(committer.enqueue(vec![Change::Put(job(3, 1))]), Some(3));
        assert!(matches!(outcomes.recv().unwrap(), CommitOutcome::Failed(_)));
        // The thread has ended: it accepts no further steps and does not retry.
        while committer.enqueue(vec![Change::Put(job(4, 1))]).is_some() {
            std::thread::yield_now();
        }
        committer.shutdown();
        assert_eq!(load(&file).unwrap().jobs.len(), written, "{fault:?}");
    }
}

#[test]
fn a_slow_disk_fills_the_queue_and_waiting_steps_share_a_commit() {
    let folder = tempfile::tempdir().unwrap();
    let file = folder.path().join("jobs");
    let slow = Fault::Slow(std::time::Duration::from_millis(300));
    let store = FaultyStore::new(DiskStore::open(&file).unwrap(), [slow]);
    let (send, outcomes) = channel();
    let mut committer = Committer::start(store, 4, 100, move |outcome| send.send(outcome).unwrap());
    // The queue holds four steps, plus the first if the thread has already taken it.
    let mut queued = 0;
    while queued < 20 && committer.enqueue(vec![Change::Put(job(queued + 1, 1))]).is_some() {
        queued += 1;
    }
    assert!(queued < 20, "the queue has no bound");
    committer.shutdown();
    let outcomes: Vec<_> = outcomes.iter().collect();
    assert_eq!(*outcomes.last().unwrap(), CommitOutcome::Durable(queued));
    assert!(outcomes.len() < queued as usize, "one commit per step: {outcomes:?}");
    assert_eq!(load(&file).unwrap().jobs.len() as u64, queued);
}

/// Kills a process while it commits as fast as it can. All steps that it reported as durable must be loaded,
/// and of the others only a prefix.
#[test]
fn a_kill_during_commits_keeps_all_reported_steps() {
    const FILE_VARIABLE: &str = "SABLERUN_STORE_TEST_FILE";
    if let Ok(file) = std::env::var(FILE_VARIABLE) {
        let mut disk = DiskStore::open(Path::new(&file)).unwrap();
        let first = disk.load().unwrap().next_id;
        for id in first..first + 100_000 {
            disk.commit(&[Change::Put(job(id, 300)), Change::Put(job(id, 301))]).unwrap();
            println!("durable {id}");
        }
        return;
    }
    let folder = tempfile::tempdir().unwrap();
    let file = folder.path().join("jobs");
    for round in 1..=6 {
        let mut child = Command::new(std::env::current_exe().unwrap())
            .args(["a_kill_during_commits", "--nocapture"])
            .env(FILE_VARIABLE, &file)
            .stdout(Stdio::piped())
            .stderr(Stdio::null())
            .spawn()
            .unwrap();
        let mut lines = BufReader::new(child.stdout.take().unwrap()).lines();
        let reported = |line: &String| line.strip_prefix("durable ").and_then(|id| id.parse::<u64>().ok());
        let mut last = 0;
        for line in
            lines.by_ref().map_while(Result::ok).filter_map(|line| reported(&line)).take(20 + round * 7)
        {
            last = line;
        }
        child.kill().unwrap();
        child.wait().unwrap();
        last = lines.map_while(Result::ok).filter_map(|line| reported(&line)).last().unwrap_or(last);
        let loaded = load(&file).unwrap();
        assert!(
            loaded.next_id > last && loaded.next_id <= last + 2,
            "reported {last}, loaded below {}",
            loaded.next_id
        );
        let ids: Vec<_> = loaded.jobs.iter().map(|job| job.id.0).collect();
        assert_eq!(ids, (1..loaded.next_id).collect::<Vec<_>>());
        assert!(loaded.jobs.iter().all(|job| job.body.len() == 301), "a commit was written in part");
    }
}
