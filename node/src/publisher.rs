//! The publisher of a load digest (`sablerun digest`): a program beside the dispatchers, on a control machine, that
//! asks each runner for its load once in a while and tells all who listen what has changed. It owns the order of
//! its parts; what is told when is `sablerun_digest`'s to decide. It must never take or send a job.

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

/// Frames that a follower may be behind: then its stream ends, and it asks for the whole.
const BEHIND: usize = 16;

/// What the parts share.
struct Shared {
    config: Config,
    publisher: RefCell<Publisher>,
    frames: broadcast::Sender<Vec<u8>>,
}

/// Publishes until the program is ended.
///
/// # Errors
///
/// The address can't be listened at.
pub async fn run(config: Config) -> Result<(), String> {
    let at = config.listen;
    let listener = TcpListener::bind(at).await.map_err(|e| format!("listen: {at}: {e}"))?;
    let epoch = unix_now().0 / 1000;
    let shared = Rc::new(Shared {
        publisher: RefCell::new(Publisher::new(epoch, &config.fields)),
        frames: broadcast::channel(BEHIND).0,
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
            // Nobody listens: nobody is owed it.
            Ok(bytes) => {
                log::debug!("frame of bytes={} followers={}", bytes.len(), shared.frames.receiver_count());
                drop(shared.frames.send(bytes));
            }
            Err(e) => log::error!("a frame could not be worded: {}", e.0),
        }
    }
}
