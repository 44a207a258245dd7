//! What is counted of hollow runners. It owns the names; it must never count.

use crate::metrics::{Metrics, metric_names};

metric_names! {
    /// What only grows. Bytes are those of HTTP messages; `in` is toward the runners.
    Counter {
        Requests = "requests",
        Answers202 = "answers_202",
        Answers400 = "answers_400",
        Answers404 = "answers_404",
        Copies = "copies",
        GiveUps = "give_ups",
        GivenUpWaiting = "given_up_waiting",
        GivenUpRunning = "given_up_running",
        Started = "started",
        Ended = "ended",
        Lost = "lost",
        Probes = "probes",
        CallBacks = "callbacks",
        CallBackTries = "callback_tries",
        CallBacksUnheard = "callbacks_unheard",
        Accepted = "connections_accepted",
        Opened = "connections_opened",
        IdleClosed = "connections_idle_closed",
        BytesInRequests = "bytes_in.requests",
        BytesOutRequests = "bytes_out.requests",
        BytesInGiveUps = "bytes_in.give_ups",
        BytesOutGiveUps = "bytes_out.give_ups",
        BytesInProbes = "bytes_in.probes",
        BytesOutProbes = "bytes_out.probes",
        BytesInCallBacks = "bytes_in.callbacks",
        BytesOutCallBacks = "bytes_out.callbacks",
        BytesOutReports = "bytes_out.reports",
    }
}

metric_names! {
    /// What comes and goes.
    Gauge {
        Running = "running",
        Queued = "queued",
        Connections = "connections_open",
        Resting = "callback_connections_resting",
    }
}

/// The counts of runners.
pub type RunnerMetrics = Metrics<Counter, Gauge>;
