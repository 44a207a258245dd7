//! Discovery's versioned lists, and what its watches and calls receive over a partitioned link.

mod common;

use common::*;
use sablerun_stand_ins::discovery::lists::Lists;
use sablerun_stand_ins::discovery::{Config, Discovery};
use sablerun_stand_ins::hollow::Partition;
use sablerun_stand_ins::http::Connection;
use serde_json::{Value, json};

fn host(name: &str, health: &str, view: usize) -> Value {
    json!({"host": name, "dial": format!("10.0.{view}.1:1"), "health": health})
}

fn change_by_view(name: &str, health: &str) -> Vec<Vec<Value>> {
    (0..4).map(|view| vec![host(name, health, view)]).collect()
}

fn names(list: &Value) -> Vec<&str> {
    list["hosts"].as_array().unwrap().iter().map(|host| host["host"].as_str().unwrap()).collect()
}

#[test]
fn a_version_is_answered_with_the_changes_after_it_while_they_are_retained() {
    let mut lists = Lists::new(vec![vec![host("a", "active", 0)], vec![host("a", "active", 1)]], 2);
    assert_eq!(lists.changes_since(0, 1).unwrap(), json!({"seq": 1, "whole": false, "hosts": []}));
    assert_eq!(lists.changes_since(0, 0), None);
    assert_eq!(lists.changes_since(0, 2), None, "a version that this service never had");
    for (name, health) in [("b", "active"), ("a", "leaving"), ("a", "left")] {
        lists.apply(&change_by_view(name, health)[..2]);
    }
    let whole: Value = serde_json::from_str(&lists.whole_list(1)).unwrap();
    assert_eq!(whole, json!({"seq": 4, "whole": true, "hosts": [host("b", "active", 1)]}));
    let change = lists.changes_since(1, 2).unwrap();
    assert_eq!(
        change,
        json!({"seq": 4, "whole": false, "hosts": [host("a", "left", 1)]}),
        "the latest entry"
    );
    assert_eq!(names(&lists.changes_since(0, 3).unwrap()), ["a"]);
    assert_eq!(names(&lists.changes_since(0, 4).unwrap()), [""; 0]);
    assert_eq!(lists.changes_since(0, 1), None, "the first change is no longer retained");
    assert_eq!(lists.changes_since(0, u64::MAX), None);

    let mut none = Lists::new(vec![vec![]], 0);
    assert_eq!(none.changes_since(0, 1), None, "without retained changes there is only the whole list");
    none.apply(&[vec![]]);
    assert_eq!(none.changes_since(0, 1), None);
}

/// Starts discovery for one dispatcher of each view, with runner `a`.
async fn discovery() -> Discovery {
    let config = Config {
        views: views(),
        dispatcher_views: vec![0, 1, 2, 3],
        chunk_bytes: None,
        indented: false,
        retained_changes: 9,
    };
    Discovery::start_with_config(change_by_view("a", "active"), config, &[]).await.unwrap()
}

/// Starts a watch from a version on.
async fn watch(discovery: &Discovery, dispatcher: usize, version: u64) -> Connection {
    let mut connection = connect(discovery.addresses[dispatcher]).await;
    let line = format!("GET /discovery/hosts?stream=1&index={version} HTTP/1.1\r\nHost: d");
    connection.write(&line, b"").await.unwrap();
    connection
}

/// Returns the next object of a watch, skipping empty lines.
async fn next_object(connection: &mut Connection) -> Value {
    loop {
        let line = tokio::time::timeout(EVENT_TIMEOUT, connection.read_line()).await.unwrap().unwrap();
        if line.starts_with('{') {
            return serde_json::from_str(&line).unwrap();
        }
    }
}

async fn whole_list(discovery: &Discovery, dispatcher: usize) -> Value {
    let mut connection = connect(discovery.addresses[dispatcher]).await;
    serde_json::from_str(&call(&mut connection, "GET /discovery/hosts").await.body).unwrap()
}

#[tokio::test]
async fn each_view_has_its_list_and_a_watch_gets_the_changes_it_lacks() {
    let discovery = discovery().await;
    assert_eq!(whole_list(&discovery, 3).await["hosts"], json!([host("a", "active", 3)]));
    let mut current = watch(&discovery, 0, 1).await;
    assert_eq!(next_object(&mut current).await, json!({"seq": 1, "whole": false, "hosts": []}));
    let mut new = watch(&discovery, 1, 0).await;
    assert_eq!(next_object(&mut new).await["whole"], true);
    assert_eq!(discovery.update(&change_by_view("a", "leaving")), 2);
    let change = |view| json!({"seq": 2, "whole": false, "hosts": [host("a", "leaving", view)]});
    assert_eq!(next_object(&mut current).await, change(0));
    assert_eq!(next_object(&mut new).await, change(1));
    assert_eq!(next_object(&mut watch(&discovery, 2, 1).await).await, change(2));
    let values = discovery.metrics().values();
    let value = |name: &str| values[name] as u64;
    assert_eq!((value("real.calls.watches"), value("hollow.calls.watches")), (2, 1));
    assert_eq!((value("hollow.calls.lists"), value("real.calls.lists")), (1, 0));
    assert_eq!((value("hollow.whole_lists"), value("real.whole_lists")), (2, 0));
    assert_eq!((value("hollow.changes"), value("real.changes")), (1, 3));
    assert_eq!((value("hollow.calls_now"), value("hollow.watches_now")), (0, 1));
    assert!(value("hollow.bytes_out.lists") > 0 && value("real.bytes_out.lists") == 0);
}

#[tokio::test]
async fn a_partitioned_link_is_silent_and_a_surviving_watch_gets_the_missed_changes() {
    let discovery = discovery().await;
    let mut local = watch(&discovery, 0, 1).await;
    let mut remote = watch(&discovery, 2, 1).await;
    let mut dropped = watch(&discovery, 3, 1).await;
    for connection in [&mut local, &mut remote, &mut dropped] {
        next_object(connection).await;
    }
    discovery.set_partition(Some(Partition::BothDirections));
    let mut pending = watch(&discovery, 2, 1).await;
    drop(dropped);
    for (name, health) in [("b", "active"), ("a", "left")] {
        discovery.update(&change_by_view(name, health));
        assert_eq!(names(&next_object(&mut local).await), [name]);
    }
    assert_eq!(discovery.metrics().values()["hollow.changes"], 1.0, "only the first object");
    discovery.set_partition(None);
    assert_eq!(names(&next_object(&mut remote).await), ["b"]);
    assert_eq!(names(&next_object(&mut remote).await), ["a"]);
    assert!(pending.read().await.is_err(), "a call whose connection was never established is reset");
    assert_eq!(names(&whole_list(&discovery, 2).await), ["b"]);
}

#[tokio::test]
async fn during_a_one_way_partition_a_call_is_answered_after_the_link_is_restored() {
    let discovery = discovery().await;
    discovery.set_partition(Some(Partition::ToDispatchers));
    let mut connection = watch(&discovery, 2, 1).await;
    while discovery.metrics().values()["real.calls_now"] == 0.0 {
        tokio::task::yield_now().await;
    }
    discovery.update(&change_by_view("b", "active"));
    discovery.set_partition(None);
    assert_eq!(names(&next_object(&mut connection).await), [""; 0], "the changes as of the time of the call");
    assert_eq!(names(&next_object(&mut connection).await), ["b"]);
}
