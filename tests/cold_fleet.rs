//! What all dispatchers together send to cold workers, in every window, beside the budget of the settings.
//! It owns the streams, the deployments and the count; it must never draw without a seed or wait.

mod common;

use common::cold::*;
use common::*;
use sablerun::*;

const RUN: u64 = 8400;

/// Jobs that differ tenfold; a long slow ramp; a long fall; a budget of five requests for all dispatchers.
const SITES: [Site; 4] = [
    site(0.32, 8600, (2.5, 1000), 5, [(0.35, 0.07), (0.35, 0.14), (0.3, 0.57)], true),
    site(0.13, 23_000, (4.0, 2000), 4, [(0.35, 0.11), (0.35, 0.2), (0.3, 0.25)], false),
    site(0.32, 8400, (2.5, 3000), 4, [(0.5, 0.4), (0.35, 0.8), (0.15, 1.6)], false),
    site(0.32, 8400, (2.5, 1000), 4, [(0.5, 0.3), (0.4, 0.8), (0.1, 2.0)], true),
];

const fn site(
    cold_from: f64,
    warm_after: u64,
    (multiple, fall): (f64, u64),
    slots: usize,
    jobs: [(f64, f64); 3],
    rich: bool,
) -> Site {
    Site { cold_from, warm_after, multiple, fall, slots, jobs, rich }
}

/// The worst window over the budget and what is put down to chance, and the share of the whole budget used.
fn play(case: Case) -> (f64, f64) {
    let Case { site, fleet, seed, .. } = case;
    let mut all = Fleet::new(case);
    let mut rng = fastrand::Rng::with_seed(seed);
    // Parts of the traffic: even, or three fifths to one dispatcher and five times the rest's to three.
    let rest = f64::from(fleet - 1) + 4.0 * f64::from((fleet - 1).min(3));
    let part = |d: usize| match d {
        _ if !case.uneven || fleet == 1 => 1.0,
        0 => 1.5 * rest,
        1..=3 => 5.0,
        _ => 1.0,
    };
    let parts: f64 = (0..fleet as usize).map(part).sum();
    // Far more than the cold workers may get; before they start, as much as the warm ones carry with ease.
    let room = site.slots as f64 / site.mean();
    let demand = room * (WARM as f64 + 1.5 * site.multiple * COLD as f64);
    let mut next: Vec<Time> = (0..fleet).map(|_| START + ms(rng.u64(0..200))).collect();
    let mut now = START;
    while now < all.start + ms(RUN) {
        now = now + ms(STEP);
        for (d, next) in next.iter_mut().enumerate() {
            all.worlds[d].pass(ms(STEP));
            all.tell(d, now);
            let rate = if now < all.start { room * WARM as f64 * 0.4 } else { demand };
            while *next <= now {
                *next = *next + Span::from_secs(-(1.0 - rng.f64()).ln() * parts / part(d) / rate);
                all.ask(d, &mut rng);
            }
        }
        all.work(now);
    }
    let (mut worst, mut used) = (0.0_f64, 0.0);
    for sends in &mut all.sends {
        sends.sort_by_key(|send| send.0);
        for (n, &(first, _)) in sends.iter().enumerate() {
            let within = sends[n..].iter().take_while(|send| send.0 <= first + ms(site.fall));
            let budget = site.budget(first - all.start);
            worst = worst.max(within.map(|send| send.1).sum::<f64>() / (budget + 2.0 * budget.sqrt() + 2.0));
        }
        used += sends.iter().map(|send| send.1).sum::<f64>() / COLD as f64;
    }
    let part = ms(STEP).secs() / ms(site.fall).secs();
    let whole: f64 = (0..RUN / STEP).map(|n| site.budget(ms(n * STEP)) * part).sum();
    (worst, used / whole)
}

/// Plays a fleet on all deployments, with even and uneven streams, told at once and in turn.
fn hold(fleet: u32) {
    for (number, site) in SITES.into_iter().enumerate() {
        let (mut highest, mut uses) = (0.0_f64, 0.0);
        for seed in 0..16_u64 {
            let [uneven, in_turn, learned, restarts] = [1, 2, 4, 8].map(|bit| seed & bit != 0);
            let case = Case { site, fleet, uneven, in_turn, learned, restarts, seed };
            let (worst, used) = play(case);
            println!("{fleet} site {number} {seed} over {worst:.2} used {used:.2}");
            assert!(worst <= 1.0, "{worst} of budget and chance in a window: {case:?}");
            (highest, uses) = (highest.max(worst), uses + used / 16.0);
        }
        println!("{fleet} dispatchers, deployment {number}: worst {highest:.2}, used {uses:.2} in the mean");
        assert!(uses > 0.1, "{uses} of the budget: its room is missing elsewhere, {site:?}");
    }
}

#[test]
fn one_dispatcher_keeps_a_cold_budget() {
    hold(1);
}

#[test]
fn three_dispatchers_keep_a_cold_budget_together() {
    hold(3);
}

#[test]
fn twenty_dispatchers_keep_a_cold_budget_together() {
    hold(20);
}

#[test]
fn thirty_dispatchers_keep_a_cold_budget_together() {
    hold(30);
}
