//! Tenants' shares where dispatchers carry very unequal parts of the traffic, and what reports repeat.

mod common;

use common::*;
use sablerun::*;

/// A first tenant with half of the shares and four with an eighth each, of so many requests a second.
fn shared(dispatchers: u32, all: f64, seed: u64) -> World {
    let shares = [0.5, 0.125, 0.125, 0.125, 0.125];
    let tenants = shares.map(|share| Tenant { quota_per_s: all * share }).to_vec();
    let mut world = World::new(Settings { dispatchers, tenants, ..settings() }, seed);
    // Room for all, so that the line holds nobody while the mix is learned.
    world.list(ListKind::Saved, (0..40).map(|n| ListEntry { zone: ZoneId(0), ..worker(n) }).collect());
    world
}

/// Plays `secs` in which each tenant asks `rates` times a second here; every request is done after so many
/// steps of 20 ms. Says whose each request was.
fn play(world: &mut World, secs: u64, rates: [f64; 5], steps: usize, next: &mut u32) -> Vec<usize> {
    let (mut due, mut whose) = ([0.0, 0.2, 0.4, 0.6, 0.8], Vec::new());
    let mut running: Vec<(usize, u32, u32)> = Vec::new();
    for step in 0..secs as usize * 50 {
        for (tenant, rate) in rates.iter().enumerate() {
            due[tenant] += rate / 50.0;
            while due[tenant] >= 1.0 {
                due[tenant] -= 1.0;
                world.arrive_from(*next, 0, Some(TenantId(tenant as u32)));
                whose.push(tenant);
                *next += 1;
            }
        }
        for (id, attempt) in world.open() {
            if !running.iter().any(|(_, at, n)| (*at, *n) == (id, attempt)) {
                world.start(id, attempt);
                running.push((step + steps, id, attempt));
            }
        }
        world.pass(ms(20));
        for (_, id, attempt) in running.extract_if(.., |(end, ..)| *end <= step + 1).collect::<Vec<_>>() {
            world.end(id, attempt, Outcome::Ok);
        }
    }
    whose
}

/// The first tenant asks three times its share of the fleet's, the others four fifths of theirs, at a
/// dispatcher that carries three fifths of all traffic, a fifth or a twentieth, where two thirds of what comes
/// find room: by an even part of the shares the first calls everybody greedy and the last nobody.
#[test]
fn a_share_is_measured_by_the_part_of_the_traffic_that_comes_here() {
    for part in [0.6, 0.2, 0.05] {
        // What comes here is the same each time; the fleet's traffic, and so its shares, are not.
        let (mut world, mut next) = (shared(5, 48.0 / part, 31), 0);
        let rates = [72.0, 4.8, 4.8, 4.8, 4.8];
        play(&mut world, 30, rates, 1, &mut next);
        // Some five slots are left, and each request holds one for 80 ms: 62 a second of 91.
        world.list(ListKind::Full, vec![worker(0)]);
        let first = next;
        let whose = play(&mut world, 30, rates, 4, &mut next);
        let mut asked = [0.0; 5];
        let mut served = [0.0; 5];
        for (id, tenant) in (first..next).zip(whose) {
            asked[tenant] += 1.0;
            let ended = world.requests[&RequestId(id)].attempts.iter().any(|a| a.2 == Some(Outcome::Ok));
            served[tenant] += f64::from(u8::from(ended));
        }
        let got: Vec<f64> = served.iter().zip(asked).map(|(served, asked)| served / asked).collect();
        println!("{part}: {got:.2?}");
        assert!(got[1..].iter().all(|got| *got > 0.9), "within their shares, at {part}: {got:.2?}");
        assert!(got[0] > 0.3, "the greedy tenant's share is served too, at {part}: {got:.2?}");
        assert!(world.broken.is_empty(), "{:?}", world.broken);
    }
}

/// A single dispatcher sees all traffic: its tenants' shares are what the settings say, whatever the mix.
#[test]
fn alone_a_dispatcher_takes_the_shares_as_they_are_stated() {
    let (mut world, mut next) = (shared(1, 80.0, 32), 0);
    // All others use a tenth of their shares, the first a good half of its own: nobody is greedy.
    play(&mut world, 30, [25.0, 1.0, 1.0, 1.0, 1.0], 1, &mut next);
    world.list(ListKind::Full, vec![worker(0)]);
    let before = world.sends().len();
    for n in 0..10 {
        world.arrive_from(next + n, 0, Some(TenantId(0)));
    }
    world.arrive_from(next + 10, 0, Some(TenantId(1)));
    let within = world.sends().split_off(before);
    assert!(within.len() >= 4 && within.iter().all(|(id, _)| id.0 < next + 10), "{within:?}");
}

/// A tenant with a share of nothing is always beyond it, and senseless figures come of none.
#[test]
fn a_share_of_nothing_comes_last() {
    let tenants = vec![Tenant { quota_per_s: 0.0 }, Tenant { quota_per_s: 10.0 }];
    let mut world = World::new(Settings { tenants, ..settings() }, 33);
    world.list(ListKind::Saved, vec![worker(0)]);
    for n in 0..30 {
        world.arrive_from(n, 0, Some(TenantId(u32::from(n >= 24))));
    }
    let before = world.sends().len();
    serve(&mut world, Span(0));
    let next: Vec<_> = world.sends().split_off(before);
    assert!(next.iter().take(3).all(|(id, _)| id.0 >= 24), "{next:?}");
}

/// Work beyond a share leaves the last slot that is believed free to work within one.
#[test]
fn work_beyond_a_share_leaves_a_slot_free() {
    let tenants = vec![Tenant { quota_per_s: 0.0 }, Tenant { quota_per_s: 1000.0 }];
    let mut world = World::new(Settings { tenants, ..settings() }, 34);
    world.list(ListKind::Saved, vec![worker(0)]);
    for n in 0..20 {
        world.arrive_from(n, 0, Some(TenantId(0)));
    }
    let greedy = world.sends().len();
    world.arrive_from(20, 0, Some(TenantId(1)));
    assert_eq!(world.sends().len(), greedy + 1, "work within a share finds a slot at once");
}

/// A report that comes again with later answers is an old sight, not a new one: what it said of others' work
/// fades in between, and a worker that was full a second ago is not believed full for as long as it says so.
#[test]
fn a_report_that_is_repeated_is_no_news() {
    let mut world = World::new(Settings { zone: None, ..settings() }, 35);
    world.list(ListKind::Saved, vec![worker(0)]);
    for n in 0..20 {
        world.arrive(n, 0);
        serve_telling(&mut world, ms(100), Some(9.0));
    }
    let sent = world.requests.values().filter(|known| !known.attempts.is_empty()).count();
    assert!(sent >= 18, "{sent} of 20 were sent to a worker whose old report says nine in hand");
}
