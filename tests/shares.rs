//! Tenants' shares where dispatchers carry very unequal parts of the traffic, and repeated load reports.

mod common;

use common::*;
use sablerun::*;

/// Returns a world with a first tenant that has half of the quota of all tenants, and four with an eighth
/// each.
fn shared(dispatchers: u32, requests_per_s: f64, seed: u64) -> World {
    let shares = [0.5, 0.125, 0.125, 0.125, 0.125];
    let tenants = shares.map(|share| Tenant { quota_per_s: requests_per_s * share }).to_vec();
    let mut world = World::new(Settings { dispatchers, tenants, ..settings() }, seed);
    // Enough workers that no request is queued while the traffic mix is learned.
    world.list(ListKind::Saved, (0..40).map(|n| ListEntry { zone: ZoneId(0), ..worker(n) }).collect());
    world
}

/// Runs traffic for `secs`: each tenant submits its rate of requests per second to this dispatcher, and every
/// request is done after `job_steps` steps of 20 ms. Returns the tenant of each request.
fn run_traffic(
    world: &mut World,
    secs: u64,
    rates: [f64; 5],
    job_steps: usize,
    next_id: &mut u32,
) -> Vec<usize> {
    let (mut due_requests, mut tenants_of_requests) = ([0.0, 0.2, 0.4, 0.6, 0.8], Vec::new());
    let mut running: Vec<(usize, u32, u32)> = Vec::new();
    for step in 0..secs as usize * 50 {
        for (tenant, rate) in rates.iter().enumerate() {
            due_requests[tenant] += rate / 50.0;
            while due_requests[tenant] >= 1.0 {
                due_requests[tenant] -= 1.0;
                world.arrive_from(*next_id, 0, Some(TenantId(tenant as u32)));
                tenants_of_requests.push(tenant);
                *next_id += 1;
            }
        }
        for (id, attempt) in world.outstanding() {
            if !running.iter().any(|(_, at, n)| (*at, *n) == (id, attempt)) {
                world.start(id, attempt);
                running.push((step + job_steps, id, attempt));
            }
        }
        world.advance(ms(20));
        for (_, id, attempt) in running.extract_if(.., |(end, ..)| *end <= step + 1).collect::<Vec<_>>() {
            world.end(id, attempt, Outcome::Ok);
        }
    }
    tenants_of_requests
}

/// The first tenant submits three times its share and the others four fifths of theirs, at a dispatcher that
/// carries three fifths, a fifth or a twentieth of all traffic and has capacity for two thirds of what
/// arrives. Guards against quotas divided evenly among dispatchers: by these, all tenants of the first
/// dispatcher would be over their shares, and none of the last.
#[test]
fn a_quota_follows_this_dispatchers_part_of_the_traffic() {
    for traffic_share in [0.6, 0.2, 0.05] {
        // The traffic of this dispatcher is the same in each case; that of the fleet, and so the quotas,
        // differ.
        let (mut world, mut next_id) = (shared(5, 48.0 / traffic_share, 31), 0);
        let rates = [72.0, 4.8, 4.8, 4.8, 4.8];
        run_traffic(&mut world, 30, rates, 1, &mut next_id);
        // About five slots are left, and each request takes one for 80 ms: capacity for 62 of 91 a second.
        world.list(ListKind::Full, vec![worker(0)]);
        let first = next_id;
        let tenants_of_requests = run_traffic(&mut world, 30, rates, 4, &mut next_id);
        let mut submitted = [0.0; 5];
        let mut served = [0.0; 5];
        for (id, tenant) in (first..next_id).zip(tenants_of_requests) {
            submitted[tenant] += 1.0;
            let was_served = world.requests[&RequestId(id)].attempts.iter().any(|a| a.2 == Some(Outcome::Ok));
            served[tenant] += f64::from(u8::from(was_served));
        }
        let served_share: Vec<f64> =
            served.iter().zip(submitted).map(|(served, submitted)| served / submitted).collect();
        println!("{traffic_share}: {served_share:.2?}");
        assert!(
            served_share[1..].iter().all(|share| *share > 0.9),
            "within their shares, at {traffic_share}: {served_share:.2?}"
        );
        assert!(
            served_share[0] > 0.3,
            "the share of the tenant over its quota is served too, at {traffic_share}: {served_share:.2?}"
        );
        assert!(world.violations.is_empty(), "{:?}", world.violations);
    }
}

/// A single dispatcher gets all traffic: its tenants have the quotas of the settings, whatever the traffic
/// mix.
#[test]
fn a_single_dispatcher_applies_the_configured_quotas() {
    let (mut world, mut next_id) = (shared(1, 80.0, 32), 0);
    // The others use a tenth of their shares, and the first a little more than half of its own: none is over
    // it.
    run_traffic(&mut world, 30, [25.0, 1.0, 1.0, 1.0, 1.0], 1, &mut next_id);
    world.list(ListKind::Full, vec![worker(0)]);
    let sends_before = world.sends().len();
    for n in 0..10 {
        world.arrive_from(next_id + n, 0, Some(TenantId(0)));
    }
    world.arrive_from(next_id + 10, 0, Some(TenantId(1)));
    let next_sends = world.sends().split_off(sends_before);
    assert!(next_sends.len() >= 4 && next_sends.iter().all(|(id, _)| id.0 < next_id + 10), "{next_sends:?}");
}

/// A tenant with a quota of zero is always over it, and a zero quota leads to no invalid numbers.
#[test]
fn a_tenant_without_quota_is_served_last() {
    let tenants = vec![Tenant { quota_per_s: 0.0 }, Tenant { quota_per_s: 10.0 }];
    let mut world = World::new(Settings { tenants, ..settings() }, 33);
    world.list(ListKind::Saved, vec![worker(0)]);
    for n in 0..30 {
        world.arrive_from(n, 0, Some(TenantId(u32::from(n >= 24))));
    }
    let sends_before = world.sends().len();
    serve(&mut world, Span(0));
    let next_sends: Vec<_> = world.sends().split_off(sends_before);
    assert!(next_sends.iter().take(3).all(|(id, _)| id.0 >= 24), "{next_sends:?}");
}

/// Requests beyond a share leave the last slot that is estimated to be free to requests within one.
#[test]
fn requests_beyond_a_share_leave_a_slot_free() {
    let tenants = vec![Tenant { quota_per_s: 0.0 }, Tenant { quota_per_s: 1000.0 }];
    let mut world = World::new(Settings { tenants, ..settings() }, 34);
    world.list(ListKind::Saved, vec![worker(0)]);
    for n in 0..20 {
        world.arrive_from(n, 0, Some(TenantId(0)));
    }
    let sent_over_share = world.sends().len();
    world.arrive_from(20, 0, Some(TenantId(1)));
    assert_eq!(world.sends().len(), sent_over_share + 1, "a request within its share finds a slot at once");
}

/// A report repeated with later answers is not a new observation: its weight decays as if it had arrived
/// once. Guards against a worker that counts as full for as long as it repeats an old report.
#[test]
fn a_repeated_report_is_not_a_new_observation() {
    let mut world = World::new(Settings { zone: None, ..settings() }, 35);
    world.list(ListKind::Saved, vec![worker(0)]);
    for n in 0..20 {
        world.arrive(n, 0);
        serve_with_report(&mut world, ms(100), Some(9.0));
    }
    let sent = world.requests.values().filter(|tracked| !tracked.attempts.is_empty()).count();
    assert!(sent >= 18, "{sent} of 20 were sent to a worker whose old report says nine in flight");
}
