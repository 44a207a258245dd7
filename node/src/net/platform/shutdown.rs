//! State machine of a graceful shutdown: how long clients are served as usual, when their connections are
//! closed, and when nothing that was read, or could still be, is left to answer. Contains no I/O and no
//! clock.

use std::time::Duration;

/// The phases of a shutdown.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Phase {
    /// New connections are accepted, and clients use those they have.
    Serving,
    /// Idle connections close, and each response is its connection's last.
    Draining,
    /// Nothing is active, or the deadline has passed; connections still queued on the listener are accepted.
    FinalAccept,
    /// Nothing is accepted any more, and the remaining connections close.
    Closing,
    /// No connection is left.
    Done,
}

/// What the process observes at a step of the shutdown.
#[derive(Clone, Copy, Debug, Default)]
pub struct Observation {
    /// Time since the shutdown began.
    pub elapsed: Duration,
    /// Unanswered requests, and connections on which something is being read or written.
    pub active: usize,
    /// Connections accepted by the last final accept.
    pub accepted: usize,
    /// Open connections.
    pub connections: usize,
}

/// A graceful shutdown.
#[derive(Clone, Copy, Debug)]
pub struct Shutdown {
    /// Time for which everything is served as usual.
    grace: Duration,
    /// When requests and queued connections are no longer waited for.
    deadline: Duration,
    /// Time for the last connections to close.
    flush: Duration,
    phase: Phase,
    closing_since: Duration,
}

impl Shutdown {
    /// Begins a shutdown that serves as usual for `grace`. At `stop` whatever is unanswered is answered;
    /// `flush` is the time for the last responses to be written, and once more for them to arrive.
    pub fn new(grace: Duration, stop: Duration, flush: Duration) -> Shutdown {
        let (phase, closing_since) = (Phase::Serving, Duration::ZERO);
        Shutdown { grace, deadline: stop + flush, flush, phase, closing_since }
    }

    /// Returns the current phase.
    pub fn phase(&self) -> Phase {
        self.phase
    }

    /// Returns the elapsed time before which a step changes nothing.
    pub fn next_check(&self) -> Duration {
        if self.phase == Phase::Serving { self.grace } else { Duration::ZERO }
    }

    /// Advances the shutdown by what is observed, and returns the new phase.
    pub fn step(&mut self, observed: &Observation) -> Phase {
        let overdue = observed.elapsed >= self.deadline;
        self.phase = match self.phase {
            Phase::Serving if observed.elapsed >= self.grace => Phase::Draining,
            Phase::Draining if overdue || observed.active == 0 => Phase::FinalAccept,
            Phase::FinalAccept if observed.accepted > 0 && !overdue => Phase::Draining,
            Phase::FinalAccept => {
                self.closing_since = observed.elapsed;
                Phase::Closing
            }
            Phase::Closing
                if observed.connections == 0 || observed.elapsed >= self.closing_since + self.flush =>
            {
                Phase::Done
            }
            phase => phase,
        };
        self.phase
    }
}
