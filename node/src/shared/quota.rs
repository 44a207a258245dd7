//! A limit that the processes of one dispatcher keep together.

use super::SharedFile;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

/// The parts into which a limit is divided; a process holds whole parts.
const PARTS: usize = 64;
/// Parts that are left to the other process if there is one.
const PARTS_LEFT_TO_PEER: usize = 8;
/// Where the locks of the limits' parts begin in the file.
const LOCKS_OFFSET: u64 = 1 << 16;

/// A limit that the processes keep together. The number is its place in the file.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Resource {
    ClientConnections = 0,
    FaktoryConnections = 1,
    RunnerConnections = 2,
    OpenRequests = 3,
    MessageMemory = 4,
    FaktoryMemory = 5,
    ListMemory = 6,
    KeyMemory = 7,
}

/// A limit of which this process takes parts as it needs them, and gives them back when it does not. What a process
/// uses never exceeds what it holds, but by what it can't refuse.
pub struct Quota {
    capacity: usize,
    shared: Option<SharedQuota>,
}

struct SharedQuota {
    file: Arc<SharedFile>,
    /// Where the locks of its parts begin.
    offset: u64,
    /// Parts that nobody may take while there are two processes: what a second process needs by itself.
    reserved_parts: usize,
    /// The parts that cover an amount of one: a small limit is not divided further.
    parts_of_one: usize,
    /// Whether this process holds each part.
    held: Mutex<[bool; PARTS]>,
    /// What this process could have at most, as of the last look.
    available: AtomicUsize,
}

impl Quota {
    /// A limit of this process alone.
    pub fn alone(capacity: usize) -> Quota {
        Quota { capacity, shared: None }
    }

    /// A limit of all processes that use the file. While there are two, `second_process` of it, a share between
    /// 0 and 1, is left for what the second one needs by itself.
    pub fn shared(file: Arc<SharedFile>, resource: Resource, capacity: usize, second_process: f64) -> Quota {
        let reserved_parts = (second_process * PARTS as f64).ceil() as usize;
        let shared = SharedQuota {
            file,
            offset: LOCKS_OFFSET + (resource as usize * PARTS) as u64,
            reserved_parts: reserved_parts.min(PARTS / 2),
            parts_of_one: PARTS.div_ceil(capacity.max(1)),
            held: Mutex::new([false; PARTS]),
            available: AtomicUsize::new(capacity),
        };
        let quota = Quota { capacity, shared: Some(shared) };
        quota.refresh();
        quota
    }

    /// The whole limit.
    pub fn capacity(&self) -> usize {
        self.capacity
    }

    /// What this process could have in use at most, as of the last look.
    pub fn available(&self) -> usize {
        self.shared.as_ref().map_or(self.capacity, |shared| shared.available.load(Ordering::Relaxed))
    }

    /// What this process may have in use now without taking more.
    pub fn held(&self) -> usize {
        self.shared.as_ref().map_or(self.capacity, |shared| self.amount_of(count_held(&shared.held())))
    }

    fn amount_of(&self, parts: usize) -> usize {
        self.capacity * parts / PARTS
    }

    /// Returns the fewest parts that cover an amount.
    fn parts_for(&self, amount: usize) -> usize {
        (amount * PARTS).div_ceil(self.capacity.max(1))
    }

    /// Takes what is missing for this process to have `amount` in use; false if that is more than there is.
    pub fn ensure(&self, amount: usize) -> bool {
        let Some(shared) = &self.shared else { return amount <= self.capacity };
        if amount > self.capacity {
            return false;
        }
        let wanted = self.parts_for(amount);
        if shared.hold(wanted) {
            return true;
        }
        // The other process may have ended since the last look.
        shared.file.has_peers() && !shared.file.refresh_peers() && shared.hold(wanted)
    }

    /// Gives back what this process does not need with `amount` in use, but for a part in reserve if it is alone.
    pub fn release_beyond(&self, amount: usize) {
        let Some(shared) = &self.shared else { return };
        let in_reserve = if shared.file.has_peers() { 0 } else { 1 };
        let needed = self.parts_for(amount) + in_reserve;
        let mut held = shared.held();
        let mut count = count_held(&held);
        for part in (0..PARTS).rev() {
            if count <= needed {
                break;
            }
            if held[part] {
                shared.file.unlock(shared.offset + part as u64);
                held[part] = false;
                count -= 1;
            }
        }
    }

    /// Looks at what other processes hold.
    pub(super) fn refresh(&self) {
        let Some(shared) = &self.shared else { return };
        let held = shared.held();
        let (usable, most) = shared.bounds();
        let free = |part: &usize| held[*part] || shared.is_free(*part);
        let parts = match shared.file.has_peers() {
            true => (0..usable).filter(free).count().min(most),
            false => PARTS,
        };
        shared.available.store(self.amount_of(parts), Ordering::Relaxed);
    }
}

impl SharedQuota {
    fn held(&self) -> MutexGuard<'_, [bool; PARTS]> {
        self.held.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Takes free parts until this process holds as many as wanted; false if there are not enough.
    fn hold(&self, wanted: usize) -> bool {
        let mut held = self.held();
        let mut count = count_held(&held);
        let (usable, most) = self.bounds();
        for part in 0..usable {
            if count >= wanted || count >= most {
                break;
            }
            if !held[part] && self.try_take(part) {
                held[part] = true;
                count += 1;
            }
        }
        count >= wanted
    }

    /// Returns the number of parts that may be taken by anybody, and the most that this process may hold.
    fn bounds(&self) -> (usize, usize) {
        match self.file.has_peers() {
            false => (PARTS, PARTS),
            true => {
                let usable = (PARTS - self.reserved_parts).max(self.parts_of_one);
                (usable, (usable - PARTS_LEFT_TO_PEER).max(self.parts_of_one))
            }
        }
    }

    fn try_take(&self, part: usize) -> bool {
        self.file.try_lock(self.offset + part as u64).unwrap_or_else(|e| {
            log::warn!("the file that is shared with another process can't be locked: {e}");
            false
        })
    }

    fn is_free(&self, part: usize) -> bool {
        !self.file.is_locked_by_another(self.offset + part as u64, 1)
    }
}

fn count_held(held: &[bool; PARTS]) -> usize {
    held.iter().filter(|held| **held).count()
}
