//! The follower of a digest: reconstructs the runners' loads from frames. Outdated and repeated frames are
//! ignored; after a gap a full frame is needed. Contains no clock: the caller tracks the age of the digest.

use crate::frame::{Frame, Load};
use crate::quantize::dequantize;
use std::collections::HashMap;

/// The result of applying a frame.
#[derive(Clone, Debug, PartialEq)]
pub enum ApplyOutcome {
    /// The frame was applied; it contained these loads.
    Changed(Vec<Load>),
    /// The frame is from an earlier publisher, outdated, or a repeat; it was ignored.
    Stale,
    /// Earlier frames are missing, or the frame is invalid; the follower needs a full frame.
    Gap,
}

/// The state of a follower.
#[derive(Clone, Debug, Default)]
pub struct Follower {
    version: Option<(u64, u64)>,
    fields: Vec<String>,
    names: Vec<String>,
    numbers: HashMap<String, usize>,
    codes: Vec<Vec<u16>>,
}

impl Follower {
    /// Returns the epoch and version of the last applied frame.
    pub fn current_version(&self) -> Option<(u64, u64)> {
        self.version
    }

    /// Returns the names of the load values.
    pub fn fields(&self) -> &[String] {
        &self.fields
    }

    /// Applies a frame.
    pub fn apply(&mut self, frame: &Frame) -> ApplyOutcome {
        let outdated = |(epoch, version)| (frame.epoch, frame.version) <= (epoch, version);
        if self.version.is_some_and(outdated) {
            return ApplyOutcome::Stale;
        }
        let previous = Some((frame.epoch, frame.version.wrapping_sub(1)));
        if !frame.whole && self.version != previous {
            return ApplyOutcome::Gap;
        }
        let mut next = if frame.whole { Follower::default() } else { std::mem::take(self) };
        if frame.whole {
            next.fields.clone_from(&frame.fields);
        }
        for name in &frame.names {
            next.numbers.insert(name.clone(), next.names.len());
            next.names.push(name.clone());
        }
        next.codes.resize(next.names.len(), Vec::new());
        let Some(changed) = next.apply_body(&frame.body) else {
            // Part of the frame may have been applied: the whole state is discarded.
            *self = Follower::default();
            return ApplyOutcome::Gap;
        };
        next.version = Some((frame.epoch, frame.version));
        *self = next;
        ApplyOutcome::Changed(changed.into_iter().map(|number| self.load(number)).collect())
    }

    /// Returns the last known load of a runner, if any.
    pub fn load_of(&self, runner: &str) -> Option<Load> {
        let number = *self.numbers.get(runner)?;
        (!self.codes[number].is_empty()).then(|| self.load(number))
    }

    /// Applies the body of a frame; returns the numbers of the changed runners, or `None` if the body is
    /// invalid.
    fn apply_body(&mut self, body: &[u16]) -> Option<Vec<usize>> {
        let (mut rest, mut number, mut changed) = (body.iter().copied(), 0, Vec::new());
        while let Some(skipped) = rest.next() {
            let mask = rest.next()?;
            number += usize::from(skipped);
            let codes = self.codes.get_mut(number)?;
            codes.resize(self.fields.len() + 1, 0);
            for at in (0..16).filter(|at| mask & 1 << at != 0) {
                *codes.get_mut(at)? = rest.next()?;
            }
            changed.push(number);
            number += 1;
        }
        Some(changed)
    }

    fn load(&self, number: usize) -> Load {
        let codes = &self.codes[number];
        Load {
            runner: self.names[number].clone(),
            ok: codes.first().is_some_and(|ok| *ok != 0),
            values: codes.iter().skip(1).map(|code| dequantize(*code)).collect(),
        }
    }
}
