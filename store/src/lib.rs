//! Storage of durable jobs on disk, and the thread that commits changes. A change is reported as durable only
//! after the disk has confirmed it, nothing is committed after a failed commit, and a record whose checksum
//! does not match is never returned.

mod committer;
mod disk;
mod faults;

pub use committer::{CommitOutcome, Committer};
pub use disk::{DiskStore, SCHEMA};
pub use faults::{Fault, FaultyStore};

use sablerun_ledger::{Change, Job, JobId, RecordError};
use std::fmt;

/// The contents of a store.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct StoreContents {
    /// The lowest job id that was never used.
    pub next_id: u64,
    /// The jobs, ordered by id.
    pub jobs: Vec<Job>,
    /// Names of members and classes, indexed by the numbers that jobs refer to.
    pub names: Vec<String>,
}

/// A persistent store of jobs.
pub trait JobStore: Send {
    /// Loads the whole store.
    ///
    /// # Errors
    ///
    /// Any part of the store is damaged. Nothing is returned then.
    fn load(&mut self) -> Result<StoreContents, StoreError>;

    /// Writes changes durably and atomically.
    ///
    /// # Errors
    ///
    /// It is unknown whether the changes are durable. The store must be reopened; the call must not be
    /// repeated.
    fn commit(&mut self, changes: &[Change]) -> Result<(), StoreError>;

    /// Returns the size of the store on disk, in bytes.
    fn size(&self) -> u64;
}

/// Why an operation on a store failed.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum StoreError {
    /// Another process has the store open.
    Locked(String),
    /// The checksum of a record does not match, or the record is malformed.
    Damaged(JobId, String),
    /// The file is not a store, or the file itself is damaged.
    InvalidFile(String),
    /// The schema version is not supported.
    UnsupportedSchema(u64),
    /// The disk is full.
    DiskFull,
    /// Any other error of the disk or of redb.
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
    fn damaged_record(id: JobId, error: &RecordError) -> StoreError {
        StoreError::Damaged(id, error.to_string())
    }
}
