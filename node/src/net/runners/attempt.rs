//! One attempt on the wire: the request as a runner gets it, and what its answer or the end of the
//! connection means. It owns those two. It must never send a request a second time, nor take for unsent
//! what may have been written whole.

use super::RunnerLink;
use super::pool::Leave;
use crate::core::AttemptEnd;
use crate::runtime::Job;
use actix_http::error::ParseError;
use awc::error::{ConnectError, SendRequestError};
use awc::http::StatusCode;
use bytes::Bytes;
use sablerun as sr;
use std::net::SocketAddr;
use std::time::Duration;

/// What a runner says to an attempt.
pub enum Answered {
    Taken,
    /// The request itself is at fault.
    Unusable,
    Ended(AttemptEnd),
    /// Nothing that makes sense: the runner may well have it.
    Garbled,
}

impl RunnerLink {
    /// Makes one attempt: what the runner answers, if only that it has taken it.
    pub async fn attempt(
        &self,
        at: SocketAddr,
        id: &str,
        job: &Job,
        wait: Duration,
        leave: &Leave,
    ) -> Answered {
        let mut request = self
            .client
            .post(format!("http://{at}{}", job.target))
            .address(at)
            .no_decompress()
            .insert_header(("X-Request-ID", id))
            .insert_header(("X-Timeout", format!("{}m", wait.as_millis())))
            .insert_header(("X-Priority-Class", job.class.as_str()));
        if let Some(tenant) = &job.tenant {
            request = request.insert_header(("X-Tenant-Id", tenant.as_str()));
        }
        if let Some(key) = &job.key {
            request = request.insert_header(("Idempotency-Key", key.as_str()));
        }
        if let Some(kind) = &job.content_type {
            request = request.insert_header(("Content-Type", kind.as_str()));
        }
        let mut response = match request.send_body(job.body.clone()).await {
            Ok(response) => response,
            Err(e) => {
                log::debug!("attempt {id} at {at}: {e}");
                return match leave.refused() {
                    true => Answered::Ended(AttemptEnd::without_report(sr::Outcome::Moot)),
                    false => unanswered(&e),
                };
            }
        };
        if response.status() != StatusCode::ACCEPTED {
            // It ends the attempt, and the same answer may come twice: the second, read as the answer to the
            // next request on this connection, would end that too while its runner has it.
            drop(leave.take());
        }
        let (status, report) = (response.status(), self.header_report(response.headers()));
        let turned_away = response.headers().get("X-Not-Processed").is_some_and(|v| v.as_bytes() == b"1");
        let ended = |outcome| Answered::Ended(AttemptEnd { outcome, result: Bytes::new(), report });
        let answered = match status {
            StatusCode::ACCEPTED => Answered::Taken,
            StatusCode::SERVICE_UNAVAILABLE | StatusCode::GATEWAY_TIMEOUT if turned_away => {
                ended(sr::Outcome::Full)
            }
            StatusCode::BAD_REQUEST => {
                log::info!("runner at {at} can't use request {id}");
                Answered::Unusable
            }
            StatusCode::INTERNAL_SERVER_ERROR
            | StatusCode::SERVICE_UNAVAILABLE
            | StatusCode::GATEWAY_TIMEOUT => ended(sr::Outcome::Error),
            // Perhaps the answer to a call before, twice.
            other => {
                log::warn!("runner at {at} answered {other} to attempt {id}: no answer at all");
                Answered::Garbled
            }
        };
        // What a body holds is of no use, but unread it would cost the connection.
        if let Some(runtime) = self.runtime.upgrade() {
            let (wait, most) = (runtime.limits.cancel_timeout, runtime.limits.max_body_bytes);
            actix_rt::spawn(async move {
                let _ = tokio::time::timeout(wait, response.body().limit(most)).await;
            });
        }
        answered
    }
}

/// What an attempt without an answer comes to. Only what failed before the request's last byte was written
/// proves that it never ran. Guards against awc's word for a connection that ended while the answer was
/// awaited: it is a `Connect` error too. An answer that can't be read says nothing of the job, which its
/// runner may hold for as long as nobody gives it up.
fn unanswered(error: &SendRequestError) -> Answered {
    let outcome = match error {
        SendRequestError::Connect(ConnectError::Disconnected) => sr::Outcome::Reset,
        SendRequestError::Connect(_) | SendRequestError::Send(_) | SendRequestError::Url(_) => {
            sr::Outcome::ConnectFailed
        }
        SendRequestError::Response(error) if !matches!(error, ParseError::Io(_)) => {
            return Answered::Garbled;
        }
        _ => sr::Outcome::Reset,
    };
    Answered::Ended(AttemptEnd::without_report(outcome))
}
