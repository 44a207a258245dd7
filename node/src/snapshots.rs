//! Snapshots of the idempotency keys on disk. A snapshot is written to a temporary file, synced and renamed,
//! so that a kill at any moment leaves either the previous one or the new one. While the dispatcher serves,
//! only a separate thread writes snapshots, so that the disk never blocks the serving thread. A damaged file
//! is not used, but renamed to `FILE.refused`.

use crate::operator::SnapshotFile;
use crate::runtime::Runtime;
use sablerun as sr;
use sablerun_keys::{self as keys, Names, Snapshot};
use std::fs::{File, OpenOptions};
use std::io::{self, Write};
use std::path::{Path, PathBuf};
use std::rc::Rc;
use std::sync::mpsc::{Receiver, SyncSender, TrySendError, sync_channel};
use std::thread::JoinHandle;
use std::time::Duration;

/// A snapshot file, locked by this process.
pub struct LockedSnapshot {
    file: PathBuf,
    /// Time between two snapshots.
    interval: Duration,
    /// Keeps the lock while the process may write.
    _lock: File,
}

impl LockedSnapshot {
    /// Locks the file for this process.
    ///
    /// # Errors
    ///
    /// States why it can't be used, and what to do.
    pub fn lock(config: &SnapshotFile) -> Result<LockedSnapshot, String> {
        let lock = sibling(&config.file, "lock");
        let open = OpenOptions::new().create(true).truncate(false).write(true).open(&lock);
        let lock_file = open.map_err(|e| {
            format!("keys.snapshot.file: {}: {e}; the folder must exist and be writable", lock.display())
        })?;
        lock_file.try_lock().map_err(|e| {
            format!(
                "keys.snapshot.file: {}: {e}; another dispatcher uses it: name another file",
                lock.display()
            )
        })?;
        Ok(LockedSnapshot {
            file: config.file.clone(),
            interval: Duration::from_secs_f64(config.every_s),
            _lock: lock_file,
        })
    }

    /// Reads a predecessor's snapshot; `None` if there is none, or none that can be used.
    pub fn read(&self) -> Option<Snapshot> {
        let bytes = match std::fs::read(&self.file) {
            Ok(bytes) => bytes,
            Err(e) if e.kind() == io::ErrorKind::NotFound => return None,
            Err(e) => {
                log::error!("keys: {}: {e}: starting without the snapshot", self.file.display());
                return None;
            }
        };
        match Snapshot::decode(&bytes) {
            Ok(snapshot) => Some(snapshot),
            Err(e) => {
                let aside = sibling(&self.file, "refused");
                let moved = std::fs::rename(&self.file, &aside).map_err(|e| e.to_string());
                let (file, moved) = (self.file.display(), moved.err().unwrap_or_default());
                log::error!(
                    "keys: {file}: {e}: starting without the snapshot; moved to {} {moved}",
                    aside.display()
                );
                None
            }
        }
    }

    /// Writes a snapshot completely, or leaves the previous one.
    ///
    /// # Errors
    ///
    /// The I/O error.
    pub fn write(&self, snapshot: &Snapshot) -> Result<usize, String> {
        write_atomically(&self.file, &snapshot.encode()).map_err(|e| format!("{}: {e}", self.file.display()))
    }
}

fn sibling(file: &Path, ending: &str) -> PathBuf {
    let mut name = file.file_name().unwrap_or_default().to_owned();
    name.push(".");
    name.push(ending);
    file.with_file_name(name)
}

fn write_atomically(file: &Path, bytes: &[u8]) -> io::Result<usize> {
    let draft = sibling(file, "tmp");
    let mut out = File::create(&draft)?;
    out.write_all(bytes)?;
    // Before the rename: otherwise a power cut may leave the file with data that was never written.
    out.sync_all()?;
    std::fs::rename(&draft, file)?;
    let folder = file.parent().filter(|folder| !folder.as_os_str().is_empty()).unwrap_or(Path::new("."));
    File::open(folder)?.sync_all()?;
    Ok(bytes.len())
}

/// Takes a snapshot of the dispatcher's keys. `last`: the dispatcher has answered everything and sends
/// nothing any more.
pub fn capture(runtime: &Runtime, last: bool) -> Option<Snapshot> {
    let taken_at = runtime.clock.now();
    let (records, rejects_unknown) = runtime.with_keys(|core, store| {
        (store.records(taken_at, |run| core.sent(run)), store.rejects_unknown_retries(taken_at))
    })?;
    // While it is unknown what the predecessor sent, the snapshot is incomplete for the successor too.
    let clean_shutdown = last && !rejects_unknown;
    let names = runtime.with_tables(|tables| Names {
        members: tables.tenants.all().to_vec(),
        classes: tables.classes.all().to_vec(),
        zones: tables.zones.all().to_vec(),
    });
    Some(Snapshot { taken_at, clean_shutdown, names, records })
}

/// Writes snapshots on a separate thread.
pub struct Writer {
    queue: SyncSender<Snapshot>,
    thread: JoinHandle<()>,
    interval: Duration,
}

impl Writer {
    pub fn start(file: LockedSnapshot) -> Writer {
        // One is written while the next is made. If the disk is slower than that, snapshots are skipped.
        let (queue, snapshots) = sync_channel(1);
        let interval = file.interval;
        let thread = std::thread::spawn(move || write_queued(&file, &snapshots));
        Writer { queue, thread, interval }
    }

    /// Makes a snapshot once per interval; never returns.
    pub async fn write_periodically(&self, runtime: &Rc<Runtime>) {
        let mut skipped = 0u64;
        loop {
            tokio::time::sleep(self.interval).await;
            let Some(snapshot) = capture(runtime, false) else { continue };
            match self.queue.try_send(snapshot) {
                Ok(()) => skipped = 0,
                Err(TrySendError::Full(_) | TrySendError::Disconnected(_)) => {
                    skipped += 1;
                    if skipped.is_power_of_two() {
                        log::warn!("keys: snapshots take too long: {skipped} skipped in a row");
                    }
                }
            }
        }
    }

    /// Writes the last snapshot and waits for it.
    pub fn finish(self, snapshot: Option<Snapshot>) {
        if let Some(snapshot) = snapshot {
            let _ = self.queue.send(snapshot);
        }
        drop(self.queue);
        let _ = self.thread.join();
    }
}

fn write_queued(file: &LockedSnapshot, snapshots: &Receiver<Snapshot>) {
    let mut failing = false;
    for snapshot in snapshots {
        match file.write(&snapshot) {
            Ok(bytes) => {
                if std::mem::take(&mut failing) {
                    log::info!("keys: snapshots are written again");
                }
                log::debug!("keys: snapshot of {} keys, {bytes} bytes", snapshot.records.len());
            }
            Err(e) => {
                if !std::mem::replace(&mut failing, true) {
                    log::error!("keys: snapshot not written, the previous one stays: {e}");
                }
            }
        }
    }
}

/// Restores a predecessor's keys into the store. Without a snapshot from an orderly shutdown, marked
/// retries under unknown keys fail for the time that `doubt_periods` gives for their class, since the
/// predecessor may have sent their first tries.
pub fn restore(
    mut store: keys::Store,
    doubt_periods: &[sr::Span],
    tables: &sablerun_settings::Tables,
    file: Option<&LockedSnapshot>,
    now: sr::Time,
) -> keys::Store {
    let snapshot = file.and_then(LockedSnapshot::read);
    let clean = snapshot.as_ref().is_some_and(|snapshot| snapshot.clean_shutdown);
    if !clean {
        for (class, period) in doubt_periods.iter().enumerate() {
            store.reject_unknown_retries_until(class as u32, now + *period);
        }
    }
    if let Some(snapshot) = snapshot {
        let (age, all) = ((now - snapshot.taken_at).secs(), snapshot.records.len());
        let names = (|n: &str| tables.classes.get(n), |n: &str| tables.tenants.get(n));
        let records = snapshot.renumbered(names.0, names.1, |n| tables.zones.get(n));
        let taken = store.restore(now, records);
        log::info!(
            keys = all, taken = taken, age_s = age, whole = clean;
            "keys: restored from the predecessor's snapshot"
        );
    }
    store
}
