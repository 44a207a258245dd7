//! The part of a process in its own replacement: it opens the file that it shares with the other process, and looks
//! regularly what that one leaves.

use crate::memory::release_freed_memory;
use crate::net::platform::Front;
use crate::runtime::Runtime;
use crate::shared::SharedFile;
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Instant;

/// Opens the file that the processes of this dispatcher share. Without it, each keeps to the whole limits.
pub fn open_shared_file(listen: SocketAddr) -> Option<Arc<SharedFile>> {
    let folder = std::env::temp_dir();
    match SharedFile::open(&folder, listen) {
        Ok(file) => Some(Arc::new(file)),
        Err(e) => {
            log::warn!("limits are not shared with another process: {}: {e}", folder.display());
            None
        }
    }
}

/// Looks regularly for another process of this dispatcher, and makes room for it; never ends.
pub async fn share_with_peers(runtime: Rc<Runtime>, front: Rc<Front>) {
    let mut last_release = Instant::now();
    loop {
        tokio::time::sleep(runtime.limits.peer_check_interval).await;
        let has_peers = runtime.resources.refresh();
        runtime.share_key_memory();
        if !has_peers {
            continue;
        }
        front.make_room();
        if last_release.elapsed() > runtime.limits.memory_release_interval {
            release_freed_memory();
            last_release = Instant::now();
        }
    }
}
