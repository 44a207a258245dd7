//! The subscriber of a load digest: reads a stream of frames from the publisher that the operator's file
//! names, and reconnects with a backoff. Frames go to the core, which judges them; nothing is sent to the
//! publisher but the request for the stream.

use crate::core::Input;
use crate::net::runners::ConnectionPool;
use crate::operator;
use crate::runtime::{DigestSource, Runtime};
use crate::shared::Quota;
use awc::Client;
use awc::http::StatusCode;
use futures_util::StreamExt;
use sablerun as sr;
use sablerun_digest::FrameDecoder;
use std::net::SocketAddr;
use std::rc::{Rc, Weak};
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::Notify;
use tokio::time::timeout;

/// The first and the longest wait before a reconnect. Each wait is drawn uniformly from zero to its bound.
const BACKOFF: (Duration, Duration) = (Duration::from_millis(500), Duration::from_secs(8));

/// The subscriber of a load digest.
pub struct DigestSubscriber {
    runtime: Weak<Runtime>,
    client: Client,
    address: SocketAddr,
    silence_timeout: Duration,
    /// Notified when frames are missing and the stream has to be opened again.
    resync: Notify,
}

impl DigestSubscriber {
    /// Subscribes to the digest that the operator's file names, until the program ends.
    pub fn start(runtime: &Rc<Runtime>, section: &operator::Digest) {
        let pool = ConnectionPool::new(
            &runtime.limits,
            Arc::new(Quota::alone(runtime.limits.max_runner_connections)),
        );
        let subscriber = Rc::new(DigestSubscriber {
            runtime: Rc::downgrade(runtime),
            client: pool.client(&runtime.limits),
            address: section.at,
            silence_timeout: section.max_silence(),
            resync: Notify::new(),
        });
        runtime.set_digest_source(
            subscriber.clone(),
            section.interval(),
            sr::Span::from_secs(section.silent_s),
        );
        actix_rt::spawn(async move { subscriber.run().await });
    }

    /// Reads the stream and reconnects when it ends; never returns.
    async fn run(&self) {
        let mut backoff = BACKOFF.0;
        loop {
            let (mut received, began) = (false, tokio::time::Instant::now());
            let reason = tokio::select! {
                ended = self.read_stream(&mut received) => ended.err().unwrap_or_else(|| "ended".to_owned()),
                () = self.resync.notified() => "a gap".to_owned(),
            };
            log::warn!("digest at {}: {reason}; probing runners directly until it is back", self.address);
            // After a long stream the backoff starts again. The random share keeps the subscribers of a
            // publisher that was down from reconnecting all at once.
            let lasted = received && began.elapsed() > BACKOFF.1;
            backoff = if lasted { BACKOFF.0 } else { (backoff * 2).min(BACKOFF.1) };
            tokio::time::sleep(backoff.mul_f64(fastrand::f64())).await;
        }
    }

    /// Reads one stream until it ends or falls silent; sets `received` with the first frame.
    async fn read_stream(&self, received: &mut bool) -> Result<(), String> {
        let url = format!("http://{}/digest", self.address);
        let request = self.client.get(url).address(self.address).no_decompress().force_close().send();
        let silent = |_| "silent".to_owned();
        let response = timeout(self.silence_timeout, request).await.map_err(silent)?;
        let mut response = response.map_err(|e| e.to_string())?;
        if response.status() != StatusCode::OK {
            return Err(format!("answered {}", response.status()));
        }
        let mut frames = FrameDecoder::default();
        while let Some(bytes) = timeout(self.silence_timeout, response.next()).await.map_err(silent)? {
            frames.extend(&bytes.map_err(|e| e.to_string())?);
            while let Some(frame) = frames.next_frame().map_err(|e| e.0.to_owned())? {
                let Some(runtime) = self.runtime.upgrade() else { return Ok(()) };
                *received = true;
                runtime.feed(Input::Digest(frame));
            }
        }
        Ok(())
    }
}

impl DigestSource for DigestSubscriber {
    fn fetch_full(&self) {
        self.resync.notify_one();
    }
}
