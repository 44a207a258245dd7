//! The names of discovery's metrics.

use crate::metrics::{Metrics, metric_names};

metric_names! {
    /// Counters. Bytes are those of HTTP messages including chunk framing; `in` is toward discovery.
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
    /// Gauges. A call is in progress until its list, or the first object of a watch, is written.
    Gauge {
        Connections = "connections_open",
        Calls = "calls",
        Watches = "watches",
    }
}

/// The metrics of discovery.
pub type DiscoveryMetrics = Metrics<Counter, Gauge>;
