//! The first tries of a phase, drawn ahead from the seed. It owns what is random about them, and must never
//! look at what became of one.

use super::Clients;
use crate::experiment::Experiment;
use std::time::Duration;

/// One first try as it was drawn.
pub(super) struct Drawn {
    pub(super) at: Duration,
    pub(super) class: usize,
    pub(super) dispatcher: usize,
    pub(super) other: usize,
    pub(super) member: &'static str,
    pub(super) key: String,
    pub(super) work_ms: f64,
    pub(super) eager: Option<Duration>,
    pub(super) leaves: bool,
    pub(super) wanders: bool,
}

impl Clients {
    /// All first tries of a phase, in the order in which they are due.
    pub(super) fn draw(&self, experiment: &Experiment, seconds: f64, wander: f64) -> Vec<Drawn> {
        let mut random = fastrand::Rng::with_seed(experiment.seed);
        let habits = &experiment.clients;
        let mut all = Vec::new();
        for (number, class) in self.classes.iter().enumerate() {
            let mut at = 0.0;
            loop {
                at -= (1.0 - random.f64()).ln() / class.rate_per_s;
                if at > seconds {
                    break;
                }
                let keyed = class.group.is_some();
                let dispatcher = random.usize(..self.dispatchers.len());
                let other =
                    (dispatcher + random.usize(1..self.dispatchers.len().max(2))) % self.dispatchers.len();
                let [least, most] = class.work_ms;
                all.push(Drawn {
                    at: Duration::from_secs_f64(at),
                    class: number,
                    dispatcher,
                    other,
                    member: if random.f64() < 0.6 { "mehran-dist" } else { "ravi-supply" },
                    key: format!("{:016x}{:016x}", random.u64(..), random.u64(..)),
                    work_ms: least + (most - least) * random.f64(),
                    eager: (keyed && random.f64() < habits.eager).then(|| {
                        random
                            .choice(&habits.eager_ms)
                            .map_or(Duration::ZERO, |ms| Duration::from_millis(*ms))
                    }),
                    leaves: keyed && random.f64() < habits.leave,
                    wanders: random.f64() < wander,
                });
            }
        }
        all.sort_by_key(|request| request.at);
        all
    }
}
