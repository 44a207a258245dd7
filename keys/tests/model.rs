//! The store against a plain model: a list that is searched from end to end, with the rules written down
//! again in the shortest way. Random steps, a fixed seed, over a million of them in all.

use bytes::Bytes;
use proptest::prelude::*;
use proptest::test_runner::RngSeed;
use sablerun::{Span, Time};
use sablerun_keys::{
    Admission, Bounds, Fingerprint, KeyedRequest, Member, Place, Resolution, Retention, RunId, SentAttempts,
    Store,
};

const WINDOW: [u64; 2] = [100, 40];
const KEEP: [u64; 2] = [250, 40];
const ENTRIES: usize = 12;
const OF_MEMBER: usize = 8;
const BYTES: usize = 4000;
const RESULT: usize = 300;
const KEY: usize = 20;

#[derive(Clone, Debug)]
enum Step {
    Ask { member: u32, class: u32, key: u8, print: u8, retry: bool },
    Settle { of: prop::sample::Index, fate: u8, size: usize },
    Pass(u64),
    Expire,
}

fn step() -> impl Strategy<Value = Step> {
    prop_oneof![
        6 => (0..3u32, 0..2u32, 0..8u8, 0..12u8, any::<bool>()).prop_map(|(member, class, key, print, retry)| {
            Step::Ask { member, class, key, print: u8::from(print == 0), retry }
        }),
        4 => (any::<prop::sample::Index>(), 0..5u8, 0..400usize)
            .prop_map(|(of, fate, size)| Step::Settle { of, fate, size }),
        2 => (1..60u64).prop_map(Step::Pass),
        1 => Just(Step::Expire),
    ]
}

#[derive(Clone)]
enum State {
    UnderWay { run: u64, earlier: Option<SentAttempts> },
    Served { at: u64, result: Option<Bytes> },
    MayHaveRun { at: u64, sent: SentAttempts },
}

#[derive(Clone)]
struct Entry {
    member: u32,
    class: u32,
    key: Vec<u8>,
    print: u8,
    state: State,
}

impl Entry {
    fn in_window(&self, now: u64) -> bool {
        match self.state {
            State::UnderWay { .. } => true,
            State::Served { at, .. } | State::MayHaveRun { at, .. } => now < at + WINDOW[self.class as usize],
        }
    }

    fn kept(&self, now: u64) -> bool {
        match self.state {
            State::MayHaveRun { at, .. } => now < at + KEEP[self.class as usize],
            _ => self.in_window(now),
        }
    }
}

struct World {
    store: Store,
    now: u64,
    runs: u64,
    entries: Vec<Entry>,
    /// Keys that the store may have dropped: outside their windows, while it was full.
    refused: usize,
}

fn key(number: u8) -> Vec<u8> {
    // Of every length that counts: none, one byte, the longest, one too many, and odd bytes.
    match number {
        0 => vec![],
        1 => vec![0],
        2 => vec![0xff; KEY],
        3 => vec![7; KEY + 1],
        n => vec![n, b'\n', 0xc3],
    }
}

impl World {
    fn new() -> World {
        let rule = |n: usize| Retention { window: Span(WINDOW[n]), uncertain_ttl: Span(KEEP[n]) };
        let bounds = Bounds {
            max_entries: ENTRIES,
            max_bytes: BYTES,
            max_result_bytes: RESULT,
            max_key_bytes: KEY,
            max_entries_per_member: OF_MEMBER,
            hold_off: Span(17),
        };
        let mut store = Store::new(bounds, vec![rule(0), rule(1)]);
        store.reject_unknown_retries_until(0, Time(1100));
        store.reject_unknown_retries_until(1, Time(1100));
        World { store, now: 1000, runs: 0, entries: Vec::new(), refused: 0 }
    }

    fn take(&mut self, step: Step) {
        match step {
            Step::Ask { member, class, key: number, print, retry } => {
                let key = key(number);
                self.runs += 1;
                let asked = KeyedRequest {
                    member: Member(member),
                    class,
                    key: &key,
                    fingerprint: Fingerprint([print; 16]),
                    retry,
                };
                let got = self.store.admit(Time(self.now), &asked, RunId(self.runs));
                self.check_ask(&asked, print, got);
            }
            Step::Settle { of, fate, size } => self.settle(|n| of.index(n), fate, size),
            Step::Pass(time) => self.now += time,
            Step::Expire => {
                self.store.expire(Time(self.now), 3);
            }
        }
        let in_window = self.entries.iter().filter(|e| e.in_window(self.now)).count();
        assert!(self.store.len() >= in_window, "a key inside its window is lost");
        assert!(self.store.len() <= ENTRIES && self.store.bytes() <= BYTES, "over its bounds");
    }

    fn check_ask(&mut self, asked: &KeyedRequest, print: u8, got: Admission) {
        let now = self.now;
        if asked.key.is_empty() || asked.key.len() > KEY {
            assert_eq!(got, Admission::InvalidKey);
            return;
        }
        let same = |e: &Entry| (e.member, e.class, &*e.key) == (asked.member.0, asked.class, asked.key);
        let at = self.entries.iter().position(same).filter(|&at| self.entries[at].kept(now));
        let new = Entry {
            member: asked.member.0,
            class: asked.class,
            key: asked.key.to_vec(),
            print,
            state: State::UnderWay { run: self.runs, earlier: None },
        };
        if let Some(at) = at {
            let (droppable, entry) = (!self.entries[at].in_window(now), &mut self.entries[at]);
            if droppable && matches!(got, Admission::New | Admission::Full(_) | Admission::UnknownRetry) {
                // It was dropped for want of room, which only a key outside its window may be.
                self.entries.remove(at);
                return self.check_new(asked.retry, new, got);
            }
            let expected = match &entry.state {
                _ if entry.print != print => Admission::Conflict,
                State::UnderWay { run, .. } => Admission::Join(RunId(*run)),
                State::Served { result: Some(result), .. } => Admission::Replay(result.clone()),
                State::Served { result: None, .. } => Admission::ResultNotStored,
                State::MayHaveRun { sent, .. } => {
                    if sent.place.is_some() && now < sent.first_at.0 + WINDOW[entry.class as usize] {
                        let sent = *sent;
                        entry.state = State::UnderWay { run: self.runs, earlier: Some(sent) };
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
        self.check_new(asked.retry, new, got);
    }

    fn check_new(&mut self, retry: bool, new: Entry, got: Admission) {
        let now = self.now;
        if retry && now < 1100 {
            assert_eq!(got, Admission::UnknownRetry);
            return;
        }
        let live = |e: &&Entry| e.in_window(now);
        let (all, of_member) = (
            self.entries.iter().filter(live).count(),
            self.entries.iter().filter(live).filter(|e| e.member == new.member).count(),
        );
        match got {
            Admission::New => {
                assert!(all < ENTRIES && of_member < OF_MEMBER, "a newcomer where there is no room");
                self.entries.push(new);
            }
            Admission::Full(wait) => {
                assert!(wait.0 > 0, "refused without when to come back");
                // Entries that may have run count against their member until they expire.
                let kept = |e: &&Entry| e.kept(now) && e.member == new.member;
                let member = self.entries.iter().filter(kept).count() >= OF_MEMBER;
                let full = all >= ENTRIES || self.store.bytes() + 400 > BYTES;
                assert!(member || full, "refused though there is room");
                self.refused += 1;
            }
            other => panic!("a new key: {other:?}"),
        }
    }

    fn settle(&mut self, pick: impl Fn(usize) -> usize, fate: u8, size: usize) {
        let under_way: Vec<usize> = (0..self.entries.len())
            .filter(|&n| matches!(self.entries[n].state, State::UnderWay { .. }))
            .collect();
        if under_way.is_empty() {
            return;
        }
        let (now, at) = (self.now, under_way[pick(under_way.len())]);
        let entry = &mut self.entries[at];
        let State::UnderWay { earlier, .. } = entry.state else { unreachable!("filtered above") };
        let place = Some(Place { zone: u32::from(fate), cell: 0 });
        let sent = SentAttempts::single(if fate == 3 { None } else { place }, Time(now.saturating_sub(30)));
        let told = match fate {
            0 | 1 => Resolution::Served(vec![fate; size].into()),
            2 | 3 => Resolution::MayHaveRun(sent),
            _ => Resolution::NeverRan,
        };
        let (member, class, key) = (Member(entry.member), entry.class, entry.key.clone());
        let before = self.store.counts().results_dropped;
        self.store.resolve(Time(now), member, class, &key, told.clone());
        let dropped = self.store.counts().results_dropped > before;
        match (told, earlier) {
            (Resolution::Served(result), _) => {
                assert!(dropped || result.len() <= RESULT);
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
    fn the_store_does_what_the_plain_model_says(steps in prop::collection::vec(step(), 150..200)) {
        let mut world = World::new();
        for step in steps {
            world.take(step);
        }
        // Once everything has ended and expired, nothing is left: no entry, no byte, no member.
        while world.entries.iter().any(|e| matches!(e.state, State::UnderWay { .. })) {
            world.settle(|_| 0, 0, 10);
        }
        world.now += 1000;
        world.store.expire(Time(world.now), usize::MAX);
        prop_assert_eq!((world.store.len(), world.store.bytes()), (0, 0));
    }
}
