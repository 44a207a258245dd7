//! Reads from a real dispatcher's log when it adopted each version of the runner list or of the settings. The
//! log must be text, written with `RUST_LOG=info,sablerun_node::net::discovery=debug`. Hollow dispatchers
//! record the same events in `acts.csv`, at the same places in the code.

/// Returns for each adoption `list` or `settings`, the version, and the time in microseconds of Unix time
/// (the log has a resolution of milliseconds). The log contains no version of the settings: they are numbered
/// from 1 in the order in which they came into use, across all starts of the process in the log. Settings
/// read at a start are not counted, nor is a reload that happened while the process was down.
pub fn adoptions_in_log(text: &str) -> Vec<(String, u64, u64)> {
    let mut settings = 0;
    let adoptions = text.lines().filter_map(|line| {
        let (head, message) = line.strip_prefix('[')?.split_once("] ")?;
        let mut head = head.split_whitespace();
        let at_us = unix_us(head.next()?)?;
        let target = head.nth(1)?;
        if message.starts_with("new settings are in use") {
            settings += 1;
            return Some(("settings".to_owned(), settings, at_us));
        }
        let update = message.strip_prefix("list ").filter(|_| target == "sablerun_node::net::discovery")?;
        // Matches `Full 41: 3 entries`, but not `Delta 40: overtaken`, which changes nothing.
        let (update, entries) = update.split_once(": ")?;
        let version = update.split_whitespace().nth(1)?.parse().ok()?;
        entries.ends_with("entries").then(|| ("list".to_owned(), version, at_us))
    });
    adoptions.collect()
}

/// Returns when a line of the log was written, in microseconds of Unix time.
pub(super) fn line_time_us(line: &str) -> Option<u64> {
    unix_us(line.strip_prefix('[')?.split_whitespace().next()?)
}

/// Parses a time of the log, such as `2026-12-02T05:00:25.123Z`, into microseconds of Unix time.
fn unix_us(time: &str) -> Option<u64> {
    let at: jiff::Timestamp = time.parse().ok()?;
    u64::try_from(at.as_microsecond()).ok()
}
