//! The password that HELLO may have to prove, as the Faktory protocol defines it.

use crate::runtime::Runtime;
use sha2::{Digest, Sha256};

/// Rounds of the password hash.
pub(super) const PASSWORD_HASH_ROUNDS: u32 = 1735;

/// Returns the hash that proves a password, as the Faktory protocol defines it.
pub(super) fn password_hash(password: &str, salt: &str, rounds: u32) -> String {
    let mut hash = Sha256::digest(format!("{password}{salt}").as_bytes());
    for _ in 1..rounds {
        hash = Sha256::digest(hash);
    }
    hash.iter().map(|byte| format!("{byte:02x}")).collect()
}

/// Whether two texts are equal, in a time that does not depend on where they differ.
pub(super) fn constant_time_eq(a: &[u8], b: &[u8]) -> bool {
    a.len() == b.len() && a.iter().zip(b).fold(0, |differ, (x, y)| differ | (x ^ y)) == 0
}

/// Returns a salt that no other connection gets, from the system's randomness through the standard library.
pub(super) fn new_salt(connection: u64, runtime: &Runtime) -> u64 {
    use std::hash::{BuildHasher, RandomState};
    RandomState::new().hash_one((connection, runtime.clock.now().0))
}
