//! Compares the storage engines redb and fjall on the disk of this machine. Prints synced commits per second
//! with 1, 16 and 256 records per commit, bytes on disk per record, and the time to reopen the file and read
//! all records.
//!
//! Run with `cargo bench -p sablerun-store`. STORE_BENCH_FOLDER sets the folder for the files.

use redb::{ReadableDatabase, ReadableTable};
use std::path::Path;
use std::time::{Duration, Instant};

const RECORD_BYTES: usize = 400;
const DURATION: Duration = Duration::from_secs(2);

trait Engine {
    fn commit(&mut self, records: &[(u64, Vec<u8>)]);
    fn read_all(self: Box<Self>, folder: &Path) -> usize;
}

const JOBS: redb::TableDefinition<u64, &[u8]> = redb::TableDefinition::new("jobs");

struct Redb(redb::Database);

impl Engine for Redb {
    fn commit(&mut self, records: &[(u64, Vec<u8>)]) {
        let write = self.0.begin_write().unwrap();
        {
            let mut table = write.open_table(JOBS).unwrap();
            for (id, record) in records {
                table.insert(id, record.as_slice()).unwrap();
            }
        }
        write.commit().unwrap();
    }

    fn read_all(self: Box<Self>, folder: &Path) -> usize {
        drop(self);
        let database = redb::Database::open(folder.join("redb")).unwrap();
        let read = database.begin_read().unwrap();
        read.open_table(JOBS).unwrap().iter().unwrap().map(|entry| entry.unwrap().1.value().len()).sum()
    }
}

struct Fjall(fjall::Keyspace, fjall::PartitionHandle);

impl Fjall {
    fn open(folder: &Path) -> Fjall {
        let keyspace = fjall::Config::new(folder).open().unwrap();
        let jobs = keyspace.open_partition("jobs", fjall::PartitionCreateOptions::default()).unwrap();
        Fjall(keyspace, jobs)
    }
}

impl Engine for Fjall {
    fn commit(&mut self, records: &[(u64, Vec<u8>)]) {
        let mut batch = self.0.batch();
        for (id, record) in records {
            batch.insert(&self.1, id.to_be_bytes(), record.as_slice());
        }
        batch.commit().unwrap();
        self.0.persist(fjall::PersistMode::SyncAll).unwrap();
    }

    fn read_all(self: Box<Self>, folder: &Path) -> usize {
        drop(self);
        let fjall = Fjall::open(&folder.join("fjall"));
        fjall.1.iter().map(|entry| entry.unwrap().1.len()).sum()
    }
}

fn size(path: &Path) -> u64 {
    let Ok(meta) = std::fs::metadata(path) else { return 0 };
    if !meta.is_dir() {
        return meta.len();
    }
    std::fs::read_dir(path).unwrap().flatten().map(|entry| size(&entry.path())).sum()
}

fn main() {
    let base = std::env::var_os("STORE_BENCH_FOLDER").map_or_else(std::env::temp_dir, Into::into);
    println!(
        "{:<6} {:>9} {:>12} {:>12} {:>14} {:>10}",
        "engine", "a commit", "commits/s", "records/s", "bytes a record", "reopen ms"
    );
    for batch in [1, 16, 256] {
        for name in ["redb", "fjall"] {
            let folder = tempfile::tempdir_in(&base).unwrap();
            let mut engine: Box<dyn Engine> = match name {
                "redb" => Box::new(Redb(redb::Database::create(folder.path().join("redb")).unwrap())),
                _ => Box::new(Fjall::open(&folder.path().join("fjall"))),
            };
            let mut rng = fastrand::Rng::with_seed(7);
            let (mut id, mut commits, begun) = (0, 0, Instant::now());
            while begun.elapsed() < DURATION {
                let records: Vec<_> = (0..batch)
                    .map(|_| {
                        id += 1;
                        // Half of the bytes are repetitive, as in typical jobs.
                        let record = (0..RECORD_BYTES).map(|n| if n % 2 == 0 { b'j' } else { rng.u8(..) });
                        (id, record.collect())
                    })
                    .collect();
                engine.commit(&records);
                commits += 1;
            }
            let rate = f64::from(commits) / begun.elapsed().as_secs_f64();
            let opened = Instant::now();
            let read = engine.read_all(folder.path());
            assert_eq!(read, id as usize * RECORD_BYTES);
            let (reopen_ms, record_bytes) =
                (opened.elapsed().as_secs_f64() * 1e3, size(folder.path()) as f64 / id as f64);
            println!(
                "{name:<6} {batch:>9} {rate:>12.0} {:>12.0} {record_bytes:>14.0} {reopen_ms:>10.1}",
                rate * f64::from(batch)
            );
        }
    }
}
