//! The stream of requests that one dispatcher gets: a fill up to the number that is to be out at once, then
//! arrivals at random. It owns what is drawn, from the seed and the dispatcher's number alone, so that a real
//! dispatcher's clients and a hollow dispatcher get exactly the same; it must never read a clock or send
//! anything.

use super::words::Stream;
use fastrand::Rng;
use std::time::Duration;

/// The share of tenant n is in proportion to 1 / (n + this).
const EVEN: f64 = 10.0;

/// A request that arrives.
#[derive(Clone, Debug, PartialEq)]
pub struct Arrival {
    /// When, from the beginning of play.
    pub at: Duration,
    /// Its number at its dispatcher, from 0.
    pub number: u64,
    /// Its id on the wires.
    pub id: String,
    /// Whether its class is `urgent`; else it is `task`.
    pub urgent: bool,
    /// Its tenant, where there are any.
    pub tenant: u32,
    /// For how long it runs, in microseconds.
    pub work_us: u64,
    /// The order that it belongs to, and how many are in it; 0 and 1 if none.
    pub order: u64,
    /// How many are in its order.
    pub gang: u32,
}

impl Arrival {
    /// The name of its class.
    pub fn class(&self) -> &'static str {
        if self.urgent { "urgent" } else { "task" }
    }

    /// What a client sends, and a runner reads its running time from.
    pub fn body(&self) -> String {
        format!("{{\"work_us\":{}}}", self.work_us)
    }
}

/// What all requests of an order have alike.
#[derive(Clone, Copy, Debug)]
struct Order {
    at: f64,
    size: u32,
    left: u32,
    urgent: bool,
    tenant: u32,
}

/// The arrivals at one dispatcher, in the order of their time, drawn as they are asked for.
pub struct Arrivals {
    stream: Stream,
    dispatcher: usize,
    random: Rng,
    /// The tenants' shares, summed up.
    tenants: Vec<f64>,
    /// Sizes of the orders of the fill.
    fill: Vec<u32>,
    /// Orders drawn so far, and requests and gangs handed out.
    orders: usize,
    requests: u64,
    gangs: u64,
    /// Orders a second after the fill.
    rate: f64,
    /// Share of orders that are gangs.
    ganged: f64,
    /// When the last order came, in seconds.
    at: f64,
    order: Option<Order>,
}

impl Arrivals {
    /// The arrivals at the dispatcher of this number, which gets this share of all: its part of the fill in
    /// orders spread evenly over `fill_s`, and from then on, for `seconds`, a Poisson stream of orders whose
    /// requests come at its part of the rate. An order is cut where the fill is full: with a small part of it
    /// gangs have less than their share there.
    pub fn new(stream: &Stream, seed: u64, dispatcher: usize, share: f64) -> Arrivals {
        // Multiplied by an odd constant, so that neighbours of one seed don't meet those of the next.
        let mut random = Rng::with_seed(seed ^ (dispatcher as u64 + 1).wrapping_mul(0x9e37_79b9_7f4a_7c15));
        let mut sum = 0.0;
        let tenants = (0..stream.tenants).map(|n| {
            sum += 1.0 / (f64::from(n) + EVEN);
            sum
        });
        let tenants = tenants.collect();
        // An order is a gang with this probability, so that the share of requests in gangs is as stated: a gang
        // of 2 to `gang_most`, each size as likely, has so many in the mean.
        let (mean, part) = (f64::from(2 + stream.gang_most) / 2.0, stream.gang_share);
        let ganged = if stream.gang_most < 2 { 0.0 } else { part / (part + mean * (1.0 - part)) };
        let per_order = ganged * mean + (1.0 - ganged);
        // Rounded at random, so that the parts of many dispatchers add up to the whole.
        let exact = f64::from(stream.fill) * share;
        let mut left = exact.floor() as u32 + u32::from(random.f64() < exact.fract());
        let mut fill = Vec::new();
        while left > 0 {
            let size = size(&mut random, ganged, stream.gang_most).min(left);
            left -= size;
            fill.push(size);
        }
        Arrivals {
            rate: stream.rate_per_s * share / per_order,
            at: stream.fill_s,
            stream: stream.clone(),
            dispatcher,
            random,
            tenants,
            fill,
            orders: 0,
            requests: 0,
            gangs: 0,
            ganged,
            order: None,
        }
    }

    /// The next order; none after the stream's end.
    fn order(&mut self) -> Option<Order> {
        let place = self.orders;
        self.orders += 1;
        let (at, size) = match self.fill.get(place) {
            Some(&size) => (self.stream.fill_s * (place as f64 + 0.5) / self.fill.len() as f64, size),
            None if self.rate <= 0.0 => return None,
            None => {
                self.at += exponential(&mut self.random, 1.0 / self.rate);
                if self.at >= self.stream.fill_s + self.stream.seconds {
                    return None;
                }
                (self.at, size(&mut self.random, self.ganged, self.stream.gang_most))
            }
        };
        let urgent = self.random.f64() < self.stream.urgent;
        let drawn = self.random.f64() * self.tenants.last().copied().unwrap_or(0.0);
        let tenant = self.tenants.partition_point(|sum| *sum <= drawn) as u32;
        self.gangs += u64::from(size > 1);
        Some(Order { at, size, left: size, urgent, tenant })
    }
}

impl Iterator for Arrivals {
    type Item = Arrival;

    fn next(&mut self) -> Option<Arrival> {
        let mut order = match self.order.take() {
            Some(order) => order,
            None => self.order()?,
        };
        order.left -= 1;
        self.order = (order.left > 0).then_some(order);
        let number = self.requests;
        self.requests += 1;
        let work = exponential(&mut self.random, self.stream.work_mean_s).min(self.stream.work_most_s);
        let ganged = order.size > 1;
        Some(Arrival {
            at: Duration::from_secs_f64(order.at),
            number,
            id: format!("{:04x}{number:012x}", self.dispatcher),
            urgent: order.urgent,
            tenant: order.tenant,
            work_us: ((work * 1e6) as u64).max(1),
            order: if ganged { ((self.dispatcher as u64) << 32) | self.gangs } else { 0 },
            gang: order.size,
        })
    }
}

fn size(random: &mut Rng, ganged: f64, most: u32) -> u32 {
    if random.f64() < ganged { random.u32(2..=most) } else { 1 }
}

fn exponential(random: &mut Rng, mean: f64) -> f64 {
    -(1.0 - random.f64()).ln() * mean
}
