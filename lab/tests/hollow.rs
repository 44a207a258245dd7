//! Hollow dispatchers behave as real ones: the same dispatchers, played as processes and as hollow ones
//! between the same hollow runners, cause the same messages. Only what does not depend on chance is compared.
//! Left out are the runner that a request goes to, the number of connections, and what a stalled machine
//! repeats (further tries of a call-back, a watch that is taken for silent and requested again). The settings
//! allow one try, so that each request is sent once.

#[path = "common/fixture.rs"]
mod fixture;
#[path = "common/part.rs"]
mod part;

use fixture::Fixture;
use part::PartProcess;
use sablerun_lab::scale::adoptions::adoptions_in_log;
use sablerun_lab::scale::config::dispatcher_config;
use sablerun_lab::scale::protocol::{Adoption, Command, Counts, Layout, Request, Stream};
use sablerun_lab::scale::stream::Arrivals;
use sablerun_stand_ins::http;
use sablerun_stand_ins::program::program_path;
use serde_json::{Value, json};
use std::collections::{BTreeMap, BTreeSet};
use std::fs::File;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::process::{Child, Stdio};
use std::time::{Duration, Instant};

const DISPATCHERS: usize = 3;

/// Polls until a condition holds; fails after 60 s.
fn wait_until(what: &str, mut holds: impl FnMut() -> bool) {
    let end = Instant::now() + Duration::from_secs(60);
    while !holds() {
        assert!(Instant::now() < end, "{what}");
        std::thread::sleep(Duration::from_millis(10));
    }
}

/// The processes of real dispatchers.
struct RealDispatchers {
    children: Vec<Child>,
    folder: PathBuf,
    discovery: Vec<SocketAddr>,
}

impl RealDispatchers {
    fn start(layout: &Layout, discovery: &[SocketAddr]) -> RealDispatchers {
        let (folder, discovery) = (layout.folder.clone(), discovery.to_vec());
        let mut real = RealDispatchers { children: Vec::new(), folder, discovery };
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
            wait_until("a dispatcher is up", || up().is_some_and(|answer| answer.status == 200));
        }
        real
    }

    fn log(&self, number: usize) -> PathBuf {
        self.folder.join(format!("{number}.log"))
    }

    fn write(&self, layout: &Layout, settings: &Value) {
        for number in 0..layout.dispatchers.len() {
            let text = dispatcher_config(layout, number, settings, self.discovery[number]).to_string();
            std::fs::write(self.folder.join(format!("{number}.json")), text).unwrap();
        }
    }

    fn send_hangup(&self) {
        for child in &self.children {
            let id = child.id().to_string();
            assert!(
                std::process::Command::new("/bin/kill").args(["-s", "HUP", &id]).status().unwrap().success()
            );
        }
    }
}

impl Drop for RealDispatchers {
    fn drop(&mut self) {
        for child in &mut self.children {
            let _ = child.kill();
            let _ = child.wait();
        }
    }
}

/// Adoptions as dispatcher, `list` or `settings`, and version.
type AdoptionSet = BTreeSet<(usize, String, u64)>;

/// The results of a run that do not depend on chance.
#[derive(Debug, PartialEq)]
struct RunResult {
    /// The number of requests by answer, class, tenant and size of the gang.
    requests: BTreeMap<(String, String, u32, u32), usize>,
    /// Messages at the runners by kind.
    messages: BTreeMap<&'static str, f64>,
    adoptions: AdoptionSet,
}

/// Returns a layout whose settings allow one try for each request and a long connect timeout.
fn one_try(name: &str, runners: usize, hollow: bool) -> Layout {
    let mut layout = fixture::layout(name, runners, DISPATCHERS, hollow);
    let limits = &mut layout.settings["limits"];
    limits["tryLimit"] = json!(1);
    limits["parallelTries"] = json!(false);
    limits["connectTimeout"] = json!(10_000_000_000u64);
    layout
}

fn run(hollow: bool) -> RunResult {
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
    let expected: usize = (0..DISPATCHERS).map(arrivals).sum();
    let mut fixture = Fixture::start(&layout);

    let real = (!hollow).then(|| RealDispatchers::start(&layout, &fixture.setup.discovery));
    let mut part = PartProcess::start(if hollow { "dispatchers" } else { "clients" });
    part.set_up(&fixture.setup);
    let adoptions = |part: &mut PartProcess| match &real {
        Some(real) => (0..DISPATCHERS)
            .flat_map(|n| {
                let log = std::fs::read_to_string(real.log(n)).unwrap();
                adoptions_in_log(&log).into_iter().map(move |(what, version, _)| (n, what, version))
            })
            .collect::<AdoptionSet>(),
        None => {
            part.command(&Command::Count);
            let mut rows = csv::Reader::from_path(layout.folder.join("acts.csv")).unwrap();
            let rows = rows.deserialize().map(Result::<Adoption, _>::unwrap);
            rows.map(|adoption| (adoption.dispatcher, adoption.what, adoption.version)).collect()
        }
    };
    let wait_for_all = |part: &mut PartProcess, what: &str, version: u64| {
        let expected = (0..DISPATCHERS).map(|n| (n, what.to_owned(), version)).collect::<AdoptionSet>();
        wait_until(&format!("all have adopted {what} {version}"), || adoptions(part).is_superset(&expected));
    };
    wait_for_all(&mut part, "list", 1);
    for health in ["leaving", "left", "active"] {
        let change = Command::List { runners: vec![3], health: health.to_owned(), up: health == "active" };
        let version = fixture.discovery.command(&change).seq;
        wait_for_all(&mut part, "list", version);
    }
    let mut settings = layout.settings.clone();
    settings["overShareWorth"] = json!(0.06);
    match &real {
        Some(real) => {
            real.write(&layout, &settings);
            real.send_hangup();
        }
        None => _ = part.command(&Command::Settings { settings, version: 1 }),
    }
    wait_for_all(&mut part, "settings", 1);

    part.command(&Command::Play);
    let mut counts = Counts::default();
    wait_until("all are answered", || {
        counts = part.command(&Command::Count);
        counts.values["requests.taken"] == expected as f64 && counts.values["requests.out"] == 0.0
    });
    let adoptions = adoptions(&mut part);
    part.command(&Command::End);
    let file = if hollow { "requests.csv" } else { "requests-clients.csv" };
    let mut rows = csv::Reader::from_path(layout.folder.join(file)).unwrap();
    let mut requests = BTreeMap::new();
    for row in rows.deserialize().map(Result::<Request, _>::unwrap) {
        *requests.entry((row.answer, row.class, row.tenant, row.gang)).or_insert(0) += 1;
    }
    let mut values = BTreeMap::new();
    // A client may get its answer before the runner gets the answer to its call-back.
    wait_until("all call-backs have arrived", || {
        values = fixture.counted(hollow);
        values["callbacks"] >= values["started"] + values["ended"]
    });
    assert_eq!(fixture.counted(!hollow)["requests"], 0.0);
    let source = if hollow { "hollow" } else { "real" };
    let lists = fixture.discovery.command(&Command::Count).values[&format!("{source}.whole_lists")];
    let kinds = ["requests", "answers_202", "started", "ended", "callbacks", "copies", "give_ups", "probes"];
    let messages =
        kinds.into_iter().map(|kind| (kind, values[kind])).chain([("whole_lists", lists)]).collect();
    RunResult { requests, messages, adoptions }
}

#[test]
fn hollow_dispatchers_cause_the_same_messages_as_real_ones() {
    let (real, hollow) = (run(false), run(true));
    assert!(real.requests.keys().all(|(answer, ..)| answer == "served"), "{:?}", real.requests);
    let sent = real.messages["requests"];
    assert!(sent > 80.0);
    // Each request is sent once and reported by two call-backs, at its start and at its end.
    assert_eq!((real.messages["callbacks"], real.messages["copies"]), (2.0 * sent, 0.0));
    assert_eq!(real.messages["whole_lists"], DISPATCHERS as f64);
    assert_eq!(real.adoptions.len(), DISPATCHERS * 5);
    assert_eq!(real, hollow);
}

#[test]
fn requests_open_at_the_end_are_recorded_as_open_and_cancelled() {
    for hollow in [false, true] {
        // Many runners: a dispatcher assumes few slots at each until a finished request has reported the free
        // ones.
        let mut layout = one_try(&format!("hollow-end-{hollow}"), 32, hollow);
        layout.stream = Stream { fill: 300, fill_s: 0.5, work_mean_s: 3600.0, ..layout.stream };
        let arrivals = |n| Arrivals::new(&layout.stream, layout.seed, n, layout.dispatchers[n].share).count();
        let expected = (0..DISPATCHERS).map(arrivals).sum::<usize>() as f64;
        let mut fixture = Fixture::start(&layout);
        let _real = (!hollow).then(|| RealDispatchers::start(&layout, &fixture.setup.discovery));
        let mut part = PartProcess::start(if hollow { "dispatchers" } else { "clients" });
        part.set_up(&fixture.setup);
        part.command(&Command::Play);
        wait_until("all run", || fixture.counted(hollow)["running_now"] == expected);
        let counts = part.command(&Command::End).values;
        assert_eq!((counts["requests.open"], counts["requests.out"]), (expected, 0.0));
        wait_until("all are cancelled", || fixture.counted(hollow)["given_up_running"] == expected);
    }
}
