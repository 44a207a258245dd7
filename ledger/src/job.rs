//! A durable job, its state, and the encoding of its record on disk. A record starts with its format version:
//! older versions are converted, newer ones are rejected.

use bytes::Bytes;
use sablerun::{Span, Time};
use serde::{Deserialize, Serialize};
use std::fmt;

/// The record format version that this program writes.
pub const FORMAT: u16 = 2;

/// The id of a job; increases in the order of acceptance and is never reused.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct JobId(pub u64);

/// The fencing token of a lease; larger than those of all earlier leases of the same job.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Epoch(pub u64);

/// The state of a job.
#[derive(Clone, Debug, PartialEq)]
pub enum State {
    /// Waiting to be leased: scheduled, queued, or delayed after a failed attempt.
    Waiting {
        /// The earliest time of the next lease.
        due_at: Time,
    },
    /// Leased to a worker under the current epoch.
    Leased {
        /// When the lease expires without another heartbeat.
        expires_at: Time,
    },
    /// Completed by a worker.
    Completed {
        /// When the job reached this state.
        finished_at: Time,
        /// The worker's result.
        result: Bytes,
    },
    /// All attempts failed.
    Dead {
        /// When the job reached this state.
        finished_at: Time,
    },
    /// Cancelled by a client or an operator.
    Cancelled {
        /// When the job reached this state.
        finished_at: Time,
    },
}

impl State {
    /// Returns when the job reached a final state, or `None` if it has not.
    pub fn finished_at(&self) -> Option<Time> {
        match self {
            State::Waiting { .. } | State::Leased { .. } => None,
            State::Completed { finished_at, .. }
            | State::Dead { finished_at }
            | State::Cancelled { finished_at } => Some(*finished_at),
        }
    }
}

/// A durable job.
#[derive(Clone, Debug, PartialEq)]
pub struct Job {
    /// The id of the job.
    pub id: JobId,
    /// The member that owns the job.
    pub member: u32,
    /// The class of the job.
    pub class: u32,
    /// The client's idempotency key.
    pub key: Option<Bytes>,
    /// The payload for the worker.
    pub body: Bytes,
    /// When the job was accepted.
    pub accepted_at: Time,
    /// How long the worker may go without a heartbeat.
    pub lease: Span,
    /// Maximum number of attempts.
    pub max_attempts: u32,
    /// Attempts so far. A lease that was returned without having run, or that expired after a restart without
    /// a new heartbeat, does not count.
    pub attempts: u32,
    /// The epoch of the last lease; zero before the first.
    pub epoch: Epoch,
    /// The error of the last failed attempt.
    pub last_error: Option<String>,
    /// The current state.
    pub state: State,
}

/// A change to the stored jobs. All changes of a step are written atomically.
#[derive(Clone, Debug, PartialEq)]
pub enum Change {
    /// Inserts or replaces a job.
    Put(Job),
    /// Deletes a job.
    Delete(JobId),
}

/// Why a record could not be decoded.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum RecordError {
    /// The record has a format version that this program does not support.
    Version(u16),
    /// The record is malformed.
    Damaged(String),
}

impl fmt::Display for RecordError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            RecordError::Version(v) => write!(f, "a record of format {v}; this program reads 1 to {FORMAT}"),
            RecordError::Damaged(why) => write!(f, "a damaged record: {why}"),
        }
    }
}

impl std::error::Error for RecordError {}

/// The state of a job as stored: state number, time and result.
type StoredState = (u8, u64, Vec<u8>);

/// A record of format version 2, which added `error`.
#[derive(Serialize, Deserialize)]
struct RecordV2 {
    first: RecordV1,
    error: Option<String>,
}

/// A record of format version 1.
#[derive(Serialize, Deserialize)]
struct RecordV1 {
    member: u32,
    class: u32,
    key: Option<Vec<u8>>,
    body: Vec<u8>,
    accepted: u64,
    lease: u64,
    most: u32,
    tries: u32,
    epoch: u64,
    state: StoredState,
}

impl Job {
    /// Encodes the job without its id, which the store keeps as the key of the record.
    pub fn encode(&self) -> Vec<u8> {
        let state = match &self.state {
            State::Waiting { due_at } => (0, due_at.0, Vec::new()),
            State::Leased { expires_at } => (1, expires_at.0, Vec::new()),
            State::Completed { finished_at, result } => (2, finished_at.0, result.to_vec()),
            State::Dead { finished_at } => (3, finished_at.0, Vec::new()),
            State::Cancelled { finished_at } => (4, finished_at.0, Vec::new()),
        };
        let first = RecordV1 {
            member: self.member,
            class: self.class,
            key: self.key.as_ref().map(|key| key.to_vec()),
            body: self.body.to_vec(),
            accepted: self.accepted_at.0,
            lease: self.lease.0,
            most: self.max_attempts,
            tries: self.attempts,
            epoch: self.epoch.0,
            state,
        };
        let mut bytes = FORMAT.to_le_bytes().to_vec();
        let payload = postcard::to_stdvec(&RecordV2 { first, error: self.last_error.clone() });
        bytes.extend(payload.expect("plain data into memory"));
        bytes
    }

    /// Decodes the record of a job.
    ///
    /// # Errors
    ///
    /// The format version is not supported, or the record is malformed.
    pub fn decode(id: JobId, bytes: &[u8]) -> Result<Job, RecordError> {
        let damaged = |e: postcard::Error| RecordError::Damaged(e.to_string());
        let version =
            bytes.first_chunk::<2>().ok_or_else(|| RecordError::Damaged("no version".to_owned()))?;
        let payload = &bytes[2..];
        let RecordV2 { first, error } = match u16::from_le_bytes(*version) {
            1 => RecordV2 { first: decode_exact(payload).map_err(damaged)?, error: None },
            2 => decode_exact(payload).map_err(damaged)?,
            version => return Err(RecordError::Version(version)),
        };
        let (kind, time, result) = first.state;
        let at = Time(time);
        let state = match kind {
            0 => State::Waiting { due_at: at },
            1 => State::Leased { expires_at: at },
            2 => State::Completed { finished_at: at, result: result.into() },
            3 => State::Dead { finished_at: at },
            4 => State::Cancelled { finished_at: at },
            other => return Err(RecordError::Damaged(format!("state {other}"))),
        };
        Ok(Job {
            id,
            member: first.member,
            class: first.class,
            key: first.key.map(Bytes::from),
            body: first.body.into(),
            accepted_at: Time(first.accepted),
            lease: Span(first.lease),
            max_attempts: first.most,
            attempts: first.tries,
            epoch: Epoch(first.epoch),
            last_error: error,
            state,
        })
    }
}

/// Decodes one value and rejects trailing bytes.
fn decode_exact<'a, T: Deserialize<'a>>(bytes: &'a [u8]) -> Result<T, postcard::Error> {
    match postcard::take_from_bytes(bytes)? {
        (value, []) => Ok(value),
        _ => Err(postcard::Error::DeserializeBadEncoding),
    }
}

/// Records of format version 1 must stay readable after an upgrade; records of a later version must be
/// rejected.
#[test]
fn records_of_the_first_version_are_read_and_of_the_next_refused() {
    let job = Job {
        id: JobId(3),
        member: 1,
        class: 2,
        key: None,
        body: Bytes::from_static(b"body"),
        accepted_at: Time(4),
        lease: Span(5),
        max_attempts: 6,
        attempts: 1,
        epoch: Epoch(7),
        last_error: None,
        state: State::Completed { finished_at: Time(8), result: Bytes::from_static(b"made") },
    };
    let first = RecordV1 {
        member: 1,
        class: 2,
        key: None,
        body: b"body".to_vec(),
        accepted: 4,
        lease: 5,
        most: 6,
        tries: 1,
        epoch: 7,
        state: (2, 8, b"made".to_vec()),
    };
    let bytes = [&1u16.to_le_bytes()[..], &postcard::to_stdvec(&first).unwrap()].concat();
    assert_eq!(Job::decode(JobId(3), &bytes), Ok(job.clone()));
    let mut newer = job.encode();
    newer[0] = 3;
    let error = Job::decode(JobId(3), &newer).unwrap_err();
    assert_eq!(error.to_string(), "a record of format 3; this program reads 1 to 2");
    let longer = [job.encode(), vec![0]].concat();
    assert!(matches!(Job::decode(JobId(3), &longer), Err(RecordError::Damaged(_))));
}
