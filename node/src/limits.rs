//! Every limit of the program: sizes, counts and times. Filled once at start, from the limits that
//! the machine states and the settings, and handed down; nothing else may hold such a figure, and
//! nothing here changes while the program runs.

use sablerun_keys as keys;
use sablerun_settings::Env;
use std::time::Duration;

/// Sizes, counts and times that the program keeps to.
#[derive(Clone, Debug, PartialEq)]
pub struct Limits {
    /// Largest body of a message, in bytes.
    pub max_body_bytes: usize,
    /// Most requests held at once.
    pub max_open: usize,
    /// Most connections from the platform's clients and runners.
    pub max_client_connections: usize,
    /// Most connections of Faktory clients and workers.
    pub max_faktory_connections: usize,
    /// Longest Faktory frame, in bytes.
    pub max_frame_bytes: usize,
    /// Most connections to runners.
    pub max_runner_connections: usize,
    /// Connections that may wait to be accepted.
    pub backlog: u32,
    /// Wait before a listener that ran out of descriptors tries again.
    pub accept_pause: Duration,
    /// Longest head of a message, in bytes.
    pub max_head_bytes: usize,
    /// Time for a client to write a request's head, from its connection or the head's first byte on.
    pub head_timeout: Duration,
    /// Time for a client to write a request's body.
    pub body_timeout: Duration,
    /// Time for which a closing connection is read on, so that its last answer arrives.
    pub linger_timeout: Duration,
    /// Time without a byte after which a new connection may be closed to make room.
    pub evict_silent_after: Duration,
    /// Time for which a client's idle connection stays open.
    pub keep_alive: Duration,
    /// Time for a connection to a runner to come up.
    pub connect_timeout: Duration,
    /// Idle time after which a connection to a runner is not used any more.
    pub idle_timeout: Duration,
    /// Age at which a connection to a runner is closed, however much it is used.
    pub max_connection_age: Duration,
    /// Shortest idle time after which a connection may be closed to make room.
    pub evict_idle_after: Duration,
    /// Time between looks at what only time brings about.
    pub sweep_interval: Duration,
    /// Time for which a worker may run a job that nobody waits for any more.
    pub orphan_timeout: Duration,
    /// Time between summaries in the log.
    pub summary_interval: Duration,
    /// Time for the last answers to go out at the end.
    pub flush_timeout: Duration,
    /// Time for a probe's answer.
    pub probe_timeout: Duration,
    /// Time for a runner to confirm that it gives a job up.
    pub cancel_timeout: Duration,
    /// Time for discovery to tell the first of its answer; what comes later is still taken.
    pub list_timeout: Duration,
    /// Time without a whole line after which a watch counts as silent.
    pub watch_silence_timeout: Duration,
    /// Time for which a watch that is late is read on, unless the next one tells something.
    pub late_watch_timeout: Duration,
    /// Time from the start for which clients are sent elsewhere while there is no list yet.
    pub admit_without_list_after: Duration,
    /// Longest line of a watch, in bytes.
    pub max_watch_line_bytes: usize,
    /// Time between two looks at what is left to do at the end.
    pub shutdown_poll_interval: Duration,
    /// What the store of clients' keys may hold, where keys are kept.
    pub key_bounds: Option<keys::Bounds>,
    /// Time for which a class that new settings no longer name is taken still.
    pub removed_class_grace: Duration,
    /// Time after which the figures on runners are brought up to date.
    pub runner_count_interval: Duration,
    /// Time for the other process of an upgrade to take a call-back.
    pub hand_on_timeout: Duration,
    /// Time between two looks at the file of bans that a process shares with its successor.
    pub disabled_sync_interval: Duration,
}

impl Limits {
    /// The same with a store of clients' keys.
    pub fn with_keys(self, bounds: Option<keys::Bounds>) -> Limits {
        Limits { key_bounds: bounds, ..self }
    }

    /// For how long the program goes on as usual after SIGTERM, and when whatever is unanswered is answered
    /// and it ends, where the settings in force have such a longest deadline.
    pub fn shutdown_times(&self, longest: Duration) -> (Duration, Duration) {
        // SIGKILL comes 0.7 s after the longest deadline, of which 3 s count at most. What it finds
        // unanswered is lost, so the end keeps a distance from it that a busy machine needs.
        let stop = longest.min(Duration::from_secs(3)) + Duration::from_millis(400);
        // Clients use the connections they have while those stay open; the rest of the time is for the
        // last jobs to be done. New connections come for up to 0.4 s.
        let spell = (stop * 3 / 5).max(Duration::from_millis(450)).min(stop);
        (spell, stop)
    }

    /// Limits for a machine with so many descriptors and so much memory, with the second front or without it.
    pub fn new(sockets: usize, memory_mb: usize, env: &Env, two_fronts: bool) -> Limits {
        // Standard streams, the runtime's own, the listeners, the watch and a call to discovery.
        let free = sockets.saturating_sub(40).max(16);
        let idle = Duration::from_nanos(env.limits.conn_idle.unwrap_or(10_000_000_000));
        let body = 64 * 1024;
        let accepted = free * 3 / 5;
        let callers = if two_fronts { accepted / 2 } else { 0 };
        // A quarter of the memory may be bodies.
        let fits = memory_mb.max(16) * 1024 * 1024 / 4 / body;
        let told = env.limits.max_open.map_or(usize::MAX, |most| usize::try_from(most).unwrap_or(usize::MAX));
        Limits {
            max_body_bytes: body,
            max_open: fits.min(told).max(1),
            max_client_connections: accepted - callers,
            max_faktory_connections: callers,
            // A job's arguments, and as much again for what stands round them.
            max_frame_bytes: body * 2,
            max_runner_connections: free - accepted,
            backlog: 1024,
            max_connection_age: Duration::from_secs(24 * 3600),
            evict_idle_after: Duration::from_millis(50),
            sweep_interval: Duration::from_secs(1),
            orphan_timeout: Duration::from_secs(1800),
            summary_interval: Duration::from_secs(10),
            flush_timeout: Duration::from_millis(100),
            accept_pause: Duration::from_millis(20),
            max_head_bytes: 16 * 1024,
            // Together under 3 s, by which whoever sends half a request is owed an error.
            head_timeout: Duration::from_millis(1400),
            body_timeout: Duration::from_millis(1300),
            linger_timeout: Duration::from_secs(1),
            // Clients connect when they have something to send; on a busy machine that may take a while.
            evict_silent_after: Duration::from_millis(250),
            keep_alive: Duration::from_secs(60),
            connect_timeout: Duration::from_nanos(env.limits.connect_timeout.unwrap_or(250_000_000)),
            idle_timeout: idle * 7 / 10,
            probe_timeout: Duration::from_millis(500),
            cancel_timeout: Duration::from_secs(1),
            // A call that fails so late leaves time for another: docs/design/fleet.md has the sum.
            list_timeout: Duration::from_millis(1500),
            // An empty line comes every 2 s; what a silent watch misses counts as told 6 s after.
            watch_silence_timeout: Duration::from_millis(2500),
            late_watch_timeout: Duration::from_secs(10),
            // Well within the 6 s in which nine in ten have to be ready.
            admit_without_list_after: Duration::from_secs(4),
            max_watch_line_bytes: 4 * 1024 * 1024,
            shutdown_poll_interval: Duration::from_millis(5),
            key_bounds: None,
            // A ban holds from the yes, 1 s after the call at the latest, at either process.
            disabled_sync_interval: Duration::from_millis(250),
            runner_count_interval: Duration::from_millis(100),
            hand_on_timeout: Duration::from_millis(300),
            // New settings are in use 1.2 s after SIGHUP; a client's last job of an old class is on its way
            // for a while then.
            removed_class_grace: Duration::from_secs(2),
        }
    }
}
