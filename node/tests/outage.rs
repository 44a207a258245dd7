//! When calls that fail count as discovery's outage, on a clock of the test's own. It owns that alone.

use sablerun_node::net::loss::{Lost, Outage};
use std::time::Duration;
use tokio::time::Instant;

const MOST: Duration = Duration::from_secs(8);

/// Judges losses at these seconds after the start.
fn judge(outage: &mut Outage, losses: &[(u64, Lost)]) -> Vec<Lost> {
    let start = Instant::now();
    losses.iter().map(|(at, lost)| outage.judge(*lost, start + Duration::from_secs(*at), MOST)).collect()
}

/// A watch that stood ends, and calls fail: an outage for a while, and then no longer.
#[test]
fn failures_after_a_watch_has_ended_are_an_outage_for_a_while() {
    let mut outage = Outage::default();
    outage.told();
    let losses =
        [(0, Lost::Failed), (2, Lost::Failed), (7, Lost::Failed), (8, Lost::Failed), (9, Lost::Away)];
    assert_eq!(judge(&mut outage, &losses), [Lost::Failed, Lost::Away, Lost::Away, Lost::Failed, Lost::Away]);
    // News ends it, and the next end of a watch begins another.
    outage.told();
    assert_eq!(judge(&mut outage, &losses[..2]), [Lost::Failed, Lost::Away]);
}

/// Without a watch that stood, and after one that fell silent, failures prove nothing.
#[test]
fn failures_at_the_start_or_after_silence_are_no_outage() {
    let failures = [(0, Lost::Failed), (1, Lost::Failed), (2, Lost::Silent), (3, Lost::Failed)];
    assert_eq!(judge(&mut Outage::default(), &failures), failures.map(|(_, lost)| lost));
    let mut silent = Outage::default();
    silent.told();
    let losses = [(0, Lost::Silent), (1, Lost::Failed), (2, Lost::Failed)];
    assert_eq!(judge(&mut silent, &losses), losses.map(|(_, lost)| lost));
}
