//! Readiness, cold starts, price and lottery: to which worker an attempt goes. It must never send.

use super::*;

/// Floor of a price, in seconds (the paper's xi).
const FLOOR: f64 = 1e-4;
/// Share of a cold worker's budget that all dispatchers together plan to use; many have no use for theirs.
const COLD_USE: f64 = 0.53;
/// Share of its aim by which a hinted job must be expected to end where it is sent: hints and paces err.
const IN_TIME: f64 = 0.9;
/// What starts at home must be late more often, beyond the price of crossing: shares differ so by chance.
const CROSS_MARGIN: f64 = 0.1;

impl Balancer {
    /// Share of its capacity that a worker can be counted on for, given its start.
    pub(super) fn warmth(&self, i: usize) -> f64 {
        let age = self.entries[i].up_since.map_or(f64::INFINITY, |up| (self.now - up).secs());
        let rise = (1.0 - self.settings.cold_from) * age / self.settings.warm_after.secs().max(1e-3);
        (self.settings.cold_from + rise).min(1.0)
    }

    /// Counts the turns to send a cold worker a mean job: as many a second as fit in its budget, one
    /// dispatcher after the other; what is not used in time is lost. At each event, since beliefs change.
    pub(super) fn count_turns(&mut self) {
        let share = self.settings.fall_multiple * COLD_USE / f64::from(self.settings.dispatchers);
        for i in (0..self.workers.len()).filter(|i| self.warmth(*i) < 1.0).collect::<Vec<_>>() {
            let slots = self.peers(i).slots.min(self.peers(i).free);
            let rate = slots / self.slowness(i) * self.warmth(i) / self.mean_work[1].max(1e-3) * share;
            let w = &mut self.workers[i];
            let (turns, kept) =
                (w.turns.0 + rate * (self.at - w.turns_at), rate * self.settings.fall_after.secs());
            (w.turns, w.turns_at) = ((turns - (turns - kept).floor().max(0.0), kept), self.at);
        }
    }

    /// Whether a worker would take the request at once, by belief.
    fn ready(&self, request: &Request, i: usize, queue: f64, time: f64) -> bool {
        let (safe, w) =
            (self.settings.classes[request.class].idempotency == Idempotency::Safe, &self.workers[i]);
        // Work beyond a share leaves a slot free for what may come within one.
        let (left, kept) = (1.0 - request.yields * self.turned_away, u8::from(request.over_share));
        let tried = w.trial.is_none_or(|trial| safe && self.at >= trial && w.load.waiting == 0);
        // Where a hint tells how long the job runs: not where it would end too late to be of use.
        let done = self.at - request.came + time;
        tried
            && (request.hint == 0.0 || done <= request.aim * IN_TIME)
            && self.fails(i, request.class) < MISS_LIMIT
            && queue + request.slots.ceil() + f64::from(kept) <= self.peers(i).slots * left + 0.5
    }

    pub(super) fn away(&self, i: usize) -> bool {
        Some(self.entries[i].zone) != self.settings.zone
    }

    /// Whether a send there leaves home, and whether it needs a new connection, where that has a price.
    fn extra(&self, i: usize) -> (bool, bool) {
        let (prices, idle) = (&self.settings.prices, self.workers[i].idle.last());
        let limit = self.settings.idle_limit.secs().min(self.safe_idle);
        let [home, far] = self.late_starts;
        let away = prices.cross_zone > 0.0 && self.away(i) && home - far <= prices.cross_zone + CROSS_MARGIN;
        (away, prices.handshake > 0.0 && idle.is_none_or(|since| self.at - since >= limit))
    }

    /// `C = (QL + 1) * PT + CD`, over the chance that the attempt succeeds.
    fn price(&self, request: &Request, i: usize, queue: f64, time: f64, new: bool) -> f64 {
        let price = self.settings.prices.cross_zone * f64::from(u8::from(self.away(i)))
            + self.settings.prices.handshake * f64::from(u8::from(new));
        let transfer = self.workers[i].transfer + price * request.aim;
        (((queue + 1.0) * time + transfer) / (1.0 - self.fails(i, request.class)).max(0.05)).max(FLOOR)
    }

    /// Draws a ready worker in proportion to `1 / C`.
    pub(super) fn draw(&mut self, id: RequestId, avoid: Option<usize>) -> Option<usize> {
        let request = self.requests.remove(&id)?;
        let (mut candidates, mut total) = (Vec::new(), 0.0);
        // Where crossing or a new connection has a price: home comes first, then an open connection.
        let mut least = (true, true);
        for i in 0..self.workers.len() {
            // Whoever was put back gets one request soon, and whoever erred with this one is asked last.
            let erred = request.attempts.iter().any(|a| a.worker == i && a.ended == Some(Outcome::Error));
            let extra = if erred { (true, true) } else { self.extra(i) };
            let extra = if self.workers[i].returned { (false, false) } else { extra };
            if extra > least || Some(i) == avoid || !self.allowed(&request, i) {
                continue;
            }
            let (queue, time) = (self.queue(i).max(0.0), request.work * self.slowness(i) / self.warmth(i));
            if self.ready(&request, i, queue, time) {
                if extra < least {
                    candidates.clear();
                    (least, total) = (extra, 0.0);
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
