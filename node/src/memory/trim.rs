//! Returns memory that was freed to the system. The allocator keeps it for later use, which another process of
//! the same dispatcher needs meanwhile.

/// Returns all whole pages that are free, where the allocator can.
pub fn release_freed_memory() {
    #[cfg(all(target_os = "linux", target_env = "gnu"))]
    {
        #[allow(unsafe_code, reason = "the allocator has no other interface for it")]
        // SAFETY: a call without preconditions, of the C library that provides the allocator; it takes the
        // allocator's own locks and touches free memory alone.
        let _ = unsafe { nix::libc::malloc_trim(0) };
    }
}
