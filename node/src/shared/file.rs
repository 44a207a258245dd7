//! The file that the processes of one dispatcher share, and locks on its byte ranges.

use nix::fcntl::{FcntlArg, fcntl};
use nix::libc;
use std::fs::{File, OpenOptions};
use std::io::{self, Write};
use std::net::SocketAddr;
use std::os::unix::fs::FileExt;
use std::path::Path;
use std::sync::atomic::{AtomicBool, Ordering};

/// The prefix of the file's name, which the address that the processes serve completes.
const FILE_PREFIX: &str = "sablerun-shared-";
/// What a file of this format begins with.
const MAGIC: [u8; 8] = *b"sablrun1";
/// Length of the key with which request ids are hashed, in bytes.
const HASH_KEY_BYTES: usize = 16;
/// Most processes at once: two, and some that have not quite ended.
pub(super) const MAX_PROCESSES: usize = 8;

/// The shared file, with this process's place in it.
pub struct SharedFile {
    file: File,
    hash_key: [u8; HASH_KEY_BYTES],
    /// The number of this process among the places of processes, each a byte that it keeps locked.
    place: usize,
    has_peers: AtomicBool,
}

impl SharedFile {
    /// Opens the file of the processes that serve this address, or creates it, and takes a place in it.
    ///
    /// # Errors
    ///
    /// The file can't be created, read or locked, is of another format, or all places are taken.
    pub fn open(folder: &Path, serves: SocketAddr) -> io::Result<SharedFile> {
        let path = folder.join(format!("{FILE_PREFIX}{serves}"));
        if !path.exists() {
            create(folder, &path)?;
        }
        let file = OpenOptions::new().read(true).write(true).open(&path)?;
        let mut header = [0; MAGIC.len() + HASH_KEY_BYTES];
        file.read_exact_at(&mut header, 0)?;
        let (magic, hash_key) = header.split_at(MAGIC.len());
        if magic != MAGIC {
            return Err(io::Error::new(io::ErrorKind::InvalidData, "is of another format"));
        }
        let hash_key = hash_key.try_into().expect("split to this length");
        let mut shared = SharedFile { file, hash_key, place: 0, has_peers: AtomicBool::new(false) };
        shared.place = shared.take_place()?;
        shared.refresh_peers();
        Ok(shared)
    }

    fn take_place(&self) -> io::Result<usize> {
        for place in 0..MAX_PROCESSES {
            if self.try_lock(place as u64)? {
                return Ok(place);
            }
        }
        Err(io::Error::new(io::ErrorKind::AddrInUse, "all places of processes are taken"))
    }

    /// This process's place among those of [`MAX_PROCESSES`].
    pub(super) fn place(&self) -> usize {
        self.place
    }

    /// The key with which all processes hash request ids.
    pub(super) fn hash_key(&self) -> &[u8] {
        &self.hash_key
    }

    /// Whether another process was there at the last look.
    pub fn has_peers(&self) -> bool {
        self.has_peers.load(Ordering::Relaxed)
    }

    /// Looks whether another process is there, and returns it.
    pub fn refresh_peers(&self) -> bool {
        let any = self.is_locked_by_another(0, MAX_PROCESSES as u64);
        self.has_peers.store(any, Ordering::Relaxed);
        any
    }

    /// Tries to lock a byte; false if another process holds it. Locks it again without effect.
    pub(super) fn try_lock(&self, offset: u64) -> io::Result<bool> {
        match fcntl(&self.file, FcntlArg::F_OFD_SETLK(&range(libc::F_WRLCK, offset, 1))) {
            Ok(_) => Ok(true),
            Err(nix::Error::EAGAIN | nix::Error::EACCES) => Ok(false),
            Err(e) => Err(e.into()),
        }
    }

    /// Unlocks a byte.
    pub(super) fn unlock(&self, offset: u64) {
        // Fails only for a descriptor that is not open.
        let _ = fcntl(&self.file, FcntlArg::F_OFD_SETLK(&range(libc::F_UNLCK, offset, 1)));
    }

    /// Whether another process holds a lock in a range.
    pub(super) fn is_locked_by_another(&self, offset: u64, count: u64) -> bool {
        let mut found = range(libc::F_WRLCK, offset, count);
        let asked = fcntl(&self.file, FcntlArg::F_OFD_GETLK(&mut found));
        asked.is_ok() && i32::from(found.l_type) != libc::F_UNLCK
    }

    /// Reads bytes of the file; what was never written reads as zeros.
    pub(super) fn read_at(&self, buffer: &mut [u8], offset: u64) {
        let mut read = 0;
        while read < buffer.len() {
            match self.file.read_at(&mut buffer[read..], offset + read as u64) {
                Ok(0) | Err(_) => break,
                Ok(count) => read += count,
            }
        }
        buffer[read..].fill(0);
    }

    /// Writes bytes of the file.
    pub(super) fn write_at(&self, bytes: &[u8], offset: u64) -> io::Result<()> {
        self.file.write_all_at(bytes, offset)
    }
}

fn range(kind: libc::c_int, offset: u64, count: u64) -> libc::flock {
    libc::flock {
        l_type: kind as libc::c_short,
        l_whence: libc::SEEK_SET as libc::c_short,
        l_start: offset as libc::off_t,
        l_len: count as libc::off_t,
        l_pid: 0,
    }
}

/// Creates the file whole, unless another process has created it meanwhile.
fn create(folder: &Path, path: &Path) -> io::Result<()> {
    let new = folder.join(format!("{FILE_PREFIX}{}.tmp", std::process::id()));
    let mut file = File::create(&new)?;
    file.write_all(&MAGIC)?;
    file.write_all(&std::array::from_fn::<u8, HASH_KEY_BYTES, _>(|_| random_byte()))?;
    let linked = std::fs::hard_link(&new, path);
    std::fs::remove_file(&new)?;
    match linked {
        Err(e) if e.kind() != io::ErrorKind::AlreadyExists => Err(e),
        _ => Ok(()),
    }
}

/// Returns a byte of the system's randomness, through the standard library.
fn random_byte() -> u8 {
    use std::hash::{BuildHasher, RandomState};
    RandomState::new().hash_one(0) as u8
}
