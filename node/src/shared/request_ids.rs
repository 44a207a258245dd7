//! The ids of open requests, which are unique over the processes of one dispatcher: runners know a job by its id.

use super::SharedFile;
use super::id_records::{self, IdRecord, RecordOffset};
use sha2::{Digest, Sha256};
use std::cell::RefCell;
use std::collections::HashMap;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

/// Where the locks of ids begin in the file; each id has one byte, by its hash.
const LOCKS_OFFSET: u64 = 1 << 62;
/// The bits of a hash that choose the byte.
const LOCK_BITS: u64 = (1 << 61) - 1;
/// Time beyond a request's deadline for which the id of a process that was killed stays taken: its runner may still
/// be giving the job up.
const EXPIRY_MARGIN: Duration = Duration::from_secs(1);

/// The result of claiming an id.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum IdClaim {
    /// This process has it.
    Granted,
    /// Another process has a request of this id.
    Taken,
    /// Another process has a request of this id, under the same key, class and member.
    TakenBySameKey,
}

/// What this process holds for an id.
struct Held {
    /// The offset of the byte that it locks.
    lock: u64,
    /// Where the id's record is, if there was room for one.
    record: Option<RecordOffset>,
}

/// The ids that this process has claimed.
pub struct RequestIds {
    file: Arc<SharedFile>,
    claimed: RefCell<HashMap<Rc<str>, Held>>,
}

impl RequestIds {
    /// Creates an empty set of claims for a process that uses this file.
    pub fn new(file: Arc<SharedFile>) -> RequestIds {
        RequestIds { file, claimed: RefCell::default() }
    }

    fn hash(&self, parts: &[&str]) -> u64 {
        let mut hash = Sha256::new_with_prefix(self.file.hash_key());
        for part in parts {
            hash.update((part.len() as u64).to_le_bytes());
            hash.update(part.as_bytes());
        }
        let bytes = hash.finalize()[..8].try_into().expect("a longer hash");
        // 0 means none.
        u64::from_le_bytes(bytes).max(1)
    }

    /// Claims the id of a request whose client waits until `deadline_ms`, as Unix time in milliseconds. `key`: the
    /// parts that identify a client's keyed request, if it has a key.
    pub fn claim(&self, id: &Rc<str>, key: Option<[&str; 3]>, now_ms: u64, deadline_ms: u64) -> IdClaim {
        if self.claimed.borrow().contains_key(id) {
            return IdClaim::Granted;
        }
        let id_hash = self.hash(&[id]);
        let key_hash = key.map_or(0, |key| self.hash(&key));
        let lock = LOCKS_OFFSET | (id_hash & LOCK_BITS);
        let locked = match self.file.try_lock(lock) {
            Ok(locked) => locked,
            Err(e) => {
                log::warn!("a request id can't be locked against another process: {e}");
                return IdClaim::Granted;
            }
        };
        let found = id_records::find(&self.file, id_hash, now_ms);
        if !locked || found.record.is_some() {
            if locked {
                // The process that had it was killed, and its job may still run.
                self.file.unlock(lock);
            }
            let same_key = found.record.is_some_and(|record| key_hash != 0 && record.key_hash == key_hash);
            return if same_key { IdClaim::TakenBySameKey } else { IdClaim::Taken };
        }
        let expires_ms = deadline_ms + EXPIRY_MARGIN.as_millis() as u64;
        let record = IdRecord { id_hash, key_hash, expires_ms };
        let record = found.free.filter(|offset| id_records::write(&self.file, *offset, record).is_ok());
        self.claimed.borrow_mut().insert(id.clone(), Held { lock, record });
        IdClaim::Granted
    }

    /// Releases an id, whose request is gone.
    pub fn release(&self, id: &str) {
        let Some(Held { lock, record }) = self.claimed.borrow_mut().remove(id) else { return };
        if let Some(offset) = record {
            // The record goes first: who gets the lock afterwards finds none.
            let _ = id_records::write(&self.file, offset, IdRecord::default());
        }
        self.file.unlock(lock);
    }
}
