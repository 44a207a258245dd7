//! The store in a file, on redb (a copy-on-write B-tree with atomic commits).
//!
//! A value is the CRC-32 of the job id and the rest (4 bytes), then the job's record, compressed with LZ4 and
//! preceded by its length. redb verifies the checksums of its pages only on request, and with flipped bits a
//! job appeared under the id of another, so every load requests it. With a damaged file redb may also panic
//! (flipped bits made a length in its metadata point outside the file), so the panics of all calls into redb
//! are converted to errors.

use crate::{JobStore, StoreContents, StoreError};
use redb::{
    Database, DatabaseError, ReadableDatabase, ReadableTable, ReadableTableMetadata, StorageError,
    TableDefinition,
};
use sablerun_ledger::{Change, Job, JobId};
use std::io::ErrorKind;
use std::panic::{AssertUnwindSafe, catch_unwind};
use std::path::{Path, PathBuf};

/// The schema version that this program writes.
pub const SCHEMA: u64 = 1;

const JOBS: TableDefinition<u64, &[u8]> = TableDefinition::new("jobs");
/// Numbers of members and classes by name. Unlike numbers in the settings, which follow the order there, they
/// never change.
const NAMES: TableDefinition<&str, u32> = TableDefinition::new("names");
/// The schema version and the next job id.
const META: TableDefinition<&str, u64> = TableDefinition::new("facts");

/// A store in a file.
pub struct DiskStore {
    /// `None` only during drop.
    database: Option<Database>,
    file: PathBuf,
    /// The next job id as stored in the file.
    next_id: u64,
}

/// Converts a redb error.
fn store_error(error: impl Into<redb::Error>) -> StoreError {
    match error.into() {
        redb::Error::Io(e) if e.kind() == ErrorKind::StorageFull => StoreError::DiskFull,
        redb::Error::Corrupted(why) => StoreError::InvalidFile(why),
        other => StoreError::Io(other.to_string()),
    }
}

/// Runs a call into redb and converts a panic to an error. After a panic the caller must not use the store
/// again.
fn catch_panic<T>(call: impl FnOnce() -> Result<T, StoreError>) -> Result<T, StoreError> {
    let damaged = "the file is damaged beyond what can be read; restore it from a copy";
    catch_unwind(AssertUnwindSafe(call)).unwrap_or_else(|_| Err(StoreError::InvalidFile(damaged.to_owned())))
}

impl DiskStore {
    /// Opens a store, or creates it.
    ///
    /// # Errors
    ///
    /// Another process has the file open, or it is not a store of a supported schema.
    pub fn open(file: &Path) -> Result<DiskStore, StoreError> {
        catch_panic(|| DiskStore::open_inner(file))
    }

    fn open_inner(file: &Path) -> Result<DiskStore, StoreError> {
        let database = Database::create(file).map_err(|e| match e {
            DatabaseError::DatabaseAlreadyOpen => StoreError::Locked(file.display().to_string()),
            DatabaseError::Storage(StorageError::Io(e)) if e.kind() == ErrorKind::InvalidData => {
                StoreError::InvalidFile(format!("{}: {e}", file.display()))
            }
            DatabaseError::Storage(e) => store_error(e),
            other => StoreError::InvalidFile(format!("{}: {other}", file.display())),
        })?;
        let mut disk = DiskStore { database: Some(database), file: file.to_owned(), next_id: 1 };
        disk.check_schema()?;
        Ok(disk)
    }

    fn database(&self) -> Result<&Database, StoreError> {
        self.database.as_ref().ok_or_else(|| StoreError::InvalidFile("closed".to_owned()))
    }

    fn check_schema(&mut self) -> Result<(), StoreError> {
        let write = self.database()?.begin_write().map_err(store_error)?;
        {
            let mut meta = write.open_table(META).map_err(store_error)?;
            let schema = meta.get("schema").map_err(store_error)?.map(|entry| entry.value());
            match schema {
                None => {
                    meta.insert("schema", SCHEMA).map_err(store_error)?;
                }
                Some(SCHEMA) => {}
                Some(other) => return Err(StoreError::UnsupportedSchema(other)),
            }
            self.next_id = meta.get("next").map_err(store_error)?.map_or(1, |entry| entry.value());
            write.open_table(JOBS).map_err(store_error)?;
            write.open_table(NAMES).map_err(store_error)?;
        }
        write.commit().map_err(store_error)
    }

    /// Returns the numbers of these names; assigns new numbers to new names.
    ///
    /// # Errors
    ///
    /// New numbers could not be made durable.
    pub fn numbers_for(&mut self, names: &[&str]) -> Result<Vec<u32>, StoreError> {
        catch_panic(|| {
            let write = self.database()?.begin_write().map_err(store_error)?;
            let mut numbers = Vec::with_capacity(names.len());
            {
                let mut table = write.open_table(NAMES).map_err(store_error)?;
                for name in names {
                    let known = table.get(name).map_err(store_error)?.map(|number| number.value());
                    let number = match known {
                        Some(number) => number,
                        None => {
                            let next = u32::try_from(table.len().map_err(store_error)?).unwrap_or(u32::MAX);
                            table.insert(name, next).map_err(store_error)?;
                            next
                        }
                    };
                    numbers.push(number);
                }
            }
            write.commit().map_err(store_error)?;
            Ok(numbers)
        })
    }
}

impl Drop for DiskStore {
    /// Closing writes redb's metadata and may panic if the file is damaged. Commits are already durable.
    fn drop(&mut self) {
        let database = self.database.take();
        let result = catch_panic(|| {
            drop(database);
            Ok(())
        });
        if let Err(e) = result {
            log::error!("jobs: {}: {e}", self.file.display());
        }
    }
}

impl JobStore for DiskStore {
    fn load(&mut self) -> Result<StoreContents, StoreError> {
        catch_panic(|| self.load_inner())
    }

    fn commit(&mut self, changes: &[Change]) -> Result<(), StoreError> {
        catch_panic(|| self.commit_inner(changes))
    }

    fn size(&self) -> u64 {
        std::fs::metadata(&self.file).map_or(0, |meta| meta.len())
    }
}

impl DiskStore {
    fn load_inner(&mut self) -> Result<StoreContents, StoreError> {
        let file = self.file.display().to_string();
        let database = self.database.as_mut().ok_or_else(|| StoreError::InvalidFile("closed".to_owned()))?;
        if !database.check_integrity().map_err(store_error)? {
            return Err(StoreError::InvalidFile(format!("{file}: damaged; restore it from a copy")));
        }
        let read = self.database()?.begin_read().map_err(store_error)?;
        let table = read.open_table(JOBS).map_err(store_error)?;
        let mut jobs = Vec::new();
        for entry in table.iter().map_err(store_error)? {
            let (id, value) = entry.map_err(store_error)?;
            let id = JobId(id.value());
            jobs.push(decode_value(id, value.value())?);
        }
        let table = read.open_table(NAMES).map_err(store_error)?;
        let mut names = vec![String::new(); usize::try_from(table.len().map_err(store_error)?).unwrap_or(0)];
        for entry in table.iter().map_err(store_error)? {
            let (name, number) = entry.map_err(store_error)?;
            let (name, number) = (name.value().to_owned(), number.value() as usize);
            let Some(slot) = names.get_mut(number) else {
                return Err(StoreError::InvalidFile(format!(
                    "the name {name} has number {number}, which is out of range"
                )));
            };
            *slot = name;
        }
        Ok(StoreContents { next_id: self.next_id, jobs, names })
    }

    fn commit_inner(&mut self, changes: &[Change]) -> Result<(), StoreError> {
        let write = self.database()?.begin_write().map_err(store_error)?;
        let mut next_id = self.next_id;
        {
            let mut jobs = write.open_table(JOBS).map_err(store_error)?;
            for change in changes {
                match change {
                    Change::Put(job) => {
                        next_id = next_id.max(job.id.0 + 1);
                        jobs.insert(job.id.0, encode_value(job).as_slice()).map_err(store_error)?;
                    }
                    Change::Delete(id) => {
                        jobs.remove(id.0).map_err(store_error)?;
                    }
                }
            }
            if next_id != self.next_id {
                write.open_table(META).map_err(store_error)?.insert("next", next_id).map_err(store_error)?;
            }
        }
        // With redb's default durability the commit returns after the file is synced.
        write.commit().map_err(store_error)?;
        self.next_id = next_id;
        Ok(())
    }
}

fn checksum(id: JobId, compressed: &[u8]) -> u32 {
    let mut hasher = crc32fast::Hasher::new();
    hasher.update(&id.0.to_le_bytes());
    hasher.update(compressed);
    hasher.finalize()
}

fn encode_value(job: &Job) -> Vec<u8> {
    let compressed = lz4_flex::compress_prepend_size(&job.encode());
    let mut value = checksum(job.id, &compressed).to_le_bytes().to_vec();
    value.extend(compressed);
    value
}

fn decode_value(id: JobId, value: &[u8]) -> Result<Job, StoreError> {
    let damaged = |why: &str| StoreError::Damaged(id, why.to_owned());
    let (stored_checksum, compressed) = value.split_first_chunk::<4>().ok_or_else(|| damaged("cut short"))?;
    if self::checksum(id, compressed) != u32::from_le_bytes(*stored_checksum) {
        return Err(damaged("the checksum does not match"));
    }
    let record = lz4_flex::decompress_size_prepended(compressed).map_err(|e| damaged(&e.to_string()))?;
    Job::decode(id, &record).map_err(|e| StoreError::damaged_record(id, &e))
}
