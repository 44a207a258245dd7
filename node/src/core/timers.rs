//! The reducer's timers: the module's, the requests' deadlines and the end of the program. It owns their
//! order, and sees to it that a step runs each due one once and ends. It must never read a clock: time
//! comes with each step.

use super::Core;
use sablerun as sr;
use std::cmp::Reverse;

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) enum Timer {
    Module(u64),
    Deadline(u32),
    Stop,
}

impl<J: Clone> Core<J> {
    /// When the next timer is due.
    pub fn next_timer(&self) -> Option<sr::Time> {
        self.timers.peek().map(|Reverse((at, ..))| *at)
    }

    pub(super) fn set_timer(&mut self, at: sr::Time, timer: Timer) {
        self.timers_set += 1;
        self.timers.push(Reverse((at, self.timers_set, timer)));
    }

    pub(super) fn run_timers(&mut self, now: sr::Time) {
        // Timers that the due ones set wait for the next step, so that a step always ends.
        let mut due = Vec::new();
        while let Some(&Reverse((at, _, timer))) = self.timers.peek()
            && at <= now
        {
            self.timers.pop();
            due.push(timer);
        }
        for timer in due {
            match timer {
                Timer::Module(token) => self.tell(now, sr::Event::Timer(token)),
                Timer::Deadline(request) => self.overdue(now, request, false),
                Timer::Stop => {
                    let mut open: Vec<u32> = self.requests.keys().copied().collect();
                    open.sort_unstable();
                    open.into_iter().for_each(|request| self.overdue(now, request, true));
                }
            }
        }
    }
}
