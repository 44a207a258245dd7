//! The program's end, from the word on: for how long clients find everything as usual, when they are let
//! go, and when nothing that was read, or could still be, is left to answer. It must never read or close
//! anything, nor ask what time it is.

use std::time::Duration;

/// What the program does on its way to its end.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Phase {
    /// New connections still come, and clients use those they have.
    AsUsual,
    /// Whoever rests is let go, and each answer is its connection's last.
    LettingGo,
    /// Nothing is under way: is there anybody who connected and was not accepted?
    LastLook,
    /// Nobody is accepted any more, and what is left of the connections ends.
    Closing,
    /// Nothing is left.
    Over,
}

/// What there is to see, so long after the word.
#[derive(Clone, Copy, Debug, Default)]
pub struct Seen {
    pub since: Duration,
    /// Requests taken and not answered, and connections with something being read or written.
    pub under_way: usize,
    /// Connections that were accepted at the last look.
    pub queued: usize,
    /// Connections that are not closed.
    pub connections: usize,
}

/// The way to the end.
#[derive(Clone, Copy, Debug)]
pub struct Ending {
    spell: Duration,
    /// When nothing is waited for any more.
    most: Duration,
    /// Time for the last connections to close.
    flush: Duration,
    phase: Phase,
    closing: Duration,
}

impl Ending {
    /// Everything as usual for the spell, whatever is unanswered answered at `stop`, and `flush` for what
    /// was answered last to go out, and once more for it to arrive.
    pub fn new(spell: Duration, stop: Duration, flush: Duration) -> Ending {
        let (phase, closing) = (Phase::AsUsual, Duration::ZERO);
        Ending { spell, most: stop + flush, flush, phase, closing }
    }

    /// What is done now.
    pub fn phase(&self) -> Phase {
        self.phase
    }

    /// Until when there is nothing to look for.
    pub fn next_look(&self) -> Duration {
        if self.phase == Phase::AsUsual { self.spell } else { Duration::ZERO }
    }

    /// What is to be done, by what there is to see.
    pub fn step(&mut self, seen: &Seen) -> Phase {
        let late = seen.since >= self.most;
        self.phase = match self.phase {
            Phase::AsUsual if seen.since >= self.spell => Phase::LettingGo,
            Phase::LettingGo if late || seen.under_way == 0 => Phase::LastLook,
            Phase::LastLook if seen.queued > 0 && !late => Phase::LettingGo,
            Phase::LastLook => {
                self.closing = seen.since;
                Phase::Closing
            }
            Phase::Closing if seen.connections == 0 || seen.since >= self.closing + self.flush => Phase::Over,
            phase => phase,
        };
        self.phase
    }
}
