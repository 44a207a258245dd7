//! A killed hollow dispatcher leaves no task, socket or connection behind. Alone in its file, because it
//! counts the descriptors of the process.

#[path = "common/fixture.rs"]
mod fixture;
#[path = "common/part.rs"]
mod part;

use fixture::Fixture;
use sablerun_lab::scale::config::dispatcher_config;
use sablerun_lab::scale::hollow::{Hollow, ThreadContext};
use sablerun_lab::scale::protocol::{Command, Request, Stream};
use sablerun_lab::scale::record_writers::{AdoptionLog, RequestLog};
use sablerun_lab::scale::stream::Arrivals;
use sablerun_node::operator::Operator;
use std::cell::RefCell;
use std::net::TcpStream;
use std::rc::Rc;
use std::time::{Duration, Instant};

/// Polls until a condition holds; fails after 30 s.
async fn wait_until(what: &str, mut holds: impl AsyncFnMut() -> bool) {
    let end = Instant::now() + Duration::from_secs(30);
    while !holds().await {
        assert!(Instant::now() < end, "{what}");
        tokio::time::sleep(Duration::from_millis(5)).await;
    }
}

fn descriptors() -> usize {
    std::fs::read_dir("/proc/self/fd").unwrap().count()
}

#[test]
fn a_killed_dispatcher_leaves_nothing_behind_and_can_restart() {
    actix_rt::System::new().block_on(async {
        let mut layout = fixture::layout("hollow_kill", 3, 1, true);
        layout.stream = Stream { fill: 5, fill_s: 0.0, work_mean_s: 3600.0, ..layout.stream };
        let mut fixture = Fixture::start(&layout);
        let discovery = fixture.setup.discovery[0];
        let request_log =
            RequestLog::create(&layout.folder, "requests.csv", Duration::from_secs(3600)).unwrap();
        let adoption_log = AdoptionLog::create(&layout.folder, "acts.csv").unwrap();
        let (steps, tenants) = (RefCell::default(), true);
        let shared = Rc::new(ThreadContext {
            request_log: request_log.clone(),
            adoption_log,
            steps,
            operator: Operator::default(),
            tenants,
        });
        let config = || dispatcher_config(&layout, 0, &layout.settings, discovery);
        let before = descriptors();

        for round in 1..=2u64 {
            let hollow = Hollow::start(&shared, 0, config()).await.unwrap();
            let arrivals = || Arrivals::new(&layout.stream, layout.seed + round, 0, 1.0);
            assert_eq!(arrivals().count(), 5);
            arrivals().for_each(|arrival| hollow.submit(arrival));
            let mut counted = |what: &str| fixture.counted(true)[what];
            wait_until("all run", async || counted("started") == 5.0 * round as f64).await;
            wait_until("all known to run", async || hollow.open_counts().await.accepted > 0).await;
            let counts = hollow.open_counts().await;
            assert_eq!(counts.open, 5);
            assert!(counts.runners > 0);
            assert!(descriptors() > before);

            hollow.kill().await;
            assert!(TcpStream::connect(layout.dispatchers[0].listen).is_err(), "its listener is closed");
            let counts = request_log.counts();
            assert_eq!((counts["requests.cut"], counts["requests.out"]), (5.0 * round as f64, 0.0));
            // The runtime, the links and every task hold a reference to this.
            drop(hollow);
            assert_eq!(Rc::strong_count(&shared), 1, "something of it is left");
            assert_eq!(descriptors(), before, "a socket of it is left open");
            // Runners notice its end only by their connections: a killed process cancels nothing.
            wait_until("its connections end", async || counted("connections_open_now") == 0.0).await;
            assert_eq!(counted("give_ups"), 0.0);
            let change = Command::List { runners: vec![0], health: "active".to_owned(), up: false };
            wait_until("its watch ends", async || {
                // Discovery notices a closed watch as it writes to it.
                fixture.discovery.command(&change).values["hollow.watches_now"] == 0.0
            })
            .await;
        }
        // Nor are the cores notified that the clients are gone.
        assert!(!shared.steps.borrow().figures().iter().any(|(name, _)| name.contains("client_gone")));
        request_log.flush().unwrap();
        let mut rows = csv::Reader::from_path(layout.folder.join("requests.csv")).unwrap();
        let rows: Vec<Request> = rows.deserialize().map(Result::unwrap).collect();
        assert_eq!(rows.len(), 10);
        assert!(rows.iter().all(|row| row.answer == "cut" && row.answered_us >= row.taken_us));
    });
}
