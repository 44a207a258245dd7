//! What one step of the reducer costs, and what its state takes, as functions of one quantity at a time:
//! runners, requests out, tenants, dispatchers, cold runners. Prints tables and straight-line fits; with
//! `--out DIR` writes them as CSV. It owns the sweep and its tables. It must never judge: no figure here is a
//! bound.

mod fit;
mod rows;
mod terms;
mod times;
mod world;

use fit::Fit;
use rows::{Idle, Point, Slope, State, rounded, table};
use std::collections::BTreeMap;
use std::path::PathBuf;
use std::process::ExitCode;
use terms::Shape;
use times::mean;
use world::World;

#[global_allocator]
static HEAP: cap::Cap<std::alloc::System> = cap::Cap::new(std::alloc::System, usize::MAX);

/// The operators' size at 24 dispatchers: each line of the sweep leaves it in one quantity.
const WHOLE: Shape = Shape { runners: 680, out: 541, tenants: 300, dispatchers: 24, cold: 0 };
/// Requests out at once in all, and the line that shares them among so many dispatchers: no straight one.
const OUT: usize = 13_000;
const FLEET: &str = "fleet";
/// The rounds, each on a seed of its own.
const SEEDS: [u64; 3] = [1, 2, 3];
/// Seconds of made-up time for which a dispatcher without requests is watched.
const IDLE: f64 = 300.0;

/// The sweep: a quantity, its values, and how a shape gets one.
type Line = (&'static str, &'static [usize], fn(&mut Shape, usize));
const LINES: [Line; 6] = [
    ("runners", &[85, 170, 340, 680], |shape, value| shape.runners = value),
    ("out", &[43, 433, 541, 1083, 2167], |shape, value| shape.out = value),
    ("tenants", &[38, 75, 150, 300], |shape, value| shape.tenants = value),
    ("dispatchers", &[6, 24, 75, 150, 300], |shape, value| shape.dispatchers = value),
    ("cold", &[0, 34, 136, 340, 680], |shape, value| shape.cold = value),
    (FLEET, &[6, 24, 75, 150, 300], |shape, value| {
        (shape.dispatchers, shape.out) = (value, OUT / value);
    }),
];

/// Plays one point of the sweep.
fn point(quantity: &'static str, value: usize, shape: Shape, seed: u64) -> (Vec<Point>, State) {
    let mut world = World::new(shape, seed);
    world.warm_up();
    let (times, tally) = world.measure();
    let (kept, refused) = (world.kept(), tally.refused);
    let before = HEAP.allocated();
    world.drop_core();
    let bytes = before - HEAP.allocated();
    let point = |(kind, times): (_, &hdrhistogram::Histogram<u64>)| Point {
        quantity,
        value,
        seed,
        kind,
        steps: times.len(),
        mean: rounded(mean(times)),
        p50: times.value_at_quantile(0.5),
        p99: times.value_at_quantile(0.99),
        max: times.max(),
    };
    let steps: u64 = times.kinds().map(|(kind, _)| times.count(kind)).sum();
    let spent: f64 = times.kinds().map(|(kind, _)| times.spent(kind)).sum();
    let taken = tally.taken as f64;
    let steps_per_request = rounded(steps as f64 / taken);
    let micros_per_request = rounded(spent / taken / 1e3);
    let points = times.kinds().map(point).collect();
    (points, State { quantity, value, seed, bytes, kept, steps_per_request, refused, micros_per_request })
}

fn idle(runners: usize, dispatchers: usize) -> Idle {
    let mut world = World::new(Shape { runners, dispatchers, ..WHOLE }, 1);
    let (times, wakes) = world.rest(IDLE);
    let spent = |kind| rounded(times.spent(kind) / 1e3 / IDLE);
    let probes = rounded(times.count("probe answer") as f64 / IDLE);
    let (timer_micros, probe_micros) = (spent("due"), spent("probe answer"));
    let before = HEAP.allocated();
    world.drop_core();
    let bytes = before - HEAP.allocated();
    Idle {
        runners,
        dispatchers,
        wakes: rounded(wakes as f64 / IDLE),
        probes,
        timer_micros,
        probe_micros,
        bytes,
    }
}

/// Straight lines through each quantity's points: of the mean of each kind of step, and of the state. Of the
/// rounds the least counts: whatever else runs on the machine only adds.
fn slopes(points: &[Point], states: &[State]) -> Vec<Slope> {
    let mut lines: BTreeMap<(&'static str, String), BTreeMap<usize, f64>> = BTreeMap::new();
    let mut add = |quantity, kind: &str, value: usize, y: f64| {
        let line = lines.entry((quantity, kind.to_owned())).or_default();
        line.entry(value).and_modify(|least| *least = y.min(*least)).or_insert(y);
    };
    for point in points {
        add(point.quantity, &format!("{} ns", point.kind), point.value, point.mean);
    }
    for state in states {
        add(state.quantity, "state bytes", state.value, state.bytes as f64);
        add(state.quantity, "request micros", state.value, state.micros_per_request);
    }
    let fitted = lines.into_iter().filter(|((quantity, _), _)| *quantity != FLEET).map(
        |((quantity, kind), points)| {
            let points: Vec<_> = points.into_iter().map(|(x, y)| (x as f64, y)).collect();
            let Fit { start, slope, r2, residual } = Fit::of(&points);
            let [start, slope, r2, residual] = [start, slope, r2, residual].map(rounded);
            Slope { quantity, kind, start, slope, r2, residual }
        },
    );
    fitted.collect()
}

/// The folder after `--out`; cargo's own `--bench` is passed over.
fn folder() -> Result<Option<PathBuf>, String> {
    let mut args = std::env::args().skip(1).filter(|arg| arg != "--bench");
    match (args.next().as_deref(), args.next(), args.next()) {
        (None, ..) => Ok(None),
        (Some("--out"), Some(folder), None) => Ok(Some(folder.into())),
        _ => Err("usage: slopes [--out DIR]".to_owned()),
    }
}

fn run() -> Result<(), String> {
    let folder = folder()?;
    if let Some(folder) = &folder {
        std::fs::create_dir_all(folder).map_err(|e| format!("{}: {e}", folder.display()))?;
    }
    let (mut points, mut states) = (Vec::new(), Vec::new());
    // Round by round, so that a spell in which the machine is busy is not one point's alone.
    for seed in SEEDS {
        for (quantity, values, set) in LINES {
            for &value in values {
                let mut shape = WHOLE;
                set(&mut shape, value);
                let (steps, state) = point(quantity, value, shape, seed);
                points.extend(steps);
                states.push(state);
            }
        }
    }
    let slopes = slopes(&points, &states);
    let sizes = [85, 170, 340, 680].map(|runners| (runners, 24));
    let counts = [6, 75, 150, 300].map(|dispatchers| (680, dispatchers));
    let idles: Vec<_> = sizes.into_iter().chain(counts).map(|(r, d)| idle(r, d)).collect();
    let folder = folder.as_deref();
    let shown = table(folder, "steps", &points)
        .and_then(|()| table(folder, "state", &states))
        .and_then(|()| table(folder, "slopes", &slopes))
        .and_then(|()| table(folder, "idle", &idles));
    shown.map_err(|e| e.to_string())
}

fn main() -> ExitCode {
    match run() {
        Ok(()) => ExitCode::SUCCESS,
        Err(message) => {
            eprintln!("slopes: {message}");
            ExitCode::FAILURE
        }
    }
}
