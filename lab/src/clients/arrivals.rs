//! The requests of a phase, drawn in advance from the seed, so that they do not depend on the outcome of any
//! try.

use super::Clients;
use crate::experiment::Experiment;
use std::time::Duration;

/// A request with the random choices of its client.
pub(super) struct Arrival {
    /// When it arrives, from the start of the phase.
    pub(super) at: Duration,
    /// The number of its class.
    pub(super) class: usize,
    /// The dispatcher of the first try.
    pub(super) dispatcher: usize,
    /// The dispatcher of repeats, if the client changes dispatchers.
    pub(super) other_dispatcher: usize,
    /// The name of its tenant.
    pub(super) tenant: &'static str,
    /// The idempotency key.
    pub(super) key: String,
    /// The running time at speed 1.
    pub(super) work_ms: f64,
    /// The delay after which the client sends the request a second time; `None` if it does not.
    pub(super) duplicate_after: Option<Duration>,
    /// Whether the client disconnects early from the first try and repeats it.
    pub(super) disconnects: bool,
    /// Whether repeats go to the other dispatcher.
    pub(super) changes_dispatcher: bool,
}

impl Clients {
    /// Draws all requests of a phase; returns them in order of arrival.
    pub(super) fn draw_arrivals(&self, experiment: &Experiment, seconds: f64, wander: f64) -> Vec<Arrival> {
        let mut random = fastrand::Rng::with_seed(experiment.seed);
        let behaviour = &experiment.clients;
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
                let other_dispatcher =
                    (dispatcher + random.usize(1..self.dispatchers.len().max(2))) % self.dispatchers.len();
                let [min_work_ms, max_work_ms] = class.work_ms;
                all.push(Arrival {
                    at: Duration::from_secs_f64(at),
                    class: number,
                    dispatcher,
                    other_dispatcher,
                    tenant: if random.f64() < 0.6 { "mehran-dist" } else { "ravi-supply" },
                    key: format!("{:016x}{:016x}", random.u64(..), random.u64(..)),
                    work_ms: min_work_ms + (max_work_ms - min_work_ms) * random.f64(),
                    duplicate_after: (keyed && random.f64() < behaviour.eager).then(|| {
                        random
                            .choice(&behaviour.eager_ms)
                            .map_or(Duration::ZERO, |ms| Duration::from_millis(*ms))
                    }),
                    disconnects: keyed && random.f64() < behaviour.leave,
                    changes_dispatcher: random.f64() < wander,
                });
            }
        }
        all.sort_by_key(|arrival| arrival.at);
        all
    }
}
