//! The arrivals of the scale run: rates, shares and reproducibility. The seeds are fixed, so that each run
//! draws the same.

use sablerun_lab::scale::protocol::Stream;
use sablerun_lab::scale::stream::{Arrival, Arrivals};
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

fn whole() -> Stream {
    Stream {
        fill: 13_000,
        fill_s: 20.0,
        rate_per_s: 200.0,
        seconds: 300.0,
        work_mean_s: 65.0,
        work_most_s: 600.0,
        urgent: 0.1,
        gang_most: 64,
        gang_share: 0.3,
        tenants: 300,
        deadline_s: 900.0,
    }
}

fn all(stream: &Stream, seed: u64, dispatchers: usize) -> Vec<Arrival> {
    let share = 1.0 / dispatchers as f64;
    (0..dispatchers).flat_map(|n| Arrivals::new(stream, seed, n, share)).collect()
}

fn near(what: &str, is: f64, due: f64, part: f64) {
    assert!((is - due).abs() <= part * due, "{what}: {is}, due {due}");
}

#[test]
fn arrivals_depend_only_on_the_seed_and_the_dispatcher() {
    let of = |seed, number| Arrivals::new(&whole(), seed, number, 0.01).collect::<Vec<_>>();
    assert_eq!(of(7, 3), of(7, 3));
    assert_ne!(of(7, 3), of(8, 3), "another seed");
    let work = |all: Vec<Arrival>| all.iter().map(|a| a.work_us).collect::<Vec<_>>();
    assert_ne!(work(of(7, 3)), work(of(7, 4)), "another number");
}

#[test]
fn the_fill_is_spread_evenly_and_its_parts_add_up() {
    let fill = Duration::from_secs(20);
    let stream = Stream { gang_share: 0.0, ..whole() };
    for dispatchers in [6, 300] {
        let filled: Vec<_> = all(&stream, 1, dispatchers).into_iter().filter(|a| a.at < fill).collect();
        near("fill", filled.len() as f64, 13_000.0, 0.005);
        let by_second = filled.iter().fold([0; 20], |mut sum, a| {
            sum[a.at.as_secs() as usize] += 1;
            sum
        });
        by_second.iter().for_each(|n| near("fill in a second", f64::from(*n), 650.0, 0.35));
    }
}

#[test]
fn requests_come_at_the_rate_with_the_shares_of_urgent_and_ganged_ones() {
    // Long, because with few gangs of this size the shares vary by more than the tolerance.
    let arrivals = all(&Stream { seconds: 3000.0, ..whole() }, 1, 300);
    let (fill, end) = (Duration::from_secs(20), Duration::from_secs(3020));
    assert!(arrivals.iter().all(|a| a.at < end));
    // Without the fill, whose last order at each dispatcher is truncated.
    let later: Vec<_> = arrivals.iter().filter(|a| a.at >= fill).collect();
    near("rate", later.len() as f64 / 3000.0, 200.0, 0.03);
    let ganged = later.iter().filter(|a| a.gang > 1).count();
    near("ganged", ganged as f64 / later.len() as f64, 0.3, 0.05);
    let part = |chosen: &dyn Fn(&Arrival) -> bool| {
        arrivals.iter().filter(|a| chosen(a)).count() as f64 / arrivals.len() as f64
    };
    near("urgent", part(&|a| a.urgent), 0.1, 0.15);
    let weight = |from: u32, to: u32| (from..to).map(|n| 1.0 / f64::from(n + 10)).sum::<f64>();
    near("tenant 0", part(&|a| a.tenant == 0), weight(0, 1) / weight(0, 300), 0.15);
    near("tenants from 200", part(&|a| a.tenant >= 200), weight(200, 300) / weight(0, 300), 0.15);
    assert!(arrivals.iter().all(|a| a.tenant < 300 && a.gang <= 64 && a.work_us <= 600_000_000));
    let mean = arrivals.iter().map(|a| a.work_us as f64 / 1e6).sum::<f64>() / arrivals.len() as f64;
    near("work", mean, 65.0, 0.03);
}

#[test]
fn an_order_comes_whole_at_one_moment_for_one_tenant() {
    for number in 0..20 {
        let arrivals: Vec<_> = Arrivals::new(&whole(), 5, number, 0.05).collect();
        assert!(arrivals.is_sorted_by_key(|a| a.at));
        let mut orders: BTreeMap<u64, Vec<&Arrival>> = BTreeMap::new();
        for arrival in &arrivals {
            assert_eq!(arrival.order == 0, arrival.gang == 1);
            if arrival.order != 0 {
                orders.entry(arrival.order).or_default().push(arrival);
            }
        }
        assert!(!orders.is_empty());
        for order in orders.values() {
            let first = order[0];
            assert_eq!(order.len(), first.gang as usize);
            let alike = |a: &&Arrival| (a.at, a.tenant, a.urgent) == (first.at, first.tenant, first.urgent);
            assert!(order.iter().all(alike));
        }
    }
}

#[test]
fn ids_are_unique_and_name_the_dispatcher() {
    let arrivals = all(&whole(), 1, 30);
    let ids: BTreeSet<_> = arrivals.iter().map(|a| &a.id).collect();
    assert_eq!(ids.len(), arrivals.len());
    assert!(Arrivals::new(&whole(), 1, 0x12a, 0.01).all(|a| a.id.len() == 16 && a.id.starts_with("012a")));
}

#[test]
fn an_empty_stream_has_no_arrivals() {
    let none = Stream { fill: 0, rate_per_s: 0.0, ..whole() };
    assert_eq!(Arrivals::new(&none, 1, 0, 1.0).count(), 0);
    let alone = Stream { tenants: 0, gang_most: 0, gang_share: 0.0, ..whole() };
    assert!(Arrivals::new(&alone, 1, 0, 0.01).all(|a| a.tenant == 0 && a.gang == 1));
}
