//! The memory of parsed headers. They take many times the bytes that were received, and the HTTP library keeps
//! them with the request, and their table in a pool of heads beyond that.

use actix_http::Request;

/// Heads that the HTTP library keeps for reuse.
const POOLED_HEADS: usize = 128;

/// Drops a request's headers with their table, so that neither the request nor its pooled head holds them.
pub(super) fn release_headers(request: &mut Request) {
    drop(std::mem::take(request.headers_mut()));
}

/// Drops the headers of the pooled heads: a head that the parser rejects goes to the pool with its headers and
/// the buffer that they were read into.
pub(super) fn release_pooled_headers() {
    let mut pooled: Vec<_> = (0..POOLED_HEADS).map(|_| Request::new()).collect();
    pooled.iter_mut().for_each(release_headers);
}
