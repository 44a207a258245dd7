//! Adoptions of lists and settings are read from real dispatchers' logs.

use sablerun_lab::scale::adoptions::adoptions_in_log;

#[test]
fn lists_and_settings_are_read_with_their_times() {
    let log = "\
[2026-12-02T05:00:25.123Z INFO  sablerun] d-0 ready on 127.0.0.1:18000, discovery at 127.0.0.1:18001
[2026-12-02T05:00:25.200Z DEBUG sablerun_node::net::discovery] list Full 41: 3 entries
[2026-12-02T05:00:25.300Z DEBUG sablerun_node::net::discovery] list Delta 40: overtaken
[2026-12-02T05:00:26.001Z DEBUG sablerun_node::net::discovery] list Delta 42: 1 entries
[2026-12-02T05:00:27.000Z DEBUG sablerun_node::net::discovery] the watch before ended: list Delta 43: 1 entries
[2026-12-02T05:00:27.500Z INFO  sablerun_node::config] configuration read anew, discovery at 127.0.0.1:18001
[2026-12-02T05:00:27.501Z INFO  sablerun_node::config] new settings are in use classes=task,urgent attempts=5
[2026-12-02T05:00:28.000Z INFO  sablerun] taken 1 served 1 refused 0 failed 0 left 0 attempts 1 open 0
not a line of the log
[yesterday INFO sablerun_node::config] new settings are in use
[2026-12-02T05:00:30.000Z INFO  sablerun_node::config] new settings are in use classes=task attempts=5
";
    let base = 1_796_187_625_000_000_u64;
    let adoption = |what: &str, version, after| (what.to_owned(), version, base + after);
    let expected = [
        adoption("list", 41, 200_000),
        adoption("list", 42, 1_001_000),
        adoption("settings", 1, 2_501_000),
        adoption("settings", 2, 5_000_000),
    ];
    assert_eq!(adoptions_in_log(log), expected);
}
