//! The bytes that a publisher has sent within a time range are read from its log.

use sablerun_lab::scale::publisher::{Published, published_between};

#[test]
fn frames_and_full_digests_within_a_time_range_are_added_up() {
    let log = "\
[2026-12-02T05:00:00.500Z DEBUG sablerun_node::publisher] frame of bytes=10 followers=2
[2026-12-02T05:00:01.000Z DEBUG sablerun_node::publisher] frame of bytes=200 followers=2
[2026-12-02T05:00:01.200Z DEBUG sablerun_node::publisher::serve] whole of bytes=3000
[2026-12-02T05:00:02.000Z DEBUG sablerun_node::publisher] frame of bytes=40 followers=3
[2026-12-02T05:00:02.100Z WARN  sablerun_node::publisher::loads] discovery: watch failed: silent
half a line of bytes=
[2026-12-02T05:00:03.000Z DEBUG sablerun_node::publisher] frame of bytes=5 followers=3
";
    let second = 1_000_000;
    let start = "2026-12-02T05:00:00Z".parse::<jiff::Timestamp>().unwrap().as_microsecond() as u64;
    let all = Published { frame_bytes: 240.0, frame_count: 2.0, full_digest_bytes: 3000.0 };
    assert_eq!(published_between(log, start + second, start + 3 * second), all);
    assert_eq!(published_between("", start, start + second), Published::default());
}
