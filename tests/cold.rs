//! Cold workers, and how many dispatchers that share nothing keep within the budget of each.
//! It owns that test alone; it must never wait for real time or draw without a seed.

mod common;

use common::*;
use sablerun::*;

/// Many dispatchers that share nothing keep a cold worker's budget together, though they hear of it at
/// different times and a few of them carry most of the traffic; and they use it while it warms.
#[test]
fn many_dispatchers_keep_a_cold_budget_together() {
    let (all, run) = (40, ms(100));
    let mut worlds: Vec<_> = (0..all)
        .map(|number| {
            let settings = Settings { dispatchers: all, number, fall_after: ms(2000), ..settings() };
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
                let fresh = ListEntry { up_since: Some(START), ..worker(0) };
                world.list(ListKind::Full, vec![fresh]);
            }
            if n % 8 == 0 || step % 8 == n % 8 {
                world.arrive(step as u32, 0);
            }
            for (id, attempt) in world.open() {
                let sent = world.requests[&RequestId(id)].attempts[attempt as usize].1;
                world.start(id, attempt);
                if world.now >= sent + run {
                    world.end(id, attempt, Outcome::Ok);
                }
            }
            world.pass(ms(50));
        }
    }
    for world in &worlds {
        sends.extend(world.cold_sends.get(&WorkerId(0)).into_iter().flatten().copied());
    }
    sends.sort_unstable();
    let (settings, mut most) = (&worlds[0].settings, 0.0_f64);
    let warmth = |t: Time| {
        let risen = (t - START).secs() / settings.warm_after.secs();
        settings.cold_from + (1.0 - settings.cold_from) * risen
    };
    let jobs = |t: Time| warmth(t) * 4.0 / run.secs() * settings.fall_multiple;
    for (n, &first) in sends.iter().enumerate() {
        let within = sends[n..].iter().take_while(|t| **t <= first + settings.fall_after).count();
        most = most.max(within as f64 / (jobs(first) * settings.fall_after.secs()));
    }
    assert!(most < 1.0, "{most} of the budget of a window");
    let budget: f64 = (0..300).map(|n| jobs(START + ms(n * 50)) * 0.05).sum();
    let used = sends.len() as f64 / budget;
    assert!(used > 0.5, "{used} of the whole budget: its room is missing elsewhere");
    println!("worst window {most}, whole {used}");
}
