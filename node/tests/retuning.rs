//! New settings in the reducer while requests are under way, and leave to begin, on a simulated clock.

use sablerun as sr;
use sablerun_keys as keys;
use sablerun_node::core::{
    Arrival, AttemptEnd, AttemptId, Core, Effect, Input, ListedRunner, Reconfiguration, Source, Ticket,
};
use sablerun_settings::{NameTable, Tables};
use std::net::SocketAddr;

const SECOND: sr::Span = sr::Span(1_000_000_000);
const START: sr::Time = sr::Time(1_000 * SECOND.0);

fn class(idempotency: sr::Idempotency) -> sr::Class {
    sr::Class {
        objective: sr::Span::from_secs(2.0),
        stretch: 2.0,
        deadline: sr::Span::from_secs(6.0),
        worth: 1.0,
        late_worth: 0.0,
        idempotency,
        window: SECOND,
        kind: None,
    }
}

fn tables(tenants: &[&str]) -> Tables {
    let tenants: Vec<_> = tenants.iter().map(|name| (*name).to_owned()).collect();
    Tables {
        workers: NameTable::default(),
        zones: NameTable::default(),
        kinds: NameTable::default(),
        classes: NameTable::of([&"safe".to_owned(), &"keyed".to_owned()]),
        tenants: NameTable::of(&tenants),
        fields: Vec::new(),
    }
}

fn settings(tenants: usize) -> sr::Settings {
    sr::Settings {
        classes: vec![class(sr::Idempotency::Safe), class(sr::Idempotency::Keyed(sr::DedupScope::All))],
        tenants: vec![sr::Tenant { quota_per_s: 1000.0 }; tenants],
        max_attempts: 5,
        parallel_attempts: true,
        max_hold_off: SECOND,
        ..sr::Settings::default()
    }
}

fn core(tenants: &[&str]) -> Core<usize> {
    let roster = SocketAddr::from(([127, 0, 0, 1], 8500));
    Core::new(settings(tenants.len()), tables(tenants), roster, 1, START, 20).unwrap()
}

fn arrive(
    core: &mut Core<usize>,
    now: sr::Time,
    number: usize,
    class: u32,
    tenant: Option<u32>,
) -> Vec<usize> {
    let arrival = Arrival {
        ticket: Ticket(number as u64),
        id: format!("r{number}").into(),
        class,
        tenant,
        deadline: now + sr::Span::from_secs(6.0),
        slots: 1.0,
        memory: 0.0,
        estimate: sr::Span(0),
        retry: false,
        key: None,
        job: number,
    };
    started(core.step(now, Input::Arrived(arrival)))
}

fn list(core: &mut Core<usize>, now: sr::Time, names: &[&str]) -> Vec<usize> {
    let listed = |name: &&str| ListedRunner {
        name: (*name).to_owned(),
        zone: "a".to_owned(),
        kind: "k".to_owned(),
        cell: 0,
        state: sr::WorkerState::Ready,
        size: 1.0,
        up_since: None,
    };
    let all = names.iter().map(listed).collect();
    started(core.step(now, Input::List(Source::Discovery, sr::ListKind::Full, all)))
}

/// The jobs whose attempts start, in this order.
fn started(effects: Vec<Effect<usize>>) -> Vec<usize> {
    let jobs = effects.into_iter().filter_map(|effect| match effect {
        Effect::Start { job, .. } => Some(job),
        _ => None,
    });
    jobs.collect()
}

/// Where the new settings give nobody a share, nobody is beyond it: a tenant that had one before is served
/// in its turn.
#[test]
fn a_tenants_share_ends_with_the_settings_that_gave_it() {
    for (vanish, order) in [(true, [0, 1]), (false, [1, 0])] {
        let mut core = core(&["mehran", "ravi"]);
        let names: &[&str] = if vanish { &[] } else { &["ravi"] };
        let rules = vec![keys::Retention { window: SECOND, uncertain_ttl: SECOND }; 2];
        let (settings, tables) = (settings(names.len()), tables(names));
        core.step(
            START,
            Input::Reconfigure(Box::new(Reconfiguration {
                settings,
                tables,
                rules,
                accept_removed_until: START,
            })),
        );
        let ravi = (!vanish).then_some(1);
        assert!(arrive(&mut core, START, 0, 0, Some(0)).is_empty());
        assert!(arrive(&mut core, START, 1, 0, ravi).is_empty());
        // One that is not named any more, beside others that are, comes after them.
        assert_eq!(list(&mut core, START, &["s-0"]), order, "all vanish: {vanish}");
    }
}

/// An attempt may wait for its connection after it was decided on. It has leave to begin as long as it is out,
/// somebody waits in time, and a repeat of it comes while the first is known.
#[test]
fn leave_to_begin_ends_with_the_client_the_deadline_and_the_window() {
    let attempt = |number| AttemptId { request: 0, number };
    let later = |s: f64| START + sr::Span::from_secs(s);
    let out = |class| {
        let mut core = core(&[]);
        list(&mut core, START, &["s-0", "s-1"]);
        assert_eq!(arrive(&mut core, START, 0, class, None), [0]);
        core
    };
    let mut left = out(0);
    assert!(left.may_begin(later(5.9), attempt(0)) && !left.may_begin(later(6.0), attempt(0)));
    left.step(later(0.1), Input::ClientGone(Ticket(0)));
    assert!(!left.may_begin(later(0.1), attempt(0)), "its client has left");
    // The first may have run; the second is decided on within the window, and may begin up to its end.
    for (class, ends) in [(1, true), (0, false)] {
        let mut core = out(class);
        let ending = AttemptEnd::without_report(sr::Outcome::Error);
        let again = core.step(later(0.5), Input::AttemptEnded(attempt(0), ending));
        assert_eq!(started(again), [0]);
        assert!(!core.may_begin(later(0.9), attempt(0)), "it is over");
        assert!(core.may_begin(later(0.9), attempt(1)));
        assert_eq!(core.may_begin(later(1.0), attempt(1)), !ends);
    }
}
