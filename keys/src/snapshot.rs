//! The encoding of a snapshot of a store, for the next process. Contains no I/O.
//!
//! Layout: `SRKEYS`, format version (2 bytes), payload length (8 bytes), CRC-32 of the payload (4 bytes),
//! then the payload in postcard encoding. All header numbers are little-endian.

use crate::{Fingerprint, Member, Place, Record, Resolution, SentAttempts};
use bytes::Bytes;
use sablerun::Time;
use std::fmt;

/// The format version that this program writes, and the only one that it reads.
pub const FORMAT: u16 = 1;

const MAGIC: &[u8; 6] = b"SRKEYS";
const HEADER_BYTES: usize = 20;

/// The names of the numbers in the records. Numbers are only valid within one process; names persist.
#[derive(Clone, Debug, Default, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct Names {
    /// Names of members, by number.
    pub members: Vec<String>,
    /// Names of classes, by number.
    pub classes: Vec<String>,
    /// Names of zones, by number.
    pub zones: Vec<String>,
}

/// The contents of a store at one time.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Snapshot {
    /// When the snapshot was taken, on the program's clock (Unix time in nanoseconds).
    pub taken_at: Time,
    /// Whether it was taken during an orderly shutdown, after the last answer: it then covers every request
    /// that was sent.
    pub clean_shutdown: bool,
    /// The names of the numbers in the records.
    pub names: Names,
    /// The keys, oldest first.
    pub records: Vec<Record>,
}

/// Why a snapshot could not be decoded.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum SnapshotError {
    /// The header is missing or does not start with the magic bytes.
    NotASnapshot,
    /// The format version is not supported.
    Version(u16),
    /// The payload has another length than the header states: stated and found, in bytes.
    Length(u64, u64),
    /// The checksum does not match.
    Checksum,
    /// The checksum matches, but the payload is malformed.
    Payload(String),
}

impl fmt::Display for SnapshotError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            SnapshotError::NotASnapshot => write!(f, "not a snapshot of keys"),
            SnapshotError::Version(version) => {
                write!(f, "a snapshot of format {version}; this program reads format {FORMAT} alone")
            }
            SnapshotError::Length(stated, found) => {
                write!(f, "cut short or too long: {stated} bytes stated, {found} found")
            }
            SnapshotError::Checksum => write!(f, "damaged: the checksum does not match"),
            SnapshotError::Payload(why) => write!(f, "its payload can't be read: {why}"),
        }
    }
}

impl std::error::Error for SnapshotError {}

/// A record as encoded in the payload of format version 1. Any change requires a new version.
#[derive(serde::Serialize, serde::Deserialize)]
struct Stored {
    member: u32,
    class: u32,
    key: Vec<u8>,
    print: [u8; 16],
    at: u64,
    /// The result, if the request was served.
    result: Option<Vec<u8>>,
    /// Place, first, last and number of the attempts, if the request may have run.
    sent: Option<(Option<Place>, u64, u64, u32)>,
}

#[derive(serde::Serialize, serde::Deserialize)]
struct Payload {
    made: u64,
    last: bool,
    names: Names,
    records: Vec<Stored>,
}

impl Snapshot {
    /// Encodes the snapshot.
    pub fn encode(&self) -> Vec<u8> {
        let stored = |record: &Record| {
            let (result, sent) = match &record.resolution {
                Resolution::Served(result) => (Some(result.to_vec()), None),
                Resolution::MayHaveRun(sent) => {
                    (None, Some((sent.place, sent.first_at.0, sent.last_at.0, sent.count)))
                }
                Resolution::NeverRan => (None, None),
            };
            Stored {
                member: record.member.0,
                class: record.class,
                key: record.key.clone(),
                print: record.fingerprint.0,
                at: record.resolved_at.0,
                result,
                sent,
            }
        };
        let records = self.records.iter().map(stored).collect();
        let payload =
            Payload { made: self.taken_at.0, last: self.clean_shutdown, names: self.names.clone(), records };
        let payload = postcard::to_stdvec(&payload).expect("plain data into memory");
        let mut bytes = Vec::with_capacity(HEADER_BYTES + payload.len());
        bytes.extend_from_slice(MAGIC);
        bytes.extend_from_slice(&FORMAT.to_le_bytes());
        bytes.extend_from_slice(&(payload.len() as u64).to_le_bytes());
        bytes.extend_from_slice(&crc32fast::hash(&payload).to_le_bytes());
        bytes.extend_from_slice(&payload);
        bytes
    }

    /// Decodes a snapshot.
    ///
    /// # Errors
    ///
    /// The bytes are not an intact snapshot of a supported version. Nothing of them is used.
    pub fn decode(bytes: &[u8]) -> Result<Snapshot, SnapshotError> {
        let header = bytes.get(..HEADER_BYTES).ok_or(SnapshotError::NotASnapshot)?;
        if &header[..6] != MAGIC {
            return Err(SnapshotError::NotASnapshot);
        }
        let version = u16::from_le_bytes([header[6], header[7]]);
        if version != FORMAT {
            return Err(SnapshotError::Version(version));
        }
        let read_u64 = |at: usize| u64::from_le_bytes(std::array::from_fn(|n| header[at + n]));
        let payload = &bytes[HEADER_BYTES..];
        let (stated, found) = (read_u64(8), payload.len() as u64);
        if stated != found {
            return Err(SnapshotError::Length(stated, found));
        }
        let checksum = u32::from_le_bytes([header[16], header[17], header[18], header[19]]);
        if crc32fast::hash(payload) != checksum {
            return Err(SnapshotError::Checksum);
        }
        let payload: Payload =
            postcard::from_bytes(payload).map_err(|e| SnapshotError::Payload(e.to_string()))?;
        let record = |stored: Stored| {
            let resolution = match (stored.result, stored.sent) {
                (Some(result), _) => Resolution::Served(Bytes::from(result)),
                (None, Some((place, first, last, count))) => Resolution::MayHaveRun(SentAttempts {
                    place,
                    first_at: Time(first),
                    last_at: Time(last),
                    count,
                }),
                (None, None) => Resolution::NeverRan,
            };
            Record {
                member: Member(stored.member),
                class: stored.class,
                key: stored.key,
                fingerprint: Fingerprint(stored.print),
                resolved_at: Time(stored.at),
                resolution,
            }
        };
        let records = payload.records.into_iter().map(record).collect();
        Ok(Snapshot {
            taken_at: Time(payload.made),
            clean_shutdown: payload.last,
            names: payload.names,
            records,
        })
    }

    /// Returns the records with the numbers of the current process, looked up by name. Skips records whose
    /// class or member is unknown now; clears the place of attempts whose zone is unknown now.
    pub fn renumbered(
        self,
        class: impl Fn(&str) -> Option<u32>,
        member: impl Fn(&str) -> Option<u32>,
        zone: impl Fn(&str) -> Option<u32>,
    ) -> Vec<Record> {
        let name = |names: &[String], number: u32| names.get(number as usize).cloned();
        let Names { members, classes, zones } = self.names;
        let renumber = |mut record: Record| {
            record.class = class(&name(&classes, record.class)?)?;
            if record.member != Member::NONE {
                record.member = Member(member(&name(&members, record.member.0)?)?);
            }
            if let Resolution::MayHaveRun(sent) = &mut record.resolution {
                sent.place = sent
                    .place
                    .and_then(|place| Some(Place { zone: zone(&name(&zones, place.zone)?)?, ..place }));
            }
            Some(record)
        };
        self.records.into_iter().filter_map(renumber).collect()
    }
}
