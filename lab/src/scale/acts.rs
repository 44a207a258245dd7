//! When a real dispatcher began to act by a version of the list or of the settings, as its log says with
//! `RUST_LOG=info,sablerun_node::net::discovery=debug` as text. It owns the reading of those two lines, which for
//! hollow dispatchers is written down at the same place; it must never judge a delay.

/// `list` or `settings`, the version, and when in microseconds of Unix time: the log counts in milliseconds. The
/// log has no version of settings: they are numbered from 1 in the order in which they came into use, over all
/// starts that the log tells of; a start takes what its configuration then says, and a reload that it slept
/// through is not counted.
pub fn acts_of_log(text: &str) -> Vec<(String, u64, u64)> {
    let mut settings = 0;
    let acts = text.lines().filter_map(|line| {
        let (head, said) = line.strip_prefix('[')?.split_once("] ")?;
        let mut head = head.split_whitespace();
        let at = unix_us(head.next()?)?;
        let target = head.nth(1)?;
        if said.starts_with("new settings are in use") {
            settings += 1;
            return Some(("settings".to_owned(), settings, at));
        }
        let told = said.strip_prefix("list ").filter(|_| target == "sablerun_node::net::discovery")?;
        // `Full 41: 3 entries`, but not `Delta 40: overtaken`, which changes nothing.
        let (told, entries) = told.split_once(": ")?;
        let version = told.split_whitespace().nth(1)?.parse().ok()?;
        entries.ends_with("entries").then(|| ("list".to_owned(), version, at))
    });
    acts.collect()
}

/// When a line of the log was written, in microseconds of Unix time.
pub(super) fn at_us(line: &str) -> Option<u64> {
    unix_us(line.strip_prefix('[')?.split_whitespace().next()?)
}

/// A time of the log, as `2026-12-02T05:00:25.123Z`.
fn unix_us(time: &str) -> Option<u64> {
    let at: jiff::Timestamp = time.parse().ok()?;
    u64::try_from(at.as_microsecond()).ok()
}
