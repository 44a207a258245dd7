//! The keys' snapshot on disk. It owns the file, its lock and the thread that writes: a snapshot is
//! written whole to a file beside it, synced, and put in its place by a rename, so that a kill at any
//! moment leaves the one before or the new one. It must never block the dispatcher's thread on the disk
//! while it serves, nor use a file that is damaged: that is set aside under `FILE.refused`.

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

/// A snapshot's file, locked by this process.
pub struct Place {
    file: PathBuf,
    every: Duration,
    /// Held as long as the process may write.
    _lock: File,
}

impl Place {
    /// Takes the file for this process.
    ///
    /// # Errors
    ///
    /// Says why it can't be used, and what to do.
    pub fn take(at: &SnapshotFile) -> Result<Place, String> {
        let lock = beside(&at.file, "lock");
        let open = OpenOptions::new().create(true).truncate(false).write(true).open(&lock);
        let held = open.map_err(|e| {
            format!("keys.snapshot.file: {}: {e}; the folder must exist and be writable", lock.display())
        })?;
        held.try_lock().map_err(|e| {
            format!(
                "keys.snapshot.file: {}: {e}; another dispatcher uses it: name another file",
                lock.display()
            )
        })?;
        Ok(Place { file: at.file.clone(), every: Duration::from_secs_f64(at.every_s), _lock: held })
    }

    /// What a predecessor left; `None` if there is nothing, or nothing that can be used.
    pub fn read(&self) -> Option<Snapshot> {
        let bytes = match std::fs::read(&self.file) {
            Ok(bytes) => bytes,
            Err(e) if e.kind() == io::ErrorKind::NotFound => return None,
            Err(e) => {
                log::error!("keys: {}: {e}: starts without", self.file.display());
                return None;
            }
        };
        match Snapshot::decode(&bytes) {
            Ok(snapshot) => Some(snapshot),
            Err(e) => {
                let aside = beside(&self.file, "refused");
                let moved = std::fs::rename(&self.file, &aside).map_err(|e| e.to_string());
                let (file, moved) = (self.file.display(), moved.err().unwrap_or_default());
                log::error!("keys: {file}: {e}: starts without; set aside as {} {moved}", aside.display());
                None
            }
        }
    }

    /// Writes a snapshot whole, or leaves the one before.
    ///
    /// # Errors
    ///
    /// Says what the disk said.
    pub fn write(&self, snapshot: &Snapshot) -> Result<usize, String> {
        write_whole(&self.file, &snapshot.encode()).map_err(|e| format!("{}: {e}", self.file.display()))
    }
}

fn beside(file: &Path, ending: &str) -> PathBuf {
    let mut name = file.file_name().unwrap_or_default().to_owned();
    name.push(".");
    name.push(ending);
    file.with_file_name(name)
}

fn write_whole(file: &Path, bytes: &[u8]) -> io::Result<usize> {
    let draft = beside(file, "tmp");
    let mut out = File::create(&draft)?;
    out.write_all(bytes)?;
    // Before the rename: else a power cut may leave the new name on bytes that never arrived.
    out.sync_all()?;
    std::fs::rename(&draft, file)?;
    let folder = file.parent().filter(|folder| !folder.as_os_str().is_empty()).unwrap_or(Path::new("."));
    File::open(folder)?.sync_all()?;
    Ok(bytes.len())
}

/// What the dispatcher holds now. `last`: it has answered everything and sends nothing any more.
pub fn of(runtime: &Runtime, last: bool) -> Option<Snapshot> {
    let made = runtime.clock.now();
    let (records, doubt) = runtime.with_keys(|core, store| {
        (store.records(made, |run| core.sent(run)), store.rejects_unknown_retries(made))
    })?;
    // What this process can't know of its predecessor its successor can't know from it.
    let last = last && !doubt;
    let names = runtime.with_tables(|tables| Names {
        members: tables.tenants.all().to_vec(),
        classes: tables.classes.all().to_vec(),
        zones: tables.zones.all().to_vec(),
    });
    Some(Snapshot { taken_at: made, clean_shutdown: last, names, records })
}

/// Writes snapshots on a thread of its own.
pub struct Writer {
    queue: SyncSender<Snapshot>,
    thread: JoinHandle<()>,
    every: Duration,
}

impl Writer {
    pub fn start(place: Place) -> Writer {
        // One is written while the next is made; a disk slower than that makes rounds be left out.
        let (queue, snapshots) = sync_channel(1);
        let every = place.every;
        let thread = std::thread::spawn(move || write_all(&place, &snapshots));
        Writer { queue, thread, every }
    }

    /// Makes a snapshot every so often; never ends.
    pub async fn keep_up(&self, runtime: &Rc<Runtime>) {
        let mut left_out = 0u64;
        loop {
            tokio::time::sleep(self.every).await;
            let Some(snapshot) = of(runtime, false) else { continue };
            match self.queue.try_send(snapshot) {
                Ok(()) => left_out = 0,
                Err(TrySendError::Full(_) | TrySendError::Disconnected(_)) => {
                    left_out += 1;
                    if left_out.is_power_of_two() {
                        log::warn!("keys: the disk is too slow: {left_out} snapshots left out in a row");
                    }
                }
            }
        }
    }

    /// Writes the last one and waits for it.
    pub fn end(self, snapshot: Option<Snapshot>) {
        if let Some(snapshot) = snapshot {
            let _ = self.queue.send(snapshot);
        }
        drop(self.queue);
        let _ = self.thread.join();
    }
}

fn write_all(place: &Place, snapshots: &Receiver<Snapshot>) {
    let mut failing = false;
    for snapshot in snapshots {
        match place.write(&snapshot) {
            Ok(bytes) => {
                if std::mem::take(&mut failing) {
                    log::info!("keys: snapshots are written again");
                }
                log::debug!("keys: snapshot of {} keys, {bytes} bytes", snapshot.records.len());
            }
            Err(e) => {
                if !std::mem::replace(&mut failing, true) {
                    log::error!("keys: snapshot not written, the one before stays: {e}");
                }
            }
        }
    }
}

/// The keys that a predecessor left, and for how long it may be in doubt what it did.
pub fn remember(
    mut store: keys::Store,
    doubts: &[sr::Span],
    tables: &sablerun_settings::Tables,
    place: Option<&Place>,
    now: sr::Time,
) -> keys::Store {
    let snapshot = place.and_then(Place::read);
    let whole = snapshot.as_ref().is_some_and(|snapshot| snapshot.clean_shutdown);
    if !whole {
        for (class, doubt) in doubts.iter().enumerate() {
            store.reject_unknown_retries_until(class as u32, now + *doubt);
        }
    }
    if let Some(snapshot) = snapshot {
        let (age, all) = ((now - snapshot.taken_at).secs(), snapshot.records.len());
        let names = (|n: &str| tables.classes.get(n), |n: &str| tables.tenants.get(n));
        let records = snapshot.renumbered(names.0, names.1, |n| tables.zones.get(n));
        let taken = store.restore(now, records);
        log::info!(keys = all, taken = taken, age_s = age, whole = whole; "keys: a predecessor's are back");
    }
    store
}
