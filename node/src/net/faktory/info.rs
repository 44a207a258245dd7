//! The reply to INFO.

use super::Faktory;
use serde_json::json;
use std::collections::HashSet;

impl Faktory {
    /// Returns the reply to INFO.
    pub(super) fn info(&self) -> String {
        let workers = self.workers.borrow();
        let worker_infos = workers.iter().map(|(wid, worker)| {
            json!({
                "wid": wid,
                "connections": worker.connections.len(),
                "quiet": worker.quiet,
                "parked": worker.parked.len(),
                "waiting": worker.queued.len(),
                "running": worker.running.len(),
            })
        });
        let tally = self.runtime.tally();
        json!({
            "faktory": {
                "total_enqueued": workers.values().map(|w| w.queued.len()).sum::<usize>(),
                "total_processed": tally.served,
                "total_failures": tally.refused + tally.failed,
                "total_queues": workers.values().flat_map(|w| &w.queues).collect::<HashSet<_>>().len(),
                "workers": worker_infos.collect::<Vec<_>>(),
            },
            "server": {
                "description": "sablerun",
                "faktory_version": env!("CARGO_PKG_VERSION"),
                "connections": self.connections.get(),
                "command_count": self.command_count.get(),
            },
        })
        .to_string()
    }
}
