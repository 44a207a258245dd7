//! A job as it is kept: its state, the change that is written, and the bytes it is written as. It owns the
//! record's format. A record says its version first; a newer one is refused, an older one is carried over.

use bytes::Bytes;
use sablerun::{Span, Time};
use serde::{Deserialize, Serialize};
use std::fmt;

/// The version that this program writes.
pub const FORMAT: u16 = 2;

/// A job's number, in the order of acceptance; never used twice.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct JobId(pub u64);

/// A lease's fencing token: larger than any before it of the same job.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Epoch(pub u64);

/// Where a job stands.
#[derive(Clone, Debug, PartialEq)]
pub enum State {
    /// It waits: not before `at`, for its schedule or after a failure.
    Waiting {
        /// From then on it may be leased.
        due_at: Time,
    },
    /// A worker has it under the job's epoch.
    Leased {
        /// Without a beat the lease ends then.
        expires_at: Time,
    },
    /// Done, with this result.
    Completed {
        /// When.
        finished_at: Time,
        /// What the worker made.
        result: Bytes,
    },
    /// Out of tries.
    Dead {
        /// When.
        finished_at: Time,
    },
    /// Wanted no more.
    Cancelled {
        /// When.
        finished_at: Time,
    },
}

impl State {
    /// When it came to its end, if it has.
    pub fn finished_at(&self) -> Option<Time> {
        match self {
            State::Waiting { .. } | State::Leased { .. } => None,
            State::Completed { finished_at: at, .. }
            | State::Dead { finished_at: at }
            | State::Cancelled { finished_at: at } => Some(*at),
        }
    }
}

/// A durable job.
#[derive(Clone, Debug, PartialEq)]
pub struct Job {
    /// Its number.
    pub id: JobId,
    /// Whose.
    pub member: u32,
    /// Its class.
    pub class: u32,
    /// The client's key.
    pub key: Option<Bytes>,
    /// What is to be run.
    pub body: Bytes,
    /// When it was taken.
    pub accepted_at: Time,
    /// How long a worker may be silent.
    pub lease: Span,
    /// Tries it may have.
    pub max_attempts: u32,
    /// Tries it has had: leases that did not end by being returned unrun.
    pub attempts: u32,
    /// The epoch of its last lease; zero before the first.
    pub epoch: Epoch,
    /// What the last failure said.
    pub last_error: Option<String>,
    /// Where it stands.
    pub state: State,
}

/// A change to be made durable; those of a step together or not at all.
#[derive(Clone, Debug, PartialEq)]
pub enum Change {
    /// The job as it stands now.
    Put(Job),
    /// The job is forgotten.
    Delete(JobId),
}

/// Why bytes are no job.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum RecordError {
    /// Of a version that this program does not know.
    Version(u16),
    /// They can't be read.
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

/// The state's number and its time and bytes, as they are written.
type Written = (u8, u64, Vec<u8>);

/// The second version: the first had no `error`.
#[derive(Serialize, Deserialize)]
struct Second {
    first: First,
    error: Option<String>,
}

#[derive(Serialize, Deserialize)]
struct First {
    member: u32,
    class: u32,
    key: Option<Vec<u8>>,
    body: Vec<u8>,
    accepted: u64,
    lease: u64,
    most: u32,
    tries: u32,
    epoch: u64,
    state: Written,
}

impl Job {
    /// The job as bytes, without its number, which the store keeps beside them.
    pub fn encode(&self) -> Vec<u8> {
        let state = match &self.state {
            State::Waiting { due_at: at } => (0, at.0, Vec::new()),
            State::Leased { expires_at: until } => (1, until.0, Vec::new()),
            State::Completed { finished_at: at, result } => (2, at.0, result.to_vec()),
            State::Dead { finished_at: at } => (3, at.0, Vec::new()),
            State::Cancelled { finished_at: at } => (4, at.0, Vec::new()),
        };
        let first = First {
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
        let payload = postcard::to_stdvec(&Second { first, error: self.last_error.clone() });
        bytes.extend(payload.expect("plain data into memory"));
        bytes
    }

    /// The job that these bytes are.
    ///
    /// # Errors
    ///
    /// Says why they are none.
    pub fn decode(id: JobId, bytes: &[u8]) -> Result<Job, RecordError> {
        let damaged = |e: postcard::Error| RecordError::Damaged(e.to_string());
        let head = bytes.first_chunk::<2>().ok_or_else(|| RecordError::Damaged("no version".to_owned()))?;
        let payload = &bytes[2..];
        let Second { first, error } = match u16::from_le_bytes(*head) {
            1 => Second { first: whole(payload).map_err(damaged)?, error: None },
            2 => whole(payload).map_err(damaged)?,
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

/// All of these bytes as one value, and nothing behind it.
fn whole<'a, T: Deserialize<'a>>(bytes: &'a [u8]) -> Result<T, postcard::Error> {
    match postcard::take_from_bytes(bytes)? {
        (value, []) => Ok(value),
        _ => Err(postcard::Error::DeserializeBadEncoding),
    }
}

/// A store that an earlier version wrote is carried over; one of a later version is refused.
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
    let first = First {
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
