//! How the clients' tries end, and counts of tries and requests.

use hdrhistogram::Histogram;
use sablerun_stand_ins::http::Message;
use std::time::Duration;

/// The outcome of a try. The names of the variants appear in the remarks of a result.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) enum TryOutcome {
    /// Status 200, with the result.
    Served(String),
    /// Status 429 or 503, with the time of its `Retry-After`.
    Refused(Option<Duration>),
    /// Status 502.
    Failed,
    /// The dispatcher could not be reached, or was killed during the try.
    Cut,
    /// The client disconnected on purpose.
    Left,
    /// No answer from a dispatcher that ran throughout the try.
    Lost,
    /// Any other status, with the body.
    Odd(u16, String),
}

/// Counts of tries and requests.
#[derive(Clone, Debug)]
pub struct ClientCounts {
    /// Requests sent; each has one first try.
    pub requests: u64,
    /// Requests with an idempotency key.
    pub keyed_requests: u64,
    /// All tries, including repeats.
    pub tries: u64,
    /// Tries that ended with `TryOutcome::Served`.
    pub served_tries: u64,
    /// Tries that were refused.
    pub refused_tries: u64,
    /// Tries that failed.
    pub failed_tries: u64,
    /// Tries whose dispatcher was unreachable or was killed.
    pub cut_tries: u64,
    /// Tries that the client abandoned on purpose.
    pub left_tries: u64,
    /// Tries without an answer from a dispatcher that ran throughout.
    pub lost: u64,
    /// Tries answered with any other status.
    pub odd_tries: u64,
    /// Descriptions of the first few odd or lost tries, for debugging.
    pub remarks: Vec<String>,
    /// Requests served by any of their tries.
    pub served_requests: u64,
    /// Requests served within their time limit.
    pub in_time_requests: u64,
    /// Keyed requests whose two series of tries were served with different results.
    pub unlike_results: u64,
    /// The time from the intended time of a request to the answer that served it, in microseconds.
    pub latency_us: Histogram<u64>,
}

impl ClientCounts {
    pub(super) fn new() -> ClientCounts {
        ClientCounts {
            requests: 0,
            keyed_requests: 0,
            tries: 0,
            served_tries: 0,
            refused_tries: 0,
            failed_tries: 0,
            cut_tries: 0,
            left_tries: 0,
            lost: 0,
            odd_tries: 0,
            remarks: Vec::new(),
            served_requests: 0,
            in_time_requests: 0,
            unlike_results: 0,
            latency_us: Histogram::new(3).expect("three digits are allowed"),
        }
    }
}

/// Returns the outcome of a try from its answer.
pub(super) fn outcome_of(answer: Message) -> TryOutcome {
    match answer.status {
        200 => TryOutcome::Served(answer.body),
        429 | 503 => {
            TryOutcome::Refused(answer.header("retry-after").parse().ok().map(Duration::from_secs_f64))
        }
        502 => TryOutcome::Failed,
        other => TryOutcome::Odd(other, answer.body),
    }
}
