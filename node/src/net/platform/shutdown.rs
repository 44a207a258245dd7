//! The program's end, from the word on: for how long clients find everything as usual, when they are let
//! go, and when nothing that was read, or could still be, is left to answer. It must never read or close
//! anything, nor ask what time it is.

use std::time::Duration;

/// What the program does on its way to its end.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Phase {
    /// New connections still come, and clients use those they have.
    Serving,
    /// Whoever rests is let go, and each answer is its connection's last.
    Draining,
    /// Nothing is under way: is there anybody who connected and was not accepted?
    FinalAccept,
    /// Nobody is accepted any more, and what is left of the connections ends.
    Closing,
    /// Nothing is left.
    Done,
}

/// What there is to see, so long after the word.
#[derive(Clone, Copy, Debug, Default)]
pub struct Observation {
    pub elapsed: Duration,
    /// Requests taken and not answered, and connections with something being read or written.
    pub active: usize,
    /// Connections that were accepted at the last look.
    pub accepted: usize,
    /// Connections that are not closed.
    pub connections: usize,
}

/// The way to the end.
#[derive(Clone, Copy, Debug)]
pub struct Shutdown {
    spell: Duration,
    /// When nothing is waited for any more.
    most: Duration,
    /// Time for the last connections to close.
    flush: Duration,
    phase: Phase,
    closing: Duration,
}

impl Shutdown {
    /// Everything as usual for the spell, whatever is unanswered answered at `stop`, and `flush` for what
    /// was answered last to go out, and once more for it to arrive.
    pub fn new(spell: Duration, stop: Duration, flush: Duration) -> Shutdown {
        let (phase, closing) = (Phase::Serving, Duration::ZERO);
        Shutdown { spell, most: stop + flush, flush, phase, closing }
    }

    /// What is done now.
    pub fn phase(&self) -> Phase {
        self.phase
    }

    /// Until when there is nothing to look for.
    pub fn next_check(&self) -> Duration {
        if self.phase == Phase::Serving { self.spell } else { Duration::ZERO }
    }

    /// What is to be done, by what there is to see.
    pub fn step(&mut self, seen: &Observation) -> Phase {
        let late = seen.elapsed >= self.most;
        self.phase = match self.phase {
            Phase::Serving if seen.elapsed >= self.spell => Phase::Draining,
            Phase::Draining if late || seen.active == 0 => Phase::FinalAccept,
            Phase::FinalAccept if seen.accepted > 0 && !late => Phase::Draining,
            Phase::FinalAccept => {
                self.closing = seen.elapsed;
                Phase::Closing
            }
            Phase::Closing if seen.connections == 0 || seen.elapsed >= self.closing + self.flush => {
                Phase::Done
            }
            phase => phase,
        };
        self.phase
    }
}
