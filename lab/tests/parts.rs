//! Parts of the scale run as processes: their answers to commands, their records, and their exit.

#[path = "common/part.rs"]
mod part;

use part::PartProcess;
use sablerun_lab::scale::protocol::{
    Command, Counts, Dispatcher, Layout, PartitionDirection, Ready, Runner, Setup, Start, Zone, view,
};
use sablerun_stand_ins::http::{self, Message};
use serde_json::json;
use std::net::{SocketAddr, TcpListener};
use std::path::PathBuf;
use std::time::Duration;

const TIMEOUT: Duration = Duration::from_secs(20);

/// Returns a layout of two runners in two regions and a dispatcher in region 1 that listens at this address.
fn layout(name: &str, listen: SocketAddr) -> Layout {
    let folder = PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join(name);
    std::fs::create_dir_all(&folder).unwrap();
    let zone = |name: &str, region| Zone { name: name.to_owned(), region };
    let runner = |n: usize| Runner { name: format!("r-{n}"), zone: n, kind: 0, rack: 0, slots: 1 };
    Layout {
        folder,
        zones: vec![zone("a", 0), zone("b", 1)],
        runners: vec![runner(0), runner(1)],
        dispatchers: vec![Dispatcher { name: "d-0".into(), zone: 1, hollow: true, listen, share: 1.0 }],
        settings: json!({"extra": {"tellsStart": false}, "limits": {"probing": true}, "rules": {},
                         "reporting": {"fields": ["x0"], "how": "piggyback"}}),
        ..Layout::default()
    }
}

fn call(at: SocketAddr, head: &str, body: &str) -> Message {
    http::call_blocking(at, head, body).expect("an answer")
}

#[test]
fn runners_record_starts_and_exit_with_their_input() {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let layout = layout("runners", listener.local_addr().unwrap());
    let starts = layout.folder.join("starts.csv");
    let mut part = PartProcess::start("runners");
    let ready =
        part.set_up(&Setup { layout, dial: Vec::new(), discovery: Vec::new(), operator: String::new() });
    assert_eq!(ready.dial.iter().map(Vec::len).collect::<Vec<_>>(), [5, 5]);

    let dispatcher_view = view(1, true);
    let post = |number: u64| {
        let head = format!("POST /api HTTP/1.1\r\nX-Request-ID: 0000{number:012x}");
        call(ready.dial[1][dispatcher_view], &head, "{\"work_us\":3600000000}").status
    };
    assert_eq!(post(1), 202);
    let counts = part.command(&Command::Count);
    assert_eq!(counts.values["hollow.running_now"], 1.0);
    assert_eq!(counts.values["real.requests"], 0.0);

    let counts = part.command(&Command::RunnersDown { runners: vec![1] });
    assert_eq!((counts.values["hollow.running_now"], counts.values["hollow.lost"]), (0.0, 1.0));
    part.command(&Command::RunnersUp { runners: vec![1] });
    assert_eq!(post(2), 202);
    part.command(&Command::Link { cut: Some(PartitionDirection::Back) });
    part.command(&Command::Link { cut: None });
    // A command for other roles changes nothing.
    part.command(&Command::Play);

    let bad: Counts = part.send_line(r#"{"runners_down":{"runners":[2]}}"#);
    assert!(bad.error.unwrap().contains("no runner 2"));
    let bad: Counts = part.send_line(r#"{"runners_gone":{}}"#);
    assert!(bad.error.unwrap().contains("runners_gone"));

    part.command(&Command::End);
    let rows: Vec<Start> =
        csv::Reader::from_path(&starts).unwrap().deserialize().map(Result::unwrap).collect();
    let rows: Vec<_> = rows.iter().map(|row| (row.id.as_str(), row.runner, row.at_us > 0)).collect();
    assert_eq!(rows, [("0000000000000001", 1, true), ("0000000000000002", 1, true)]);

    drop(part.stdin.take());
    assert!(part.child.wait().unwrap().success());
    assert!(std::net::TcpStream::connect_timeout(&ready.dial[0][0], TIMEOUT).is_err());
}

#[test]
fn discovery_serves_the_list_by_view_and_numbers_its_changes() {
    let mut layout = layout("discovery", "127.0.0.1:1".parse().unwrap());
    layout.settings["kinds"] = json!(["k4-full"]);
    let dial = |runner: u16| (0..5).map(move |view| SocketAddr::from(([10, 0, 0, 1], 100 * runner + view)));
    let dial: Vec<Vec<SocketAddr>> = (1..=2).map(|runner| dial(runner).collect()).collect();
    let setup = Setup { layout, dial, discovery: Vec::new(), operator: String::new() };
    let mut part = PartProcess::start("discovery");
    let ready = part.set_up(&setup);
    assert_eq!(ready.discovery.len(), 2, "one address for the dispatcher and one for control machines");
    let list_of = |reader: usize| {
        let message = call(ready.discovery[reader], "GET /discovery/hosts HTTP/1.1", "");
        serde_json::from_str::<serde_json::Value>(&message.body).unwrap()
    };
    let list = || list_of(0);
    assert_eq!(list_of(1)["hosts"][1]["dial"], "10.0.0.1:204", "control machines have a separate view");
    let host = json!({"host": "r-1", "dial": "10.0.0.1:203", "site": "b", "class": "k4-full", "block": 1000,
                      "health": "active", "share": 1.0, "born_ms": 0});
    assert_eq!((&list()["seq"], &list()["hosts"][1]), (&json!(1), &host));

    let counts = part.command(&Command::List { runners: vec![0], health: "left".into(), up: false });
    assert_eq!(counts.seq, 2);
    assert_eq!(list()["hosts"], json!([host]));
    let counts = part.command(&Command::List { runners: vec![1], health: "active".into(), up: true });
    assert_eq!((counts.seq, &list()["hosts"][0]["born_ms"]), (3, &json!(counts.at_us / 1000)));
    let bad: Counts = part.send_line(r#"{"list":{"runners":[0],"health":"well","up":false}}"#);
    assert!(bad.error.unwrap().contains("well"));
    let bad: Counts = part.send_line(r#"{"list":{"runners":[7],"health":"left","up":false}}"#);
    assert!(bad.error.unwrap().contains("no runner 7"));
    let counts = part.command(&Command::Count);
    assert_eq!(counts.values["hollow.whole_lists"], 4.0);
    assert_eq!(counts.values["control.whole_lists"], 1.0);

    let mut part = PartProcess::start("discovery");
    let setup = Setup { dial: Vec::new(), ..setup };
    let ready: Ready = part.send_line(&serde_json::to_string(&setup).unwrap());
    assert!(ready.error.unwrap().contains("dial"));
}

#[test]
fn a_part_that_cannot_start_reports_why() {
    let mut part = PartProcess::start("runners");
    let ready: Ready = part.send_line(r#"{"layout":{"seed":"x"},"dial":[],"discovery":[]}"#);
    assert!(ready.error.unwrap().contains("layout.seed"));
    assert!(!part.child.wait().unwrap().success());
}
