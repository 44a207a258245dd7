//! The form of a snapshot: what a store held, as bytes that a successor can trust. It owns the format,
//! its version and its checksum. It must never read or write a file: it turns bytes into records, or
//! says why it will not.
//!
//! `SRKEYS` and two bytes of format version, eight bytes of payload length, four bytes of CRC-32 of the
//! payload, then the payload in postcard's encoding. All numbers are little-endian.

use crate::{Fingerprint, Member, Place, Record, Resolution, SentAttempts};
use bytes::Bytes;
use sablerun::Time;
use std::fmt;

/// The version that this program writes, and the only one that it reads.
pub const FORMAT: u16 = 1;

const MAGIC: &[u8; 6] = b"SRKEYS";
const HEAD: usize = 20;

/// The names behind the numbers in the records: numbers are one process's own.
#[derive(Clone, Debug, Default, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct Names {
    /// Members.
    pub members: Vec<String>,
    /// Classes.
    pub classes: Vec<String>,
    /// Zones.
    pub zones: Vec<String>,
}

/// What a store held, and when.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Snapshot {
    /// When it was made, on the program's clock (Unix time in nanoseconds).
    pub taken_at: Time,
    /// It was made at an orderly end, after the last answer: nothing was sent that it does not hold.
    pub clean_shutdown: bool,
    /// The names that the records' numbers stand for.
    pub names: Names,
    /// The keys, oldest first.
    pub records: Vec<Record>,
}

/// Why bytes are no snapshot that can be used.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum SnapshotError {
    /// It does not begin as a snapshot does.
    NotASnapshot,
    /// It is of a version that this program does not read.
    Version(u16),
    /// It ends too early, or goes on after its end: the bytes stated and found.
    Length(u64, u64),
    /// Its checksum does not match: some bit has changed.
    Checksum,
    /// Its payload can't be read though its checksum matches.
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

/// A record as it stands in the payload. The first version's form: a change to it is a new version.
#[derive(serde::Serialize, serde::Deserialize)]
struct Stored {
    member: u32,
    class: u32,
    key: Vec<u8>,
    print: [u8; 16],
    at: u64,
    /// The result, where it was served.
    result: Option<Vec<u8>>,
    /// Place, first, last, times: where it may have run.
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
    /// The snapshot as bytes.
    pub fn encode(&self) -> Vec<u8> {
        let stored = |record: &Record| {
            let (result, sent) = match &record.resolution {
                Resolution::Served(result) => (Some(result.to_vec()), None),
                Resolution::MayHaveRun(s) => (None, Some((s.place, s.first_at.0, s.last_at.0, s.count))),
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
        let mut bytes = Vec::with_capacity(HEAD + payload.len());
        bytes.extend_from_slice(MAGIC);
        bytes.extend_from_slice(&FORMAT.to_le_bytes());
        bytes.extend_from_slice(&(payload.len() as u64).to_le_bytes());
        bytes.extend_from_slice(&crc32fast::hash(&payload).to_le_bytes());
        bytes.extend_from_slice(&payload);
        bytes
    }

    /// The snapshot that these bytes are.
    ///
    /// # Errors
    ///
    /// Says why they can't be used; nothing of them is.
    pub fn decode(bytes: &[u8]) -> Result<Snapshot, SnapshotError> {
        let head = bytes.get(..HEAD).ok_or(SnapshotError::NotASnapshot)?;
        if &head[..6] != MAGIC {
            return Err(SnapshotError::NotASnapshot);
        }
        let version = u16::from_le_bytes([head[6], head[7]]);
        if version != FORMAT {
            return Err(SnapshotError::Version(version));
        }
        let number = |at: usize| u64::from_le_bytes(std::array::from_fn(|n| head[at + n]));
        let payload = &bytes[HEAD..];
        let (stated, found) = (number(8), payload.len() as u64);
        if stated != found {
            return Err(SnapshotError::Length(stated, found));
        }
        let sum = u32::from_le_bytes([head[16], head[17], head[18], head[19]]);
        if crc32fast::hash(payload) != sum {
            return Err(SnapshotError::Checksum);
        }
        let payload: Payload =
            postcard::from_bytes(payload).map_err(|e| SnapshotError::Payload(e.to_string()))?;
        let record = |stored: Stored| {
            let fate = match (stored.result, stored.sent) {
                (Some(result), _) => Resolution::Served(Bytes::from(result)),
                (None, Some((place, first, last, times))) => Resolution::MayHaveRun(SentAttempts {
                    place,
                    first_at: Time(first),
                    last_at: Time(last),
                    count: times,
                }),
                (None, None) => Resolution::NeverRan,
            };
            Record {
                member: Member(stored.member),
                class: stored.class,
                key: stored.key,
                fingerprint: Fingerprint(stored.print),
                resolved_at: Time(stored.at),
                resolution: fate,
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

    /// The records with another process's numbers put in place of this one's, by the names. A record
    /// whose class or member has no number any more is left out; a place whose zone has none is forgotten.
    pub fn renumbered(
        self,
        class: impl Fn(&str) -> Option<u32>,
        member: impl Fn(&str) -> Option<u32>,
        zone: impl Fn(&str) -> Option<u32>,
    ) -> Vec<Record> {
        let name = |names: &[String], number: u32| names.get(number as usize).cloned();
        let Names { members, classes, zones } = self.names;
        let moved = |mut record: Record| {
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
        self.records.into_iter().filter_map(moved).collect()
    }
}
