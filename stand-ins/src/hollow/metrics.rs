//! The names of the hollow runners' metrics.

use crate::metrics::{Metrics, metric_names};

metric_names! {
    /// Counters. Bytes are those of HTTP messages; `in` is toward the runners.
    Counter {
        Requests = "requests",
        Answers202 = "answers_202",
        Answers400 = "answers_400",
        Answers404 = "answers_404",
        Duplicates = "copies",
        Cancels = "give_ups",
        CancelledQueued = "given_up_waiting",
        CancelledRunning = "given_up_running",
        Started = "started",
        Ended = "ended",
        Lost = "lost",
        Probes = "probes",
        CallBacks = "callbacks",
        CallBackTries = "callback_tries",
        CallBacksUndelivered = "callbacks_unheard",
        Accepted = "connections_accepted",
        Opened = "connections_opened",
        IdleClosed = "connections_idle_closed",
        BytesInRequests = "bytes_in.requests",
        BytesOutRequests = "bytes_out.requests",
        BytesInCancels = "bytes_in.give_ups",
        BytesOutCancels = "bytes_out.give_ups",
        BytesInProbes = "bytes_in.probes",
        BytesOutProbes = "bytes_out.probes",
        BytesInCallBacks = "bytes_in.callbacks",
        BytesOutCallBacks = "bytes_out.callbacks",
        BytesOutReports = "bytes_out.reports",
    }
}

metric_names! {
    /// Gauges.
    Gauge {
        Running = "running",
        Queued = "queued",
        Connections = "connections_open",
        IdleCallBackConnections = "callback_connections_resting",
    }
}

/// The metrics of hollow runners.
pub type RunnerMetrics = Metrics<Counter, Gauge>;
