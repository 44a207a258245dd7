//! Outlier values from one client or worker: an absurd hint, size, deadline or report must not cost other
//! requests their answers.

mod common;

use common::*;
use sablerun::*;

/// Delivers a request of class 0 with these values, and serves it in 100 ms if it is sent.
fn serve_outlier(world: &mut World, id: u32, estimate: Span, slots: f64, client_timeout: Span) {
    let (request, class, deadline) = (RequestId(id), ClassId(0), world.now + client_timeout);
    world.requests.insert(request, TrackedRequest { class, deadline, finished: false, attempts: Vec::new() });
    let (tenant, memory, retry, prior) = (None, 0.0, false, None);
    let arrival = Arrival { request, class, tenant, deadline, slots, memory, estimate, retry, prior };
    world.deliver(Event::Arrival(arrival));
    serve(world, ms(100));
}

/// Returns how many of 20 usual requests are sent at once: marked retries with `retry`, hinted first tries
/// without.
fn sent_at_once(world: &mut World, retry: bool) -> usize {
    let before = world.sends().len();
    for id in 1000..1020 {
        let deadline = world.now + Span::from_secs(5.0);
        match retry {
            true => world.retry_with_deadline(id, 0, deadline),
            false => world.arrive_hinted(id, 0, ms(100)),
        }
        serve(world, ms(100));
    }
    world.sends().len() - before
}

/// Returns a world with two workers of one kind and zone that have served 50 usual requests.
fn world_after_usual_requests() -> World {
    let mut world = World::new(Settings { marked_retries: true, cancel: true, ..settings() }, 5);
    world.list(ListKind::Saved, vec![worker(0), worker(2)]);
    for id in 0..50 {
        world.arrive_hinted(id, 0, ms(100));
        serve_with_report(&mut world, ms(100), Some(1.0));
    }
    world
}

/// After a request with an absurd hint, size or deadline, later requests are served as before.
#[test]
fn an_outlier_from_one_client_costs_no_other_request_its_answer() {
    let usual = (Span::from_secs(0.1), 1.0, Span::from_secs(5.0));
    let day = Span::from_secs(86_400.0);
    let cases = [
        ("a hint of a nanosecond", Span(1), usual.1, usual.2),
        ("a hint of a day", day, usual.1, usual.2),
        ("1e300 slots", usual.0, 1e300, usual.2),
        ("a deadline after a day", usual.0, usual.1, day),
    ];
    for (case, estimate, slots, client_timeout) in cases {
        for retry in [false, true] {
            let mut world = world_after_usual_requests();
            serve_outlier(&mut world, 900, estimate, slots, client_timeout);
            assert_eq!(sent_at_once(&mut world, retry), 20, "{case}, marked as retries: {retry}");
        }
    }
}

/// An absurd report of one worker keeps no requests from the others, and the worker is used again in time.
#[test]
fn an_outlier_report_of_one_worker_keeps_no_requests_from_the_others() {
    let report = |inflight, latency| Report { inflight: Some(inflight), latency, ..Report::default() };
    for (case, report) in [
        ("1e300 in flight", report(1e300, None)),
        ("1e6 in flight", report(1e6, None)),
        ("a latency of a year", report(1.0, Some(Span::from_secs(3e7)))),
    ] {
        let mut world = world_after_usual_requests();
        world.arrive(900, 0);
        world.start(900, 0);
        world.advance(ms(100));
        world.end_reported(900, 0, Outcome::Ok, Some(report));
        assert_eq!(sent_at_once(&mut world, false), 20, "{case}");
        world.advance(Span::from_secs(10.0));
        let reporting_worker = world.requests[&RequestId(900)].attempts[0].0;
        let sends_to_it = |w: &World| w.sends().iter().filter(|(_, to)| *to == reporting_worker).count();
        let before = sends_to_it(&world);
        for id in 2000..2060 {
            world.arrive_hinted(id, 0, ms(100));
            serve_with_report(&mut world, ms(100), Some(1.0));
        }
        assert!(sends_to_it(&world) > before, "{case}: it is used again");
    }
}
