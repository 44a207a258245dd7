//! Counts events across a fleet of dispatchers by second and by runner, from their debug logs. Ignores lines
//! that it does not know.

use serde::Serialize;
use std::collections::{BTreeMap, HashMap};
use std::path::Path;

/// Counts by name.
pub type Counts = BTreeMap<String, u64>;

/// The counts of a fleet.
#[derive(Debug, Default, PartialEq, Serialize)]
pub struct Census {
    /// The number of dispatchers.
    pub dispatchers: usize,
    /// The number of starts of all dispatchers.
    pub starts: usize,
    /// The times from a start to its first runner list from discovery, in seconds, in ascending order; a
    /// start that got no list is left out.
    pub list_after_s: Vec<f64>,
    /// Counts by second since the earliest line of all logs.
    pub seconds: BTreeMap<u64, Counts>,
    /// Counts by runner: attempts, their outcomes, reported starts, abandoned attempts, probes.
    pub runners: BTreeMap<String, Counts>,
}

/// Parses a line `[DATETHH:MM:SS.mmmZ LEVEL module] text` into seconds since midnight and the text. The
/// platform may prepend a column.
fn parse_line(line: &str) -> Option<(f64, &str)> {
    let (stamp, rest) = line.split_once('[')?.1.split_once('Z')?;
    let mut fields = stamp.split_once('T')?.1.split(':');
    let mut next = || fields.next()?.parse::<f64>().ok();
    let (h, m, s) = (next()?, next()?, next()?);
    Some((h * 3600.0 + m * 60.0 + s, rest.split_once("] ")?.1))
}

impl Census {
    /// Counts the events of the logs (`*.log`) in a folder, one for each dispatcher.
    ///
    /// # Errors
    ///
    /// If the folder or a log can't be read, or no log records the start of a dispatcher.
    pub fn read(folder: &Path) -> Result<Census, String> {
        let in_folder = |e: std::io::Error| format!("{}: {e}", folder.display());
        let mut logs = Vec::new();
        for entry in std::fs::read_dir(folder).map_err(in_folder)? {
            let path = entry.map_err(in_folder)?.path();
            if path.extension().is_some_and(|end| end == "log") {
                let bytes = std::fs::read(&path).map_err(|e| format!("{}: {e}", path.display()))?;
                logs.push(String::from_utf8_lossy(&bytes).into_owned());
            }
        }
        let census = Census::of(logs.iter().map(String::as_str));
        if census.starts == 0 {
            let hint = "run the dispatchers with RUST_LOG=debug and keep one NAME.log for each";
            return Err(format!("{}: no log of a dispatcher in it: {hint}", folder.display()));
        }
        Ok(census)
    }

    /// Counts the events of logs, one text for each dispatcher.
    pub fn of<'a>(logs: impl IntoIterator<Item = &'a str> + Clone) -> Census {
        let first_time = |log: &'a str| log.lines().find_map(|line| Some(parse_line(line)?.0));
        let start = logs.clone().into_iter().filter_map(first_time).fold(f64::INFINITY, f64::min);
        let mut census = Census::default();
        for log in logs {
            census.dispatchers += 1;
            census.add_log(log, start);
        }
        census.list_after_s.sort_by(f64::total_cmp);
        census
    }

    fn add_log(&mut self, log: &str, start: f64) {
        // The runner of each attempt of this process, and the time since which it waits for its first list.
        let (mut attempt_runners, mut waiting_since) = (HashMap::new(), None);
        let (seconds, runners) = (&mut self.seconds, &mut self.runners);
        let mut count_at_runner = |runner: &str, what: &str| {
            *runners.entry(runner.to_owned()).or_default().entry(what.to_owned()).or_default() += 1;
        };
        for (at, text) in log.lines().filter_map(parse_line) {
            let second = seconds.entry((at - start).max(0.0) as u64).or_default();
            // Counts an event by second, and by runner if it concerns one.
            let mut count = |what: &str, runner: Option<&str>| {
                *second.entry(what.to_owned()).or_default() += 1;
                runner.into_iter().for_each(|runner| count_at_runner(runner, what));
            };
            let words: Vec<_> = text.split([' ', ':', ',']).filter(|word| !word.is_empty()).collect();
            match words[..] {
                [_, "ready", "on", ..] => {
                    self.starts += 1;
                    waiting_since = Some(at);
                    attempt_runners.clear();
                    count("starts", None);
                }
                ["request", _, "of", "class", class, ..] => count(&format!("asked {class}"), None),
                ["ticket", _, answer, ..] if answer.starts_with("Refused") => count("refused", None),
                ["ticket", _, answer, ..] if answer.starts_with("Failed") => count("failed", None),
                ["attempt", attempt, "of", _, _, "at", runner] => {
                    attempt_runners.insert(attempt, runner);
                    count("attempts", Some(runner));
                    if !attempt.ends_with(".0") {
                        count("attempts again", None);
                    }
                }
                ["attempt", attempt, "given", "up"] => {
                    count("given up", attempt_runners.get(attempt).copied())
                }
                ["attempt", attempt, "ended", outcome, ..] => {
                    count(&format!("ended {outcome}"), attempt_runners.get(attempt).copied());
                }
                ["runner", runner, "ended", _, outcome, ..] => {
                    count(&format!("ended {outcome}"), Some(runner));
                }
                ["runner", runner, "started", _] => count_at_runner(runner, "started"),
                ["probe", "of", runner] => count("probes", Some(runner)),
                ["connection", "to", ..] => count("connections", None),
                ["call", "for", "the", "list", ..] => count("list calls", None),
                ["discovery", "watch" | "call", "failed", ..] => count("list calls failed", None),
                ["list", kind, ..] if kind != "Saved" => {
                    count("lists", None);
                    self.list_after_s.extend(waiting_since.take().map(|since| at - since));
                }
                _ => {}
            }
        }
    }

    /// Returns both tables as text, the runners with the most attempts first.
    pub fn table(&self) -> String {
        let mut text = format!(
            "{} dispatchers, {} starts, {} got a list (the last after {:.1} s)\n",
            self.dispatchers,
            self.starts,
            self.list_after_s.len(),
            self.list_after_s.last().copied().unwrap_or(0.0)
        );
        let mut rows = |title: &str, rows: Vec<(&str, &Counts)>| {
            let names: std::collections::BTreeSet<&String> = rows.iter().flat_map(|r| r.1.keys()).collect();
            text += &format!("\n{title:<14}");
            names.iter().for_each(|name| text += &format!(" {name:>17}"));
            for (row, counts) in rows {
                text += &format!("\n{row:<14}");
                names.iter().for_each(|name| text += &format!(" {:>17}", counts.get(*name).unwrap_or(&0)));
            }
            text += "\n";
        };
        let seconds: Vec<_> = self.seconds.iter().map(|(s, counts)| (s.to_string(), counts)).collect();
        rows("second", seconds.iter().map(|(s, counts)| (s.as_str(), *counts)).collect());
        let mut runners: Vec<_> = self.runners.iter().map(|(r, counts)| (r.as_str(), counts)).collect();
        runners.sort_by_key(|(_, counts)| std::cmp::Reverse(counts.get("attempts").copied()));
        rows("runner", runners);
        text
    }
}

#[test]
fn a_fleet_is_counted_by_second_and_by_runner() {
    let first_log = "\
0.000 [2026-12-01T10:00:00.000Z DEBUG sablerun::net::discovery] list Saved 0: 2 entries
0.001 [2026-12-01T10:00:00.001Z INFO  sablerun] n1 ready on 10.0.0.1:8080, discovery at 10.2.0.1:8500
[2026-12-01T10:00:00.100Z DEBUG sablerun::runtime] call for the list at 10.2.0.1:8500
[2026-12-01T10:00:00.500Z DEBUG sablerun::runtime] request ab of class bulk, ticket 1
[2026-12-01T10:00:00.500Z DEBUG sablerun::runtime] attempt 0.0 of ab, bulk, at s-1
[2026-12-01T10:00:00.501Z DEBUG sablerun::net::runners] connection to 10.1.0.1:8080
[2026-12-01T10:00:00.900Z DEBUG sablerun::runtime] attempt 0.0 given up
[2026-12-01T10:00:00.900Z DEBUG sablerun::runtime] attempt 0.1 of ab, bulk, at s-2
[2026-12-01T10:00:01.200Z DEBUG sablerun::runtime] runner s-2 started ab
[2026-12-01T10:00:01.400Z DEBUG sablerun::runtime] runner s-2 ended ab: Ok errors=Some(0.0)
[2026-12-01T10:00:02.001Z DEBUG sablerun::net::discovery] list Delta 3: 0 entries
half a line";
    let second_log = "\
[2026-12-01T10:00:01.000Z INFO  sablerun] n2 ready on 10.0.0.2:8080, discovery at 10.2.0.1:8500
[2026-12-01T10:00:01.100Z WARN  sablerun::net::discovery] discovery: watch failed: answered 503
[2026-12-01T10:00:01.200Z DEBUG sablerun::runtime] request cd of class bulk, ticket 1
[2026-12-01T10:00:01.200Z DEBUG sablerun::runtime] attempt 0.0 of cd, bulk, at s-2
[2026-12-01T10:00:01.201Z DEBUG sablerun::runtime] attempt 0.0 ended: ConnectFailed
[2026-12-01T10:00:01.202Z DEBUG sablerun::runtime] ticket 1: Refused(Span(5))
[2026-12-01T10:00:01.300Z DEBUG sablerun::runtime] probe of s-1";
    let census = Census::of([first_log, second_log]);
    assert_eq!((census.dispatchers, census.starts), (2, 2));
    assert_eq!(census.list_after_s, [2.0], "the second dispatcher got no list");
    let counts = |pairs: &[(&str, u64)]| -> Counts { pairs.iter().map(|(n, c)| ((*n).into(), *c)).collect() };
    let dispatch = [("asked bulk", 1), ("attempts", 2), ("attempts again", 1), ("connections", 1)];
    let first_second: Vec<_> =
        dispatch.into_iter().chain([("given up", 1), ("list calls", 1), ("starts", 1)]).collect();
    assert_eq!(census.seconds[&0], counts(&first_second));
    assert_eq!(census.seconds[&1]["list calls failed"], 1);
    assert_eq!(census.seconds[&1]["refused"], 1);
    assert_eq!(census.runners["s-1"], counts(&[("attempts", 1), ("given up", 1), ("probes", 1)]));
    let second_runner = [("attempts", 2), ("ended ConnectFailed", 1), ("ended Ok", 1), ("started", 1)];
    assert_eq!(census.runners["s-2"], counts(&second_runner));
    let table = census.table();
    assert!(table.contains("2 dispatchers, 2 starts, 1 got a list"), "{table}");
    assert!(table.find("\ns-2").unwrap() < table.find("\ns-1").unwrap(), "not sorted by attempts: {table}");
}

#[test]
fn a_folder_without_logs_is_an_error() {
    let error = Census::read(Path::new("src")).unwrap_err();
    assert!(error.contains("RUST_LOG=debug"), "{error}");
    assert!(Census::read(Path::new("no/such")).is_err());
}
