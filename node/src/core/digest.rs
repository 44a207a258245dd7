//! What a load digest says of runners, where the operator has one: it stands in for probes while it is fresh. It owns
//! how long a digest is believed. It must never ask for anything that the platform does not give: without a digest
//! nothing here happens, and each probe goes out as the module asks.

use super::{Core, Effect};
use sablerun as sr;
use sablerun_digest::{ApplyOutcome, Follower, Frame, Load};

/// A digest that is followed.
pub(super) struct Digest {
    follower: Follower,
    /// Time between two frames, and the time without one after which it is not believed.
    interval: sr::Span,
    max_silence: sr::Span,
    last_frame_at: Option<sr::Time>,
}

impl Digest {
    fn is_fresh(&self, now: sr::Time) -> bool {
        self.last_frame_at.is_some_and(|heard| now - heard <= self.max_silence)
    }
}

impl<J: Clone> Core<J> {
    /// Follows a digest from now on, with a frame each `every`; it holds for so long after each frame.
    pub fn follow_digest(&mut self, every: sr::Span, silent: sr::Span) {
        self.digest = Some(Digest {
            follower: Follower::default(),
            interval: every,
            max_silence: silent,
            last_frame_at: None,
        });
    }

    /// How old a runner's report is at the most: told to the module when it changes, since its age is what a
    /// report is believed by.
    fn update_report_age(&mut self, now: sr::Time) {
        let age =
            self.digest.as_ref().filter(|digest| digest.is_fresh(now)).map(|digest| digest.interval.secs());
        if self.settings.report_age != age {
            self.settings.report_age = age;
            self.pending_events.push_back(sr::Event::Retuned(Box::new(self.settings.clone())));
        }
    }

    /// A frame has come. One that leaves a gap is not believed, nor is what came before it any more.
    pub(super) fn handle_digest(&mut self, now: sr::Time, frame: &Frame) {
        let Some(digest) = &mut self.digest else { return };
        match digest.follower.apply(frame) {
            ApplyOutcome::Changed(loads) => {
                digest.last_frame_at = Some(now);
                self.update_report_age(now);
                loads.iter().for_each(|load| self.notify_load(now, load));
            }
            // An earlier publisher's or a repeat: no sign that what is held is up to date.
            ApplyOutcome::Stale => {}
            ApplyOutcome::Gap => {
                digest.last_frame_at = None;
                self.effects.push(Effect::FetchDigest);
            }
        }
    }

    /// Whether a fresh digest covers a runner: then the module hears what the digest has, and no probe goes out.
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

    fn notify_load(&mut self, now: sr::Time, load: &Load) {
        // One that no list has named yet is heard of again when the module asks for it.
        if let Some(worker) = self.tables.workers.get(&load.runner) {
            let event = self.load_event(sr::WorkerId(worker), load);
            self.notify(now, event);
        }
    }

    fn load_event(&self, worker: sr::WorkerId, load: &Load) -> sr::Event {
        let fields = self.digest.iter().flat_map(|digest| digest.follower.fields());
        let figures = fields.map(String::as_str).zip(load.values.iter().copied());
        let report = load.ok.then(|| self.tables.named_report(figures));
        sr::Event::Probed(worker, load.ok, report)
    }
}
