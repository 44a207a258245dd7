//! Hollow dispatchers mean the same: the same few dispatchers, played as real processes and as hollow ones between
//! the same hollow runners, bring about the same messages. Compared is what doesn't depend on chance: which runner a
//! request goes to, how many connections that takes, and whatever a stalled machine repeats (a call-back's further
//! tries, a watch that counts as silent and is asked for again) are left out; settings allow one try only, so that each request is sent once.

#[path = "common/part.rs"]
mod part;
#[path = "common/scene.rs"]
mod scene;

use part::Part;
use sablerun_lab::scale::acts::acts_of_log;
use sablerun_lab::scale::config::config;
use sablerun_lab::scale::stream::Arrivals;
use sablerun_lab::scale::words::{Act, Command, Counts, Layout, Request, Stream};
use sablerun_stand_ins::http;
use sablerun_stand_ins::program::program_path;
use scene::Stage;
use serde_json::{Value, json};
use std::collections::{BTreeMap, BTreeSet};
use std::fs::File;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::process::{Child, Stdio};
use std::time::{Duration, Instant};

const DISPATCHERS: usize = 3;

/// Polls until something holds; fails after a long while.
fn until(what: &str, mut holds: impl FnMut() -> bool) {
    let end = Instant::now() + Duration::from_secs(60);
    while !holds() {
        assert!(Instant::now() < end, "{what}");
        std::thread::sleep(Duration::from_millis(10));
    }
}

/// Real dispatchers' processes.
struct Real {
    children: Vec<Child>,
    folder: PathBuf,
    discovery: Vec<SocketAddr>,
}

impl Real {
    fn start(layout: &Layout, discovery: &[SocketAddr]) -> Real {
        let (folder, discovery) = (layout.folder.clone(), discovery.to_vec());
        let mut real = Real { children: Vec::new(), folder, discovery };
        real.write(layout, &layout.settings);
        for (number, dispatcher) in layout.dispatchers.iter().enumerate() {
            let child = std::process::Command::new(program_path().unwrap())
                .env("NODE_CONFIG", real.folder.join(format!("{number}.json")))
                .env("RUST_LOG", "info,sablerun_node::net::discovery=debug")
                .stderr(File::create(real.log(number)).unwrap())
                .stdin(Stdio::null())
                .spawn();
            real.children.push(child.unwrap());
            let up = || http::call_blocking(dispatcher.listen, "GET /up HTTP/1.1", "");
            until("a dispatcher is up", || up().is_some_and(|answer| answer.status == 200));
        }
        real
    }

    fn log(&self, number: usize) -> PathBuf {
        self.folder.join(format!("{number}.log"))
    }

    fn write(&self, layout: &Layout, settings: &Value) {
        for number in 0..layout.dispatchers.len() {
            let text = config(layout, number, settings, self.discovery[number]).to_string();
            std::fs::write(self.folder.join(format!("{number}.json")), text).unwrap();
        }
    }

    fn hang_up(&self) {
        for child in &self.children {
            let id = child.id().to_string();
            assert!(
                std::process::Command::new("/bin/kill").args(["-s", "HUP", &id]).status().unwrap().success()
            );
        }
    }
}

impl Drop for Real {
    fn drop(&mut self) {
        for child in &mut self.children {
            let _ = child.kill();
            let _ = child.wait();
        }
    }
}

/// Who acted by which version of what.
type Acted = BTreeSet<(usize, String, u64)>;

/// What came of a play, in what does not depend on chance.
#[derive(Debug, PartialEq)]
struct Played {
    /// Requests by their answers, class, tenant and gang.
    requests: BTreeMap<(String, String, u32, u32), usize>,
    /// Messages at the runners, by kind.
    messages: BTreeMap<&'static str, f64>,
    acted: Acted,
}

/// A layout whose settings allow each request one try, however long its connection takes.
fn one_try(name: &str, runners: usize, hollow: bool) -> Layout {
    let mut layout = scene::layout(name, runners, DISPATCHERS, hollow);
    let limits = &mut layout.settings["limits"];
    limits["tryLimit"] = json!(1);
    limits["parallelTries"] = json!(false);
    limits["connectTimeout"] = json!(10_000_000_000u64);
    layout
}

fn play(hollow: bool) -> Played {
    let mut layout = one_try(&format!("hollow-{hollow}"), 4, hollow);
    layout.stream = Stream {
        fill: 40,
        fill_s: 0.5,
        rate_per_s: 60.0,
        seconds: 1.0,
        work_mean_s: 0.02,
        work_most_s: 0.2,
        urgent: 0.2,
        gang_most: 4,
        gang_share: 0.3,
        ..layout.stream
    };
    let arrivals = |n| Arrivals::new(&layout.stream, layout.seed, n, layout.dispatchers[n].share).count();
    let due: usize = (0..DISPATCHERS).map(arrivals).sum();
    let mut stage = Stage::start(&layout);

    let real = (!hollow).then(|| Real::start(&layout, &stage.begin.discovery));
    let mut part = Part::start(if hollow { "dispatchers" } else { "clients" });
    part.begin(&stage.begin);
    let acted = |part: &mut Part| match &real {
        Some(real) => (0..DISPATCHERS)
            .flat_map(|n| {
                let log = std::fs::read_to_string(real.log(n)).unwrap();
                acts_of_log(&log).into_iter().map(move |(what, version, _)| (n, what, version))
            })
            .collect::<Acted>(),
        None => {
            part.command(&Command::Count);
            let mut rows = csv::Reader::from_path(layout.folder.join("acts.csv")).unwrap();
            let rows = rows.deserialize().map(Result::<Act, _>::unwrap);
            rows.map(|act| (act.dispatcher, act.what, act.version)).collect()
        }
    };
    let all_act = |part: &mut Part, what: &str, version: u64| {
        let due = (0..DISPATCHERS).map(|n| (n, what.to_owned(), version)).collect::<Acted>();
        until(&format!("all act by {what} {version}"), || acted(part).is_superset(&due));
    };
    all_act(&mut part, "list", 1);
    for health in ["leaving", "left", "active"] {
        let told = Command::List { runners: vec![3], health: health.to_owned(), up: health == "active" };
        let version = stage.discovery.command(&told).seq;
        all_act(&mut part, "list", version);
    }
    let mut settings = layout.settings.clone();
    settings["overShareWorth"] = json!(0.06);
    match &real {
        Some(real) => {
            real.write(&layout, &settings);
            real.hang_up();
        }
        None => _ = part.command(&Command::Settings { settings, version: 1 }),
    }
    all_act(&mut part, "settings", 1);

    part.command(&Command::Play);
    let mut counts = Counts::default();
    until("all are answered", || {
        counts = part.command(&Command::Count);
        counts.values["requests.taken"] == due as f64 && counts.values["requests.out"] == 0.0
    });
    let acted = acted(&mut part);
    part.command(&Command::End);
    let file = if hollow { "requests.csv" } else { "requests-clients.csv" };
    let mut rows = csv::Reader::from_path(layout.folder.join(file)).unwrap();
    let mut requests = BTreeMap::new();
    for row in rows.deserialize().map(Result::<Request, _>::unwrap) {
        *requests.entry((row.answer, row.class, row.tenant, row.gang)).or_insert(0) += 1;
    }
    let mut values = BTreeMap::new();
    // A client may have its answer before the runner has that to its call-back.
    until("all is told", || {
        values = stage.counted(hollow);
        values["callbacks"] >= values["started"] + values["ended"]
    });
    assert_eq!(stage.counted(!hollow)["requests"], 0.0);
    let side = if hollow { "hollow" } else { "real" };
    let lists = stage.discovery.command(&Command::Count).values[&format!("{side}.whole_lists")];
    let kinds = ["requests", "answers_202", "started", "ended", "callbacks", "copies", "give_ups", "probes"];
    let messages =
        kinds.into_iter().map(|kind| (kind, values[kind])).chain([("whole_lists", lists)]).collect();
    Played { requests, messages, acted }
}

#[test]
fn hollow_dispatchers_bring_about_the_same_messages_as_real_ones() {
    let (real, hollow) = (play(false), play(true));
    assert!(real.requests.keys().all(|(answer, ..)| answer == "served"), "{:?}", real.requests);
    let sent = real.messages["requests"];
    assert!(sent > 80.0);
    // Each request is sent once, and told of twice: as it begins and as it is done.
    assert_eq!((real.messages["callbacks"], real.messages["copies"]), (2.0 * sent, 0.0));
    assert_eq!(real.messages["whole_lists"], DISPATCHERS as f64);
    assert_eq!(real.acted.len(), DISPATCHERS * 5);
    assert_eq!(real, hollow);
}

#[test]
fn what_is_out_at_the_end_is_open_and_given_up() {
    for hollow in [false, true] {
        // Runners enough: until an end has told of free slots, a dispatcher believes in few at each.
        let mut layout = one_try(&format!("hollow-end-{hollow}"), 32, hollow);
        layout.stream = Stream { fill: 300, fill_s: 0.5, work_mean_s: 3600.0, ..layout.stream };
        let arrivals = |n| Arrivals::new(&layout.stream, layout.seed, n, layout.dispatchers[n].share).count();
        let due = (0..DISPATCHERS).map(arrivals).sum::<usize>() as f64;
        let mut stage = Stage::start(&layout);
        let _real = (!hollow).then(|| Real::start(&layout, &stage.begin.discovery));
        let mut part = Part::start(if hollow { "dispatchers" } else { "clients" });
        part.begin(&stage.begin);
        part.command(&Command::Play);
        until("all run", || stage.counted(hollow)["running_now"] == due);
        let counts = part.command(&Command::End).values;
        assert_eq!((counts["requests.open"], counts["requests.out"]), (due, 0.0));
        until("all are given up", || stage.counted(hollow)["given_up_running"] == due);
    }
}
