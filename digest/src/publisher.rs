//! What is told of the runners' loads, and when: changes that matter, the greatest first, within a budget of
//! bytes; what does not fit is told later. It owns what has been told; it must never ask a runner.

use crate::frame::{Frame, Load};
use crate::quantize::quantize;
use std::collections::HashMap;

/// A change of a large figure by fewer steps than this is not told: some 6%, within which it swings by chance.
const SLACK: u16 = 2;
/// Codes up to which each step is told: whole numbers up to 16 are never rounded away.
const CLOSE: u16 = 80;
/// Bytes of a frame beside its body: epoch, version, empty lists and lengths.
const FRAME: usize = 18;

/// What a runner's load is told as: whether it takes work, then its figures' codes.
type Codes = Vec<u16>;

/// One publisher, for any number of followers: all are told the same.
#[derive(Clone, Debug, Default)]
pub struct Publisher {
    epoch: u64,
    version: u64,
    fields: Vec<String>,
    names: Vec<String>,
    numbers: HashMap<String, usize>,
    /// By runner: what has been told, what it is now, and since which version that differs.
    told: Vec<Codes>,
    now: Vec<Codes>,
    waits: Vec<Option<u64>>,
    /// Names told so far.
    named: usize,
}

impl Publisher {
    /// One that begins at this time (microseconds of Unix time) and tells these figures, sixteen less one at the
    /// most.
    pub fn new(epoch: u64, fields: &[String]) -> Publisher {
        let fields = fields.iter().take(15).cloned().collect();
        Publisher { epoch, fields, ..Publisher::default() }
    }

    /// A runner has said what its load is, or did not answer.
    pub fn record(&mut self, load: &Load) {
        let number = self.numbers.get(&load.runner).copied().unwrap_or_else(|| {
            self.numbers.insert(load.runner.clone(), self.names.len());
            self.names.push(load.runner.clone());
            self.told.push(Vec::new());
            self.now.push(Vec::new());
            self.waits.push(None);
            self.names.len() - 1
        });
        let figure = |at: usize| load.values.get(at).copied().unwrap_or(0.0);
        let codes = (0..self.fields.len()).map(|at| quantize(figure(at)));
        self.now[number] = std::iter::once(u16::from(load.ok)).chain(codes).collect();
        let differs = differs(&self.told[number], &self.now[number]);
        self.waits[number] = differs.then(|| self.waits[number].unwrap_or(self.version));
    }

    /// The next frame, of so many bytes at the most (but for names, which are told at once): changes by how long
    /// they have waited, then by how much they matter. Every follower gets it; an empty one is a sign of life.
    pub fn next_frame(&mut self, most: usize) -> Frame {
        let mut changed: Vec<_> = (0..self.names.len())
            .filter_map(|n| Some((self.waits[n]?, n, weight(&self.told[n], &self.now[n]))))
            .collect();
        changed.sort_by_key(|(since, number, weight)| (*since, std::cmp::Reverse(*weight), *number));
        self.version += 1;
        let names = self.names[self.named..].to_vec();
        self.named = self.names.len();
        let (mut room, mut chosen) = (most.saturating_sub(FRAME), Vec::new());
        for (_, number, _) in changed {
            // A distance and the bits may take two bytes each, and each code.
            let bytes = 3 + 2 * mask(&self.told[number], &self.now[number]).count_ones() as usize;
            if bytes > room {
                break;
            }
            room -= bytes;
            chosen.push(number);
        }
        chosen.sort_unstable();
        let body = body(chosen.iter().map(|n| (*n, &self.told[*n], &self.now[*n])));
        for number in chosen {
            self.told[number].clone_from(&self.now[number]);
            self.waits[number] = None;
        }
        Frame { epoch: self.epoch, version: self.version, whole: false, fields: Vec::new(), names, body }
    }

    /// Everything that has been told, for a follower that has nothing: what waits comes with the next frame.
    pub fn full_frame(&self) -> Frame {
        let none = Vec::new();
        let told = self.told.iter().enumerate().filter(|(_, told)| !told.is_empty());
        Frame {
            epoch: self.epoch,
            version: self.version,
            whole: true,
            fields: self.fields.clone(),
            names: self.names[..self.named].to_vec(),
            body: body(told.map(|(number, told)| (number, &none, told))),
        }
    }
}

/// Which codes differ, by bits; all that are not 0 where nothing has been told.
fn mask(told: &Codes, now: &Codes) -> u16 {
    let differs = |at: usize| now[at] != told.get(at).copied().unwrap_or(0) || told.is_empty() && at == 0;
    (0..now.len()).filter(|at| differs(*at)).fold(0, |mask, at| mask | 1 << at)
}

fn body<'a>(runners: impl Iterator<Item = (usize, &'a Codes, &'a Codes)>) -> Vec<u16> {
    let (mut body, mut next) = (Vec::new(), 0);
    for (number, told, now) in runners {
        let mask = mask(told, now);
        body.extend([(number - next) as u16, mask]);
        body.extend((0..now.len()).filter(|at| mask & 1 << at != 0).map(|at| now[at]));
        next = number + 1;
    }
    body
}

/// Whether a change is told.
fn differs(told: &Codes, now: &Codes) -> bool {
    told.len() != now.len()
        || told.iter().zip(now).any(|(told, now)| {
            let slack = if *now.max(told) > CLOSE { SLACK } else { 1 };
            told.abs_diff(*now) >= slack
        })
}

/// How much a change matters: whether it takes work at all, then whether a figure becomes or stops being 0 (no slot
/// is free any more, or one is), then by how much.
fn weight(told: &Codes, now: &Codes) -> (bool, bool, u16) {
    let standing = told.first() != now.first();
    let pairs = || told.iter().zip(now).skip(1);
    (
        standing,
        pairs().any(|(told, now)| (*told == 0) != (*now == 0)),
        pairs().map(|(t, n)| t.abs_diff(*n)).max().unwrap_or(0),
    )
}
