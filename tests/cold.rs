//! A cold worker under many dispatchers that share no state. Guards against an overload by the sum of what
//! each of them sends, and against a budget that is left unused.

mod common;

use common::*;
use sablerun::*;

/// Forty dispatchers together keep a cold worker's budget, although they learn of the worker at different
/// times and a few of them carry most of the traffic. They use at least half of the budget during the slow
/// start.
#[test]
fn many_dispatchers_together_keep_a_cold_workers_budget() {
    let (dispatcher_count, running_time) = (40, ms(100));
    let mut worlds: Vec<_> = (0..dispatcher_count)
        .map(|number| {
            let settings =
                Settings { dispatchers: dispatcher_count, number, fall_after: ms(2000), ..settings() };
            let mut world = World::new(settings, u64::from(number));
            world.list(ListKind::Saved, vec![worker(1)]);
            world.list(ListKind::Full, vec![]);
            world
        })
        .collect();
    let mut sends = Vec::new();
    for step in 0..300 {
        for (n, world) in worlds.iter_mut().enumerate() {
            if step == n * 7 % 40 {
                let cold_entry = ListEntry { up_since: Some(START), ..worker(0) };
                world.list(ListKind::Full, vec![cold_entry]);
            }
            if n % 8 == 0 || step % 8 == n % 8 {
                world.arrive(step as u32, 0);
            }
            for (id, attempt) in world.outstanding() {
                let sent = world.requests[&RequestId(id)].attempts[attempt as usize].1;
                world.start(id, attempt);
                if world.now >= sent + running_time {
                    world.end(id, attempt, Outcome::Ok);
                }
            }
            world.advance(ms(50));
        }
    }
    for world in &worlds {
        sends.extend(world.cold_sends.get(&WorkerId(0)).into_iter().flatten().copied());
    }
    sends.sort_unstable();
    let (settings, mut worst) = (&worlds[0].settings, 0.0_f64);
    let warm_up_fraction = |t: Time| {
        let progress = (t - START).secs() / settings.warm_after.secs();
        settings.cold_from + (1.0 - settings.cold_from) * progress
    };
    let budget_per_s = |t: Time| warm_up_fraction(t) * 4.0 / running_time.secs() * settings.fall_multiple;
    for (n, &first) in sends.iter().enumerate() {
        let within = sends[n..].iter().take_while(|t| **t <= first + settings.fall_after).count();
        worst = worst.max(within as f64 / (budget_per_s(first) * settings.fall_after.secs()));
    }
    assert!(worst < 1.0, "{worst} of the budget of a window");
    let total_budget: f64 = (0..300).map(|n| budget_per_s(START + ms(n * 50)) * 0.05).sum();
    let used_share = sends.len() as f64 / total_budget;
    assert!(
        used_share > 0.5,
        "{used_share} of the whole budget used: the unused capacity is missing elsewhere"
    );
    println!("worst window {worst}, used {used_share}");
}
