//! What is counted of discovery. It owns the names; it must never count.

use crate::metrics::{Metrics, metric_names};

metric_names! {
    /// What only grows. Bytes are those of HTTP messages, chunks and all; `in` is toward discovery.
    Counter {
        Accepted = "connections_accepted",
        ListCalls = "calls.lists",
        WatchCalls = "calls.watches",
        WholeLists = "whole_lists",
        Changes = "changes",
        EmptyLines = "empty_lines",
        BytesIn = "bytes_in",
        BytesOutLists = "bytes_out.lists",
        BytesOutChanges = "bytes_out.changes",
        BytesOutEmptyLines = "bytes_out.empty_lines",
    }
}

metric_names! {
    /// What comes and goes. A call is under way until its list, or a watch's first object, is written.
    Gauge {
        Connections = "connections_open",
        Calls = "calls",
        Watches = "watches",
    }
}

/// The counts of discovery.
pub type DiscoveryMetrics = Metrics<Counter, Gauge>;
