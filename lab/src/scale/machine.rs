//! Checks whether the machine has the memory and descriptors that a point needs, estimated with slopes that
//! earlier runs measured. Starts nothing.

use super::plan::Plan;
use super::point::{Point, Quantities};
use procfs::Current;

/// The most memory that a run may use, whatever the machine has, in MiB.
const MAX_RUN_MB: f64 = 12.0 * 1024.0;
/// Memory of the run itself and of each part without load, in MiB.
const PART_MB: f64 = 40.0;
/// Memory of a real dispatcher without load, in MiB.
const REAL_MB: f64 = 16.0;
/// Memory of a hollow dispatcher without load, in MiB.
const HOLLOW_MB: f64 = 1.0;
/// Memory of a pair of dispatcher and runner, in KiB.
const PAIR_KB: f64 = 6.0;
/// Memory of an open request with all its connections, in KiB.
const REQUEST_KB: f64 = 60.0;
/// Descriptors that any process uses without load.
const PROCESS_DESCRIPTORS: f64 = 64.0;

/// The resources of the machine.
#[derive(Clone, Copy, Debug)]
pub struct Machine {
    /// Available memory, in MiB.
    pub memory_mb: f64,
    /// The limit of descriptors of a process.
    pub descriptors: f64,
}

impl Machine {
    /// Reads the resources from procfs.
    ///
    /// # Errors
    ///
    /// If procfs cannot be read.
    pub fn inspect() -> Result<Machine, String> {
        let memory = procfs::Meminfo::current().map_err(|e| format!("/proc/meminfo: {e}"))?;
        let limits = procfs::process::Process::myself().and_then(|process| process.limits());
        let limits = limits.map_err(|e| format!("/proc/self/limits: {e}"))?;
        let descriptors = match limits.max_open_files.soft_limit {
            procfs::process::LimitValue::Value(limit) => limit as f64,
            procfs::process::LimitValue::Unlimited => f64::INFINITY,
        };
        let available = memory.mem_available.unwrap_or(memory.mem_free) as f64 / 1024.0 / 1024.0;
        Ok(Machine { memory_mb: available, descriptors })
    }

    /// Checks that the machine has what a point needs.
    ///
    /// # Errors
    ///
    /// Names the key, what the point needs, and the largest number that would do.
    pub fn check_capacity(&self, plan: &Plan, point: &Point, quantities: &Quantities) -> Result<(), String> {
        let key = |key: &str| format!("point.{}.{key}", point.name);
        let limit = self.memory_mb.min(MAX_RUN_MB);
        let needed = memory_mb(quantities);
        if needed > limit {
            // A smaller size reduces both pairs and requests, so a proportional reduction suffices.
            let sufficient = point.size * limit / needed;
            return Err(format!(
                "{}: {} needs {needed:.0} MiB, {limit:.0} are available; {sufficient:.3} would do",
                key("size"),
                point.size
            ));
        }
        if point.sockets as f64 > self.descriptors {
            let (sockets, limit) = (point.sockets, self.descriptors);
            return Err(format!(
                "{}: {sockets}, a process may hold {limit}; {limit} would do",
                key("sockets")
            ));
        }
        for (role, base, for_requests) in descriptors(plan, point, quantities) {
            if base >= self.descriptors {
                let sufficient = point.size_of("runners") * self.descriptors / base * 0.9;
                return Err(format!(
                    "{}: {} needs {base:.0} descriptors for {role}, a process may hold {}; \
                    {:.3} would do",
                    key("runners"),
                    point.size_of("runners"),
                    self.descriptors,
                    round_down(sufficient)
                ));
            }
            if base + for_requests > self.descriptors {
                let sufficient = point.size_of("running") * (self.descriptors - base) / for_requests;
                return Err(format!(
                    "{}: {} needs {:.0} descriptors for {role}, a process may hold {}; \
                    {:.3} would do",
                    key("running"),
                    point.size_of("running"),
                    base + for_requests,
                    self.descriptors,
                    round_down(sufficient)
                ));
            }
        }
        Ok(())
    }
}

fn memory_mb(quantities: &Quantities) -> f64 {
    let hollow = (quantities.dispatchers - quantities.real) as f64;
    let pairs = (quantities.dispatchers * quantities.runners) as f64;
    5.0 * PART_MB
        + quantities.real as f64 * REAL_MB
        + hollow * HOLLOW_MB
        + (pairs * PAIR_KB + quantities.running as f64 * REQUEST_KB) / 1024.0
}

/// Rounds down to thousandths, so that the reported number suffices.
fn round_down(size: f64) -> f64 {
    (size * 1000.0).floor() / 1000.0
}

/// Returns the parts with the most descriptors: the role, the descriptors without requests, and those for
/// requests.
fn descriptors(plan: &Plan, point: &Point, quantities: &Quantities) -> [(&'static str, f64, f64); 2] {
    let regions = plan.site.zones.len();
    // A dispatcher keeps a connection idle for 7/10 of the runner's idle time.
    let for_requests = quantities.running as f64 / point.fill_s * plan.control.conn_idle_s * 0.7;
    let listening = (quantities.runners * regions * 2) as f64;
    let clients = (quantities.running * quantities.real) as f64 / quantities.dispatchers as f64 * 1.1;
    [
        ("runners", PROCESS_DESCRIPTORS + listening + quantities.dispatchers as f64, for_requests),
        ("clients", PROCESS_DESCRIPTORS, clients),
    ]
}

/// Raises the descriptor limit of this process, and so of its children, to the hard limit.
pub fn raise_descriptors() {
    use rustix::process::{Resource, getrlimit, setrlimit};
    let mut limit = getrlimit(Resource::Nofile);
    limit.current = limit.maximum;
    // A failure is ignored: `check_capacity` then reports the limit in force.
    let _ = setrlimit(Resource::Nofile, limit);
}
