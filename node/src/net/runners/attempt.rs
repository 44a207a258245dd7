//! One attempt over HTTP: the request as a runner gets it, and what its response or the end of the connection
//! means. Never sends a request twice, and never reports one as unsent that may have been written whole.

use super::RunnerLink;
use super::permit::SendPermit;
use crate::core::AttemptEnd;
use crate::net::runners::response::drain;
use crate::net::sliced_body::SlicedBody;
use crate::runtime::Job;
use actix_http::error::ParseError;
use awc::error::{ConnectError, SendRequestError};
use awc::http::StatusCode;
use bytes::Bytes;
use sablerun as sr;
use std::net::SocketAddr;
use std::time::Duration;

/// The result of sending an attempt to a runner.
pub enum AttemptResult {
    /// The runner accepted the job with a 202.
    Accepted,
    /// The request itself is at fault.
    RequestRejected,
    Ended(AttemptEnd),
    /// The response makes no sense: the runner may have the job.
    Unreadable,
}

impl RunnerLink {
    /// Sends one attempt and returns its result, which may only be that the runner accepted the job.
    pub async fn send_attempt(
        &self,
        address: SocketAddr,
        id: &str,
        job: &Job,
        time_left: Duration,
        permit: &SendPermit,
    ) -> AttemptResult {
        let mut request = self
            .client
            .post(format!("http://{address}{}", job.target))
            .address(address)
            .no_decompress()
            .insert_header(("X-Request-ID", id))
            .insert_header(("X-Timeout", format!("{}m", time_left.as_millis())))
            .insert_header(("X-Priority-Class", job.class.as_str()));
        if let Some(tenant) = &job.tenant {
            request = request.insert_header(("X-Tenant-Id", tenant.as_str()));
        }
        if let Some(key) = &job.key {
            request = request.insert_header(("Idempotency-Key", key.as_str()));
        }
        if let Some(content_type) = &job.content_type {
            request = request.insert_header(("Content-Type", content_type.as_str()));
        }
        let response = match request.send_body(SlicedBody::new(job.body.clone())).await {
            Ok(response) => response,
            Err(e) => {
                log::debug!("attempt {id} at {address}: {e}");
                return match permit.denied() {
                    true => AttemptResult::Ended(AttemptEnd::without_report(sr::Outcome::Moot)),
                    false => result_of_error(&e),
                };
            }
        };
        if response.status() != StatusCode::ACCEPTED {
            // This response ends the attempt. A runner may send it twice, and the second copy, read as the
            // response to the next request on this connection, would end that one while its runner has it.
            drop(permit.take_connection());
        }
        let (status, report) = (response.status(), self.header_report(response.headers()));
        let not_processed = response.headers().get("X-Not-Processed").is_some_and(|v| v.as_bytes() == b"1");
        let ended = |outcome| AttemptResult::Ended(AttemptEnd { outcome, result: Bytes::new(), report });
        let result = match status {
            StatusCode::ACCEPTED => AttemptResult::Accepted,
            StatusCode::SERVICE_UNAVAILABLE | StatusCode::GATEWAY_TIMEOUT if not_processed => {
                ended(sr::Outcome::Full)
            }
            StatusCode::BAD_REQUEST => {
                log::info!("runner at {address} can't use request {id}");
                AttemptResult::RequestRejected
            }
            StatusCode::INTERNAL_SERVER_ERROR
            | StatusCode::SERVICE_UNAVAILABLE
            | StatusCode::GATEWAY_TIMEOUT => ended(sr::Outcome::Error),
            // Perhaps a second copy of the response to an earlier request.
            other => {
                log::warn!("runner at {address} answered {other} to attempt {id}: not a valid answer");
                AttemptResult::Unreadable
            }
        };
        // The body is not used, but a connection with an unread body can't be reused.
        if let Some(runtime) = self.runtime.upgrade() {
            let (timeout, max_bytes) = (runtime.limits.cancel_timeout, runtime.limits.max_body_bytes);
            actix_rt::spawn(async move {
                let _ = tokio::time::timeout(timeout, drain(response, max_bytes)).await;
            });
        }
        result
    }
}

/// Returns the result of an attempt without a response. Only a failure before the request's last byte was
/// written proves that the job never ran. awc reports a connection that closed while the response was awaited
/// as a `Connect` error too, which is told apart here. An unreadable response says nothing of the job, which
/// the runner may hold until it is cancelled.
fn result_of_error(error: &SendRequestError) -> AttemptResult {
    let outcome = match error {
        SendRequestError::Connect(ConnectError::Disconnected) => sr::Outcome::Reset,
        SendRequestError::Connect(_) | SendRequestError::Send(_) | SendRequestError::Url(_) => {
            sr::Outcome::ConnectFailed
        }
        SendRequestError::Response(error) if !matches!(error, ParseError::Io(_)) => {
            return AttemptResult::Unreadable;
        }
        _ => sr::Outcome::Reset,
    };
    AttemptResult::Ended(AttemptEnd::without_report(outcome))
}
