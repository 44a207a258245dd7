//! Figures computed from the records of a scale run: fitted lines, adoption delays, start delays; and sizes
//! of the command line.

use sablerun_lab::scale::changes::Change;
use sablerun_lab::scale::delays::{adoptions_of_real, delays};
use sablerun_lab::scale::figures::start_delays;
use sablerun_lab::scale::fit::{by_point, least_squares, series};
use sablerun_lab::scale::protocol::Request;
use sablerun_lab::scale::record_reader::JoinedRequest;
use sablerun_lab::scale::session::parse_size;
use std::collections::BTreeMap;

#[test]
fn fits_are_classified_as_line_no_line_or_flat() {
    let straight = least_squares(&[(1.0, 5.0), (2.0, 7.0), (4.0, 11.0), (8.0, 19.0)]).unwrap();
    assert!((straight.slope - 2.0).abs() < 1e-9 && (straight.intercept - 3.0).abs() < 1e-9);
    assert!(straight.r2 > 0.999_999 && straight.residual < 1e-9);
    assert_eq!(straight.verdict(), "line");
    assert_eq!(
        least_squares(&[(1.0, 1.0), (2.0, 9.0), (3.0, 2.0), (4.0, 8.0)]).unwrap().verdict(),
        "no line"
    );
    assert_eq!(least_squares(&[(1.0, 10.0), (2.0, 10.4), (3.0, 9.8)]).unwrap().verdict(), "flat");
    assert!(least_squares(&[(1.0, 1.0), (2.0, 2.0)]).is_none(), "two points are always on a line");
    assert!(least_squares(&[(1.0, 1.0), (1.0, 2.0), (1.0, 3.0)]).is_none(), "no spread");
}

#[test]
fn a_series_holds_its_own_points_and_the_base() {
    let mut values = BTreeMap::new();
    for (point, runners, dispatchers) in [
        ("all-250", 170.0, 75.0),
        ("all-1000", 680.0, 300.0),
        ("runners-1000", 680.0, 75.0),
        ("dispatchers-1000", 170.0, 300.0),
        ("whole", 680.0, 300.0),
    ] {
        values.insert(format!("{point}.size.runners"), runners);
        values.insert(format!("{point}.size.dispatchers"), dispatchers);
    }
    let points = by_point(&values);
    let of = |quantity: &str| series(&points, quantity).into_iter().map(|(x, _)| x).collect::<Vec<_>>();
    assert_eq!(of("all"), [170.0, 680.0]);
    assert_eq!(of("runners"), [170.0, 680.0]);
    assert_eq!(of("dispatchers"), [75.0, 300.0]);
}

#[test]
fn adoptions_of_real_dispatchers_are_read_from_the_log() {
    let log = "\
[2026-12-02T05:00:01.250Z DEBUG sablerun_node::net::discovery] list Full 1: 680 entries
[2026-12-02T05:00:02.000Z DEBUG sablerun_node::net::discovery] list Delta 3: 1 entries
[2026-12-02T05:00:02.100Z DEBUG sablerun_node::net::discovery] list Delta 9: overtaken
[2026-12-02T05:00:04.500Z INFO  sablerun_node::config] new settings are in use
";
    let second = 1_000_000;
    let midnight = 1_796_169_600 * second;
    let at = |s: f64| midnight + 5 * 3600 * second + (s * 1e6) as u64;
    let change = |what, version, s| Change { what, version, at_us: at(s) };
    let changes = [change("list", 2, 1.5), change("list", 9, 2.05), change("settings", 1, 3.0)];
    let adoptions = adoptions_of_real(4, log, &changes);
    assert_eq!(adoptions.len(), 3);
    assert_eq!(adoptions[0].at_us, at(1.25));
    // Version 3 includes version 2; version 9 was overtaken, so it was not adopted.
    let list = delays(&changes, &adoptions, "list", &[4]);
    assert_eq!((list.ms.clone(), list.never), (vec![500.0], 1));
    let settings = delays(&changes, &adoptions, "settings", &[4, 5]);
    assert_eq!((settings.ms.clone(), settings.never), (vec![1500.0], 1));
    assert_eq!(settings.quantile(1.0), 1500.0);
}

#[test]
fn sizes_are_fractions_or_decimals() {
    assert_eq!(parse_size("1/32"), Ok(0.03125));
    assert_eq!(parse_size("0.5"), Ok(0.5));
    for bad in ["0", "-1", "1/0", "half", "0/4"] {
        assert!(parse_size(bad).is_err(), "{bad}");
    }
}

fn request(taken_us: u64, started_us: Option<u64>, answered_us: u64, answer: &str) -> JoinedRequest {
    let request = Request {
        id: "0000000000000000".to_owned(),
        dispatcher: 0,
        class: "urgent".to_owned(),
        tenant: 0,
        order: 0,
        gang: 1,
        taken_us,
        answered_us,
        answer: answer.to_owned(),
    };
    JoinedRequest { request, started_us, starts: started_us.map(|at| (at, 0)).into_iter().collect() }
}

#[test]
fn a_request_still_waiting_counts_with_its_wait() {
    let mut requests = vec![
        request(10, Some(1_010), 5_000_000, "served"),
        request(20, Some(2_000_020), 5_000_000, "served"),
        request(30, None, 9_000_030, "open"),
        request(40, None, 50, "refused"),
        // Outside the window.
        request(2_000_000, Some(9_000_000), 9_500_000, "served"),
    ];
    let mut values = BTreeMap::new();
    start_delays(&requests, (0, 1_000_000), &mut values);
    let near = |figure: &str, value: f64| {
        let actual = values[figure];
        assert!((actual - value).abs() <= value * 0.002, "{figure}: {actual} for {value}");
    };
    near("start.urgent_count", 3.0);
    near("start.urgent_p50_ms", 2000.0);
    near("start.urgent_p99_ms", 9000.0);
    near("start.urgent_most_ms", 9000.0);
    near("start.urgent_still_waiting", 1.0);
    near("start.urgent_never", 1.0);
    near("start.urgent_within_1300_ms_share", 1.0 / 3.0);
    near("start.all_count", 3.0);
    requests.clear();
    let mut none = BTreeMap::new();
    start_delays(&requests, (0, 1_000_000), &mut none);
    assert!(!none.contains_key("start.all_p99_ms"));
}
