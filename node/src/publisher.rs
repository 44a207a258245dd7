//! The publisher of a load digest (`sablerun digest`): a service on a control machine that polls each
//! runner's load and sends the changes to all followers. `sablerun_digest` decides what each frame contains.
//! Handles no jobs.

mod config;
mod loads;
mod serve;

pub use config::Config;

use crate::runtime::unix_now;
use sablerun_digest::Publisher;
use std::cell::RefCell;
use std::rc::Rc;
use tokio::net::TcpListener;
use tokio::sync::broadcast;

/// Most frames that a follower may lag behind. Beyond that its stream ends, and it requests the full digest.
const MAX_FRAMES_BEHIND: usize = 16;

/// State shared between the publisher's tasks.
struct Shared {
    config: Config,
    publisher: RefCell<Publisher>,
    frames: broadcast::Sender<Vec<u8>>,
}

/// Publishes until the program ends.
///
/// # Errors
///
/// Can't listen on the address.
pub async fn run(config: Config) -> Result<(), String> {
    let at = config.listen;
    let listener = TcpListener::bind(at).await.map_err(|e| format!("listen: {at}: {e}"))?;
    let epoch = unix_now().0 / 1000;
    let shared = Rc::new(Shared {
        publisher: RefCell::new(Publisher::new(epoch, &config.fields)),
        frames: broadcast::channel(MAX_FRAMES_BEHIND).0,
        config,
    });
    actix_rt::spawn(loads::follow(shared.clone()));
    actix_rt::spawn(serve::serve(shared.clone(), listener));
    log::info!("digest published on {at}, discovery at {}", shared.config.discovery);
    let mut ticks = tokio::time::interval(shared.config.every());
    ticks.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
    loop {
        ticks.tick().await;
        let frame = shared.publisher.borrow_mut().next_frame(shared.config.frame_bytes());
        match frame.to_bytes() {
            // Sending fails only if there are no followers.
            Ok(bytes) => {
                log::debug!("frame of bytes={} followers={}", bytes.len(), shared.frames.receiver_count());
                drop(shared.frames.send(bytes));
            }
            Err(e) => log::error!("a frame could not be encoded: {}", e.0),
        }
    }
}
