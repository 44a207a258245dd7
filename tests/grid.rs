//! The module on a grid of settings: dispatchers, streams, shares, hints and reports, in each combination,
//! against one stand-in fleet that is asked for more than it can do. It owns the grid and its bounds, which
//! are counts of simulated requests; it must never measure real time or draw without a seed.

mod common;

use common::workers::*;
use common::*;
use sablerun::*;

/// Slots of usual pace in the fleet once its drained worker is out: four workers of four, one half as fast.
const CAPACITY: f64 = 18.0;
/// A job's mean running time in seconds, and the part of the capacity that is asked for within shares.
const MEAN: f64 = 0.15;
const WITHIN: f64 = 0.8;
/// Milliseconds in which requests come, and after which those still open are past their deadline.
const ASKING: u64 = 10_000;
const ENDING: u64 = 2_200;
const DRAINED: u32 = 5;

/// One combination.
#[derive(Clone, Copy, Debug)]
struct Cell {
    dispatchers: usize,
    uneven: bool,
    apart: bool,
    hints: bool,
    rich: bool,
}

/// What is counted in a cell.
#[derive(Debug, Default, PartialEq)]
struct Counts {
    /// Requests of the tenants within their shares, those of them answered within the aim, and the same of
    /// the greedy one.
    asked: [usize; 2],
    in_aim: [usize; 2],
    served: usize,
    sends: usize,
    /// Sends to the drained worker before and after its drain.
    drained: [usize; 2],
    broken: Vec<String>,
}

impl Counts {
    fn add(&mut self, other: Counts) {
        for n in 0..2 {
            self.asked[n] += other.asked[n];
            self.in_aim[n] += other.in_aim[n];
            self.drained[n] += other.drained[n];
        }
        self.served += other.served;
        self.sends += other.sends;
        self.broken.extend(other.broken);
    }
}

/// Plays a cell: what is asked is drawn from the seed alone.
fn play(cell: Cell, seed: u64) -> Counts {
    let quotas = if cell.apart { [0.4, 0.15, 0.15, 0.15, 0.15] } else { [0.2; 5] };
    // The first tenant asks three times its share, the others four fifths of theirs.
    let mut rates = quotas.map(|quota| quota * 0.8);
    rates[0] = quotas[0] * 3.0;
    let within = quotas[0] + rates[1..].iter().sum::<f64>();
    let all = WITHIN * CAPACITY / MEAN / within;
    let tenants = quotas.map(|quota| Tenant { quota_per_s: quota * all }).to_vec();
    let classes = vec![Class { deadline: ms(2000), ..class(Idempotency::Safe) }];
    let dispatchers = cell.dispatchers as u32;
    let settings =
        Settings { dispatchers, tenants, classes, progress: Span(0), drain_grace: Span(0), ..settings() };
    let world = |number| World::new(Settings { number, ..settings.clone() }, seed + u64::from(number));
    let worlds = (0..dispatchers).map(world).collect();
    let mut fleet = Fleet::new(worlds, &[1.0, 1.0, 1.0, 1.0, 2.0, 2.0], cell.rich);
    let mut rng = fastrand::Rng::with_seed(seed);
    // Requests come at random: the time of the next in seconds, then whose it is and where it comes.
    let total = rates.iter().sum::<f64>();
    let (mut due, mut before) = (0.0, 0);
    for step in 0..(ASKING + ENDING) / STEP {
        let clock = step * STEP;
        if clock == ASKING / 2 {
            fleet.drain(DRAINED);
            before = fleet.sends[DRAINED as usize];
        }
        while clock < ASKING && due * 1e3 <= clock as f64 {
            due -= (1.0 - rng.f64()).ln() / (total * all);
            let mut point = rng.f64() * total;
            let tenant = rates.iter().position(|rate| {
                point -= rate;
                point < 0.0
            });
            let first = cell.uneven && rng.f64() < 0.6;
            let from = if first { 0 } else { rng.usize(usize::from(cell.uneven)..cell.dispatchers) };
            let work = MEAN * (2.0 / 3.0 + rng.f64() * 2.0 / 3.0);
            // Drawn also where nobody hears it: all cells of a kind see the same requests.
            let hint = Some(work * (0.8 + 0.4 * rng.f64()));
            fleet.ask(from, tenant.unwrap_or(0), work, hint.filter(|_| cell.hints));
        }
        fleet.step();
    }
    let sends = fleet.sends.iter().sum();
    let drained = [before, fleet.sends[DRAINED as usize] - before];
    let mut broken: Vec<String> = fleet.worlds.iter().flat_map(|world| world.broken.clone()).collect();
    let open = |world: &World| world.requests.values().filter(|known| !known.settled).count();
    broken.extend(fleet.worlds.iter().map(open).filter(|open| *open > 0).map(|n| format!("{n} left open")));
    let count = |greedy: bool, in_aim: bool| {
        let hit = |a: &&Asked| !in_aim || a.served.is_some_and(|at| at <= a.aim);
        fleet.asked.iter().filter(|a| (a.tenant == 0) == greedy).filter(hit).count()
    };
    Counts {
        asked: [count(false, false), count(true, false)],
        in_aim: [count(false, true), count(true, true)],
        served: fleet.asked.iter().filter(|a| a.served.is_some()).count(),
        sends,
        drained,
        broken,
    }
}

/// Seeds that a cell's counts are summed over: by one alone they differ by up to 0.1.
const SEEDS: [u64; 3] = [41, 141, 241];

/// What holds in each cell of so many dispatchers: least part of the requests within shares that is answered
/// within the aim, without reports and with them, and most attempts for each request served. A dispatcher
/// among many sees a small part of the traffic and of each queue, so one bound for all would bind few cells.
/// They lie 0.02 to 0.035 below the least part measured, and 0.01 to 0.03 above the most tries.
const BOUNDS: [(usize, [f64; 2], f64); 3] =
    [(1, [0.96, 0.96], 1.02), (3, [0.8, 0.86], 1.11), (12, [0.68, 0.72], 1.23)];

/// All cells with so many dispatchers; a lone one has all of the traffic either way.
fn cells(dispatchers: usize) -> impl Iterator<Item = Cell> {
    let all = (0..16).map(move |n| {
        let [uneven, apart, hints, rich] = [8, 4, 2, 1].map(|bit| n & bit != 0);
        Cell { dispatchers, uneven, apart, hints, rich }
    });
    all.filter(|cell| cell.dispatchers > 1 || !cell.uneven)
}

#[test]
fn each_cell_of_the_grid_keeps_its_bounds() {
    let mut table = String::from("disp streams shares hints reports  within  greedy   tries  drained\n");
    let mut failed = 0;
    let bounds = BOUNDS.iter().flat_map(|bound| cells(bound.0).map(move |cell| (cell, bound)));
    for (cell, (_, least, most)) in bounds {
        let mut all = Counts::default();
        SEEDS.iter().for_each(|seed| all.add(play(cell, *seed)));
        let part = |n: usize| all.in_aim[n] as f64 / all.asked[n].max(1) as f64;
        let tries = all.sends as f64 / all.served.max(1) as f64;
        let word = |yes: bool, words: [&'static str; 2]| words[usize::from(yes)];
        table += &format!(
            "{:4} {:7} {:6} {:5} {:7} {:7.3} {:7.3} {:7.3} {:4} / {}",
            cell.dispatchers,
            word(cell.uneven, ["even", "uneven"]),
            word(cell.apart, ["even", "apart"]),
            word(cell.hints, ["none", "given"]),
            word(cell.rich, ["poor", "rich"]),
            part(0),
            part(1),
            tries,
            all.drained[0],
            all.drained[1],
        );
        let checks = [
            (part(0) >= least[usize::from(cell.rich)], "too few within shares"),
            (tries <= *most, "too many tries"),
            (all.drained[0] > 0, "the worker that drains was never used"),
            (all.drained[1] == 0, "sends after the drain"),
            (all.broken.is_empty(), "rules are broken"),
        ];
        for (_, what) in checks.iter().filter(|(good, _)| !good) {
            failed += 1;
            table += &format!("  {what}");
        }
        all.broken.iter().take(3).for_each(|broken| table += &format!("  {broken}"));
        table += "\n";
    }
    println!("{table}");
    assert_eq!(failed, 0, "bounds do not hold:\n{table}");
}

/// The figures of the table may be compared between builds: nothing but the seed and the module moves them.
#[test]
fn a_cell_comes_out_the_same_each_time() {
    let cell = Cell { dispatchers: 3, uneven: true, apart: true, hints: true, rich: true };
    assert_eq!(play(cell, 41), play(cell, 41));
    assert_ne!(play(cell, 41), play(cell, 42));
}
