//! A scale run's file: values rejected by key with the values they may have, and the quantities and layout of
//! a point.

use sablerun_lab::scale::layout::build_layout;
use sablerun_lab::scale::machine::Machine;
use sablerun_lab::scale::plan::Plan;
use std::path::Path;

fn text() -> String {
    std::fs::read_to_string(Path::new(env!("CARGO_MANIFEST_DIR")).join("../experiments/scale.toml")).unwrap()
}

fn refused(old: &str, new: &str) -> String {
    let text = text();
    assert!(text.contains(old), "the file has {old}");
    Plan::parse(&text.replacen(old, new, 1)).map(|_| ()).unwrap_err()
}

#[test]
fn the_file_of_the_experiment_is_read() {
    let plan = Plan::parse(&text()).unwrap();
    let points = plan.points();
    let named = |name: &str| points.iter().find(|point| point.name == name).unwrap();
    // One for all quantities together and one for each of the five alone.
    assert_eq!(points.iter().filter(|point| point.name.ends_with("-125")).count(), 6);
    let whole = named("all-1000").quantities(&plan, 1.0);
    assert_eq!((whole.runners, whole.dispatchers, whole.tenants, whole.running), (680, 300, 300, 13_000));
    assert_eq!((whole.rate_per_s, whole.real), (200.0, 5));
    let slots = f64::from(whole.slots) * 680.0;
    assert!((0.84..=0.91).contains(&(13_000.0 / slots)), "{slots} slots");
    let alone = named("runners-1000").quantities(&plan, 1.0);
    assert_eq!((alone.runners, alone.dispatchers, alone.running), (680, 75, 3250));
    let small = named("all-1000").quantities(&plan, 1.0 / 32.0);
    assert_eq!((small.runners, small.dispatchers, small.running), (21, 9, 406));
    assert_eq!(named("idle").quantities(&plan, 1.0).running, 0);
}

#[test]
fn invalid_values_are_rejected_by_key() {
    for (old, new, message) in [
        ("runners = 680", "runners = 0", "whole.runners: 0; more than 0"),
        ("running = 13000", "running = -5", "whole.running: -5; more than 0"),
        ("changes = 1.0", "changes = -1.0", "whole.changes: -1; 0 or more"),
        ("size = 1.0", "size = 0", "size: 0; more than 0"),
        ("sizes = [0.125,", "sizes = [0,", "sweep.sizes: 0; more than 0"),
        ("work_mean_s = 65", "work_mean_s = -65", "stream.work_mean_s: -65; more than 0"),
        ("urgent = 0.05", "urgent = 5", "stream.urgent: 5; from 0 to 1"),
        ("load = 0.87", "load = 1.87", "site.load: 1.87; from 0 to 1"),
        ("base = 0.25", "base = 0.3", "sweep.base: 0.3 is none of sweep.sizes"),
        ("check = 1.0", "check = 2.0", "sweep.check: 2 is none of sweep.sizes"),
        ("racks = 20", "racks = 3", "site.racks: at least 5, one for each zone"),
        ("real = \"dozen-real\"", "real = \"none\"", "compare.hollow-to-real: there is no point \"none\""),
        ("figure = \"all-1000.answers", "figure = \"hole.answers", "hole.answers.lost: belongs to no point"),
        (
            "name = \"six\"",
            "name = \"idle\"",
            "point.name: \"idle\" is empty, contains a dot, or is a duplicate",
        ),
    ] {
        assert_eq!(refused(old, new), message);
    }
    let unknown = refused("tenants = 300", "tennants = 300");
    assert!(unknown.starts_with("whole") && unknown.contains("tennants"), "{unknown}");
    let unknown = refused("at_s = 6\n", "at = 6\n");
    assert!(unknown.starts_with("point[5].fault[1]") && unknown.contains("`at`"), "{unknown}");
    let late = refused("at_s = 80", "at_s = 180");
    assert_eq!(late, "point.faults.fault.half.at_s: 180 leaves no time for the fault to end; at most 110");
}

#[test]
fn points_beyond_the_machine_are_rejected_with_a_sufficient_size() {
    let plan = Plan::parse(&text()).unwrap();
    let points = plan.points();
    let whole = points.iter().find(|point| point.name == "all-1000").unwrap();
    let quantities = whole.quantities(&plan, 1.0);
    let large = Machine { memory_mb: 1e6, descriptors: 20_000.0 };
    assert_eq!(large.check_capacity(&plan, whole, &quantities), Ok(()));
    let poor = Machine { memory_mb: 800.0, descriptors: 20_000.0 };
    let message = poor.check_capacity(&plan, whole, &quantities).unwrap_err();
    assert!(
        message.starts_with("point.all-1000.size: 1 needs ") && message.ends_with(" would do"),
        "{message}"
    );
    let narrow = Machine { memory_mb: 1e6, descriptors: 6000.0 };
    let message = narrow.check_capacity(&plan, whole, &quantities).unwrap_err();
    assert!(message.starts_with("point.all-1000.running: 1 needs "), "{message}");
    // The reported size suffices.
    let sufficient: f64 = message.rsplit("; ").next().unwrap().trim_end_matches(" would do").parse().unwrap();
    let mut less = whole.clone();
    less.set("running", sufficient);
    assert_eq!(narrow.check_capacity(&plan, &less, &less.quantities(&plan, 1.0)), Ok(()));
    let tiny = Machine { memory_mb: 1e6, descriptors: 512.0 };
    let message = tiny.check_capacity(&plan, whole, &quantities).unwrap_err();
    assert_eq!(message, "point.all-1000.sockets: 4096, a process may hold 512; 512 would do");
}

#[test]
fn a_layout_has_each_runner_in_one_rack_of_one_zone() {
    let plan = Plan::parse(&text()).unwrap();
    let points = plan.points();
    let whole = points.iter().find(|point| point.name == "all-1000").unwrap();
    let quantities = whole.quantities(&plan, 1.0);
    let layout = build_layout(&plan, whole, &quantities, 7, Path::new("nowhere")).unwrap();
    for rack in 0..20 {
        let runners: Vec<_> = layout.runners.iter().filter(|runner| runner.rack == rack).collect();
        assert_eq!(runners.len(), 34);
        assert!(runners.iter().all(|runner| runner.zone == runners[0].zone));
    }
    let names: std::collections::BTreeSet<_> = layout.runners.iter().map(|runner| &runner.name).collect();
    assert_eq!(names.len(), 680);
    let at: std::collections::BTreeSet<_> = layout.dispatchers.iter().map(|d| d.listen).collect();
    assert_eq!(at.len(), 300);
    let share: f64 = layout.dispatchers.iter().map(|dispatcher| dispatcher.share).sum();
    assert!((share - 1.0).abs() < 1e-9);
    assert_eq!(layout.dispatchers.iter().filter(|dispatcher| !dispatcher.hollow).count(), 5);
    assert_eq!(layout.zones.iter().map(|zone| zone.region).collect::<Vec<_>>(), [0, 0, 0, 1, 1]);
    // With a mean of 65 s about 7% end within the 10 s of the fill.
    assert_eq!(layout.stream.fill, 14_026);
    assert_eq!(layout.settings["projects"].as_array().unwrap().len(), 300);
}
