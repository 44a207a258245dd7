//! Property test of the store against a simple model: a list with linear search and the same rules. More than
//! a million random steps in total, with a fixed seed.

use bytes::Bytes;
use proptest::prelude::*;
use proptest::test_runner::RngSeed;
use sablerun::{Span, Time};
use sablerun_keys::{
    Admission, Bounds, Fingerprint, KeyedRequest, Member, Place, Resolution, Retention, RunId, SentAttempts,
    Store,
};

const WINDOW: [u64; 2] = [100, 40];
const UNCERTAIN_TTL: [u64; 2] = [250, 40];
const MAX_ENTRIES: usize = 12;
const MAX_PER_MEMBER: usize = 8;
const MAX_BYTES: usize = 4000;
const MAX_RESULT: usize = 300;
const MAX_KEY: usize = 20;

#[derive(Clone, Debug)]
enum Step {
    Admit { member: u32, class: u32, key: u8, fingerprint: u8, retry: bool },
    Resolve { pick: prop::sample::Index, kind: u8, size: usize },
    Pass(u64),
    Expire,
}

fn step() -> impl Strategy<Value = Step> {
    prop_oneof![
        6 => (0..3u32, 0..2u32, 0..8u8, 0..12u8, any::<bool>()).prop_map(
            |(member, class, key, fingerprint, retry)| {
                Step::Admit { member, class, key, fingerprint: u8::from(fingerprint == 0), retry }
            }
        ),
        4 => (any::<prop::sample::Index>(), 0..5u8, 0..400usize)
            .prop_map(|(pick, kind, size)| Step::Resolve { pick, kind, size }),
        2 => (1..60u64).prop_map(Step::Pass),
        1 => Just(Step::Expire),
    ]
}

#[derive(Clone)]
enum State {
    InProgress { run: u64, earlier: Option<SentAttempts> },
    Served { at: u64, result: Option<Bytes> },
    MayHaveRun { at: u64, sent: SentAttempts },
}

#[derive(Clone)]
struct Entry {
    member: u32,
    class: u32,
    key: Vec<u8>,
    fingerprint: u8,
    state: State,
}

impl Entry {
    fn in_window(&self, now: u64) -> bool {
        match self.state {
            State::InProgress { .. } => true,
            State::Served { at, .. } | State::MayHaveRun { at, .. } => now < at + WINDOW[self.class as usize],
        }
    }

    fn is_retained(&self, now: u64) -> bool {
        match self.state {
            State::MayHaveRun { at, .. } => now < at + UNCERTAIN_TTL[self.class as usize],
            _ => self.in_window(now),
        }
    }
}

struct World {
    store: Store,
    now: u64,
    runs: u64,
    entries: Vec<Entry>,
    /// New keys that were refused because the store was full or their member at its limit.
    refused: usize,
}

fn key(number: u8) -> Vec<u8> {
    // Boundary lengths (empty, one byte, longest, one byte too long) and arbitrary bytes.
    match number {
        0 => vec![],
        1 => vec![0],
        2 => vec![0xff; MAX_KEY],
        3 => vec![7; MAX_KEY + 1],
        n => vec![n, b'\n', 0xc3],
    }
}

impl World {
    fn new() -> World {
        let retention =
            |n: usize| Retention { window: Span(WINDOW[n]), uncertain_ttl: Span(UNCERTAIN_TTL[n]) };
        let bounds = Bounds {
            max_entries: MAX_ENTRIES,
            max_bytes: MAX_BYTES,
            max_result_bytes: MAX_RESULT,
            max_key_bytes: MAX_KEY,
            max_entries_per_member: MAX_PER_MEMBER,
            hold_off: Span(17),
        };
        let mut store = Store::new(bounds, vec![retention(0), retention(1)]);
        store.reject_unknown_retries_until(0, Time(1100));
        store.reject_unknown_retries_until(1, Time(1100));
        World { store, now: 1000, runs: 0, entries: Vec::new(), refused: 0 }
    }

    fn perform(&mut self, step: Step) {
        match step {
            Step::Admit { member, class, key: number, fingerprint, retry } => {
                let key = key(number);
                self.runs += 1;
                let request = KeyedRequest {
                    member: Member(member),
                    class,
                    key: &key,
                    fingerprint: Fingerprint([fingerprint; 16]),
                    retry,
                };
                let got = self.store.admit(Time(self.now), &request, RunId(self.runs));
                self.check_admission(&request, fingerprint, got);
            }
            Step::Resolve { pick, kind, size } => self.resolve(|n| pick.index(n), kind, size),
            Step::Pass(time) => self.now += time,
            Step::Expire => {
                self.store.expire(Time(self.now), 3);
            }
        }
        let in_window = self.entries.iter().filter(|e| e.in_window(self.now)).count();
        assert!(self.store.len() >= in_window, "a key inside its window was lost");
        assert!(self.store.len() <= MAX_ENTRIES && self.store.bytes() <= MAX_BYTES, "over its bounds");
    }

    fn check_admission(&mut self, request: &KeyedRequest, fingerprint: u8, got: Admission) {
        let now = self.now;
        if request.key.is_empty() || request.key.len() > MAX_KEY {
            assert_eq!(got, Admission::InvalidKey);
            return;
        }
        let same = |e: &Entry| (e.member, e.class, &*e.key) == (request.member.0, request.class, request.key);
        let at = self.entries.iter().position(same).filter(|&at| self.entries[at].is_retained(now));
        let new = Entry {
            member: request.member.0,
            class: request.class,
            key: request.key.to_vec(),
            fingerprint,
            state: State::InProgress { run: self.runs, earlier: None },
        };
        if let Some(at) = at {
            let (droppable, entry) = (!self.entries[at].in_window(now), &mut self.entries[at]);
            if droppable && matches!(got, Admission::New | Admission::Full(_) | Admission::UnknownRetry) {
                // The store evicted it to make room, which is allowed only outside the window.
                self.entries.remove(at);
                return self.check_new(request.retry, new, got);
            }
            let expected = match &entry.state {
                _ if entry.fingerprint != fingerprint => Admission::Conflict,
                State::InProgress { run, .. } => Admission::Join(RunId(*run)),
                State::Served { result: Some(result), .. } => Admission::Replay(result.clone()),
                State::Served { result: None, .. } => Admission::ResultNotStored,
                State::MayHaveRun { sent, .. } => {
                    if sent.place.is_some() && now < sent.first_at.0 + WINDOW[entry.class as usize] {
                        let sent = *sent;
                        entry.state = State::InProgress { run: self.runs, earlier: Some(sent) };
                        Admission::Resend(sent)
                    } else {
                        Admission::NotRepeatable
                    }
                }
            };
            assert_eq!(got, expected);
            return;
        }
        self.entries.retain(|e| !same(e));
        self.check_new(request.retry, new, got);
    }

    fn check_new(&mut self, retry: bool, new: Entry, got: Admission) {
        let now = self.now;
        if retry && now < 1100 {
            assert_eq!(got, Admission::UnknownRetry);
            return;
        }
        let in_window = |e: &&Entry| e.in_window(now);
        let (all, of_member) = (
            self.entries.iter().filter(in_window).count(),
            self.entries.iter().filter(in_window).filter(|e| e.member == new.member).count(),
        );
        match got {
            Admission::New => {
                assert!(
                    all < MAX_ENTRIES && of_member < MAX_PER_MEMBER,
                    "accepted a new key although there is no room"
                );
                self.entries.push(new);
            }
            Admission::Full(wait) => {
                assert!(wait.0 > 0, "refused without a retry delay");
                // Entries that may have run count towards the limit of their member until they expire.
                let retained_of_member = |e: &&Entry| e.is_retained(now) && e.member == new.member;
                let member = self.entries.iter().filter(retained_of_member).count() >= MAX_PER_MEMBER;
                let full = all >= MAX_ENTRIES || self.store.bytes() + 400 > MAX_BYTES;
                assert!(member || full, "refused although there is room");
                self.refused += 1;
            }
            other => panic!("a new key: {other:?}"),
        }
    }

    fn resolve(&mut self, pick: impl Fn(usize) -> usize, kind: u8, size: usize) {
        let in_progress: Vec<usize> = (0..self.entries.len())
            .filter(|&n| matches!(self.entries[n].state, State::InProgress { .. }))
            .collect();
        if in_progress.is_empty() {
            return;
        }
        let (now, at) = (self.now, in_progress[pick(in_progress.len())]);
        let entry = &mut self.entries[at];
        let State::InProgress { earlier, .. } = entry.state else { unreachable!("filtered above") };
        let place = Some(Place { zone: u32::from(kind), cell: 0 });
        let sent = SentAttempts::single(if kind == 3 { None } else { place }, Time(now.saturating_sub(30)));
        let resolution = match kind {
            0 | 1 => Resolution::Served(vec![kind; size].into()),
            2 | 3 => Resolution::MayHaveRun(sent),
            _ => Resolution::NeverRan,
        };
        let (member, class, key) = (Member(entry.member), entry.class, entry.key.clone());
        let before = self.store.counts().results_dropped;
        self.store.resolve(Time(now), member, class, &key, resolution.clone());
        let dropped = self.store.counts().results_dropped > before;
        match (resolution, earlier) {
            (Resolution::Served(result), _) => {
                assert!(dropped || result.len() <= MAX_RESULT);
                entry.state = State::Served { at: now, result: (!dropped).then_some(result) };
            }
            (Resolution::MayHaveRun(sent), earlier) => {
                let sent = earlier.map_or(sent, |earlier| earlier.merge(sent));
                entry.state = State::MayHaveRun { at: now, sent };
            }
            (Resolution::NeverRan, Some(sent)) => entry.state = State::MayHaveRun { at: now, sent },
            (Resolution::NeverRan, None) => {
                self.entries.remove(at);
            }
        }
    }
}

proptest! {
    // 7,000 cases of 150 to 200 steps: over a million.
    #![proptest_config(ProptestConfig {
        cases: 7000,
        rng_seed: RngSeed::Fixed(0x5ab1e),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    #[test]
    fn the_store_behaves_like_the_model(steps in prop::collection::vec(step(), 150..200)) {
        let mut world = World::new();
        for step in steps {
            world.perform(step);
        }
        // Once all keys are resolved and expired, no entry and no byte may be left.
        while world.entries.iter().any(|e| matches!(e.state, State::InProgress { .. })) {
            world.resolve(|_| 0, 0, 10);
        }
        world.now += 1000;
        world.store.expire(Time(world.now), usize::MAX);
        prop_assert_eq!((world.store.len(), world.store.bytes()), (0, 0));
    }
}
