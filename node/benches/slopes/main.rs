//! Measures the cost of one step of the reducer, and the memory of its state, as functions of one quantity at
//! a time: runners, outstanding requests, tenants, dispatchers, cold runners. Prints tables and straight-line
//! fits; with `--out DIR` writes them as CSV. Checks no bounds.

mod fit;
mod rows;
mod scenario;
mod simulation;
mod times;

use fit::Fit;
use rows::{Idle, Point, Slope, State, rounded, table};
use scenario::Shape;
use simulation::Simulation;
use std::collections::BTreeMap;
use std::path::PathBuf;
use std::process::ExitCode;
use times::mean;

#[global_allocator]
static HEAP: cap::Cap<std::alloc::System> = cap::Cap::new(std::alloc::System, usize::MAX);

/// The operators' platform with 24 dispatchers. Each sweep varies one quantity of it.
const BASE: Shape = Shape { runners: 680, outstanding: 541, tenants: 300, dispatchers: 24, cold: 0 };
/// Outstanding requests of all dispatchers together.
const TOTAL_OUTSTANDING: usize = 13_000;
/// The sweep that divides them among the dispatchers. Its points are not on a line, so no line is fitted.
const FLEET: &str = "fleet";
/// The seed of each round.
const SEEDS: [u64; 3] = [1, 2, 3];
/// Simulated time for which a dispatcher without requests is measured.
const IDLE_SECONDS: f64 = 300.0;

/// A sweep: the quantity, its values, and how a value is set.
type Sweep = (&'static str, &'static [usize], fn(&mut Shape, usize));
const SWEEPS: [Sweep; 6] = [
    ("runners", &[85, 170, 340, 680], |shape, value| shape.runners = value),
    ("out", &[43, 433, 541, 1083, 2167], |shape, value| shape.outstanding = value),
    ("tenants", &[38, 75, 150, 300], |shape, value| shape.tenants = value),
    ("dispatchers", &[6, 24, 75, 150, 300], |shape, value| shape.dispatchers = value),
    ("cold", &[0, 34, 136, 340, 680], |shape, value| shape.cold = value),
    (FLEET, &[6, 24, 75, 150, 300], |shape, value| {
        (shape.dispatchers, shape.outstanding) = (value, TOTAL_OUTSTANDING / value);
    }),
];

/// Measures one point of a sweep.
fn point(quantity: &'static str, value: usize, shape: Shape, seed: u64) -> (Vec<Point>, State) {
    let mut simulation = Simulation::new(shape, seed);
    simulation.warm_up();
    let (times, tally) = simulation.measure();
    let (kept, refused) = (simulation.retained(), tally.refused);
    let before = HEAP.allocated();
    simulation.drop_core();
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
    let total_nanos: f64 = times.kinds().map(|(kind, _)| times.total_nanos(kind)).sum();
    let taken = tally.taken as f64;
    let steps_per_request = rounded(steps as f64 / taken);
    let micros_per_request = rounded(total_nanos / taken / 1e3);
    let points = times.kinds().map(point).collect();
    (points, State { quantity, value, seed, bytes, kept, steps_per_request, refused, micros_per_request })
}

/// Measures a dispatcher without requests.
fn idle(runners: usize, dispatchers: usize) -> Idle {
    let mut simulation = Simulation::new(Shape { runners, dispatchers, ..BASE }, 1);
    let (times, wakes) = simulation.run_idle(IDLE_SECONDS);
    let total_nanos = |kind| rounded(times.total_nanos(kind) / 1e3 / IDLE_SECONDS);
    let probes = rounded(times.count("probe answer") as f64 / IDLE_SECONDS);
    let (timer_micros, probe_micros) = (total_nanos("due"), total_nanos("probe answer"));
    let before = HEAP.allocated();
    simulation.drop_core();
    let bytes = before - HEAP.allocated();
    Idle {
        runners,
        dispatchers,
        wakes: rounded(wakes as f64 / IDLE_SECONDS),
        probes,
        timer_micros,
        probe_micros,
        bytes,
    }
}

/// Fits a line for each quantity to the mean time of each kind of step, to the size of the state and to the
/// cost per request. The minimum of the rounds counts, because other load on the machine only adds time.
fn slopes(points: &[Point], states: &[State]) -> Vec<Slope> {
    let mut series: BTreeMap<(&'static str, String), BTreeMap<usize, f64>> = BTreeMap::new();
    let mut add = |quantity, kind: &str, value: usize, y: f64| {
        let points_of_series = series.entry((quantity, kind.to_owned())).or_default();
        points_of_series.entry(value).and_modify(|minimum| *minimum = y.min(*minimum)).or_insert(y);
    };
    for point in points {
        add(point.quantity, &format!("{} ns", point.kind), point.value, point.mean);
    }
    for state in states {
        add(state.quantity, "state bytes", state.value, state.bytes as f64);
        add(state.quantity, "request micros", state.value, state.micros_per_request);
    }
    let fitted = series.into_iter().filter(|((quantity, _), _)| *quantity != FLEET).map(
        |((quantity, kind), points)| {
            let points: Vec<_> = points.into_iter().map(|(x, y)| (x as f64, y)).collect();
            let Fit { start, slope, r2, residual } = Fit::of(&points);
            let [start, slope, r2, residual] = [start, slope, r2, residual].map(rounded);
            Slope { quantity, kind, start, slope, r2, residual }
        },
    );
    fitted.collect()
}

/// Returns the folder after `--out`. Cargo's `--bench` argument is ignored.
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
    // Round by round, so that a busy period of the machine does not affect all rounds of one point.
    for seed in SEEDS {
        for (quantity, values, set) in SWEEPS {
            for &value in values {
                let mut shape = BASE;
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
