//! Worker selection: readiness, slow start, price and the weighted random choice. Never sends.

use super::*;

/// Lower bound of a price, in seconds (the paper's xi).
const MIN_PRICE: f64 = 1e-4;
/// Share of a cold worker's budget that all dispatchers together plan to use; many do not need their part.
const COLD_START_USE: f64 = 0.53;
/// Share of its target by which a hinted job must be expected to finish: hints and paces are imprecise.
const HINTED_TARGET_SHARE: f64 = 0.9;
/// How much more often, beyond the price of crossing, local starts must be late: rates differ by chance.
const CROSS_MARGIN: f64 = 0.1;

impl Balancer {
    /// Returns the fraction of its capacity that a worker has during slow start, given its start time.
    pub(super) fn warm_up(&self, i: usize) -> f64 {
        let age = self.entries[i].up_since.map_or(f64::INFINITY, |up| (self.now - up).secs());
        let rise = (1.0 - self.settings.cold_from) * age / self.settings.warm_after.secs().max(1e-3);
        (self.settings.cold_from + rise).min(1.0)
    }

    /// Refills cold-start tokens, each good for a mean job to a cold worker; their rate fits its budget.
    /// Dispatchers take turns; tokens not used in time are lost. Runs at each event, since estimates change.
    pub(super) fn refill_cold_tokens(&mut self) {
        let share = self.settings.fall_multiple * COLD_START_USE / f64::from(self.settings.dispatchers);
        for i in (0..self.workers.len()).filter(|i| self.warm_up(*i) < 1.0).collect::<Vec<_>>() {
            let slots = self.group(i).slots.min(self.group(i).max_free);
            let rate = slots / self.slowness(i) * self.warm_up(i) / self.mean_work[1].max(1e-3) * share;
            let w = &mut self.workers[i];
            let (tokens, cap) =
                (w.tokens.0 + rate * (self.now_s - w.tokens_at), rate * self.settings.fall_after.secs());
            (w.tokens, w.tokens_at) = ((tokens - (tokens - cap).floor().max(0.0), cap), self.now_s);
        }
    }

    /// Whether a worker is expected to start the request at once.
    fn is_ready(&self, request: &Request, i: usize, queue: f64, time: f64) -> bool {
        let (safe, w) =
            (self.settings.classes[request.class].idempotency == Idempotency::Safe, &self.workers[i]);
        // A request over its tenant's share leaves a slot free for requests within their shares.
        let (left, reserve) = (1.0 - request.yielded_share * self.full_rate, u8::from(request.over_share));
        let eligible = w.trial_at.is_none_or(|trial| safe && self.now_s >= trial && w.load.queued == 0);
        // A job with a hinted running time is not sent where it would finish too late to be useful.
        let expected = self.now_s - request.arrived_s + time;
        eligible
            && (request.hint == 0.0 || expected <= request.target * HINTED_TARGET_SHARE)
            && self.failure_chance(i, request.class) < FAILING
            && queue + request.slots.ceil() + f64::from(reserve) <= self.group(i).slots * left + 0.5
    }

    /// Whether the worker is outside this dispatcher's zone.
    pub(super) fn is_remote(&self, i: usize) -> bool {
        Some(self.entries[i].zone) != self.settings.zone
    }

    /// Whether a send there crosses zones and whether it needs a new connection, where that has a price.
    /// Crossing does not count while local attempts start late clearly more often than remote ones.
    fn extra_cost(&self, i: usize) -> (bool, bool) {
        let (costs, idle) = (&self.settings.prices, self.workers[i].idle_since.last());
        let limit = self.settings.idle_limit.secs().min(self.safe_idle_s);
        let [near, far] = self.late_starts;
        let cross =
            costs.cross_zone > 0.0 && self.is_remote(i) && near - far <= costs.cross_zone + CROSS_MARGIN;
        (cross, costs.handshake > 0.0 && idle.is_none_or(|since| self.now_s - since >= limit))
    }

    /// Returns `C = (QL + 1) * PT + CD`, divided by the probability that the attempt succeeds.
    fn price(&self, request: &Request, i: usize, queue: f64, time: f64, new_connection: bool) -> f64 {
        let penalty = self.settings.prices.cross_zone * f64::from(u8::from(self.is_remote(i)))
            + self.settings.prices.handshake * f64::from(u8::from(new_connection));
        let cost = self.workers[i].transfer_s + penalty * request.target;
        (((queue + 1.0) * time + cost) / (1.0 - self.failure_chance(i, request.class)).max(0.05))
            .max(MIN_PRICE)
    }

    /// Draws a ready worker at random, with a probability in proportion to `1 / C`.
    pub(super) fn draw_worker(&mut self, id: RequestId, avoid: Option<usize>) -> Option<usize> {
        let request = self.requests.remove(&id)?;
        let (mut candidates, mut total) = (Vec::new(), 0.0);
        // Where crossing or a new connection has a price: the local zone first, then an open connection.
        let mut lowest = (true, true);
        for i in 0..self.workers.len() {
            // A worker back from a drain gets one request soon; one that failed this request comes last.
            let failed = request.attempts.iter().any(|a| a.worker == i && a.outcome == Some(Outcome::Error));
            let extra = if failed { (true, true) } else { self.extra_cost(i) };
            let extra = if self.workers[i].returned { (false, false) } else { extra };
            if extra > lowest || Some(i) == avoid || !self.is_allowed(&request, i) {
                continue;
            }
            let (queue, time) =
                (self.queue_len(i).max(0.0), request.work * self.slowness(i) / self.warm_up(i));
            if self.is_ready(&request, i, queue, time) {
                if extra < lowest {
                    candidates.clear();
                    (lowest, total) = (extra, 0.0);
                }
                total += 1.0 / self.price(&request, i, queue, time, extra.1);
                candidates.push((i, total));
            }
        }
        let point = self.rng.f64() * total;
        let chosen = candidates.iter().find(|c| point < c.1).or(candidates.last()).map(|c| c.0);
        self.requests.insert(id, request);
        chosen
    }
}
