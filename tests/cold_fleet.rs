//! All dispatchers together must keep the load of a worker in slow start within the settings' budget, in
//! every window. Guards against an overload of cold workers by dispatchers that share no state, under even
//! and uneven traffic, late lists and restarts.

mod common;

use common::cold_workers::*;
use common::*;
use sablerun::*;

const RUN_MS: u64 = 8400;

/// Deployments with: jobs whose running times differ tenfold; a long slow ramp; a long overload window; a
/// budget of five requests for all dispatchers together.
const DEPLOYMENTS: [Deployment; 4] = [
    deployment(0.32, 8600, (2.5, 1000), 5, [(0.35, 0.07), (0.35, 0.14), (0.3, 0.57)], true),
    deployment(0.13, 23_000, (4.0, 2000), 4, [(0.35, 0.11), (0.35, 0.2), (0.3, 0.25)], false),
    deployment(0.32, 8400, (2.5, 3000), 4, [(0.5, 0.4), (0.35, 0.8), (0.15, 1.6)], false),
    deployment(0.32, 8400, (2.5, 1000), 4, [(0.5, 0.3), (0.4, 0.8), (0.1, 2.0)], true),
];

const fn deployment(
    cold_from: f64,
    warm_after: u64,
    (fall_multiple, fall_after): (f64, u64),
    slots: usize,
    jobs: [(f64, f64); 3],
    hints_and_reports: bool,
) -> Deployment {
    Deployment { cold_from, warm_after, fall_multiple, fall_after, slots, jobs, hints_and_reports }
}

/// Returns the load of the worst window, as a fraction of its budget plus an allowance for chance, and the
/// share of the whole budget that was used.
fn simulate(case: Case) -> (f64, f64) {
    let Case { deployment, fleet_size, seed, .. } = case;
    let mut fleet = Fleet::new(case);
    let mut rng = fastrand::Rng::with_seed(seed);
    // Shares of the traffic: even; or three fifths to one dispatcher, and to three others five times what
    // each of the rest gets.
    let rest = f64::from(fleet_size - 1) + 4.0 * f64::from((fleet_size - 1).min(3));
    let share = |d: usize| match d {
        _ if !case.uneven || fleet_size == 1 => 1.0,
        0 => 1.5 * rest,
        1..=3 => 5.0,
        _ => 1.0,
    };
    let total_shares: f64 = (0..fleet_size as usize).map(share).sum();
    // Far more than the cold workers may get; before they start, a load that the warm ones carry easily.
    let capacity = deployment.slots as f64 / deployment.mean_running_time();
    let demand = capacity * (WARM_WORKERS as f64 + 1.5 * deployment.fall_multiple * COLD_WORKERS as f64);
    let mut next_arrivals: Vec<Time> = (0..fleet_size).map(|_| START + ms(rng.u64(0..200))).collect();
    let mut now = START;
    while now < fleet.start + ms(RUN_MS) {
        now = now + ms(STEP_MS);
        for (d, next) in next_arrivals.iter_mut().enumerate() {
            fleet.worlds[d].advance(ms(STEP_MS));
            fleet.update_list(d, now);
            let rate = if now < fleet.start { capacity * WARM_WORKERS as f64 * 0.4 } else { demand };
            while *next <= now {
                *next = *next + Span::from_secs(-(1.0 - rng.f64()).ln() * total_shares / share(d) / rate);
                fleet.submit(d, &mut rng);
            }
        }
        fleet.run_workers(now);
    }
    let (mut worst, mut used) = (0.0_f64, 0.0);
    for sends in &mut fleet.sends {
        sends.sort_by_key(|send| send.0);
        for (n, &(first, _)) in sends.iter().enumerate() {
            let within = sends[n..].iter().take_while(|send| send.0 <= first + ms(deployment.fall_after));
            let budget = deployment.budget(first - fleet.start);
            worst = worst.max(within.map(|send| send.1).sum::<f64>() / (budget + 2.0 * budget.sqrt() + 2.0));
        }
        used += sends.iter().map(|send| send.1).sum::<f64>() / COLD_WORKERS as f64;
    }
    let window_share = ms(STEP_MS).secs() / ms(deployment.fall_after).secs();
    let whole: f64 = (0..RUN_MS / STEP_MS).map(|n| deployment.budget(ms(n * STEP_MS)) * window_share).sum();
    (worst, used / whole)
}

/// Simulates a fleet on all deployments, with each combination of traffic, list delay, history and restarts.
fn check_budget(fleet_size: u32) {
    for (number, deployment) in DEPLOYMENTS.into_iter().enumerate() {
        let (mut highest, mut mean_used) = (0.0_f64, 0.0);
        for seed in 0..16_u64 {
            let [uneven, staggered_lists, has_history, restarts] = [1, 2, 4, 8].map(|bit| seed & bit != 0);
            let case = Case { deployment, fleet_size, uneven, staggered_lists, has_history, restarts, seed };
            let (worst, used) = simulate(case);
            println!("{fleet_size} site {number} {seed} over {worst:.2} used {used:.2}");
            assert!(
                worst <= 1.0,
                "{worst} of the budget plus the allowance for chance in a window: {case:?}"
            );
            (highest, mean_used) = (highest.max(worst), mean_used + used / 16.0);
        }
        println!(
            "{fleet_size} dispatchers, deployment {number}: worst {highest:.2}, mean use {mean_used:.2}"
        );
        assert!(
            mean_used > 0.1,
            "{mean_used} of the budget used: the unused capacity is missing elsewhere, {deployment:?}"
        );
    }
}

#[test]
fn one_dispatcher_keeps_a_cold_budget() {
    check_budget(1);
}

#[test]
fn three_dispatchers_keep_a_cold_budget_together() {
    check_budget(3);
}

#[test]
fn twenty_dispatchers_keep_a_cold_budget_together() {
    check_budget(20);
}

#[test]
fn thirty_dispatchers_keep_a_cold_budget_together() {
    check_budget(30);
}
