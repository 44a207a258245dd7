//! Limits and request ids that the processes of one dispatcher share. Each open file is a process of its own to the
//! kernel, so that one test plays several.

use sablerun_node::shared::{IdClaim, Quota, RequestIds, Resource, SharedFile};
use std::path::Path;
use std::rc::Rc;
use std::sync::{Arc, Barrier};
use std::thread;

const CAPACITY: usize = 1_000;
const NOW_MS: u64 = 1_000_000;
const DEADLINE_MS: u64 = NOW_MS + 5_000;
/// Beyond any deadline and the margin for killed processes.
const MUCH_LATER_MS: u64 = NOW_MS + 60_000;

fn open(folder: &Path) -> Arc<SharedFile> {
    Arc::new(SharedFile::open(folder, ([127, 0, 0, 1], 8080).into()).unwrap())
}

fn quota(file: &Arc<SharedFile>) -> Quota {
    Quota::shared(file.clone(), Resource::MessageMemory, CAPACITY, 0.1)
}

/// Guards against two processes that each keep to the whole limit (review/10): one alone has all of it, a second one
/// gets what the first does not use, and the survivor has the whole again.
#[test]
fn processes_share_a_limit_and_the_survivor_has_it_all() {
    let folder = tempfile::tempdir().unwrap();
    let old_file = open(folder.path());
    let old = quota(&old_file);
    assert!(old.ensure(CAPACITY) && !old.ensure(CAPACITY + 1), "one process alone has all");
    let new_file = open(folder.path());
    let new = quota(&new_file);
    assert!(!new.ensure(CAPACITY / 50), "the first still holds everything");
    old_file.refresh_peers();
    old.release_beyond(CAPACITY / 2);
    assert!(new.ensure(CAPACITY / 3));
    assert!(!new.ensure(CAPACITY / 2), "what a second process needs by itself is left");
    // However the first one ends, its descriptors close.
    drop((old, old_file));
    assert!(new.ensure(CAPACITY));
    // A replacement may follow at once.
    let next = quota(&open(folder.path()));
    assert!(!next.ensure(1));
    new_file.refresh_peers();
    new.release_beyond(0);
    assert!(next.ensure(CAPACITY / 2));
    drop((new, new_file));
}

/// Guards against more in use than the limit, in any order of events.
#[test]
fn processes_never_have_more_than_the_limit_together() {
    let folder = tempfile::tempdir().unwrap();
    let mut random = fastrand::Rng::with_seed(43);
    let mut processes: Vec<(Arc<SharedFile>, Quota, usize)> = Vec::new();
    for step in 0..20_000 {
        match random.usize(0..40) {
            0 if processes.len() < 3 => {
                let file = open(folder.path());
                let quota = quota(&file);
                processes.push((file, quota, 0));
            }
            1 if processes.len() > 1 => drop(processes.swap_remove(random.usize(0..processes.len()))),
            2 => processes.iter().for_each(|(file, ..)| {
                file.refresh_peers();
            }),
            _ if processes.is_empty() => {}
            _ => {
                let index = random.usize(0..processes.len());
                let (_, quota, used) = &mut processes[index];
                let wanted = random.usize(0..=CAPACITY);
                if wanted <= *used || quota.ensure(wanted) {
                    *used = wanted;
                }
                quota.release_beyond(*used);
            }
        }
        let together: usize = processes.iter().map(|(.., used)| used).sum();
        assert!(together <= CAPACITY, "step {step}: {together}");
    }
}

/// Guards against one id at both processes of a replacement (review/6).
#[test]
fn an_id_is_open_in_one_process_at_a_time() {
    let folder = tempfile::tempdir().unwrap();
    let (old, new) = (RequestIds::new(open(folder.path())), RequestIds::new(open(folder.path())));
    let (id, key): (Rc<str>, _) = ("0badcafe".into(), ["key", "class", "member"]);
    let claim = |ids: &RequestIds, key| ids.claim(&id, key, NOW_MS, DEADLINE_MS);
    assert_eq!(claim(&old, Some(key)), IdClaim::Granted);
    assert_eq!(claim(&new, None), IdClaim::Taken);
    assert_eq!(claim(&new, Some(["key", "class", "another"])), IdClaim::Taken);
    assert_eq!(claim(&new, Some(["key", "another", "member"])), IdClaim::Taken);
    assert_eq!(claim(&new, Some(key)), IdClaim::TakenBySameKey);
    assert_eq!(new.claim(&"another".into(), None, NOW_MS, DEADLINE_MS), IdClaim::Granted);
    old.release(&id);
    assert_eq!(claim(&new, None), IdClaim::Granted);
    assert_eq!(claim(&old, None), IdClaim::Taken);
}

/// Guards against the id of a killed process, whose job may still run, being given to another request.
#[test]
fn the_id_of_a_killed_process_is_taken_until_its_deadline() {
    let folder = tempfile::tempdir().unwrap();
    let (old, new) = (RequestIds::new(open(folder.path())), RequestIds::new(open(folder.path())));
    let id: Rc<str> = "0badcafe".into();
    assert_eq!(old.claim(&id, None, NOW_MS, DEADLINE_MS), IdClaim::Granted);
    drop(old);
    assert_eq!(new.claim(&id, None, DEADLINE_MS, DEADLINE_MS), IdClaim::Taken);
    // Also in the process that takes the killed one's place.
    let next = RequestIds::new(open(folder.path()));
    assert_eq!(next.claim(&id, None, DEADLINE_MS, DEADLINE_MS), IdClaim::Taken);
    assert_eq!(next.claim(&id, None, MUCH_LATER_MS, MUCH_LATER_MS), IdClaim::Granted);
}

/// Guards against both processes taking an id that arrives at them at once.
#[test]
fn an_id_that_arrives_at_both_processes_at_once_is_granted_to_one() {
    const IDS: usize = 300;
    let folder = tempfile::tempdir().unwrap();
    let barrier = Arc::new(Barrier::new(2));
    let process = || {
        let (file, barrier) = (open(folder.path()), barrier.clone());
        thread::spawn(move || {
            let ids = RequestIds::new(file);
            let claim = |number: usize| {
                barrier.wait();
                ids.claim(&number.to_string().into(), None, NOW_MS, DEADLINE_MS) == IdClaim::Granted
            };
            let granted: Vec<_> = (0..IDS).map(claim).collect();
            barrier.wait();
            granted
        })
    };
    let (first, second) = (process(), process());
    let (first, second) = (first.join().unwrap(), second.join().unwrap());
    for number in 0..IDS {
        assert!(first[number] != second[number], "id {number}");
    }
}

/// A limit of one can't be divided: the process that needs it first has it.
#[test]
fn a_limit_of_one_stays_usable_while_there_are_two_processes() {
    let folder = tempfile::tempdir().unwrap();
    let small = |file: &Arc<SharedFile>| Quota::shared(file.clone(), Resource::OpenRequests, 1, 0.0);
    let (old_file, new_file) = (open(folder.path()), open(folder.path()));
    let (old, new) = (small(&old_file), small(&new_file));
    assert!(old.ensure(1) && !new.ensure(1));
    old_file.refresh_peers();
    old.release_beyond(0);
    assert!(new.ensure(1) && !old.ensure(1));
}
