//! Discovery's list by version, and what its watches and calls are told over a link that is cut.

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

fn seen(name: &str, health: &str) -> Vec<Vec<Value>> {
    (0..4).map(|view| vec![host(name, health, view)]).collect()
}

fn names(list: &Value) -> Vec<&str> {
    list["hosts"].as_array().unwrap().iter().map(|host| host["host"].as_str().unwrap()).collect()
}

#[test]
fn a_version_is_told_by_what_came_after_it_while_that_is_known() {
    let mut lists = Lists::new(vec![vec![host("a", "active", 0)], vec![host("a", "active", 1)]], 2);
    assert_eq!(lists.since(0, 1).unwrap(), json!({"seq": 1, "whole": false, "hosts": []}));
    assert_eq!(lists.since(0, 0), None);
    assert_eq!(lists.since(0, 2), None, "a version of another service");
    for (name, health) in [("b", "active"), ("a", "leaving"), ("a", "left")] {
        lists.change(&seen(name, health)[..2]);
    }
    let whole: Value = serde_json::from_str(&lists.whole(1)).unwrap();
    assert_eq!(whole, json!({"seq": 4, "whole": true, "hosts": [host("b", "active", 1)]}));
    let change = lists.since(1, 2).unwrap();
    assert_eq!(change, json!({"seq": 4, "whole": false, "hosts": [host("a", "left", 1)]}), "as it is now");
    assert_eq!(names(&lists.since(0, 3).unwrap()), ["a"]);
    assert_eq!(names(&lists.since(0, 4).unwrap()), [""; 0]);
    assert_eq!(lists.since(0, 1), None, "the first change is not held any more");
    assert_eq!(lists.since(0, u64::MAX), None);

    let mut none = Lists::new(vec![vec![]], 0);
    assert_eq!(none.since(0, 1), None, "one that holds no changes tells the whole list");
    none.change(&[vec![]]);
    assert_eq!(none.since(0, 1), None);
}

/// Discovery for a dispatcher of each view, with runner `a`.
async fn discovery() -> Discovery {
    let plan = Config {
        views: views(),
        dispatcher_views: vec![0, 1, 2, 3],
        chunk_bytes: None,
        indented: false,
        retained_changes: 9,
    };
    Discovery::start_with_config(seen("a", "active"), plan, &[]).await.unwrap()
}

/// A watch from a version on.
async fn watch(discovery: &Discovery, dispatcher: usize, version: u64) -> Connection {
    let mut connection = dial(discovery.addresses[dispatcher]).await;
    let line = format!("GET /discovery/hosts?stream=1&index={version} HTTP/1.1\r\nHost: d");
    connection.write(&line, b"").await.unwrap();
    connection
}

/// The next object of a watch; empty lines are passed over.
async fn object(connection: &mut Connection) -> Value {
    loop {
        let line = tokio::time::timeout(EVENT_TIMEOUT, connection.read_line()).await.unwrap().unwrap();
        if line.starts_with('{') {
            return serde_json::from_str(&line).unwrap();
        }
    }
}

async fn whole(discovery: &Discovery, dispatcher: usize) -> Value {
    let mut connection = dial(discovery.addresses[dispatcher]).await;
    serde_json::from_str(&call(&mut connection, "GET /discovery/hosts").await.body).unwrap()
}

#[tokio::test]
async fn each_view_has_its_list_and_a_watch_gets_what_it_lacks() {
    let discovery = discovery().await;
    assert_eq!(whole(&discovery, 3).await["hosts"], json!([host("a", "active", 3)]));
    let mut held = watch(&discovery, 0, 1).await;
    assert_eq!(object(&mut held).await, json!({"seq": 1, "whole": false, "hosts": []}));
    let mut anew = watch(&discovery, 1, 0).await;
    assert_eq!(object(&mut anew).await["whole"], true);
    assert_eq!(discovery.update(&seen("a", "leaving")), 2);
    let change = |view| json!({"seq": 2, "whole": false, "hosts": [host("a", "leaving", view)]});
    assert_eq!(object(&mut held).await, change(0));
    assert_eq!(object(&mut anew).await, change(1));
    assert_eq!(object(&mut watch(&discovery, 2, 1).await).await, change(2));
    let values = discovery.metrics().values();
    let of = |name: &str| values[name] as u64;
    assert_eq!((of("real.calls.watches"), of("hollow.calls.watches")), (2, 1));
    assert_eq!((of("hollow.calls.lists"), of("real.calls.lists")), (1, 0));
    assert_eq!((of("hollow.whole_lists"), of("real.whole_lists")), (2, 0));
    assert_eq!((of("hollow.changes"), of("real.changes")), (1, 3));
    assert_eq!((of("hollow.calls_now"), of("hollow.watches_now")), (0, 1));
    assert!(of("hollow.bytes_out.lists") > 0 && of("real.bytes_out.lists") == 0);
}

#[tokio::test]
async fn a_cut_link_is_silent_and_a_watch_that_still_stands_gets_what_it_missed() {
    let discovery = discovery().await;
    let mut near = watch(&discovery, 0, 1).await;
    let mut far = watch(&discovery, 2, 1).await;
    let mut left = watch(&discovery, 3, 1).await;
    for connection in [&mut near, &mut far, &mut left] {
        object(connection).await;
    }
    discovery.set_partition(Some(Partition::BothDirections));
    let mut call = watch(&discovery, 2, 1).await;
    drop(left);
    for (name, health) in [("b", "active"), ("a", "left")] {
        discovery.update(&seen(name, health));
        assert_eq!(names(&object(&mut near).await), [name]);
    }
    assert_eq!(discovery.metrics().values()["hollow.changes"], 1.0, "but for its first object");
    discovery.set_partition(None);
    assert_eq!(names(&object(&mut far).await), ["b"]);
    assert_eq!(names(&object(&mut far).await), ["a"]);
    assert!(call.read().await.is_err(), "a call that never came up is reset");
    assert_eq!(names(&whole(&discovery, 2).await), ["b"]);
}

#[tokio::test]
async fn over_a_link_cut_one_way_a_call_is_answered_when_it_is_whole() {
    let discovery = discovery().await;
    discovery.set_partition(Some(Partition::ToDispatchers));
    let mut connection = watch(&discovery, 2, 1).await;
    while discovery.metrics().values()["real.calls_now"] == 0.0 {
        tokio::task::yield_now().await;
    }
    discovery.update(&seen("b", "active"));
    discovery.set_partition(None);
    assert_eq!(names(&object(&mut connection).await), [""; 0], "as the list was when it asked");
    assert_eq!(names(&object(&mut connection).await), ["b"]);
}
