//! Hollow runners follow the platform's protocol: accepting, running, call-backs, cancelling, probes,
//! crashes and partitioned links.

mod common;

use common::*;
use sablerun_stand_ins::hollow::Partition;
use serde_json::json;

#[tokio::test]
async fn a_request_is_accepted_runs_and_is_reported_and_counted_by_source() {
    let mut fixture = Fixture::start(&[2], settings()).await;
    let mut sent = [0; 2];
    for view in [0, 1] {
        let mut connection = connect(fixture.addresses[0][view]).await;
        sent[view] = send_request(&mut connection, &request_id(view, 7), 5).await;
        assert_eq!(read_answer(&mut connection).await.status, 202);
        assert_eq!(next(&mut fixture.started).await, (request_id(view, 7), 0));
        assert_eq!(fixture.listeners[view].next().await, (request_id(view, 7), "started".to_owned()));
        let (message, done) = next(&mut fixture.listeners[view].received).await;
        assert_eq!((message.method.as_str(), message.target.as_str()), ("POST", "/v1/job-events"));
        assert_eq!(done["state"], "done");
        assert_eq!(done["from"], "r-0");
        assert_eq!(done["result"], "by r-0");
        let mut fields: Vec<_> = done["load"].as_object().unwrap().keys().cloned().collect();
        fields.sort();
        assert_eq!(fields, ["errors_per_s", "outstanding", "recent_ms", "x0"]);
        assert_eq!((&done["load"]["outstanding"], &done["load"]["x0"]), (&json!(0), &json!(2)));
    }
    for (source, view) in [("real", 0), ("hollow", 1)] {
        let value = |name: &str| fixture.value(&format!("{source}.{name}"));
        for name in ["requests", "answers_202", "started", "ended", "connections_accepted", "running_most"] {
            assert_eq!(value(name), 1, "{source}.{name}");
        }
        assert_eq!((value("running_now"), value("queued_now"), value("callbacks")), (0, 0, 2));
        assert_eq!(value("bytes_in.requests"), sent[view] as u64);
        let answer = "HTTP/1.1 202 Accepted\r\nContent-Length: 0\r\n\r\n".len() as u64;
        assert_eq!(value("bytes_out.requests"), answer);
        assert!(value("bytes_out.reports") > 0 && value("bytes_out.reports") < value("bytes_out.callbacks"));
    }
}

#[tokio::test]
async fn a_cancelled_queued_request_never_runs() {
    let mut fixture = Fixture::start(&[1], settings()).await;
    let mut connection = connect(fixture.addresses[0][0]).await;
    for number in [1, 2] {
        send_request(&mut connection, &request_id(0, number), ENDLESS_WORK_US).await;
        assert_eq!(read_answer(&mut connection).await.status, 202);
    }
    assert_eq!((fixture.value("real.running_now"), fixture.value("real.queued_now")), (1, 1));
    let probe = call(&mut connection, "GET /metrics/load").await;
    let load: serde_json::Value = serde_json::from_str(&probe.body).unwrap();
    assert_eq!((&load["outstanding"], &load["x0"]), (&json!(2), &json!(0)));
    assert_eq!(call(&mut connection, &format!("DELETE /jobs/{}", request_id(0, 2))).await.status, 200);
    assert_eq!(call(&mut connection, &format!("DELETE /jobs/{}", request_id(0, 1))).await.status, 200);
    assert_eq!(
        (fixture.value("real.running_now"), fixture.value("real.queued_now")),
        (1, 0),
        "the running request goes on"
    );
    assert_eq!((fixture.value("real.given_up_waiting"), fixture.value("real.given_up_running")), (1, 1));
    assert_eq!(next(&mut fixture.started).await.0, request_id(0, 1));
    assert!(fixture.started.try_recv().is_err());
}

#[tokio::test]
async fn a_call_back_is_repeated_until_it_is_answered() {
    // `started` is answered at once; `done` is refused, then the connection is closed, then it is answered.
    let mut replies: Vec<Reply> = (0..3).map(|_| Box::new(|_: &_| Some(200u16)) as Reply).collect();
    let mut statuses = vec![Some(204), None, Some(503)];
    replies
        .insert(0, Box::new(move |body| if body["state"] == "done" { statuses.pop()? } else { Some(200) }));
    let mut fixture = Fixture::start_with_replies(&[1], settings(), replies).await;
    let mut connection = connect(fixture.addresses[0][0]).await;
    send_request(&mut connection, &request_id(0, 1), 5).await;
    let mut states = Vec::new();
    for _ in 0..4 {
        states.push(fixture.listeners[0].next().await.1);
    }
    assert_eq!(states, ["started", "done", "done", "done"]);
    // The call-backs of the next request follow: nothing more was sent for the first.
    send_request(&mut connection, &request_id(0, 2), 5).await;
    assert_eq!(fixture.listeners[0].next().await, (request_id(0, 2), "started".to_owned()));
    assert_eq!(fixture.value("real.callbacks_unheard"), 0);
}

#[tokio::test]
async fn an_unanswered_call_back_is_abandoned_after_ten_tries() {
    let mut replies: Vec<Reply> = (0..3).map(|_| Box::new(|_: &_| Some(200u16)) as Reply).collect();
    replies.insert(0, Box::new(|body| if body["id"] == request_id(0, 1) { Some(503) } else { Some(200) }));
    let mut settings = settings();
    settings["extra"]["tellsStart"] = json!(false);
    let mut fixture = Fixture::start_with_replies(&[1], settings, replies).await;
    let mut connection = connect(fixture.addresses[0][0]).await;
    send_request(&mut connection, &request_id(0, 1), 5).await;
    for _ in 0..10 {
        assert_eq!(fixture.listeners[0].next().await, (request_id(0, 1), "done".to_owned()));
    }
    send_request(&mut connection, &request_id(0, 2), 5).await;
    assert_eq!(fixture.listeners[0].next().await, (request_id(0, 2), "done".to_owned()));
}

#[tokio::test]
async fn malformed_requests_are_refused() {
    let fixture = Fixture::start(&[1], settings()).await;
    let mut connection = connect(fixture.addresses[0][0]).await;
    let cases = [
        ("POST /api HTTP/1.1", "{\"work_us\":1}", 404),
        ("POST /other HTTP/1.1\r\nX-Request-ID: 0000000000000001", "{\"work_us\":1}", 404),
        ("PUT /api HTTP/1.1\r\nX-Request-ID: 0000000000000001", "{\"work_us\":1}", 404),
        ("POST /api HTTP/1.1\r\nX-Request-ID: nothing", "{\"work_us\":1}", 400),
        ("POST /api HTTP/1.1\r\nX-Request-ID: 0009000000000001", "{\"work_us\":1}", 400),
        // A request of dispatcher 1 at the address of dispatcher 0.
        ("POST /api HTTP/1.1\r\nX-Request-ID: 0001000000000001", "{\"work_us\":1}", 400),
        ("POST /api HTTP/1.1\r\nX-Request-ID: 0000000000000001", "{\"work_ms\":1}", 400),
        ("POST /api HTTP/1.1\r\nX-Request-ID: 0000000000000001", "{\"work_us\":-1}", 400),
    ];
    for (head, body, status) in cases {
        connection.write(head, body.as_bytes()).await.unwrap();
        assert_eq!(read_answer(&mut connection).await.status, status, "{head} {body}");
    }
    assert_eq!(call(&mut connection, "GET /alive").await.status, 200);
    assert_eq!((fixture.value("real.probes"), fixture.value("real.started")), (1, 0));

    let mut settings = settings();
    settings["limits"]["probing"] = json!(false);
    let fixture = Fixture::start(&[1], settings).await;
    let mut connection = connect(fixture.addresses[0][0]).await;
    assert_eq!(call(&mut connection, "GET /metrics/load").await.status, 404);
    assert_eq!(call(&mut connection, "GET /alive").await.status, 404);
}

#[tokio::test]
async fn connections_close_on_request_and_when_idle() {
    let fixture = Fixture::start(&[1], settings()).await;
    let mut connection = connect(fixture.addresses[0][0]).await;
    assert_eq!(call(&mut connection, "GET /alive").await.status, 200);
    connection.write("GET /alive HTTP/1.1\r\nConnection: close", b"").await.unwrap();
    assert_eq!(read_answer(&mut connection).await.status, 200);
    assert!(connection.read().await.unwrap().is_none());

    let mut settings = settings();
    settings["limits"]["connIdle"] = json!(1_000_000);
    let fixture = Fixture::start(&[1], settings).await;
    let mut connection = connect(fixture.addresses[0][0]).await;
    assert!(connection.read().await.unwrap().is_none());
    assert_eq!(fixture.value("real.connections_idle_closed"), 1);
}

#[tokio::test]
async fn a_crashed_runner_loses_its_work_and_restarts_cold_at_its_address() {
    let mut fixture = Fixture::start(&[1, 1], settings()).await;
    let mut connection = connect(fixture.addresses[0][0]).await;
    for number in [1, 2] {
        send_request(&mut connection, &request_id(0, number), ENDLESS_WORK_US).await;
        assert_eq!(read_answer(&mut connection).await.status, 202);
    }
    assert_eq!(fixture.listeners[0].next().await.0, request_id(0, 1));
    fixture.runners.crash(&[0]).await.unwrap();
    assert_eq!(connection.read().await.unwrap_err().kind(), std::io::ErrorKind::ConnectionReset);
    for at in &fixture.addresses[0] {
        let refused = tokio::net::TcpStream::connect(at).await.unwrap_err();
        assert_eq!(refused.kind(), std::io::ErrorKind::ConnectionRefused);
    }
    assert_eq!(
        (fixture.value("real.running_now"), fixture.value("real.queued_now"), fixture.value("real.lost")),
        (0, 0, 2)
    );
    assert_eq!(fixture.value("real.connections_open_now"), 0);
    fixture.runners.crash(&[0]).await.unwrap();
    fixture.runners.restart(&[0]).unwrap();
    fixture.runners.restart(&[0]).unwrap();
    assert_eq!(fixture.runners.addresses(), fixture.addresses);
    let mut connection = connect(fixture.addresses[0][0]).await;
    send_request(&mut connection, &request_id(0, 3), 5).await;
    assert_eq!(read_answer(&mut connection).await.status, 202);
    assert_eq!(
        fixture.listeners[0].next().await,
        (request_id(0, 3), "started".to_owned()),
        "lost requests are not reported"
    );
    let done = next(&mut fixture.listeners[0].received).await.1;
    assert_eq!((&done["id"], &done["state"]), (&json!(request_id(0, 3)), &json!("done")));
    assert!(fixture.runners.crash(&[2]).await.is_err(), "there is no such runner");
}

#[tokio::test]
async fn a_partition_in_both_directions_is_silent_until_restored() {
    let mut fixture = Fixture::start(&[4], settings()).await;
    let (local, remote) = (fixture.addresses[0][0], fixture.addresses[0][2]);
    let (mut local, mut old) = (connect(local).await, connect(remote).await);
    assert_eq!(call(&mut old, "GET /alive").await.status, 200);
    let mut dropped = connect(remote).await;
    assert_eq!(call(&mut dropped, "GET /alive").await.status, 200);
    fixture.runners.set_partition(Some(Partition::BothDirections));
    let mut new = connect(remote).await;
    send_request(&mut old, &request_id(2, 1), 5).await;
    send_request(&mut new, &request_id(2, 2), 5).await;
    send_request(&mut dropped, &request_id(2, 3), 5).await;
    drop(dropped);
    // The runner's own region is not affected.
    send_request(&mut local, &request_id(0, 4), 5).await;
    assert_eq!(read_answer(&mut local).await.status, 202);
    assert_eq!(fixture.listeners[0].next().await.1, "started");
    assert_eq!(fixture.listeners[0].next().await.1, "done");
    assert_eq!(next(&mut fixture.started).await.0, request_id(0, 4));
    fixture.runners.set_partition(None);
    assert_eq!(read_answer(&mut old).await.status, 202);
    assert_eq!(next(&mut fixture.started).await.0, request_id(2, 1));
    assert_eq!(fixture.listeners[2].next().await, (request_id(2, 1), "started".to_owned()));
    assert_eq!(fixture.listeners[2].next().await, (request_id(2, 1), "done".to_owned()));
    assert!(new.read().await.is_err(), "a connection that was never established is reset");
    assert_eq!(fixture.value("real.requests"), 2, "a request abandoned during the partition has not started");
}

#[tokio::test]
async fn during_a_one_way_partition_requests_run_without_answers() {
    let mut fixture = Fixture::start(&[1], settings()).await;
    let mut connection = connect(fixture.addresses[0][3]).await;
    let mut dropped = connect(fixture.addresses[0][3]).await;
    fixture.runners.set_partition(Some(Partition::ToDispatchers));
    send_request(&mut connection, &request_id(3, 1), ENDLESS_WORK_US).await;
    assert_eq!(next(&mut fixture.started).await.0, request_id(3, 1));
    send_request(&mut dropped, &request_id(3, 2), 5).await;
    while fixture.value("hollow.queued_now") == 0 {
        tokio::task::yield_now().await;
    }
    // Closing the connection before the 202 cancels the request.
    drop(dropped);
    while fixture.value("hollow.given_up_waiting") == 0 {
        tokio::task::yield_now().await;
    }
    assert_eq!((fixture.value("hollow.running_now"), fixture.value("hollow.queued_now")), (1, 0));
    assert_eq!(fixture.value("hollow.callback_tries"), 0);
    assert_eq!(fixture.value("hollow.bytes_out.requests"), 0);
    fixture.runners.set_partition(None);
    assert_eq!(read_answer(&mut connection).await.status, 202);
    assert_eq!(fixture.listeners[3].next().await, (request_id(3, 1), "started".to_owned()));
}
