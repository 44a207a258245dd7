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
    every: sr::Span,
    silent: sr::Span,
    heard: Option<sr::Time>,
}

impl Digest {
    fn fresh(&self, now: sr::Time) -> bool {
        self.heard.is_some_and(|heard| now - heard <= self.silent)
    }
}

impl<J: Clone> Core<J> {
    /// Follows a digest from now on, with a frame each `every`; it holds for so long after each frame.
    pub fn follow_digest(&mut self, every: sr::Span, silent: sr::Span) {
        self.digest = Some(Digest { follower: Follower::default(), every, silent, heard: None });
    }

    /// How old a runner's report is at the most: told to the module when it changes, since its age is what a
    /// report is believed by.
    fn age_of_reports(&mut self, now: sr::Time) {
        let age = self.digest.as_ref().filter(|digest| digest.fresh(now)).map(|digest| digest.every.secs());
        if self.settings.report_age_s != age {
            self.settings.report_age_s = age;
            self.events.push_back(sr::Event::SettingsChanged(Box::new(self.settings.clone())));
        }
    }

    /// A frame has come. One that leaves a gap is not believed, nor is what came before it any more.
    pub(super) fn digest(&mut self, now: sr::Time, frame: &Frame) {
        let Some(digest) = &mut self.digest else { return };
        match digest.follower.apply(frame) {
            ApplyOutcome::Changed(loads) => {
                digest.heard = Some(now);
                self.age_of_reports(now);
                loads.iter().for_each(|load| self.digest_tells(now, load));
            }
            // An earlier publisher's or a repeat: no sign that what is held is up to date.
            ApplyOutcome::Stale => {}
            ApplyOutcome::Gap => {
                digest.heard = None;
                self.effects.push(Effect::FetchDigest);
            }
        }
    }

    /// Whether a fresh digest covers a runner: then the module hears what the digest has, and no probe goes out.
    pub(super) fn digest_answers(&mut self, now: sr::Time, worker: sr::WorkerId) -> bool {
        self.age_of_reports(now);
        let name = self.tables.workers.name(worker.0);
        let load = self
            .digest
            .as_ref()
            .filter(|digest| digest.fresh(now))
            .and_then(|digest| digest.follower.load_of(name));
        let Some(load) = load else { return false };
        let event = self.digest_event(worker, &load);
        self.events.push_back(event);
        true
    }

    fn digest_tells(&mut self, now: sr::Time, load: &Load) {
        // One that no list has named yet is heard of again when the module asks for it.
        if let Some(worker) = self.tables.workers.get(&load.runner) {
            let event = self.digest_event(sr::WorkerId(worker), load);
            self.tell(now, event);
        }
    }

    fn digest_event(&self, worker: sr::WorkerId, load: &Load) -> sr::Event {
        let fields = self.digest.iter().flat_map(|digest| digest.follower.fields());
        let figures = fields.map(String::as_str).zip(load.values.iter().copied());
        let report = load.ok.then(|| self.tables.named_report(figures));
        sr::Event::Probed(worker, load.ok, report)
    }
}
