//! New settings in the core while requests are in progress, and the permission to start a decided attempt, on
//! a simulated clock.

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
    let discovery = SocketAddr::from(([127, 0, 0, 1], 8500));
    Core::new(settings(tenants.len()), tables(tenants), discovery, 1, START, 20).unwrap()
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

/// Returns the jobs whose attempts start, in order.
fn started(effects: Vec<Effect<usize>>) -> Vec<usize> {
    let jobs = effects.into_iter().filter_map(|effect| match effect {
        Effect::Start { job, .. } => Some(job),
        _ => None,
    });
    jobs.collect()
}

/// If the new settings give no tenant a share, no tenant is over its share: a tenant that had one is served
/// in arrival order.
#[test]
fn a_tenants_share_ends_with_the_settings_that_gave_it() {
    for (all_vanish, order) in [(true, [0, 1]), (false, [1, 0])] {
        let mut core = core(&["mehran", "ravi"]);
        let names: &[&str] = if all_vanish { &[] } else { &["ravi"] };
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
        let ravi_tenant = (!all_vanish).then_some(1);
        assert!(arrive(&mut core, START, 0, 0, Some(0)).is_empty());
        assert!(arrive(&mut core, START, 1, 0, ravi_tenant).is_empty());
        // A tenant that is no longer named comes after those that are.
        assert_eq!(list(&mut core, START, &["s-0"]), order, "all vanish: {all_vanish}");
    }
}

/// An attempt may wait for its connection after the decision. It may still begin while it is running, a
/// client waits whose deadline has not passed, and, for a retry, the first attempt is still remembered.
#[test]
fn permission_to_begin_ends_with_the_client_the_deadline_and_the_window() {
    let attempt = |number| AttemptId { request: 0, number };
    let after = |s: f64| START + sr::Span::from_secs(s);
    let start_attempt = |class| {
        let mut core = core(&[]);
        list(&mut core, START, &["s-0", "s-1"]);
        assert_eq!(arrive(&mut core, START, 0, class, None), [0]);
        core
    };
    let mut core = start_attempt(0);
    assert!(core.may_begin(after(5.9), attempt(0)) && !core.may_begin(after(6.0), attempt(0)));
    core.step(after(0.1), Input::ClientGone(Ticket(0)));
    assert!(!core.may_begin(after(0.1), attempt(0)), "its client has left");
    // The first attempt may have run. The second is decided within the window and may begin until the window
    // ends.
    for (class, window_applies) in [(1, true), (0, false)] {
        let mut core = start_attempt(class);
        let attempt_end = AttemptEnd::without_report(sr::Outcome::Error);
        let retry = core.step(after(0.5), Input::AttemptEnded(attempt(0), attempt_end));
        assert_eq!(started(retry), [0]);
        assert!(!core.may_begin(after(0.9), attempt(0)), "it is over");
        assert!(core.may_begin(after(0.9), attempt(1)));
        assert_eq!(core.may_begin(after(1.0), attempt(1)), !window_applies);
    }
}
