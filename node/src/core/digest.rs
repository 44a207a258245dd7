//! The load digest, if the operator has configured one: its loads replace probes while it is fresh. Without
//! a digest, every probe that the balancer asks for is sent.

use super::{Core, Effect};
use sablerun as sr;
use sablerun_digest::{ApplyOutcome, Follower, Frame, Load};

/// The state of the digest that is followed.
pub(super) struct Digest {
    follower: Follower,
    /// Time between two frames.
    interval: sr::Span,
    /// Time without a frame after which the digest is stale.
    max_silence: sr::Span,
    last_frame_at: Option<sr::Time>,
}

impl Digest {
    /// Whether a frame came within the last `max_silence`.
    fn is_fresh(&self, now: sr::Time) -> bool {
        self.last_frame_at.is_some_and(|last| now - last <= self.max_silence)
    }
}

impl<J: Clone> Core<J> {
    /// Follows a digest from now on, with a frame every `interval`; it is fresh for `max_silence` after each.
    pub fn follow_digest(&mut self, interval: sr::Span, max_silence: sr::Span) {
        self.digest =
            Some(Digest { follower: Follower::default(), interval, max_silence, last_frame_at: None });
    }

    /// Sets the highest age of a runner's report, and notifies the balancer when it changes: how far it
    /// trusts a report depends on the report's age.
    fn update_report_age(&mut self, now: sr::Time) {
        let report_age_s =
            self.digest.as_ref().filter(|digest| digest.is_fresh(now)).map(|digest| digest.interval.secs());
        if self.settings.report_age_s != report_age_s {
            self.settings.report_age_s = report_age_s;
            self.pending_events.push_back(sr::Event::SettingsChanged(Box::new(self.settings.clone())));
        }
    }

    /// Applies a frame. After a gap, neither the frame nor what was received before it is trusted any more,
    /// and the full digest is requested.
    pub(super) fn handle_digest(&mut self, now: sr::Time, frame: &Frame) {
        let Some(digest) = &mut self.digest else { return };
        match digest.follower.apply(frame) {
            ApplyOutcome::Changed(loads) => {
                digest.last_frame_at = Some(now);
                self.update_report_age(now);
                loads.iter().for_each(|load| self.notify_load(now, load));
            }
            // From an earlier publisher, or a repeat: does not show that the digest is up to date.
            ApplyOutcome::Stale => {}
            ApplyOutcome::Gap => {
                digest.last_frame_at = None;
                self.effects.push(Effect::FetchDigest);
            }
        }
    }

    /// Answers a probe from the digest if it is fresh and covers the runner. Returns whether it did;
    /// otherwise the probe must be sent.
    pub(super) fn answer_probe_from_digest(&mut self, now: sr::Time, worker: sr::WorkerId) -> bool {
        self.update_report_age(now);
        let name = self.tables.workers.name(worker.0);
        let load = self
            .digest
            .as_ref()
            .filter(|digest| digest.is_fresh(now))
            .and_then(|digest| digest.follower.load_of(name));
        let Some(load) = load else { return false };
        let event = self.load_event(worker, &load);
        self.pending_events.push_back(event);
        true
    }

    /// Passes a runner's load to the balancer as a probe's answer.
    fn notify_load(&mut self, now: sr::Time, load: &Load) {
        // A runner that no list has named yet is skipped; the balancer gets its load when it first probes it.
        if let Some(worker) = self.tables.workers.get(&load.runner) {
            let event = self.load_event(sr::WorkerId(worker), load);
            self.notify(now, event);
        }
    }

    fn load_event(&self, worker: sr::WorkerId, load: &Load) -> sr::Event {
        let fields = self.digest.iter().flat_map(|digest| digest.follower.fields());
        let values = fields.map(String::as_str).zip(load.values.iter().copied());
        let report = load.ok.then(|| self.tables.named_report(values));
        sr::Event::Probed(worker, load.ok, report)
    }
}
