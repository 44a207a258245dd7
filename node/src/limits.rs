//! The limits of the program: sizes, counts and times. Computed once at the start from the machine's limits
//! and the settings, and constant while the program runs.

use sablerun_keys as keys;
use sablerun_settings::Env;
use std::time::Duration;

/// Memory that a connection of the platform's front may take besides what is reserved for its message, in
/// bytes: the parser's buffers, a short head with its headers, and the first part of a body.
const CLIENT_CONNECTION_BYTES: usize = 32 * 1024;
/// The same for a Faktory connection, which may have the buffers of TLS.
const FAKTORY_CONNECTION_BYTES: usize = 64 * 1024;
/// The same for a connection to a runner.
const RUNNER_CONNECTION_BYTES: usize = 24 * 1024;

/// Memory that a process takes by itself, without connections and messages, in bytes.
const PROCESS_BYTES: usize = 4 * 1024 * 1024;
/// Descriptors for the standard streams, the async runtime, the listeners, the watch and a call to discovery.
const PROCESS_DESCRIPTORS: usize = 40;

/// Sizes, counts and times that the program observes.
#[derive(Clone, Debug, PartialEq)]
pub struct Limits {
    /// Largest body of a message, in bytes.
    pub max_body_bytes: usize,
    /// Memory for the messages of the platform's peers beyond what each connection has, in bytes.
    pub message_memory_bytes: usize,
    /// The same for Faktory peers.
    pub faktory_memory_bytes: usize,
    /// Memory for the lists of discovery that are being read, in bytes.
    pub list_memory_bytes: usize,
    /// Time without a byte after which an unfinished message is refused if others need its memory.
    pub evict_from_memory_after: Duration,
    /// Time to wait for memory before a message is refused.
    pub memory_timeout: Duration,
    /// The share of the limits of connections and memory that a second process needs by itself while it replaces
    /// this one, from 0 to 1.
    pub second_process_share: f64,
    /// Interval at which a process looks for another one with which it shares the limits.
    pub peer_check_interval: Duration,
    /// Interval at which a process returns freed memory to the system while there is another one.
    pub memory_release_interval: Duration,
    /// Most requests open at once.
    pub max_open: usize,
    /// Most connections from the platform's clients and runners.
    pub max_client_connections: usize,
    /// Most connections of Faktory clients and workers.
    pub max_faktory_connections: usize,
    /// Longest Faktory frame, in bytes.
    pub max_frame_bytes: usize,
    /// Most connections to runners.
    pub max_runner_connections: usize,
    /// Most connections waiting to be accepted.
    pub backlog: u32,
    /// Delay before accepting again after the process ran out of descriptors.
    pub accept_pause: Duration,
    /// Longest HTTP message head, in bytes.
    pub max_head_bytes: usize,
    /// Time for a client to send a request's head, from the connection or from the head's first byte.
    pub head_timeout: Duration,
    /// Time for a client to send a request's body.
    pub body_timeout: Duration,
    /// Time without progress after which a peer that does not read its answer is closed.
    pub write_timeout: Duration,
    /// Time for which a closing connection is still read, so that its last answer arrives.
    pub linger_timeout: Duration,
    /// Time without a byte after which a new connection may be closed to make room.
    pub evict_silent_after: Duration,
    /// Time without a byte after which a connection that is sending a body may be closed to make room.
    pub evict_stalled_after: Duration,
    /// Time for which a client's idle connection stays open.
    pub keep_alive: Duration,
    /// Time to establish a connection to a runner.
    pub connect_timeout: Duration,
    /// Idle time after which a connection to a runner is no longer used.
    pub idle_timeout: Duration,
    /// Age at which a connection to a runner is closed, even if it is in use regularly.
    pub max_connection_age: Duration,
    /// Shortest idle time after which a connection to a runner may be closed to make room.
    pub evict_idle_after: Duration,
    /// Interval of periodic checks for what changes with time alone. Also the shortest idle time after which
    /// a client's connection that has carried requests or call-backs may be closed to make room.
    pub sweep_interval: Duration,
    /// Time for which a worker may keep running a job for which no client waits any more.
    pub orphan_timeout: Duration,
    /// Interval of the summary lines in the log.
    pub summary_interval: Duration,
    /// Time for the last answers to be sent at shutdown.
    pub flush_timeout: Duration,
    /// Timeout for a probe's answer.
    pub probe_timeout: Duration,
    /// Time for a runner to confirm a cancellation.
    pub cancel_timeout: Duration,
    /// Time for the first data of discovery's answer. A later answer is still used.
    pub list_timeout: Duration,
    /// Time without a complete line after which a watch counts as silent.
    pub watch_silence_timeout: Duration,
    /// Time for which a silent watch is still read, unless the next watch delivers data.
    pub late_watch_timeout: Duration,
    /// Time after the start for which clients are sent elsewhere while there is no runner list yet.
    pub admit_without_list_after: Duration,
    /// Longest line of a watch, in bytes.
    pub max_watch_line_bytes: usize,
    /// Interval at which the shutdown checks for remaining work.
    pub shutdown_poll_interval: Duration,
    /// The limits of the key store, if keys are enabled.
    pub key_bounds: Option<keys::Bounds>,
    /// Time for which a class that new settings no longer name is still accepted.
    pub removed_class_grace: Duration,
    /// Age from which the next input updates the runner metrics.
    pub runner_count_interval: Duration,
    /// Time for the other process of an upgrade to accept a forwarded call-back.
    pub forward_timeout: Duration,
    /// Interval at which the file of disabled runners, shared with a successor, is read.
    pub disabled_sync_interval: Duration,
}

impl Limits {
    /// Sets the limits of the key store.
    pub fn with_keys(self, bounds: Option<keys::Bounds>) -> Limits {
        Limits { key_bounds: bounds, ..self }
    }

    /// For how long the program serves as usual after SIGTERM, and after how long it answers what is
    /// unanswered and ends, given the longest deadline of the settings in force.
    pub fn shutdown_times(&self, longest_deadline: Duration) -> (Duration, Duration) {
        // SIGKILL comes 0.7 s after the longest deadline, of which at most 3 s count. Requests unanswered by
        // then are lost, so the program ends 0.3 s earlier, a margin for a busy machine.
        let stop = longest_deadline.min(Duration::from_secs(3)) + Duration::from_millis(400);
        // During the grace period clients keep using their open connections; the rest of the time is for the
        // last jobs. New connections arrive for up to 0.4 s.
        let grace = (stop * 3 / 5).max(Duration::from_millis(450)).min(stop);
        (grace, stop)
    }

    /// Computes the limits from the machine's number of descriptors, its memory and the settings.
    /// `two_fronts`: the Faktory front is on too.
    pub fn new(sockets: usize, memory_mb: usize, env: &Env, two_fronts: bool) -> Limits {
        let free = sockets.saturating_sub(PROCESS_DESCRIPTORS).max(16);
        let idle = Duration::from_nanos(env.limits.conn_idle.unwrap_or(10_000_000_000));
        let max_body_bytes = 64 * 1024;
        let accepted = free * 3 / 5;
        let memory_bytes = memory_mb.max(16) * 1024 * 1024;
        let fronts = if two_fronts { 2 } else { 1 };
        // A third of the memory is for connections, an eighth for the messages that they do not cover.
        let connection_memory_bytes = memory_bytes / 3 / fronts;
        let message_memory_bytes = memory_bytes / 8 / fronts;
        let max_client_connections = (accepted - accepted / fronts * (fronts - 1))
            .min(connection_memory_bytes / CLIENT_CONNECTION_BYTES);
        let max_faktory_connections = match two_fronts {
            true => (accepted / 2).min(connection_memory_bytes / FAKTORY_CONNECTION_BYTES),
            false => 0,
        };
        // Connections of both kinds, messages and lists have three quarters of the memory.
        let process_memory_share = PROCESS_BYTES as f64 / (memory_bytes as f64 * 0.75);
        let process_descriptor_share = PROCESS_DESCRIPTORS as f64 / free as f64;
        let fits = memory_bytes / 4 / max_body_bytes;
        let configured =
            env.limits.max_open.map_or(usize::MAX, |most| usize::try_from(most).unwrap_or(usize::MAX));
        Limits {
            max_body_bytes,
            message_memory_bytes,
            faktory_memory_bytes: message_memory_bytes,
            list_memory_bytes: memory_bytes / 8,
            evict_from_memory_after: Duration::from_millis(100),
            memory_timeout: Duration::from_millis(800),
            second_process_share: process_memory_share.max(process_descriptor_share).min(1.0),
            memory_release_interval: Duration::from_millis(100),
            peer_check_interval: Duration::from_millis(50),
            max_open: fits.min(configured).max(1),
            max_client_connections,
            max_faktory_connections,
            // A job's arguments, and as much again for the rest of the job.
            max_frame_bytes: max_body_bytes * 2,
            max_runner_connections: (free - accepted).min(memory_bytes / 6 / RUNNER_CONNECTION_BYTES),
            backlog: 1024,
            max_connection_age: Duration::from_secs(24 * 3600),
            evict_idle_after: Duration::from_millis(50),
            sweep_interval: Duration::from_secs(1),
            orphan_timeout: Duration::from_secs(1800),
            summary_interval: Duration::from_secs(10),
            flush_timeout: Duration::from_millis(100),
            accept_pause: Duration::from_millis(20),
            max_head_bytes: 16 * 1024,
            // Together under 3 s, by which a client that sends a partial request must get an error.
            head_timeout: Duration::from_millis(1400),
            body_timeout: Duration::from_millis(1300),
            write_timeout: Duration::from_secs(5),
            linger_timeout: Duration::from_secs(1),
            // Clients connect when they have a request to send, but on a busy machine sending may be delayed.
            evict_silent_after: Duration::from_millis(250),
            evict_stalled_after: Duration::from_millis(500),
            keep_alive: Duration::from_secs(60),
            connect_timeout: Duration::from_nanos(env.limits.connect_timeout.unwrap_or(250_000_000)),
            idle_timeout: idle * 7 / 10,
            probe_timeout: Duration::from_millis(500),
            cancel_timeout: Duration::from_secs(1),
            // A call that fails after this time leaves time for another; docs/design/fleet.md has the
            // calculation.
            list_timeout: Duration::from_millis(1500),
            // An empty line comes every 2 s. A change that a silent watch misses counts as delivered after
            // 6 s.
            watch_silence_timeout: Duration::from_millis(2500),
            late_watch_timeout: Duration::from_secs(10),
            // Well within the 6 s in which nine in ten dispatchers must be ready.
            admit_without_list_after: Duration::from_secs(4),
            max_watch_line_bytes: (memory_bytes / 16).min(4 * 1024 * 1024),
            shutdown_poll_interval: Duration::from_millis(5),
            key_bounds: None,
            // A disabled runner must be avoided by both processes from the success reply on, which comes at
            // most 1 s after the call.
            disabled_sync_interval: Duration::from_millis(250),
            runner_count_interval: Duration::from_millis(100),
            forward_timeout: Duration::from_millis(300),
            // New settings are in use 1.2 s after SIGHUP, when a client's last job of a removed class may
            // still be on its way.
            removed_class_grace: Duration::from_secs(2),
        }
    }
}
