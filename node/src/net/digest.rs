//! The link to a load digest: a stream of frames from the publisher that the operator's file names. It owns the
//! connection, when it is opened anew, and the bytes that are not yet a frame; it must never judge a frame, nor
//! tell the publisher anything but that it listens.

use crate::core::Input;
use crate::net::runners::Pool;
use crate::operator;
use crate::runtime::{DigestSource, Runtime};
use awc::Client;
use awc::http::StatusCode;
use futures_util::StreamExt;
use sablerun as sr;
use sablerun_digest::FrameDecoder;
use std::net::SocketAddr;
use std::rc::{Rc, Weak};
use std::time::Duration;
use tokio::sync::Notify;
use tokio::time::timeout;

/// Waits after a stream has ended, the first one and the longest, drawn evenly from nothing to that.
const WAITS: (Duration, Duration) = (Duration::from_millis(500), Duration::from_secs(8));

/// The link.
pub struct DigestSubscriber {
    runtime: Weak<Runtime>,
    client: Client,
    at: SocketAddr,
    silent: Duration,
    anew: Notify,
}

impl DigestSubscriber {
    /// Follows the digest that the operator's file names, until the program ends.
    pub fn start(runtime: &Rc<Runtime>, section: &operator::Digest) {
        let pool = Pool::new(&runtime.limits);
        let digest = Rc::new(DigestSubscriber {
            runtime: Rc::downgrade(runtime),
            client: pool.client(&runtime.limits),
            at: section.at,
            silent: section.silent(),
            anew: Notify::new(),
        });
        runtime.set_digest_source(digest.clone(), section.every(), sr::Span::from_secs(section.silent_s));
        actix_rt::spawn(async move { digest.keep_up().await });
    }

    async fn keep_up(&self) {
        let mut wait = WAITS.0;
        loop {
            let (mut told, began) = (false, tokio::time::Instant::now());
            let why = tokio::select! {
                ended = self.follow(&mut told) => ended.err().unwrap_or_else(|| "ended".to_owned()),
                () = self.anew.notified() => "a gap".to_owned(),
            };
            log::warn!("digest at {}: {why}; probes go out until it is back", self.at);
            // Whoever lasted is called back soon; all followers of one that is away must not come together.
            let lasted = told && began.elapsed() > WAITS.1;
            wait = if lasted { WAITS.0 } else { (wait * 2).min(WAITS.1) };
            tokio::time::sleep(wait.mul_f64(fastrand::f64())).await;
        }
    }

    async fn follow(&self, told: &mut bool) -> Result<(), String> {
        let url = format!("http://{}/digest", self.at);
        let request = self.client.get(url).address(self.at).no_decompress().force_close().send();
        let silent = |_| "silent".to_owned();
        let mut response = timeout(self.silent, request).await.map_err(silent)?.map_err(|e| e.to_string())?;
        if response.status() != StatusCode::OK {
            return Err(format!("answered {}", response.status()));
        }
        let mut frames = FrameDecoder::default();
        while let Some(bytes) = timeout(self.silent, response.next()).await.map_err(silent)? {
            frames.extend(&bytes.map_err(|e| e.to_string())?);
            while let Some(frame) = frames.next_frame().map_err(|e| e.0.to_owned())? {
                let Some(runtime) = self.runtime.upgrade() else { return Ok(()) };
                *told = true;
                runtime.feed(Input::Digest(frame));
            }
        }
        Ok(())
    }
}

impl DigestSource for DigestSubscriber {
    fn fetch_full(&self) {
        self.anew.notify_one();
    }
}
