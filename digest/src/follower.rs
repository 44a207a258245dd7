//! What a follower knows of the runners' loads. It owns the order of versions: what is older, or comes twice,
//! changes nothing; what leaves a gap asks for the whole. It must never read a clock: how long ago something came
//! is for whoever holds it.

use crate::frame::{Frame, Load};
use crate::quantize::dequantize;
use std::collections::HashMap;

/// What became of a frame.
#[derive(Clone, Debug, PartialEq)]
pub enum ApplyOutcome {
    /// It holds: these runners' loads have changed.
    Changed(Vec<Load>),
    /// It is of an earlier publisher, of an earlier version, or came before: nothing has changed.
    Stale,
    /// Frames are missing before it, or it makes no sense: the whole has to be asked for.
    Gap,
}

/// A follower.
#[derive(Clone, Debug, Default)]
pub struct Follower {
    held: Option<(u64, u64)>,
    fields: Vec<String>,
    names: Vec<String>,
    numbers: HashMap<String, usize>,
    codes: Vec<Vec<u16>>,
}

impl Follower {
    /// The epoch and version that it has.
    pub fn current_version(&self) -> Option<(u64, u64)> {
        self.held
    }

    /// The names of the figures.
    pub fn fields(&self) -> &[String] {
        &self.fields
    }

    /// Takes a frame.
    pub fn apply(&mut self, frame: &Frame) -> ApplyOutcome {
        let old = |(epoch, version)| (frame.epoch, frame.version) <= (epoch, version);
        if self.held.is_some_and(old) {
            return ApplyOutcome::Stale;
        }
        let follows = Some((frame.epoch, frame.version.wrapping_sub(1)));
        if !frame.whole && self.held != follows {
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
            // Part of it may have been put to use: nothing of it is believed.
            *self = Follower::default();
            return ApplyOutcome::Gap;
        };
        next.held = Some((frame.epoch, frame.version));
        *self = next;
        ApplyOutcome::Changed(changed.into_iter().map(|number| self.load(number)).collect())
    }

    /// What is known of a runner; none if nothing has been told.
    pub fn load_of(&self, runner: &str) -> Option<Load> {
        let number = *self.numbers.get(runner)?;
        (!self.codes[number].is_empty()).then(|| self.load(number))
    }

    /// Puts a body to use: the numbers of the runners that it tells of; none if it makes no sense.
    fn apply_body(&mut self, body: &[u16]) -> Option<Vec<usize>> {
        let (mut rest, mut number, mut changed) = (body.iter().copied(), 0, Vec::new());
        while let Some(step) = rest.next() {
            let mask = rest.next()?;
            number += usize::from(step);
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
