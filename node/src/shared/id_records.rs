//! Records of open request ids in the shared file. They outlast a process that is killed: its requests may still be
//! at runners, under their ids, until their deadlines.

use super::SharedFile;
use super::file::MAX_PROCESSES;
use std::io;

/// Rows that may be an id's own row. Some more follow, in which the last ones' records may be.
const ROWS: usize = 1024;
/// Rows that are searched from an id's own row on.
const SEARCHED_ROWS: usize = 8;
/// Where the table begins in the file: behind its header.
const TABLE_OFFSET: usize = 4096;
const FIELD_BYTES: usize = 8;
const RECORD_BYTES: usize = 3 * FIELD_BYTES;
const ROW_BYTES: usize = MAX_PROCESSES * RECORD_BYTES;

/// The record of an open id.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(super) struct IdRecord {
    /// The id's hash; 0 for an empty record.
    pub id_hash: u64,
    /// The hash of the client's key with its class and member; 0 without a key.
    pub key_hash: u64,
    /// When the id is free even if nobody releases it, as Unix time in milliseconds.
    pub expires_ms: u64,
}

impl IdRecord {
    fn decode(bytes: &[u8]) -> IdRecord {
        let field = |number: usize| {
            let bytes = &bytes[number * FIELD_BYTES..][..FIELD_BYTES];
            u64::from_le_bytes(bytes.try_into().expect("of this length"))
        };
        IdRecord { id_hash: field(0), key_hash: field(1), expires_ms: field(2) }
    }

    fn encode(self) -> [u8; RECORD_BYTES] {
        let mut bytes = [0; RECORD_BYTES];
        for (number, field) in [self.id_hash, self.key_hash, self.expires_ms].into_iter().enumerate() {
            bytes[number * FIELD_BYTES..][..FIELD_BYTES].copy_from_slice(&field.to_le_bytes());
        }
        bytes
    }
}

/// Where a record is in the file.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct RecordOffset(u64);

/// What the table has for an id.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct Found {
    /// A record of the id that has not expired.
    pub record: Option<IdRecord>,
    /// A place for this process's record of it.
    pub free: Option<RecordOffset>,
}

/// Looks for an id in the records of all processes.
pub(super) fn find(file: &SharedFile, id_hash: u64, now_ms: u64) -> Found {
    let offset = TABLE_OFFSET + id_hash as usize % ROWS * ROW_BYTES;
    let mut rows = [0; SEARCHED_ROWS * ROW_BYTES];
    file.read_at(&mut rows, offset as u64);
    let mut found = Found::default();
    for (number, bytes) in rows.chunks_exact(RECORD_BYTES).enumerate() {
        let record = IdRecord::decode(bytes);
        let in_use = record.id_hash != 0 && record.expires_ms > now_ms;
        if in_use && record.id_hash == id_hash {
            found.record = Some(record);
        }
        let is_own = number % MAX_PROCESSES == file.place();
        if !in_use && is_own && found.free.is_none() {
            found.free = Some(RecordOffset((offset + number * RECORD_BYTES) as u64));
        }
    }
    found
}

/// Writes a record.
pub(super) fn write(file: &SharedFile, offset: RecordOffset, record: IdRecord) -> io::Result<()> {
    file.write_at(&record.encode(), offset.0)
}
