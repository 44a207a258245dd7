//! The publisher of a digest: chooses which changes of the runners' loads to send in each frame. Sends
//! significant changes, the longest waiting and the largest first, within a byte budget; the rest waits for a
//! later frame.

use crate::frame::{Frame, Load};
use crate::quantize::quantize;
use std::collections::HashMap;

/// Smallest change of a large value that is published, in quantization steps: about 6%. Smaller changes are
/// mostly noise.
const MIN_CHANGE_OF_LARGE: u16 = 2;
/// Largest code up to which every change is published, so that whole numbers up to 16 are always exact.
const MAX_SMALL_CODE: u16 = 80;
/// Size of a frame without its body and names, in bytes: epoch, version, lengths and empty lists.
const FRAME_OVERHEAD_BYTES: usize = 18;

/// The published form of a load: `ok` as 0 or 1, then the codes of the values.
type Codes = Vec<u16>;

/// The state of a publisher. All followers receive the same frames.
#[derive(Clone, Debug, Default)]
pub struct Publisher {
    epoch: u64,
    version: u64,
    fields: Vec<String>,
    names: Vec<String>,
    numbers: HashMap<String, usize>,
    /// The last published codes of each runner; empty if none.
    published: Vec<Codes>,
    /// The current codes of each runner.
    current: Vec<Codes>,
    /// The version since which a runner has an unpublished change.
    pending_since: Vec<Option<u64>>,
    /// The number of names published so far.
    published_names: usize,
}

impl Publisher {
    /// Returns a publisher that started at this time (microseconds of Unix time) and publishes these load
    /// values; at most 15, since a mask has 16 bits.
    pub fn new(epoch: u64, fields: &[String]) -> Publisher {
        let fields = fields.iter().take(15).cloned().collect();
        Publisher { epoch, fields, ..Publisher::default() }
    }

    /// Records the answer of a runner to a poll, or that it did not answer.
    pub fn record(&mut self, load: &Load) {
        let number = self.numbers.get(&load.runner).copied().unwrap_or_else(|| {
            self.numbers.insert(load.runner.clone(), self.names.len());
            self.names.push(load.runner.clone());
            self.published.push(Vec::new());
            self.current.push(Vec::new());
            self.pending_since.push(None);
            self.names.len() - 1
        });
        let value = |at: usize| load.values.get(at).copied().unwrap_or(0.0);
        let codes = (0..self.fields.len()).map(|at| quantize(value(at)));
        self.current[number] = std::iter::once(u16::from(load.ok)).chain(codes).collect();
        let significant = is_significant(&self.published[number], &self.current[number]);
        self.pending_since[number] = significant.then(|| self.pending_since[number].unwrap_or(self.version));
    }

    /// Returns the next frame for all followers, of at most `max_bytes` without names, which are always
    /// published at once. Changes are ordered by waiting time, then by weight. A frame without changes is a
    /// heartbeat.
    pub fn next_frame(&mut self, max_bytes: usize) -> Frame {
        let mut changed: Vec<_> = (0..self.names.len())
            .filter_map(|n| Some((self.pending_since[n]?, n, weight(&self.published[n], &self.current[n]))))
            .collect();
        changed.sort_by_key(|(since, number, weight)| (*since, std::cmp::Reverse(*weight), *number));
        self.version += 1;
        let names = self.names[self.published_names..].to_vec();
        self.published_names = self.names.len();
        let (mut budget, mut chosen) = (max_bytes.saturating_sub(FRAME_OVERHEAD_BYTES), Vec::new());
        for (_, number, _) in changed {
            // Counts three bytes for the distance and the mask together, and two for each code.
            let bytes = 3 + 2 * mask(&self.published[number], &self.current[number]).count_ones() as usize;
            if bytes > budget {
                break;
            }
            budget -= bytes;
            chosen.push(number);
        }
        chosen.sort_unstable();
        let body = body(chosen.iter().map(|n| (*n, &self.published[*n], &self.current[*n])));
        for number in chosen {
            self.published[number].clone_from(&self.current[number]);
            self.pending_since[number] = None;
        }
        Frame { epoch: self.epoch, version: self.version, whole: false, fields: Vec::new(), names, body }
    }

    /// Returns a full frame with everything published so far, for a new follower. Pending changes follow in
    /// the next frame.
    pub fn full_frame(&self) -> Frame {
        let empty = Vec::new();
        let published = self.published.iter().enumerate().filter(|(_, published)| !published.is_empty());
        Frame {
            epoch: self.epoch,
            version: self.version,
            whole: true,
            fields: self.fields.clone(),
            names: self.names[..self.published_names].to_vec(),
            body: body(published.map(|(number, published)| (number, &empty, published))),
        }
    }
}

/// Returns a bit mask of the codes that differ; of `ok` and all non-zero codes if nothing has been published.
fn mask(published: &Codes, current: &Codes) -> u16 {
    let differs =
        |at: usize| current[at] != published.get(at).copied().unwrap_or(0) || published.is_empty() && at == 0;
    (0..current.len()).filter(|at| differs(*at)).fold(0, |mask, at| mask | 1 << at)
}

/// Encodes the changes of these runners, given as number, published and current codes.
fn body<'a>(runners: impl Iterator<Item = (usize, &'a Codes, &'a Codes)>) -> Vec<u16> {
    let (mut body, mut next) = (Vec::new(), 0);
    for (number, published, current) in runners {
        let mask = mask(published, current);
        body.extend([(number - next) as u16, mask]);
        body.extend((0..current.len()).filter(|at| mask & 1 << at != 0).map(|at| current[at]));
        next = number + 1;
    }
    body
}

/// Whether a change is large enough to be published.
fn is_significant(published: &Codes, current: &Codes) -> bool {
    published.len() != current.len()
        || published.iter().zip(current).any(|(published, current)| {
            let min_steps = if *current.max(published) > MAX_SMALL_CODE { MIN_CHANGE_OF_LARGE } else { 1 };
            published.abs_diff(*current) >= min_steps
        })
}

/// The weight of a change: first whether `ok` changed, then whether a value became or stopped being 0 (for
/// example the number of free slots), then the largest difference.
fn weight(published: &Codes, current: &Codes) -> (bool, bool, u16) {
    let ok_changed = published.first() != current.first();
    let pairs = || published.iter().zip(current).skip(1);
    (
        ok_changed,
        pairs().any(|(published, current)| (*published == 0) != (*current == 0)),
        pairs().map(|(published, current)| published.abs_diff(*current)).max().unwrap_or(0),
    )
}
