//! The store itself. It owns the two halves of what is known, keys under way and keys settled, and the
//! count of their bytes. It must never drop what is under way or inside its window.
//!
//! Settled keys stand in one lane for each class and kind of fate. In a lane all keys are kept for
//! equally long, so the order of settling is the order of expiry, and the front of a lane is its oldest.
//! There are two lanes a class however many keys there are: a step costs a few look-ups, and the dropping
//! of what has expired is paid for by the steps that put it there.

use crate::{
    Admission, Bounds, Counts, Fingerprint, KeyedRequest, Member, Resolution, Retention, RunId, SentAttempts,
};
use bytes::Bytes;
use hashlink::LinkedHashMap;
use sablerun::{Span, Time};
use std::collections::HashMap;

/// Bytes that an entry takes beside its key and result: both tables' slots and links at their usual
/// load, and the allocator's round-up (the benchmark `store` measures it).
const OVERHEAD: usize = 224;
/// Most expired entries that one step drops.
const STRIDE: usize = 256;

/// Member and class, 4 bytes each, then the key: one allocation, and look-ups by a slice.
type Id = Box<[u8]>;
type Hash = foldhash::fast::RandomState;

struct UnderWay {
    print: Fingerprint,
    run: RunId,
    /// What is known of an earlier try that may have run.
    earlier: Option<SentAttempts>,
}

struct Settled {
    print: Fingerprint,
    at: Time,
    /// `None` in a lane of served keys: the result was not kept.
    result: Option<Bytes>,
    /// Set in a lane of keys that may have run.
    sent: Option<SentAttempts>,
}

type Lane = LinkedHashMap<Id, Settled, Hash>;

struct Class {
    rule: Retention,
    /// Until when a later try may be of a request that a predecessor took.
    doubt_until: Time,
    served: Lane,
    uncertain: Lane,
}

/// One settled or unfinished key, as a snapshot keeps it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Record {
    /// Whose key.
    pub member: Member,
    /// Its class.
    pub class: u32,
    /// The key.
    pub key: Vec<u8>,
    /// What was asked for.
    pub fingerprint: Fingerprint,
    /// When it was settled.
    pub resolved_at: Time,
    /// How: served, or may have run.
    pub resolution: Resolution,
}

/// What is held, counted.
#[derive(Default)]
struct Held {
    settled: usize,
    bytes: usize,
    /// Entries of each member, under way and settled.
    members: HashMap<Member, usize, Hash>,
}

impl Held {
    /// A key comes in.
    fn enter(&mut self, member: Member, id: usize) {
        self.bytes += OVERHEAD + id;
        *self.members.entry(member).or_default() += 1;
    }

    /// A key goes.
    fn leave(&mut self, member: Member, id: usize) {
        self.bytes -= OVERHEAD + id;
        if let Some(count) = self.members.get_mut(&member) {
            *count -= 1;
            if *count == 0 {
                self.members.remove(&member);
            }
        }
    }

    /// A settled key goes, and its result.
    fn drop(&mut self, id: &Id, held: &Settled) {
        self.settled -= 1;
        self.bytes -= held.result.as_ref().map_or(0, Bytes::len);
        self.leave(member_of(id), id.len());
    }
}

/// The store.
pub struct Store {
    bounds: Bounds,
    classes: Vec<Class>,
    under_way: HashMap<Id, UnderWay, Hash>,
    held: Held,
    counts: Counts,
    /// The identity being looked up.
    scratch: Vec<u8>,
}

impl Store {
    /// An empty store with a rule for each class.
    pub fn new(bounds: Bounds, rules: Vec<Retention>) -> Store {
        let mut store = Store {
            bounds,
            classes: Vec::new(),
            under_way: HashMap::default(),
            held: Held::default(),
            counts: Counts::default(),
            scratch: Vec::new(),
        };
        rules.into_iter().for_each(|rule| store.add_class(rule));
        store
    }

    /// One more class, numbered after those before it.
    pub fn add_class(&mut self, rule: Retention) {
        let lane = || LinkedHashMap::with_hasher(Hash::default());
        let rule = Retention { uncertain_ttl: rule.uncertain_ttl.max(rule.window), ..rule };
        self.classes.push(Class { rule, doubt_until: Time(0), served: lane(), uncertain: lane() });
    }

    /// Until then a class's marked later try under an unknown key fails: a predecessor may have sent it
    /// anywhere.
    pub fn reject_unknown_retries_until(&mut self, class: u32, until: Time) {
        if let Some(class) = self.classes.get_mut(class as usize) {
            class.doubt_until = until;
        }
    }

    /// Whether a class is in doubt still: what a predecessor sent may be known to nobody.
    pub fn rejects_unknown_retries(&self, now: Time) -> bool {
        self.classes.iter().any(|class| now < class.doubt_until)
    }

    /// Keys held.
    pub fn len(&self) -> usize {
        self.under_way.len() + self.held.settled
    }

    /// Keys under way.
    pub fn in_progress(&self) -> usize {
        self.under_way.len()
    }

    /// Whether no key is held.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// Bytes held: keys, results and an overhead for each.
    pub fn bytes(&self) -> usize {
        self.held.bytes
    }

    /// What has been counted so far.
    pub fn counts(&self) -> Counts {
        self.counts
    }

    /// What a request may do. Where that is to begin, the key is under way as `run` until
    /// [`resolve`](Store::resolve) ends it.
    ///
    /// Guards against a repeat that runs a second time, at another hall above all. Could do harm where a
    /// client uses one key for two requests: the second gets the first one's answer, unless its body or
    /// path differs.
    pub fn admit(&mut self, now: Time, asked: &KeyedRequest, run: RunId) -> Admission {
        if asked.key.is_empty() || asked.key.len() > self.bounds.max_key_bytes {
            return Admission::InvalidKey;
        }
        let Some(class) = self.classes.get_mut(asked.class as usize) else { return Admission::InvalidKey };
        identity(&mut self.scratch, asked.member, asked.class, asked.key);
        let id = self.scratch.as_slice();
        if let Some(held) = self.under_way.get(id) {
            if held.print != asked.fingerprint {
                self.counts.conflicts += 1;
                return Admission::Conflict;
            }
            self.counts.joined += 1;
            return Admission::Join(held.run);
        }
        let rule = class.rule;
        if let Some(held) = class.served.get(id).filter(|held| now < held.at + rule.window) {
            return if held.print != asked.fingerprint {
                self.counts.conflicts += 1;
                Admission::Conflict
            } else if let Some(result) = &held.result {
                self.counts.replayed += 1;
                Admission::Replay(result.clone())
            } else {
                self.counts.result_not_stored += 1;
                Admission::ResultNotStored
            };
        }
        if let Some(held) = class.uncertain.get(id).filter(|held| now < held.at + rule.uncertain_ttl) {
            if held.print != asked.fingerprint {
                self.counts.conflicts += 1;
                return Admission::Conflict;
            }
            let sent = held.sent.filter(|sent| sent.place.is_some() && now < sent.first_at + rule.window);
            let Some(sent) = sent else {
                self.counts.not_repeatable += 1;
                return Admission::NotRepeatable;
            };
            // From settled to under way: it takes no more room than it has.
            let (id, held) = class.uncertain.remove_entry(id).expect("looked up above");
            self.held.settled -= 1;
            self.counts.resent += 1;
            self.under_way.insert(id, UnderWay { print: held.print, run, earlier: Some(sent) });
            return Admission::Resend(sent);
        }
        if asked.retry && now < class.doubt_until {
            self.counts.unknown_retries += 1;
            return Admission::UnknownRetry;
        }
        let need = OVERHEAD + id.len();
        if let Some(wait) = self.no_room(now, asked.member, need) {
            return Admission::Full(wait);
        }
        // It may still stand in a lane, expired.
        let class = &mut self.classes[asked.class as usize];
        for lane in [&mut class.served, &mut class.uncertain] {
            if let Some((id, held)) = lane.remove_entry(self.scratch.as_slice()) {
                self.held.drop(&id, &held);
            }
        }
        self.counts.started += 1;
        self.held.enter(asked.member, self.scratch.len());
        let begun = UnderWay { print: asked.fingerprint, run, earlier: None };
        self.under_way.insert(self.scratch.as_slice().into(), begun);
        Admission::New
    }

    /// Ends the run of a key; one that is not under way is passed over.
    pub fn resolve(&mut self, now: Time, member: Member, class: u32, key: &[u8], fate: Resolution) {
        identity(&mut self.scratch, member, class, key);
        let Some((id, held)) = self.under_way.remove_entry(self.scratch.as_slice()) else { return };
        let (result, sent) = match (fate, held.earlier) {
            (Resolution::Served(result), _) => (Some(result), None),
            (Resolution::MayHaveRun(sent), earlier) => {
                (None, Some(earlier.map_or(sent, |earlier| earlier.merge(sent))))
            }
            // This try never ran, but the earlier one may have.
            (Resolution::NeverRan, Some(earlier)) => (None, Some(earlier)),
            (Resolution::NeverRan, None) => {
                self.held.leave(member, id.len());
                return;
            }
        };
        self.keep(now, id, Settled { print: held.print, at: now, result, sent });
    }

    fn keep(&mut self, now: Time, id: Id, mut settled: Settled) {
        if let Some(result) = &settled.result {
            let size = result.len();
            if size > self.bounds.max_result_bytes || !self.fits(now, 0, size) {
                self.counts.results_dropped += 1;
                settled.result = None;
            } else {
                self.held.bytes += size;
            }
        }
        self.held.settled += 1;
        let class = &mut self.classes[class_of(&id) as usize];
        let lane = if settled.sent.is_some() { &mut class.uncertain } else { &mut class.served };
        lane.insert(id, settled);
    }

    /// Whether there is room for so many more entries and bytes, once what may go has gone.
    fn fits(&mut self, now: Time, entries: usize, bytes: usize) -> bool {
        let fit = |store: &Store| {
            store.len() + entries <= store.bounds.max_entries
                && store.bytes() + bytes <= store.bounds.max_bytes
        };
        for _ in 0..STRIDE {
            if fit(self) {
                return true;
            }
            if !self.drop_oldest(now) {
                return false;
            }
        }
        fit(self)
    }

    /// When a newcomer that finds no room may come back.
    fn no_room(&mut self, now: Time, member: Member, need: usize) -> Option<Span> {
        self.expire(now, 2);
        let held = |store: &Store| store.held.members.get(&member).copied().unwrap_or(0);
        if held(self) >= self.bounds.max_entries_per_member {
            self.expire(now, STRIDE);
            if held(self) >= self.bounds.max_entries_per_member {
                self.counts.member_full += 1;
                return Some(self.wait(now));
            }
        }
        if !self.fits(now, 1, need) {
            self.counts.full += 1;
            return Some(self.wait(now));
        }
        None
    }

    /// The settled key whose window ends first: when, its class, and its lane (0: served).
    fn first_end(&self) -> Option<(Time, usize, usize)> {
        let ends = self.classes.iter().enumerate().flat_map(|(number, class)| {
            let fronts = [class.served.front(), class.uncertain.front()];
            let end = move |(_, held): (&Id, &Settled)| held.at + class.rule.window;
            fronts.into_iter().enumerate().filter_map(move |(l, f)| f.map(|f| (end(f), number, l)))
        });
        ends.min()
    }

    /// Until the oldest settled key is outside its window.
    fn wait(&self, now: Time) -> Span {
        let left = self.first_end().map_or(Span(0), |(end, ..)| end - now);
        if left.0 == 0 { self.bounds.hold_off } else { left }
    }

    /// Drops what nobody may ask for any more, so many at the most; how many it was.
    pub fn expire(&mut self, now: Time, most: usize) -> usize {
        let mut dropped = 0;
        for class in &mut self.classes {
            let Retention { window, uncertain_ttl: keep } = class.rule;
            for (lane, kept) in [(&mut class.served, window), (&mut class.uncertain, keep)] {
                while dropped < most && lane.front().is_some_and(|(_, held)| held.at + kept <= now) {
                    let (id, held) = lane.pop_front().expect("looked at above");
                    self.held.drop(&id, &held);
                    dropped += 1;
                }
            }
        }
        dropped
    }

    /// Drops the settled key whose window ended first; none is inside its window.
    fn drop_oldest(&mut self, now: Time) -> bool {
        let Some((_, number, lane)) = self.first_end().filter(|(end, ..)| *end <= now) else { return false };
        let class = &mut self.classes[number];
        let lane = if lane == 0 { &mut class.served } else { &mut class.uncertain };
        let (id, held) = lane.pop_front().expect("its front was looked at");
        if held.sent.is_some() {
            self.counts.evicted += 1;
        }
        self.held.drop(&id, &held);
        true
    }

    /// All that a successor should know, oldest first. What is under way may have been sent since anywhere
    /// that `sent` does not tell of.
    pub fn records(&self, now: Time, sent: impl Fn(RunId) -> Option<SentAttempts>) -> Vec<Record> {
        let record = |id: &Id, print, at, fate| {
            let (member, class) = (member_of(id), class_of(id));
            Record {
                member,
                class,
                key: id[8..].to_vec(),
                fingerprint: print,
                resolved_at: at,
                resolution: fate,
            }
        };
        let mut all = Vec::with_capacity(self.len());
        for class in &self.classes {
            for (id, held) in class.served.iter().chain(&class.uncertain) {
                let fate = match (&held.sent, &held.result) {
                    (Some(sent), _) => Resolution::MayHaveRun(*sent),
                    (None, Some(result)) => Resolution::Served(result.clone()),
                    // Without its result it is as good as spent: a repeat must not run.
                    (None, None) => Resolution::MayHaveRun(SentAttempts::single(None, held.at)),
                };
                all.push(record(id, held.print, held.at, fate));
            }
        }
        for (id, held) in &self.under_way {
            let unknown = SentAttempts::single(None, now);
            let sent = match (held.earlier, sent(held.run)) {
                (Some(earlier), Some(sent)) => earlier.merge(sent),
                (earlier, sent) => earlier.or(sent).unwrap_or(unknown),
            };
            all.push(record(id, held.print, now, Resolution::MayHaveRun(sent)));
        }
        // In an order that does not hang on the tables' seeds.
        let order = |r: &Record| (r.resolved_at, r.member, r.class);
        all.sort_by(|a, b| order(a).cmp(&order(b)).then_with(|| a.key.cmp(&b.key)));
        all
    }

    /// Takes a predecessor's records, oldest first. Those that have expired, or are of a class that there
    /// is not, are passed over; where there is no room for all, the oldest are. How many were taken.
    pub fn restore(&mut self, now: Time, mut records: Vec<Record>) -> usize {
        records.sort_by_key(|record| record.resolved_at);
        let mut taken = 0;
        let room = self.bounds.max_entries.saturating_sub(self.len());
        let skip = records.len().saturating_sub(room);
        for record in records.into_iter().skip(skip) {
            let Some(rule) = self.classes.get(record.class as usize).map(|class| class.rule) else {
                continue;
            };
            // A clock that was set back must not make a key last for ever.
            let at = record.resolved_at.min(now);
            let kept = if matches!(record.resolution, Resolution::Served(_)) {
                rule.window
            } else {
                rule.uncertain_ttl
            };
            let key = record.key.as_slice();
            if at + kept <= now || key.is_empty() || key.len() > self.bounds.max_key_bytes {
                continue;
            }
            let (result, sent) = match record.resolution {
                Resolution::Served(result) => (Some(result), None),
                Resolution::MayHaveRun(sent) => (None, Some(sent)),
                Resolution::NeverRan => continue,
            };
            identity(&mut self.scratch, record.member, record.class, key);
            let need = OVERHEAD + self.scratch.len();
            if self.held.bytes + need > self.bounds.max_bytes
                || self.under_way.contains_key(self.scratch.as_slice())
            {
                continue;
            }
            let known = self.classes[record.class as usize].served.contains_key(self.scratch.as_slice())
                || self.classes[record.class as usize].uncertain.contains_key(self.scratch.as_slice());
            if known {
                continue;
            }
            self.held.enter(record.member, self.scratch.len());
            let id: Id = self.scratch.as_slice().into();
            self.keep(now, id, Settled { print: record.fingerprint, at, result, sent });
            taken += 1;
        }
        taken
    }
}

fn identity(into: &mut Vec<u8>, member: Member, class: u32, key: &[u8]) {
    into.clear();
    into.extend_from_slice(&member.0.to_le_bytes());
    into.extend_from_slice(&class.to_le_bytes());
    into.extend_from_slice(key);
}

fn member_of(id: &Id) -> Member {
    Member(u32::from_le_bytes([id[0], id[1], id[2], id[3]]))
}

fn class_of(id: &Id) -> u32 {
    u32::from_le_bytes([id[4], id[5], id[6], id[7]])
}
