//! Random steps against a model of what a client's connection and a runner's may be told: each
//! request waits, is answered or left; each attempt is out or over. The model knows no decision, only
//! the rules that every decision must keep. Of keys it knows that a job which may have run never goes to
//! a second zone, nor anywhere once its zone has forgotten it, and that only what was made under a key is
//! handed back for it.

use super::*;
use proptest::prelude::*;
use proptest::test_runner::RngSeed;
use sablerun_settings::Names;

const ZONES: [&str; 4] = ["hall-a", "hall-a", "hall-b", "hall-b"];

#[derive(Clone, Debug)]
enum Step {
    Arrive {
        class: u32,
        patience_ms: u64,
        key: Option<u8>,
        retry: bool,
    },
    Leave(prop::sample::Index),
    Start(prop::sample::Index),
    /// A runner's word by id and name, or what a link saw, of an attempt that is out or over.
    End {
        of: prop::sample::Index,
        told: bool,
        outcome: sr::Outcome,
    },
    Unusable(prop::sample::Index),
    /// A word of a runner that may not hold the job at all.
    Stray {
        of: prop::sample::Index,
        runner: usize,
    },
    List {
        runner: usize,
        standing: sr::Standing,
    },
    ListFailed,
    RosterAt(u8),
    StopIn {
        ms: u64,
    },
    Pass {
        ms: u64,
    },
}

fn step() -> impl Strategy<Value = Step> {
    use sr::Outcome::*;
    let index = any::<prop::sample::Index>;
    let outcome = prop::sample::select(vec![Ok, Ok, Ok, Error, Full, Timeout, ConnectFailed, Reset]);
    let standing = prop::sample::select(vec![
        sr::Standing::Ready,
        sr::Standing::Ready,
        sr::Standing::Draining,
        sr::Standing::Gone,
    ]);
    prop_oneof![
        5 => (0..3u32, 1..3000u64, prop::option::of(0..3u8), any::<bool>())
            .prop_map(|(class, patience_ms, key, retry)| Step::Arrive { class, patience_ms, key, retry }),
        1 => index().prop_map(Step::Leave),
        3 => index().prop_map(Step::Start),
        6 => (index(), any::<bool>(), outcome).prop_map(|(of, told, outcome)| Step::End { of, told, outcome }),
        1 => index().prop_map(Step::Unusable),
        1 => (index(), 0..4usize).prop_map(|(of, runner)| Step::Stray { of, runner }),
        2 => (0..4usize, standing).prop_map(|(runner, standing)| Step::List { runner, standing }),
        1 => Just(Step::ListFailed),
        1 => (1..4u8).prop_map(Step::RosterAt),
        1 => (1..3000u64).prop_map(|ms| Step::StopIn { ms }),
        4 => (1..400u64).prop_map(|ms| Step::Pass { ms }),
    ]
}

#[derive(Clone, Copy, Debug, PartialEq)]
enum Client {
    Waits,
    Answered,
    Left,
}

struct Asked {
    class: u32,
    deadline: sr::Time,
    client: Client,
    key: Option<u8>,
    /// Whose request its client waits for: its own, or the one that it joined.
    lead: usize,
}

struct Tried {
    id: AttemptId,
    ticket: usize,
    runner: usize,
    at: sr::Time,
    /// `None` while it is out; else whether it may have run.
    over: Option<bool>,
}

struct World {
    core: Core<usize>,
    now: sr::Time,
    asked: Vec<Asked>,
    tried: Vec<Tried>,
    standing: [sr::Standing; 4],
    roster: SocketAddr,
    asked_for_list: usize,
    stop: Option<sr::Time>,
    /// Requests that led a key and were settled: when, and whether they were served.
    settled: HashMap<usize, (sr::Time, bool)>,
}

const WINDOW: sr::Span = sr::Span(4_000_000_000);
const KEEP: sr::Span = sr::Span(9_000_000_000);

fn roster(host: u8) -> SocketAddr {
    SocketAddr::from(([127, 0, 0, host], 8500))
}

fn name(runner: usize) -> String {
    format!("s-{runner}")
}

fn listed(runner: usize, standing: sr::Standing) -> Listed {
    let (zone, kind) = (ZONES[runner].to_owned(), "k".to_owned());
    Listed { name: name(runner), zone, kind, cell: 0, standing, size: 1.0, up_since: None }
}

fn effects() -> [sr::Effect; 3] {
    [sr::Effect::Safe, sr::Effect::Keyed(sr::Group::Zone), sr::Effect::Unsafe]
}

impl World {
    fn new(seed: u64) -> World {
        let class = |effect| sr::Class {
            objective: sr::Span::from_secs(0.2),
            stretch: 2.0,
            deadline: sr::Span::from_secs(3.0),
            worth: 1.0,
            late_worth: 0.0,
            effect,
            window: WINDOW,
            kind: None,
        };
        let settings = sr::Settings {
            classes: effects().into_iter().map(class).collect(),
            parallel: true,
            tells_start: true,
            max_attempts: 5,
            discovery: sr::Discovery::Asked,
            max_hold_off: sr::Span::from_secs(2.0),
            ..sr::Settings::default()
        };
        let names = Names::default;
        let (workers, zones, kinds, classes, tenants) = (names(), names(), names(), names(), names());
        let tables = Tables { workers, zones, kinds, classes, tenants, fields: Vec::new() };
        let now = sr::Time(1_000_000_000_000);
        let mut core = Core::new(settings, tables, roster(1), seed, now, 20).unwrap();
        let bounds = keys::Bounds {
            entries: 1000,
            bytes: 1 << 20,
            result: 100,
            key: 100,
            member: 1000,
            hold_off: sr::Span(1),
        };
        core.keep_keys(keys::Store::new(bounds, vec![keys::Rule { window: WINDOW, keep: KEEP }; 3]));
        let standing = [sr::Standing::Ready; 4];
        let (asked, tried) = (Vec::new(), Vec::new());
        let (roster, asked_for_list, stop) = (roster(1), 0, None);
        let settled = HashMap::new();
        let mut world = World { core, now, asked, tried, standing, roster, asked_for_list, stop, settled };
        let all = (0..4).map(|runner| listed(runner, sr::Standing::Ready)).collect();
        world.input(Input::List(Source::Discovery, sr::ListKind::Saved, all), None);
        world
    }

    /// Steps the core and holds each effect against the model; `ends` is the attempt that this input
    /// ends, if it is out, and whether it may have run.
    fn input(&mut self, input: Input<usize>, ends: Option<(usize, sr::Outcome)>) {
        let effects = self.core.step(self.now, input);
        for effect in effects {
            match effect {
                Effect::Answer(Ticket(ticket), answer) => self.answered(ticket as usize, answer, ends),
                Effect::Start { attempt, id, runner, job, .. } => {
                    let runner: usize = runner[2..].parse().unwrap();
                    let asked = &self.asked[job];
                    assert_eq!(&*id, format!("r{job}"));
                    let waits = |a: &Asked| a.lead == job && a.client == Client::Waits;
                    assert!(self.asked.iter().any(waits), "an attempt for nobody");
                    assert_eq!(
                        self.standing[runner],
                        sr::Standing::Ready,
                        "work for one that drains or is gone"
                    );
                    let others: Vec<_> = self.tried.iter().filter(|t| t.ticket == job).collect();
                    assert!(others.len() < 5, "too many attempts");
                    assert!(
                        !others.iter().any(|t| t.runner == runner && t.over.is_none()),
                        "two attempts at one runner"
                    );
                    let ran = others.iter().find(|t| t.over != Some(false));
                    let allowed = ran.is_none_or(|ran| match effects_of(asked.class) {
                        sr::Effect::Safe => true,
                        sr::Effect::Keyed(_) => ZONES[ran.runner] == ZONES[runner],
                        sr::Effect::Unsafe => false,
                    });
                    assert!(allowed, "repeated further than its class permits");
                    self.check_key(job, runner);
                    self.tried.push(Tried { id: attempt, ticket: job, runner, at: self.now, over: None });
                }
                Effect::GiveUp(attempt) => self.over(attempt, true),
                Effect::Over(attempt) => {
                    let (ended, outcome) = ends.expect("an attempt ended by itself");
                    assert_eq!(self.tried[ended].id, attempt);
                    self.over(attempt, !outcome.never_ran());
                }
                Effect::Subscribe(at) | Effect::Fetch(at) => {
                    assert_eq!(at, self.roster, "the list is asked for elsewhere");
                    self.asked_for_list += 1;
                }
                Effect::Probe(_) | Effect::Release(_) | Effect::Handed { .. } => {}
            }
        }
    }

    /// Whether a job under a key may go there, for all that was ever sent under that key.
    fn check_key(&self, job: usize, runner: usize) {
        let (class, key) = (self.asked[job].class, self.asked[job].key);
        if key.is_none() || class == 0 {
            return;
        }
        let same = |t: &&Tried| (self.asked[t.ticket].class, self.asked[t.ticket].key) == (class, key);
        for earlier in self.tried.iter().filter(same).filter(|t| t.over != Some(false)) {
            let forgotten = self
                .settled
                .get(&earlier.ticket)
                .is_some_and(|(at, served)| self.now >= *at + if *served { WINDOW } else { KEEP });
            let there = class == 1 && ZONES[earlier.runner] == ZONES[runner];
            let known = there && self.now < earlier.at + WINDOW;
            assert!(forgotten || known, "a repeat that may run a second time");
        }
    }

    /// A client is answered or has left: its request is settled once nobody waits for it.
    fn settle(&mut self, ticket: usize, served: bool) {
        let lead = self.asked[ticket].lead;
        if !self.asked.iter().any(|a| a.lead == lead && a.client == Client::Waits) {
            self.settled.entry(lead).or_insert((self.now, served));
        }
    }

    fn over(&mut self, attempt: AttemptId, may_have_run: bool) {
        let tried = self.tried.iter_mut().find(|t| t.id == attempt).expect("it was begun");
        assert_eq!(tried.over, None, "an attempt ended twice");
        tried.over = Some(may_have_run);
    }

    fn answered(&mut self, ticket: usize, answer: Answer, ends: Option<(usize, sr::Outcome)>) {
        assert_eq!(self.asked[ticket].client, Client::Waits, "a second answer, or one to nobody");
        self.asked[ticket].client = Client::Answered;
        self.settle(ticket, matches!(answer, Answer::Served(_)));
        let (lead, class, key) = (self.asked[ticket].lead, self.asked[ticket].class, self.asked[ticket].key);
        let mut tried = self.tried.iter().filter(|t| t.ticket == lead);
        match answer {
            Answer::Served(result) => {
                if let Some((ended, outcome)) = ends {
                    assert_eq!((self.tried[ended].ticket, outcome), (lead, sr::Outcome::Ok));
                    assert_eq!(result, format!("made of r{lead}").as_bytes());
                    return;
                }
                assert!(key.is_some() && class > 0 && lead == ticket, "a result that no runner made");
                let first = self.settled.iter().find(|(first, (at, served))| {
                    let same = (self.asked[**first].class, self.asked[**first].key) == (class, key);
                    same && *served
                        && self.now < *at + WINDOW
                        && result == format!("made of r{first}").as_bytes()
                });
                assert!(first.is_some(), "handed back what was not made under this key");
            }
            Answer::Refused(_) => {
                let harmless = effects_of(self.asked[ticket].class) == sr::Effect::Safe;
                assert!(harmless || tried.all(|t| t.over == Some(false)), "refused what may have run");
            }
            Answer::Failed(_) => {}
            Answer::Unfit(_) => panic!("every key stands for one request"),
        }
    }

    fn pass(&mut self, until: sr::Time) {
        while let Some(due) = self.core.due().filter(|due| *due <= until) {
            self.now = self.now.max(due);
            self.input(Input::Due, None);
        }
        self.now = until;
        let overdue = |asked: &Asked| asked.client == Client::Waits && asked.deadline < until;
        assert!(!self.asked.iter().any(overdue), "no answer by the deadline");
    }

    fn take(&mut self, step: Step) {
        match step {
            Step::Arrive { class, patience_ms, key, retry } => {
                let number = self.asked.len();
                let deadline = self.now + sr::Span(patience_ms * 1_000_000);
                let owed = self.stop.map_or(deadline, |stop| deadline.min(stop.max(self.now)));
                let under_way = |a: &Asked| {
                    class > 0
                        && key.is_some()
                        && (a.class, a.key) == (class, key)
                        && a.client == Client::Waits
                };
                let lead = self.asked.iter().find(|a| under_way(a)).map_or(number, |a| a.lead);
                self.asked.push(Asked { class, deadline: owed, client: Client::Waits, key, lead });
                let arrival = Arrival {
                    ticket: Ticket(number as u64),
                    id: format!("r{number}").into(),
                    class,
                    tenant: None,
                    deadline,
                    slots: 1.0,
                    memory: 0.0,
                    estimate: sr::Span(0),
                    retry,
                    key: key.filter(|_| class > 0).map(|key| Key {
                        text: format!("k{key}").into(),
                        print: keys::Fingerprint([key; 16]),
                    }),
                    job: number,
                };
                self.input(Input::Arrived(arrival), None);
            }
            Step::Leave(of) if !self.asked.is_empty() => {
                let number = of.index(self.asked.len());
                if self.asked[number].client == Client::Waits {
                    self.asked[number].client = Client::Left;
                    self.settle(number, false);
                }
                self.input(Input::ClientGone(Ticket(number as u64)), None);
            }
            Step::Start(of) if !self.tried.is_empty() => {
                let tried = &self.tried[of.index(self.tried.len())];
                let (id, from) = (format!("r{}", tried.ticket), name(tried.runner));
                self.input(Input::Started { id, from }, None);
            }
            Step::End { of, told, outcome } if !self.tried.is_empty() => {
                let mut number = of.index(self.tried.len());
                let (ticket, runner) = (self.tried[number].ticket, self.tried[number].runner);
                if told {
                    // By name alone a word may be about a later attempt there, which is out.
                    let out = |t: &Tried| (t.ticket, t.runner, t.over) == (ticket, runner, None);
                    number = self.tried.iter().position(out).unwrap_or(number);
                }
                let ends = self.tried[number].over.is_none().then_some((number, outcome));
                let result = format!("made of r{ticket}").into();
                let ending = Ending { outcome, result, report: None };
                let input = match told {
                    true => Input::Told { id: format!("r{ticket}"), from: name(runner), ending },
                    false => Input::Ended(self.tried[number].id, ending),
                };
                self.input(input, ends);
            }
            Step::Unusable(of) if !self.tried.is_empty() => {
                let number = of.index(self.tried.len());
                let (ticket, id, over) =
                    (self.tried[number].ticket, self.tried[number].id, self.tried[number].over);
                let ends = over.is_none().then_some((number, sr::Outcome::Error));
                self.input(Input::Unusable(id), ends);
                if over.is_none() {
                    let waits = |a: &Asked| a.lead == ticket && a.client == Client::Waits;
                    assert!(!self.asked.iter().any(waits), "tried on what nobody can use");
                }
            }
            Step::Stray { of, runner } if !self.asked.is_empty() => {
                let ticket = of.index(self.asked.len());
                let holds = |t: &Tried| (t.ticket, t.runner, t.over) == (ticket, runner, None);
                if !self.tried.iter().any(holds) {
                    let ending = Ending::bare(sr::Outcome::Ok);
                    let (id, from) = (format!("r{ticket}"), name(runner));
                    self.input(Input::Told { id, from, ending }, None);
                }
            }
            Step::List { runner, standing } => {
                self.standing[runner] = standing;
                let change = vec![listed(runner, standing)];
                self.input(Input::List(Source::Discovery, sr::ListKind::Delta, change), None);
            }
            Step::ListFailed => self.input(Input::ListFailed, None),
            Step::RosterAt(host) => {
                let (moved, before) = (self.roster != roster(host), self.asked_for_list);
                self.roster = roster(host);
                self.input(Input::RosterAt(self.roster), None);
                // A timer that is due may ask too; but a move is never without a call at once.
                assert!(!moved || self.asked_for_list > before, "a move that asks nobody");
            }
            Step::StopIn { ms } if self.stop.is_none() => {
                let stop = self.now + sr::Span(ms * 1_000_000);
                self.stop = Some(stop);
                self.asked.iter_mut().for_each(|asked| asked.deadline = asked.deadline.min(stop));
                self.input(Input::StopAt(stop), None);
            }
            Step::Pass { ms } => self.pass(self.now + sr::Span(ms * 1_000_000)),
            Step::Unusable(_)
            | Step::StopIn { .. }
            | Step::Leave(_)
            | Step::Start(_)
            | Step::End { .. }
            | Step::Stray { .. } => {}
        }
    }
}

fn effects_of(class: u32) -> sr::Effect {
    effects()[class as usize]
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 300,
        rng_seed: RngSeed::Fixed(0x5ab1e),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    #[test]
    fn every_request_is_answered_once_and_in_time_and_every_attempt_ends_once(
        seed in any::<u64>(),
        steps in prop::collection::vec(step(), 1..120),
    ) {
        let mut world = World::new(seed);
        for step in steps {
            world.take(step);
        }
        // In the end nothing is owed, out or held.
        world.pass(world.now + sr::Span::from_secs(10.0));
        assert!(world.asked.iter().all(|asked| asked.client != Client::Waits));
        assert!(world.tried.iter().all(|tried| tried.over.is_some()));
        assert_eq!((world.core.open(), world.core.requests.len(), world.core.ids.len()), (0, 0, 0));
        assert_eq!(world.core.keys().unwrap().under_way(), 0, "a key under way with no request");
    }
}

/// A whole list of one source says nothing of the runners that another has told of.
#[test]
fn a_whole_list_leaves_other_sources_runners_alone() {
    let mut world = World::new(1);
    let gone = (0..4).map(|runner| listed(runner, sr::Standing::Gone)).collect();
    world.input(Input::List(Source::Discovery, sr::ListKind::Delta, gone), None);
    world.standing = [sr::Standing::Gone; 4];
    world.standing[1] = sr::Standing::Ready;
    let caller = vec![listed(1, sr::Standing::Ready)];
    world.input(Input::List(Source::Callers, sr::ListKind::Delta, caller), None);
    world.input(Input::List(Source::Discovery, sr::ListKind::Full, Vec::new()), None);
    world.take(Step::Arrive { class: 0, patience_ms: 1000, key: None, retry: false });
    assert_eq!(world.tried.len(), 1);
}

/// The first client's deadline is not the joined one's: the attempt goes on for whoever still waits.
#[test]
fn a_repeat_that_joined_is_served_after_the_first_clients_deadline() {
    let mut world = World::new(1);
    let arrive = |patience_ms| Step::Arrive { class: 1, patience_ms, key: Some(1), retry: false };
    world.take(arrive(300));
    let (id, from) = ("r0".to_owned(), name(world.tried[0].runner));
    world.input(Input::Started { id: id.clone(), from: from.clone() }, None);
    world.take(Step::Pass { ms: 200 });
    world.take(arrive(2000));
    assert_eq!((world.tried.len(), world.asked[1].lead), (1, 0));
    world.take(Step::Pass { ms: 1000 });
    assert_eq!(world.asked[0].client, Client::Answered, "by its own deadline");
    assert_eq!(world.tried[0].over, None, "given up though somebody waits");
    let ending = Ending { outcome: sr::Outcome::Ok, result: "made of r0".into(), report: None };
    world.input(Input::Told { id, from, ending }, Some((0, sr::Outcome::Ok)));
    assert_eq!(world.asked[1].client, Client::Answered);
    assert_eq!(world.core.tally().served, 1);
}

/// A repeat that waits for its hall is not sent any more once the hall has forgotten the key, nor refused
/// as if it were harmless.
#[test]
fn a_window_that_ends_while_a_repeat_waits_ends_the_repeat() {
    let mut world = World::new(1);
    let arrive = |patience_ms| Step::Arrive { class: 1, patience_ms, key: Some(1), retry: true };
    world.take(arrive(300));
    let (at, hall) = (world.tried[0].at, ZONES[world.tried[0].runner]);
    world.take(Step::Pass { ms: 400 });
    assert_eq!(world.core.tally().failed, 1);
    let before = world.tried.len();
    let of_hall: Vec<_> = (0..4).filter(|runner| ZONES[*runner] == hall).collect();
    let list = |world: &mut World, standing| {
        of_hall.iter().for_each(|&runner| world.take(Step::List { runner, standing }));
    };
    list(&mut world, sr::Standing::Gone);
    world.pass(at + WINDOW - sr::Span(100_000_000));
    world.take(arrive(2000));
    assert_eq!(world.core.keys().unwrap().counts().again, 1);
    assert_eq!(world.tried.len(), before, "sent to another hall");
    world.pass(at + WINDOW + sr::Span(10_000_000));
    list(&mut world, sr::Standing::Ready);
    world.take(Step::Pass { ms: 3000 });
    assert_eq!(world.tried.len(), before, "sent where nobody knows the key any more");
    assert_eq!((world.core.tally().failed, world.core.tally().refused), (2, 0));
}
