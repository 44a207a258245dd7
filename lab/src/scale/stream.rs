//! The arrivals at one dispatcher: a fill up to the number of requests that are to run at once, then random
//! arrivals. All are drawn from the seed and the dispatcher's number alone, so that a real dispatcher's
//! clients and a hollow dispatcher get exactly the same. Reads no clock and sends nothing.

use super::protocol::Stream;
use fastrand::Rng;
use std::time::Duration;

/// The share of tenant n is proportional to 1 / (n + `TENANT_OFFSET`).
const TENANT_OFFSET: f64 = 10.0;

/// A request that arrives.
#[derive(Clone, Debug, PartialEq)]
pub struct Arrival {
    /// When it arrives, from the start of play.
    pub at: Duration,
    /// Its number at its dispatcher, from 0.
    pub number: u64,
    /// Its id on the wire.
    pub id: String,
    /// Whether its class is `urgent` instead of `task`.
    pub urgent: bool,
    /// Its tenant, if there are any.
    pub tenant: u32,
    /// How long it runs, in microseconds.
    pub work_us: u64,
    /// The order that it belongs to; 0 if it arrives alone.
    pub order: u64,
    /// The number of requests in its order; 1 if it arrives alone.
    pub gang: u32,
}

impl Arrival {
    /// Returns the name of its class.
    pub fn class(&self) -> &'static str {
        if self.urgent { "urgent" } else { "task" }
    }

    /// Returns the body that a client sends; a hollow runner reads the running time from it.
    pub fn body(&self) -> String {
        format!("{{\"work_us\":{}}}", self.work_us)
    }
}

/// The properties that all requests of an order share.
#[derive(Clone, Copy, Debug)]
struct Order {
    at: f64,
    size: u32,
    remaining: u32,
    urgent: bool,
    tenant: u32,
}

/// The arrivals at one dispatcher in order of time, drawn as the iterator advances.
pub struct Arrivals {
    stream: Stream,
    dispatcher: usize,
    random: Rng,
    /// The tenants' cumulative weights.
    tenant_weights: Vec<f64>,
    /// The sizes of the fill's orders.
    fill: Vec<u32>,
    /// The numbers of orders, requests and gangs so far.
    orders: usize,
    requests: u64,
    gangs: u64,
    /// Orders a second, after the fill.
    rate: f64,
    /// The probability that an order is a gang.
    gang_probability: f64,
    /// The time of the last order, in seconds.
    at: f64,
    order: Option<Order>,
}

impl Arrivals {
    /// Returns the arrivals at a dispatcher that gets this share of all requests: its part of the fill, in
    /// orders spread evenly over `fill_s`, and from then on, for `seconds`, a Poisson stream of orders whose
    /// requests arrive at its part of the rate. The fill's last order is truncated, so a small fill has less
    /// than its share of gangs.
    pub fn new(stream: &Stream, seed: u64, dispatcher: usize, share: f64) -> Arrivals {
        // The odd factor keeps dispatchers under one seed from sharing generators with those under a nearby
        // seed.
        let mut random = Rng::with_seed(seed ^ (dispatcher as u64 + 1).wrapping_mul(0x9e37_79b9_7f4a_7c15));
        let mut sum = 0.0;
        let tenant_weights = (0..stream.tenants).map(|n| {
            sum += 1.0 / (f64::from(n) + TENANT_OFFSET);
            sum
        });
        let tenant_weights = tenant_weights.collect();
        // The probability that an order is a gang follows from the share of requests in gangs and the mean
        // size of a gang, which is uniform from 2 to `gang_most`.
        let (mean_size, part) = (f64::from(2 + stream.gang_most) / 2.0, stream.gang_share);
        let gang_probability =
            if stream.gang_most < 2 { 0.0 } else { part / (part + mean_size * (1.0 - part)) };
        let per_order = gang_probability * mean_size + (1.0 - gang_probability);
        // Rounded at random, so that the parts of many dispatchers add up to the whole on average.
        let exact = f64::from(stream.fill) * share;
        let mut remaining = exact.floor() as u32 + u32::from(random.f64() < exact.fract());
        let mut fill = Vec::new();
        while remaining > 0 {
            let size = size(&mut random, gang_probability, stream.gang_most).min(remaining);
            remaining -= size;
            fill.push(size);
        }
        Arrivals {
            rate: stream.rate_per_s * share / per_order,
            at: stream.fill_s,
            stream: stream.clone(),
            dispatcher,
            random,
            tenant_weights,
            fill,
            orders: 0,
            requests: 0,
            gangs: 0,
            gang_probability,
            order: None,
        }
    }

    /// Draws the next order; `None` after the stream's end.
    fn order(&mut self) -> Option<Order> {
        let index = self.orders;
        self.orders += 1;
        let (at, size) = match self.fill.get(index) {
            Some(&size) => (self.stream.fill_s * (index as f64 + 0.5) / self.fill.len() as f64, size),
            None if self.rate <= 0.0 => return None,
            None => {
                self.at += exponential(&mut self.random, 1.0 / self.rate);
                if self.at >= self.stream.fill_s + self.stream.seconds {
                    return None;
                }
                (self.at, size(&mut self.random, self.gang_probability, self.stream.gang_most))
            }
        };
        let urgent = self.random.f64() < self.stream.urgent;
        let drawn = self.random.f64() * self.tenant_weights.last().copied().unwrap_or(0.0);
        let tenant = self.tenant_weights.partition_point(|sum| *sum <= drawn) as u32;
        self.gangs += u64::from(size > 1);
        Some(Order { at, size, remaining: size, urgent, tenant })
    }
}

impl Iterator for Arrivals {
    type Item = Arrival;

    fn next(&mut self) -> Option<Arrival> {
        let mut order = match self.order.take() {
            Some(order) => order,
            None => self.order()?,
        };
        order.remaining -= 1;
        self.order = (order.remaining > 0).then_some(order);
        let number = self.requests;
        self.requests += 1;
        let work = exponential(&mut self.random, self.stream.work_mean_s).min(self.stream.work_most_s);
        let in_gang = order.size > 1;
        Some(Arrival {
            at: Duration::from_secs_f64(order.at),
            number,
            id: format!("{:04x}{number:012x}", self.dispatcher),
            urgent: order.urgent,
            tenant: order.tenant,
            work_us: ((work * 1e6) as u64).max(1),
            order: if in_gang { ((self.dispatcher as u64) << 32) | self.gangs } else { 0 },
            gang: order.size,
        })
    }
}

fn size(random: &mut Rng, gang_probability: f64, max: u32) -> u32 {
    if random.f64() < gang_probability { random.u32(2..=max) } else { 1 }
}

fn exponential(random: &mut Rng, mean: f64) -> f64 {
    -(1.0 - random.f64()).ln() * mean
}
