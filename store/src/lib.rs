//! Durable jobs on disk. It owns the file, its schema, the checksums of its records and the thread that
//! commits. It must never tell that a change is durable before the disk has said so, go on after a commit
//! that failed as if it had not, nor hand out a record whose checksum does not match.

mod committer;
mod disk;
mod faults;

pub use committer::{CommitOutcome, Committer};
pub use disk::{DiskStore, SCHEMA};
pub use faults::{Fault, FaultyStore};

use sablerun_ledger::{Change, Job, JobId, RecordError};
use std::fmt;

/// All that a store holds.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct StoreContents {
    /// The first number that no job ever had.
    pub next_id: u64,
    /// The jobs, by number.
    pub jobs: Vec<Job>,
    /// The names of members and classes, by the numbers that jobs give them.
    pub names: Vec<String>,
}

/// Where jobs are kept.
pub trait JobStore: Send {
    /// All that it holds.
    ///
    /// # Errors
    ///
    /// If anything in it can't be trusted; nothing is handed out then.
    fn load(&mut self) -> Result<StoreContents, StoreError>;

    /// Makes changes durable: all of them, or none.
    ///
    /// # Errors
    ///
    /// Whether they are durable is not known then: the store is to be opened anew, not asked again.
    fn commit(&mut self, changes: &[Change]) -> Result<(), StoreError>;

    /// Bytes that it takes on the disk.
    fn size(&self) -> u64;
}

/// What a store can't do.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum StoreError {
    /// Another process has it open.
    Locked(String),
    /// A record whose checksum does not match, or that can't be read.
    Damaged(JobId, String),
    /// The file itself is no store, or is damaged.
    InvalidFile(String),
    /// A schema that this program does not know.
    UnsupportedSchema(u64),
    /// There is no room on the disk.
    DiskFull,
    /// The disk said no.
    Io(String),
}

impl fmt::Display for StoreError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            StoreError::Locked(file) => {
                write!(f, "{file}: another process has it open; end that one, or name another file")
            }
            StoreError::Damaged(id, why) => {
                write!(f, "job {}: {why}; nothing is loaded: restore the file from a copy", id.0)
            }
            StoreError::InvalidFile(why) => write!(f, "not a store of jobs: {why}"),
            StoreError::UnsupportedSchema(version) => {
                write!(f, "a store of schema {version}; this program reads 1 to {SCHEMA}: use a newer one")
            }
            StoreError::DiskFull => write!(f, "no room on the disk"),
            StoreError::Io(why) => write!(f, "the disk: {why}"),
        }
    }
}

impl std::error::Error for StoreError {}

impl StoreError {
    fn record(id: JobId, error: &RecordError) -> StoreError {
        StoreError::Damaged(id, error.to_string())
    }
}
