//! The core's timers: the balancer's, the requests' deadlines and the end of the program. Each step runs
//! every due timer once; the time comes with the step.

use super::Core;
use sablerun as sr;
use std::cmp::Reverse;

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) enum Timer {
    Balancer(u64),
    Deadline(u32),
    Stop,
}

impl<J: Clone> Core<J> {
    /// When the next timer is due.
    pub fn next_timer(&self) -> Option<sr::Time> {
        self.timers.peek().map(|Reverse((at, ..))| *at)
    }

    pub(super) fn set_timer(&mut self, at: sr::Time, timer: Timer) {
        self.timer_sequence += 1;
        self.timers.push(Reverse((at, self.timer_sequence, timer)));
    }

    pub(super) fn run_timers(&mut self, now: sr::Time) {
        // Timers set by the due ones wait for the next step, so that a step always terminates.
        let mut due = Vec::new();
        while let Some(&Reverse((at, _, timer))) = self.timers.peek()
            && at <= now
        {
            self.timers.pop();
            due.push(timer);
        }
        for timer in due {
            match timer {
                Timer::Balancer(token) => self.notify(now, sr::Event::Timer(token)),
                Timer::Deadline(request) => self.expire_request(now, request, false),
                Timer::Stop => {
                    let mut open: Vec<u32> = self.requests.keys().copied().collect();
                    open.sort_unstable();
                    open.into_iter().for_each(|request| self.expire_request(now, request, true));
                }
            }
        }
    }
}
