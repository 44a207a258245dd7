//! The store in a file, on redb: a copy-on-write tree whose commits are whole or not there. It owns the
//! tables and the form of a value: four bytes of CRC-32 of the job's number and the rest, then the job's
//! record, compressed by LZ4 with its length before it. redb looks at its pages' checksums only when it is
//! asked to (turned bits showed a job under another's number), so a load asks. In a damaged file redb may
//! also panic (a length in its own bookkeeping that leads outside the
//! file, found by turning bits): every call into it is fenced, and a panic becomes an error.

use crate::{JobStore, StoreContents, StoreError};
use redb::{
    Database, DatabaseError, ReadableDatabase, ReadableTable, ReadableTableMetadata, StorageError,
    TableDefinition,
};
use sablerun_ledger::{Change, Job, JobId};
use std::io::ErrorKind;
use std::panic::{AssertUnwindSafe, catch_unwind};
use std::path::{Path, PathBuf};

/// The schema that this program writes.
pub const SCHEMA: u64 = 1;

const JOBS: TableDefinition<u64, &[u8]> = TableDefinition::new("jobs");
/// Members' and classes' names: numbers of the settings change with their order, these never.
const NAMES: TableDefinition<&str, u32> = TableDefinition::new("names");
const FACTS: TableDefinition<&str, u64> = TableDefinition::new("facts");

/// The store.
pub struct DiskStore {
    /// Empty only while it is dropped.
    database: Option<Database>,
    file: PathBuf,
    /// As the file has it.
    next: u64,
}

fn any(error: impl Into<redb::Error>) -> StoreError {
    match error.into() {
        redb::Error::Io(e) if e.kind() == ErrorKind::StorageFull => StoreError::DiskFull,
        redb::Error::Corrupted(why) => StoreError::InvalidFile(why),
        other => StoreError::Io(other.to_string()),
    }
}

/// Calls into redb. After a panic the store is not used any more: its callers open it anew or end.
fn fenced<T>(call: impl FnOnce() -> Result<T, StoreError>) -> Result<T, StoreError> {
    let damaged = "the file is damaged beyond what can be read; restore it from a copy";
    catch_unwind(AssertUnwindSafe(call)).unwrap_or_else(|_| Err(StoreError::InvalidFile(damaged.to_owned())))
}

impl DiskStore {
    /// Opens a file, or makes it.
    ///
    /// # Errors
    ///
    /// If another process has it open, or it is no store that this program knows.
    pub fn open(file: &Path) -> Result<DiskStore, StoreError> {
        fenced(|| DiskStore::open_unfenced(file))
    }

    fn open_unfenced(file: &Path) -> Result<DiskStore, StoreError> {
        let database = Database::create(file).map_err(|e| match e {
            DatabaseError::DatabaseAlreadyOpen => StoreError::Locked(file.display().to_string()),
            DatabaseError::Storage(StorageError::Io(e)) if e.kind() == ErrorKind::InvalidData => {
                StoreError::InvalidFile(format!("{}: {e}", file.display()))
            }
            DatabaseError::Storage(e) => any(e),
            other => StoreError::InvalidFile(format!("{}: {other}", file.display())),
        })?;
        let mut disk = DiskStore { database: Some(database), file: file.to_owned(), next: 1 };
        disk.settle_schema()?;
        Ok(disk)
    }

    fn database(&self) -> Result<&Database, StoreError> {
        self.database.as_ref().ok_or_else(|| StoreError::InvalidFile("closed".to_owned()))
    }

    fn settle_schema(&mut self) -> Result<(), StoreError> {
        let write = self.database()?.begin_write().map_err(any)?;
        {
            let mut facts = write.open_table(FACTS).map_err(any)?;
            let schema = facts.get("schema").map_err(any)?.map(|fact| fact.value());
            match schema {
                None => {
                    facts.insert("schema", SCHEMA).map_err(any)?;
                }
                Some(SCHEMA) => {}
                Some(other) => return Err(StoreError::UnsupportedSchema(other)),
            }
            self.next = facts.get("next").map_err(any)?.map_or(1, |fact| fact.value());
            write.open_table(JOBS).map_err(any)?;
            write.open_table(NAMES).map_err(any)?;
        }
        write.commit().map_err(any)
    }

    /// The numbers that stand for these names here, new ones for new names.
    ///
    /// # Errors
    ///
    /// If new ones could not be made durable.
    pub fn numbers_for(&mut self, names: &[&str]) -> Result<Vec<u32>, StoreError> {
        fenced(|| {
            let write = self.database()?.begin_write().map_err(any)?;
            let mut numbers = Vec::with_capacity(names.len());
            {
                let mut table = write.open_table(NAMES).map_err(any)?;
                for name in names {
                    let known = table.get(name).map_err(any)?.map(|number| number.value());
                    let number = match known {
                        Some(number) => number,
                        None => {
                            let next = u32::try_from(table.len().map_err(any)?).unwrap_or(u32::MAX);
                            table.insert(name, next).map_err(any)?;
                            next
                        }
                    };
                    numbers.push(number);
                }
            }
            write.commit().map_err(any)?;
            Ok(numbers)
        })
    }
}

impl Drop for DiskStore {
    /// Closing writes redb's bookkeeping, which in a damaged file may panic too. What was committed is
    /// durable already.
    fn drop(&mut self) {
        let database = self.database.take();
        let closed = fenced(|| {
            drop(database);
            Ok(())
        });
        if let Err(e) = closed {
            log::error!("jobs: {}: {e}", self.file.display());
        }
    }
}

impl JobStore for DiskStore {
    fn load(&mut self) -> Result<StoreContents, StoreError> {
        fenced(|| self.load_unfenced())
    }

    fn commit(&mut self, changes: &[Change]) -> Result<(), StoreError> {
        fenced(|| self.commit_unfenced(changes))
    }

    fn size(&self) -> u64 {
        std::fs::metadata(&self.file).map_or(0, |meta| meta.len())
    }
}

impl DiskStore {
    fn load_unfenced(&mut self) -> Result<StoreContents, StoreError> {
        let file = self.file.display().to_string();
        let database = self.database.as_mut().ok_or_else(|| StoreError::InvalidFile("closed".to_owned()))?;
        if !database.check_integrity().map_err(any)? {
            return Err(StoreError::InvalidFile(format!("{file}: damaged; restore it from a copy")));
        }
        let read = self.database()?.begin_read().map_err(any)?;
        let table = read.open_table(JOBS).map_err(any)?;
        let mut jobs = Vec::new();
        for entry in table.iter().map_err(any)? {
            let (id, value) = entry.map_err(any)?;
            let id = JobId(id.value());
            jobs.push(unpack(id, value.value())?);
        }
        let table = read.open_table(NAMES).map_err(any)?;
        let mut names = vec![String::new(); usize::try_from(table.len().map_err(any)?).unwrap_or(0)];
        for entry in table.iter().map_err(any)? {
            let (name, number) = entry.map_err(any)?;
            let (name, number) = (name.value().to_owned(), number.value() as usize);
            let Some(place) = names.get_mut(number) else {
                return Err(StoreError::InvalidFile(format!("the name {name} has number {number}")));
            };
            *place = name;
        }
        Ok(StoreContents { next_id: self.next, jobs, names })
    }

    fn commit_unfenced(&mut self, changes: &[Change]) -> Result<(), StoreError> {
        let write = self.database()?.begin_write().map_err(any)?;
        let mut next = self.next;
        {
            let mut jobs = write.open_table(JOBS).map_err(any)?;
            for change in changes {
                match change {
                    Change::Put(job) => {
                        next = next.max(job.id.0 + 1);
                        jobs.insert(job.id.0, pack(job).as_slice()).map_err(any)?;
                    }
                    Change::Delete(id) => {
                        jobs.remove(id.0).map_err(any)?;
                    }
                }
            }
            if next != self.next {
                write.open_table(FACTS).map_err(any)?.insert("next", next).map_err(any)?;
            }
        }
        // redb's default durability: the commit returns once the file is synced.
        write.commit().map_err(any)?;
        self.next = next;
        Ok(())
    }
}

fn sum(id: JobId, packed: &[u8]) -> u32 {
    let mut hasher = crc32fast::Hasher::new();
    hasher.update(&id.0.to_le_bytes());
    hasher.update(packed);
    hasher.finalize()
}

fn pack(job: &Job) -> Vec<u8> {
    let packed = lz4_flex::compress_prepend_size(&job.encode());
    let mut value = sum(job.id, &packed).to_le_bytes().to_vec();
    value.extend(packed);
    value
}

fn unpack(id: JobId, value: &[u8]) -> Result<Job, StoreError> {
    let damaged = |why: &str| StoreError::Damaged(id, why.to_owned());
    let (sum, packed) = value.split_first_chunk::<4>().ok_or_else(|| damaged("cut short"))?;
    if self::sum(id, packed) != u32::from_le_bytes(*sum) {
        return Err(damaged("the checksum does not match"));
    }
    let record = lz4_flex::decompress_size_prepended(packed).map_err(|e| damaged(&e.to_string()))?;
    Job::decode(id, &record).map_err(|e| StoreError::record(id, &e))
}
