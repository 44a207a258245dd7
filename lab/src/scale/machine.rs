//! What the machine bears: memory and descriptors of a point, reckoned from slopes that earlier runs measured,
//! held against what there is. It owns those slopes and the words of a refusal; it must never start anything.

use super::plan::Plan;
use super::point::{Numbers, Point};
use procfs::Current;

/// The most memory that a run may take, whatever the machine has, in MiB.
const MOST_MB: f64 = 12.0 * 1024.0;
/// Memory of the run itself and of each part without load, of a real dispatcher, of a hollow one, in MiB.
const PART_MB: f64 = 40.0;
const REAL_MB: f64 = 16.0;
const HOLLOW_MB: f64 = 1.0;
/// Memory of a pair of dispatcher and runner, and of a request that is out with all its connections, in KiB.
const PAIR_KB: f64 = 6.0;
const REQUEST_KB: f64 = 60.0;
/// Descriptors that any process has for itself.
const OWN: f64 = 64.0;

/// What the machine has.
#[derive(Clone, Copy, Debug)]
pub struct Machine {
    /// Memory that is available, in MiB.
    pub memory_mb: f64,
    /// Descriptors of a process.
    pub descriptors: f64,
}

impl Machine {
    /// Looks.
    ///
    /// # Errors
    ///
    /// If the system does not tell.
    pub fn look() -> Result<Machine, String> {
        let memory = procfs::Meminfo::current().map_err(|e| format!("/proc/meminfo: {e}"))?;
        let limits = procfs::process::Process::myself().and_then(|own| own.limits());
        let limits = limits.map_err(|e| format!("/proc/self/limits: {e}"))?;
        let descriptors = match limits.max_open_files.soft_limit {
            procfs::process::LimitValue::Value(most) => most as f64,
            procfs::process::LimitValue::Unlimited => f64::INFINITY,
        };
        let available = memory.mem_available.unwrap_or(memory.mem_free) as f64 / 1024.0 / 1024.0;
        Ok(Machine { memory_mb: available, descriptors })
    }

    /// Whether it bears a point.
    ///
    /// # Errors
    ///
    /// Names the key, what it needs, and the number that would do.
    pub fn bears(&self, plan: &Plan, point: &Point, numbers: &Numbers) -> Result<(), String> {
        let key = |key: &str| format!("point.{}.{key}", point.name);
        let most = self.memory_mb.min(MOST_MB);
        let need = memory_mb(numbers);
        if need > most {
            // All sizes at once make both pairs and requests fewer, so a part of them surely does.
            let would = point.size * most / need;
            return Err(format!(
                "{}: {} needs {need:.0} MiB, {most:.0} there are; {would:.3} would do",
                key("size"),
                point.size
            ));
        }
        if point.sockets as f64 > self.descriptors {
            let (sockets, most) = (point.sockets, self.descriptors);
            return Err(format!("{}: {sockets}, a process may hold {most}; {most} would do", key("sockets")));
        }
        for (role, fixed, kept) in descriptors(plan, point, numbers) {
            if fixed >= self.descriptors {
                let would = point.size_of("runners") * self.descriptors / fixed * 0.9;
                return Err(format!(
                    "{}: {} needs {fixed:.0} descriptors for {role}, a process may hold {}; \
                    {:.3} would do",
                    key("runners"),
                    point.size_of("runners"),
                    self.descriptors,
                    down(would)
                ));
            }
            if fixed + kept > self.descriptors {
                let would = point.size_of("running") * (self.descriptors - fixed) / kept;
                return Err(format!(
                    "{}: {} needs {:.0} descriptors for {role}, a process may hold {}; \
                    {:.3} would do",
                    key("running"),
                    point.size_of("running"),
                    fixed + kept,
                    self.descriptors,
                    down(would)
                ));
            }
        }
        Ok(())
    }
}

fn memory_mb(numbers: &Numbers) -> f64 {
    let hollow = (numbers.dispatchers - numbers.real) as f64;
    let pairs = (numbers.dispatchers * numbers.runners) as f64;
    5.0 * PART_MB
        + numbers.real as f64 * REAL_MB
        + hollow * HOLLOW_MB
        + (pairs * PAIR_KB + numbers.running as f64 * REQUEST_KB) / 1024.0
}

/// Rounded down, so that the number that is told does.
fn down(size: f64) -> f64 {
    (size * 1000.0).floor() / 1000.0
}

/// Descriptors of the parts that hold the most: those that it has anyway, and those that what runs brings.
fn descriptors(plan: &Plan, point: &Point, numbers: &Numbers) -> [(&'static str, f64, f64); 2] {
    let regions = plan.site.zones.len();
    // A connection stays for as long as a dispatcher keeps it idle, which is 7/10 of the runner's time.
    let kept = numbers.running as f64 / point.fill_s * plan.control.conn_idle_s * 0.7;
    let listening = (numbers.runners * regions * 2) as f64;
    let clients = (numbers.running * numbers.real) as f64 / numbers.dispatchers as f64 * 1.1;
    [("runners", OWN + listening + numbers.dispatchers as f64, kept), ("clients", OWN, clients)]
}

/// Raises the descriptors of this process, and so of those that it starts, as far as it may.
pub fn raise_descriptors() {
    use rustix::process::{Resource, getrlimit, setrlimit};
    let mut limit = getrlimit(Resource::Nofile);
    limit.current = limit.maximum;
    // Where this is refused, the check against what there is speaks.
    let _ = setrlimit(Resource::Nofile, limit);
}
