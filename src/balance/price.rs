//! Worker selection: readiness, slow start, price and the weighted random choice. Sends nothing.

use super::*;

/// Lower bound of a price, in seconds (the paper's xi).
const MIN_PRICE_S: f64 = 1e-4;
/// The tokens of all dispatchers together allow this share of the load that a cold worker survives. Many
/// dispatchers do not need theirs.
const COLD_START_USE: f64 = 0.53;
/// Share of its target within which a job with a hint must be expected to finish: hints and paces are
/// imprecise.
const HINTED_TARGET_SHARE: f64 = 0.9;
/// How far the rate of late starts in the local zone must exceed that of remote zones, beyond the price of
/// crossing, for crossing to be free: the rates also differ by chance.
const CROSS_ZONE_MARGIN: f64 = 0.1;

impl Balancer {
    /// Returns the fraction of its capacity that a worker has at least during slow start, by its age; 1
    /// thereafter.
    pub(super) fn warm_up_fraction(&self, worker: usize) -> f64 {
        let age_s = self.entries[worker].up_since.map_or(f64::INFINITY, |up| (self.now - up).secs());
        let rise = (1.0 - self.settings.cold_from) * age_s / self.settings.warm_after.secs().max(1e-3);
        (self.settings.cold_from + rise).min(1.0)
    }

    /// Refills cold-start tokens, each good for a mean job to a cold worker, at a rate that the worker
    /// survives. Whole tokens beyond the cap are lost; fractions are kept, so that dispatchers take turns.
    /// Runs at each event, since the estimates change.
    pub(super) fn refill_cold_tokens(&mut self) {
        let own_share = self.settings.fall_multiple * COLD_START_USE / f64::from(self.settings.dispatchers);
        for worker in
            (0..self.workers.len()).filter(|worker| self.warm_up_fraction(*worker) < 1.0).collect::<Vec<_>>()
        {
            let slots = self.group(worker).slots.min(self.group(worker).max_free_slots);
            let tokens_per_s = slots / self.slowness(worker) * self.warm_up_fraction(worker)
                / self.mean_work[1].max(1e-3)
                * own_share;
            let w = &mut self.workers[worker];
            let tokens = w.cold_tokens.0 + tokens_per_s * (self.now_s - w.cold_tokens_at);
            let cap = tokens_per_s * self.settings.fall_after.secs();
            w.cold_tokens = (tokens - (tokens - cap).floor().max(0.0), cap);
            w.cold_tokens_at = self.now_s;
        }
    }

    /// Whether a worker is expected to start the request at once, given its queue length in slots and the
    /// job's expected running time there in seconds.
    fn is_ready(&self, request: &Request, worker: usize, queue_len: f64, run_time: f64) -> bool {
        let safe = self.settings.classes[request.class].idempotency == Idempotency::Safe;
        let w = &self.workers[worker];
        // A request over its tenant's share leaves a slot free for requests within their shares.
        let reserved_slots = u8::from(request.over_share);
        let available_share = 1.0 - request.yielded_share * self.full_rate;
        // A suspect worker gets a request only as a trial: one that may be repeated, after the wait, and none
        // while another has not started.
        let eligible = w.trial_at.is_none_or(|trial| safe && self.now_s >= trial && w.load.unstarted == 0);
        // A job with a hint is not sent where it would finish too late to be useful.
        let expected_s = self.now_s - request.arrived_s + run_time;
        eligible
            && (request.hint == 0.0 || expected_s <= request.target_s * HINTED_TARGET_SHARE)
            && self.failure_chance(worker, request.class) < FAILING_RATE
            && queue_len + request.slots.ceil() + f64::from(reserved_slots)
                <= self.group(worker).slots * available_share + 0.5
    }

    /// Whether the worker is outside this dispatcher's zone.
    pub(super) fn is_remote(&self, worker: usize) -> bool {
        Some(self.entries[worker].zone) != self.settings.zone
    }

    /// Whether a send to the worker crosses zones, and whether it needs a new connection, where these have a
    /// price. Crossing does not count while local attempts start late clearly more often than remote ones.
    fn extra_cost(&self, worker: usize) -> (bool, bool) {
        let prices = &self.settings.prices;
        let idle_since = self.workers[worker].idle_since.last();
        let limit_s = self.settings.idle_limit.secs().min(self.safe_idle_s);
        let [local_rate, remote_rate] = self.late_start_rates;
        let crosses_zone = prices.cross_zone > 0.0
            && self.is_remote(worker)
            && local_rate - remote_rate <= prices.cross_zone + CROSS_ZONE_MARGIN;
        (crosses_zone, prices.handshake > 0.0 && idle_since.is_none_or(|since| self.now_s - since >= limit_s))
    }

    /// Returns the price in seconds: `C = (QL + 1) * PT + CD`, divided by the probability that the attempt
    /// succeeds. `QL` is the queue length in slots, `PT` the job's expected running time there, and `CD` the
    /// time there and back plus the penalties for crossing zones and for a new connection, which are
    /// fractions of the request's target.
    fn price(
        &self,
        request: &Request,
        worker: usize,
        queue_len: f64,
        run_time: f64,
        new_connection: bool,
    ) -> f64 {
        let penalty = self.settings.prices.cross_zone * f64::from(u8::from(self.is_remote(worker)))
            + self.settings.prices.handshake * f64::from(u8::from(new_connection));
        let transfer_cost = self.workers[worker].transfer_s + penalty * request.target_s;
        (((queue_len + 1.0) * run_time + transfer_cost)
            / (1.0 - self.failure_chance(worker, request.class)).max(0.05))
        .max(MIN_PRICE_S)
    }

    /// Draws a ready worker at random, with a probability in proportion to `1 / C`; never the worker `avoid`.
    pub(super) fn draw_worker(&mut self, id: RequestId, avoid: Option<usize>) -> Option<usize> {
        let request = self.requests.remove(&id)?;
        // The ready workers, each with the sum of the weights up to its own.
        let mut candidates = Vec::new();
        let mut total_weight = 0.0;
        // Only the workers with the lowest extra cost are candidates: where crossing zones has a price, the
        // local zone comes first; then, where a new connection has one, an open connection.
        let mut lowest_extra = (true, true);
        for worker in 0..self.workers.len() {
            // A worker back from a drain gets one request soon; one that failed this request comes last.
            let failed =
                request.attempts.iter().any(|a| a.worker == worker && a.outcome == Some(Outcome::Error));
            let extra = if failed { (true, true) } else { self.extra_cost(worker) };
            let extra = if self.workers[worker].back_from_drain { (false, false) } else { extra };
            if extra > lowest_extra || Some(worker) == avoid || !self.is_allowed(&request, worker) {
                continue;
            }
            let queue_len = self.queue_len(worker).max(0.0);
            let run_time = request.work * self.slowness(worker) / self.warm_up_fraction(worker);
            if self.is_ready(&request, worker, queue_len, run_time) {
                if extra < lowest_extra {
                    candidates.clear();
                    lowest_extra = extra;
                    total_weight = 0.0;
                }
                total_weight += 1.0 / self.price(&request, worker, queue_len, run_time, extra.1);
                candidates.push((worker, total_weight));
            }
        }
        let point = self.rng.f64() * total_weight;
        let chosen = candidates.iter().find(|c| point < c.1).or(candidates.last()).map(|c| c.0);
        self.requests.insert(id, request);
        chosen
    }
}
