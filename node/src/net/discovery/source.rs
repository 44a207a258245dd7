//! The calls and watches that the core asks for.

use super::DiscoveryClient;
use crate::runtime::RunnerListSource;
use std::net::SocketAddr;

impl RunnerListSource for DiscoveryClient {
    fn subscribe(&self, address: SocketAddr) {
        let Some(this) = self.this.upgrade() else { return };
        let address_changed = self.address.replace(Some(address)).is_some_and(|previous| previous != address);
        if address_changed {
            // Another address may count versions differently, so the whole list is asked for.
            self.version.set(0);
            self.address_changes.set(self.address_changes.get() + 1);
        }
        let number = self.watch_number.get() + 1;
        self.watch_number.set(number);
        let task = actix_rt::spawn(async move {
            if let Err(error) = this.read_watch(address, number).await {
                if this.watch_number.get() == number {
                    this.report_failure("watch", error);
                } else {
                    log::debug!("discovery: the watch before ended: {}", error.reason);
                }
            }
        });
        let last = self.watch.borrow_mut().replace(task.abort_handle());
        let mut previous_watches = self.previous_watches.borrow_mut();
        previous_watches.extend(last);
        previous_watches.retain(|watch| !watch.is_finished());
    }

    fn fetch(&self, address: SocketAddr) {
        let Some(this) = self.this.upgrade() else { return };
        actix_rt::spawn(async move {
            if let Err(error) = this.fetch_list(address).await {
                this.report_failure("call", error);
            }
        });
    }

    fn has_list(&self) -> bool {
        self.list_received.get()
    }
}
