//! HTTP responses of the front before they are built, with constructors for the common errors.

use actix_http::StatusCode;
use actix_http::header::{self, HeaderName};
use bytes::Bytes;

/// The `Retry-After` of a message for which there was no memory.
const RETRY_AFTER_SECONDS: &str = "0.250";

/// A response before it is built.
pub(super) struct Reply {
    pub status: StatusCode,
    pub header: Option<(HeaderName, String)>,
    pub body: Bytes,
    /// Whether the connection closes after it.
    pub close: bool,
}

impl Reply {
    pub fn new(status: StatusCode, body: &'static str) -> Reply {
        Reply { status, header: None, body: Bytes::from_static(body.as_bytes()), close: false }
    }

    pub fn bad_request(reason: String) -> Reply {
        // A client that sends malformed requests does not keep its connection.
        Reply { body: reason.into(), close: true, ..Reply::new(StatusCode::BAD_REQUEST, "") }
    }

    pub fn too_large() -> Reply {
        // The rest of the body is not read, so the connection can't be kept.
        Reply { close: true, ..Reply::new(StatusCode::PAYLOAD_TOO_LARGE, "body: too large") }
    }

    pub fn too_slow() -> Reply {
        Reply { close: true, ..Reply::new(StatusCode::REQUEST_TIMEOUT, "body: too slow") }
    }

    pub fn out_of_memory() -> Reply {
        let header = Some((header::RETRY_AFTER, RETRY_AFTER_SECONDS.to_owned()));
        let refused = Reply::new(StatusCode::SERVICE_UNAVAILABLE, "refused: no memory for the body");
        Reply { header, close: true, ..refused }
    }

    pub fn not_allowed(allowed: &str) -> Reply {
        let header = Some((header::ALLOW, allowed.to_owned()));
        Reply { header, ..Reply::new(StatusCode::METHOD_NOT_ALLOWED, "") }
    }
}
