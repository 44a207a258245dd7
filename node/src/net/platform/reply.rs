//! HTTP responses of the front before they are built, with constructors for the common errors.

use actix_http::StatusCode;
use actix_http::header::{self, HeaderName};
use bytes::Bytes;

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

    pub fn not_allowed(allowed: &str) -> Reply {
        let header = Some((header::ALLOW, allowed.to_owned()));
        Reply { header, ..Reply::new(StatusCode::METHOD_NOT_ALLOWED, "") }
    }
}
