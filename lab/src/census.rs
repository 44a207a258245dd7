//! Counts across a fleet, from the debug logs of its dispatchers: what all of them together did in each
//! second and to each runner. It owns the reading of those lines; it must never write to the logs, nor
//! take a line that it does not know for anything but one of no interest.

use serde::Serialize;
use std::collections::{BTreeMap, HashMap};
use std::path::Path;

/// Counts by name.
pub type Counts = BTreeMap<String, u64>;

/// What a fleet did.
#[derive(Debug, Default, PartialEq, Serialize)]
pub struct Census {
    /// Dispatchers.
    pub dispatchers: usize,
    /// How often one of them started.
    pub starts: usize,
    /// For each start that got a first list from discovery, the time until then, in seconds, in order.
    pub list_after_s: Vec<f64>,
    /// By second since the first line of all.
    pub seconds: BTreeMap<u64, Counts>,
    /// By runner: attempts, how they ended, starts told, attempts given up, probes.
    pub runners: BTreeMap<String, Counts>,
}

/// Seconds since midnight of a line that begins `[DATETHH:MM:SS.mmmZ LEVEL module] text`, and its text. The
/// platform may put a column of its own before it.
fn parts(line: &str) -> Option<(f64, &str)> {
    let (stamp, rest) = line.split_once('[')?.1.split_once('Z')?;
    let mut clock = stamp.split_once('T')?.1.split(':');
    let mut next = || clock.next()?.parse::<f64>().ok();
    let (h, m, s) = (next()?, next()?, next()?);
    Some((h * 3600.0 + m * 60.0 + s, rest.split_once("] ")?.1))
}

impl Census {
    /// Counts the logs (`*.log`) in a folder, one for each dispatcher.
    ///
    /// # Errors
    ///
    /// The folder can't be read, or no file in it holds a line of the log.
    pub fn read(folder: &Path) -> Result<Census, String> {
        let said = |e: std::io::Error| format!("{}: {e}", folder.display());
        let mut logs = Vec::new();
        for entry in std::fs::read_dir(folder).map_err(said)? {
            let path = entry.map_err(said)?.path();
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

    /// Counts logs, one text for each dispatcher.
    pub fn of<'a>(logs: impl IntoIterator<Item = &'a str> + Clone) -> Census {
        let first = |log: &'a str| log.lines().find_map(|line| Some(parts(line)?.0));
        let start = logs.clone().into_iter().filter_map(first).fold(f64::INFINITY, f64::min);
        let mut census = Census::default();
        for log in logs {
            census.dispatchers += 1;
            census.add(log, start);
        }
        census.list_after_s.sort_by(f64::total_cmp);
        census
    }

    fn add(&mut self, log: &str, start: f64) {
        // Where each attempt of this process went, and since when it waits for its first list.
        let (mut places, mut unlisted) = (HashMap::new(), None);
        let (seconds, runners) = (&mut self.seconds, &mut self.runners);
        let mut at_runner = |runner: &str, what: &str| {
            *runners.entry(runner.to_owned()).or_default().entry(what.to_owned()).or_default() += 1;
        };
        for (at, text) in log.lines().filter_map(parts) {
            let second = seconds.entry((at - start).max(0.0) as u64).or_default();
            // Counts by second, and by runner where one is concerned.
            let mut count = |what: &str, runner: Option<&str>| {
                *second.entry(what.to_owned()).or_default() += 1;
                runner.into_iter().for_each(|runner| at_runner(runner, what));
            };
            let words: Vec<_> = text.split([' ', ':', ',']).filter(|word| !word.is_empty()).collect();
            match words[..] {
                [_, "ready", "on", ..] => {
                    self.starts += 1;
                    unlisted = Some(at);
                    places.clear();
                    count("starts", None);
                }
                ["request", _, "of", "class", class, ..] => count(&format!("asked {class}"), None),
                ["ticket", _, answer, ..] if answer.starts_with("Refused") => count("refused", None),
                ["ticket", _, answer, ..] if answer.starts_with("Failed") => count("failed", None),
                ["attempt", attempt, "of", _, _, "at", runner] => {
                    places.insert(attempt, runner);
                    count("attempts", Some(runner));
                    if !attempt.ends_with(".0") {
                        count("attempts again", None);
                    }
                }
                ["attempt", attempt, "given", "up"] => count("given up", places.get(attempt).copied()),
                ["attempt", attempt, "ended", outcome, ..] => {
                    count(&format!("ended {outcome}"), places.get(attempt).copied());
                }
                ["runner", runner, "ended", _, outcome, ..] => {
                    count(&format!("ended {outcome}"), Some(runner));
                }
                ["runner", runner, "started", _] => at_runner(runner, "started"),
                ["probe", "of", runner] => count("probes", Some(runner)),
                ["connection", "to", ..] => count("connections", None),
                ["call", "for", "the", "list", ..] => count("list calls", None),
                ["discovery", "watch" | "call", "failed", ..] => count("list calls failed", None),
                ["list", kind, ..] if kind != "Saved" => {
                    count("lists", None);
                    self.list_after_s.extend(unlisted.take().map(|since| at - since));
                }
                _ => {}
            }
        }
    }

    /// Both tables as text, the busiest runners first.
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
    let one = "\
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
    let two = "\
[2026-12-01T10:00:01.000Z INFO  sablerun] n2 ready on 10.0.0.2:8080, discovery at 10.2.0.1:8500
[2026-12-01T10:00:01.100Z WARN  sablerun::net::discovery] discovery: watch failed: answered 503
[2026-12-01T10:00:01.200Z DEBUG sablerun::runtime] request cd of class bulk, ticket 1
[2026-12-01T10:00:01.200Z DEBUG sablerun::runtime] attempt 0.0 of cd, bulk, at s-2
[2026-12-01T10:00:01.201Z DEBUG sablerun::runtime] attempt 0.0 ended: ConnectFailed
[2026-12-01T10:00:01.202Z DEBUG sablerun::runtime] ticket 1: Refused(Span(5))
[2026-12-01T10:00:01.300Z DEBUG sablerun::runtime] probe of s-1";
    let census = Census::of([one, two]);
    assert_eq!((census.dispatchers, census.starts), (2, 2));
    assert_eq!(census.list_after_s, [2.0], "the second never got one");
    let counts = |pairs: &[(&str, u64)]| -> Counts { pairs.iter().map(|(n, c)| ((*n).into(), *c)).collect() };
    let second = [("asked bulk", 1), ("attempts", 2), ("attempts again", 1), ("connections", 1)];
    let first: Vec<_> =
        second.into_iter().chain([("given up", 1), ("list calls", 1), ("starts", 1)]).collect();
    assert_eq!(census.seconds[&0], counts(&first));
    assert_eq!(census.seconds[&1]["list calls failed"], 1);
    assert_eq!(census.seconds[&1]["refused"], 1);
    assert_eq!(census.runners["s-1"], counts(&[("attempts", 1), ("given up", 1), ("probes", 1)]));
    let other = [("attempts", 2), ("ended ConnectFailed", 1), ("ended Ok", 1), ("started", 1)];
    assert_eq!(census.runners["s-2"], counts(&other));
    let table = census.table();
    assert!(table.contains("2 dispatchers, 2 starts, 1 got a list"), "{table}");
    assert!(table.find("\ns-2").unwrap() < table.find("\ns-1").unwrap(), "the busiest first: {table}");
}

#[test]
fn a_folder_without_logs_is_told_apart() {
    let error = Census::read(Path::new("src")).unwrap_err();
    assert!(error.contains("RUST_LOG=debug"), "{error}");
    assert!(Census::read(Path::new("no/such")).is_err());
}
