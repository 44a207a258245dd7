//! What one absurd figure costs everybody else: a hint, a size, a patience or a report that no sound peer
//! writes. It owns that table alone; it must never wait for real time or draw without a seed.

mod common;

use common::*;
use sablerun::*;

/// A request of class 0 with figures of its client's choice, which is served in 100 ms if it is sent.
fn spoilt(world: &mut World, id: u32, estimate: Span, slots: f64, patience: Span) {
    let (request, class, deadline) = (RequestId(id), ClassId(0), world.now + patience);
    world.requests.insert(request, Known { class, deadline, settled: false, attempts: Vec::new() });
    let (tenant, memory, retry, prior) = (None, 0.0, false, None);
    let arrival = Arrival { request, class, tenant, deadline, slots, memory, estimate, retry, prior };
    world.event(Event::Arrival(arrival));
    serve(world, ms(100));
}

/// How many of 20 usual requests, hinted and marked as `retry`, are sent at once.
fn sent_at_once(world: &mut World, retry: bool) -> usize {
    let before = world.sends().len();
    for id in 1000..1020 {
        let deadline = world.now + Span::from_secs(5.0);
        match retry {
            true => world.retry_until(id, 0, deadline),
            false => world.arrive_hinted(id, 0, ms(100)),
        }
        serve(world, ms(100));
    }
    world.sends().len() - before
}

/// Two workers of one kind and zone that have served 50 usual requests.
fn after_usual_ones() -> World {
    let mut world = World::new(Settings { marked_retries: true, cancel: true, ..settings() }, 5);
    world.list(ListKind::Saved, vec![worker(0), worker(2)]);
    for id in 0..50 {
        world.arrive_hinted(id, 0, ms(100));
        serve_telling(&mut world, ms(100), Some(1.0));
    }
    world
}

/// A client's absurd hint, size or patience is its own affair: those who come after are served as before.
#[test]
fn an_absurd_figure_of_one_client_costs_nobody_else_an_answer() {
    let usual = (Span::from_secs(0.1), 1.0, Span::from_secs(5.0));
    let day = Span::from_secs(86_400.0);
    let cases = [
        ("a hint of a nanosecond", Span(1), usual.1, usual.2),
        ("a hint of a day", day, usual.1, usual.2),
        ("1e300 slots", usual.0, 1e300, usual.2),
        ("patience for a day", usual.0, usual.1, day),
    ];
    for (what, estimate, slots, patience) in cases {
        for retry in [false, true] {
            let mut world = after_usual_ones();
            spoilt(&mut world, 900, estimate, slots, patience);
            assert_eq!(sent_at_once(&mut world, retry), 20, "{what}, marked as retries: {retry}");
        }
    }
}

/// A worker's absurd report keeps no work from the others for long, nor for ever from itself.
#[test]
fn an_absurd_report_of_one_worker_keeps_no_work_from_the_others() {
    let report = |inflight, latency| Report { inflight: Some(inflight), latency, ..Report::default() };
    for (what, report) in [
        ("1e300 in hand", report(1e300, None)),
        ("1e6 in hand", report(1e6, None)),
        ("a latency of a year", report(1.0, Some(Span::from_secs(3e7)))),
    ] {
        let mut world = after_usual_ones();
        world.arrive(900, 0);
        world.start(900, 0);
        world.pass(ms(100));
        world.end_reported(900, 0, Outcome::Ok, Some(report));
        assert_eq!(sent_at_once(&mut world, false), 20, "{what}");
        world.pass(Span::from_secs(10.0));
        let told = world.requests[&RequestId(900)].attempts[0].0;
        let there = |w: &World| w.sends().iter().filter(|(_, to)| *to == told).count();
        let before = there(&world);
        for id in 2000..2060 {
            world.arrive_hinted(id, 0, ms(100));
            serve_telling(&mut world, ms(100), Some(1.0));
        }
        assert!(there(&world) > before, "{what}: it is used again");
    }
}
