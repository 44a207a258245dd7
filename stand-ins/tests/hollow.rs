//! Hollow runners keep the platform's protocol: taking, running, telling, giving up, probes, vanishing and links
//! that are cut.

mod common;

use common::*;
use sablerun_stand_ins::hollow::Partition;
use serde_json::json;

#[tokio::test]
async fn a_request_is_taken_runs_and_is_told_by_side() {
    let mut stage = Stage::set(&[2], settings()).await;
    let mut sent = [0; 2];
    for view in [0, 1] {
        let mut connection = dial(stage.dial[0][view]).await;
        sent[view] = send(&mut connection, &id(view, 7), 5).await;
        assert_eq!(answer(&mut connection).await.status, 202);
        assert_eq!(next(&mut stage.began).await, (id(view, 7), 0));
        assert_eq!(stage.ears[view].next().await, (id(view, 7), "started".to_owned()));
        let (message, done) = next(&mut stage.ears[view].heard).await;
        assert_eq!((message.method.as_str(), message.target.as_str()), ("POST", "/v1/job-events"));
        assert_eq!(done["state"], "done");
        assert_eq!(done["from"], "r-0");
        assert_eq!(done["result"], "by r-0");
        let mut fields: Vec<_> = done["load"].as_object().unwrap().keys().cloned().collect();
        fields.sort();
        assert_eq!(fields, ["errors_per_s", "outstanding", "recent_ms", "x0"]);
        assert_eq!((&done["load"]["outstanding"], &done["load"]["x0"]), (&json!(0), &json!(2)));
    }
    for (side, view) in [("real", 0), ("hollow", 1)] {
        let value = |name: &str| stage.value(&format!("{side}.{name}"));
        for name in ["requests", "answers_202", "started", "ended", "connections_accepted", "running_most"] {
            assert_eq!(value(name), 1, "{side}.{name}");
        }
        assert_eq!((value("running_now"), value("queued_now"), value("callbacks")), (0, 0, 2));
        assert_eq!(value("bytes_in.requests"), sent[view] as u64);
        let answer = "HTTP/1.1 202 Accepted\r\nContent-Length: 0\r\n\r\n".len() as u64;
        assert_eq!(value("bytes_out.requests"), answer);
        assert!(value("bytes_out.reports") > 0 && value("bytes_out.reports") < value("bytes_out.callbacks"));
    }
}

#[tokio::test]
async fn what_waits_and_is_given_up_never_runs() {
    let mut stage = Stage::set(&[1], settings()).await;
    let mut connection = dial(stage.dial[0][0]).await;
    for number in [1, 2] {
        send(&mut connection, &id(0, number), LONG).await;
        assert_eq!(answer(&mut connection).await.status, 202);
    }
    assert_eq!((stage.value("real.running_now"), stage.value("real.queued_now")), (1, 1));
    let probe = call(&mut connection, "GET /metrics/load").await;
    let load: serde_json::Value = serde_json::from_str(&probe.body).unwrap();
    assert_eq!((&load["outstanding"], &load["x0"]), (&json!(2), &json!(0)));
    assert_eq!(call(&mut connection, &format!("DELETE /jobs/{}", id(0, 2))).await.status, 200);
    assert_eq!(call(&mut connection, &format!("DELETE /jobs/{}", id(0, 1))).await.status, 200);
    assert_eq!(
        (stage.value("real.running_now"), stage.value("real.queued_now")),
        (1, 0),
        "what runs goes on"
    );
    assert_eq!((stage.value("real.given_up_waiting"), stage.value("real.given_up_running")), (1, 1));
    assert_eq!(next(&mut stage.began).await.0, id(0, 1));
    assert!(stage.began.try_recv().is_err());
}

#[tokio::test]
async fn a_call_back_is_repeated_until_it_is_answered() {
    // `started` is answered at once; `done` is turned away, broken off and heard at last.
    let mut replies: Vec<Reply> = (0..3).map(|_| Box::new(|_: &_| Some(200u16)) as Reply).collect();
    let mut left = vec![Some(204), None, Some(503)];
    replies.insert(0, Box::new(move |body| if body["state"] == "done" { left.pop()? } else { Some(200) }));
    let mut stage = Stage::with(&[1], settings(), replies).await;
    let mut connection = dial(stage.dial[0][0]).await;
    send(&mut connection, &id(0, 1), 5).await;
    let mut states = Vec::new();
    for _ in 0..4 {
        states.push(stage.ears[0].next().await.1);
    }
    assert_eq!(states, ["started", "done", "done", "done"]);
    // The next request's call-backs: nothing more of the first came between.
    send(&mut connection, &id(0, 2), 5).await;
    assert_eq!(stage.ears[0].next().await, (id(0, 2), "started".to_owned()));
    assert_eq!(stage.value("real.callbacks_unheard"), 0);
}

#[tokio::test]
async fn a_call_back_that_nobody_answers_is_given_up_after_ten_tries() {
    let mut replies: Vec<Reply> = (0..3).map(|_| Box::new(|_: &_| Some(200u16)) as Reply).collect();
    replies.insert(0, Box::new(|body| if body["id"] == id(0, 1) { Some(503) } else { Some(200) }));
    let mut settings = settings();
    settings["extra"]["tellsStart"] = json!(false);
    let mut stage = Stage::with(&[1], settings, replies).await;
    let mut connection = dial(stage.dial[0][0]).await;
    send(&mut connection, &id(0, 1), 5).await;
    for _ in 0..10 {
        assert_eq!(stage.ears[0].next().await, (id(0, 1), "done".to_owned()));
    }
    send(&mut connection, &id(0, 2), 5).await;
    assert_eq!(stage.ears[0].next().await, (id(0, 2), "done".to_owned()));
}

#[tokio::test]
async fn what_is_no_request_is_turned_down_by_its_form() {
    let stage = Stage::set(&[1], settings()).await;
    let mut connection = dial(stage.dial[0][0]).await;
    let cases = [
        ("POST /api HTTP/1.1", "{\"work_us\":1}", 404),
        ("POST /other HTTP/1.1\r\nX-Request-ID: 0000000000000001", "{\"work_us\":1}", 404),
        ("PUT /api HTTP/1.1\r\nX-Request-ID: 0000000000000001", "{\"work_us\":1}", 404),
        ("POST /api HTTP/1.1\r\nX-Request-ID: nothing", "{\"work_us\":1}", 400),
        ("POST /api HTTP/1.1\r\nX-Request-ID: 0009000000000001", "{\"work_us\":1}", 400),
        // Dispatcher 1's, by the address of dispatcher 0.
        ("POST /api HTTP/1.1\r\nX-Request-ID: 0001000000000001", "{\"work_us\":1}", 400),
        ("POST /api HTTP/1.1\r\nX-Request-ID: 0000000000000001", "{\"work_ms\":1}", 400),
        ("POST /api HTTP/1.1\r\nX-Request-ID: 0000000000000001", "{\"work_us\":-1}", 400),
    ];
    for (head, body, status) in cases {
        connection.write(head, body.as_bytes()).await.unwrap();
        assert_eq!(answer(&mut connection).await.status, status, "{head} {body}");
    }
    assert_eq!(call(&mut connection, "GET /alive").await.status, 200);
    assert_eq!((stage.value("real.probes"), stage.value("real.started")), (1, 0));

    let mut settings = settings();
    settings["limits"]["probing"] = json!(false);
    let stage = Stage::set(&[1], settings).await;
    let mut connection = dial(stage.dial[0][0]).await;
    assert_eq!(call(&mut connection, "GET /metrics/load").await.status, 404);
    assert_eq!(call(&mut connection, "GET /alive").await.status, 404);
}

#[tokio::test]
async fn connections_end_as_asked_and_when_idle() {
    let stage = Stage::set(&[1], settings()).await;
    let mut connection = dial(stage.dial[0][0]).await;
    assert_eq!(call(&mut connection, "GET /alive").await.status, 200);
    connection.write("GET /alive HTTP/1.1\r\nConnection: close", b"").await.unwrap();
    assert_eq!(answer(&mut connection).await.status, 200);
    assert!(connection.read().await.unwrap().is_none());

    let mut settings = settings();
    settings["limits"]["connIdle"] = json!(1_000_000);
    let stage = Stage::set(&[1], settings).await;
    let mut connection = dial(stage.dial[0][0]).await;
    assert!(connection.read().await.unwrap().is_none());
    assert_eq!(stage.value("real.connections_idle_closed"), 1);
}

#[tokio::test]
async fn a_machine_that_vanishes_takes_its_work_along_and_comes_back_cold_at_its_address() {
    let mut stage = Stage::set(&[1, 1], settings()).await;
    let mut connection = dial(stage.dial[0][0]).await;
    for number in [1, 2] {
        send(&mut connection, &id(0, number), LONG).await;
        assert_eq!(answer(&mut connection).await.status, 202);
    }
    assert_eq!(stage.ears[0].next().await.0, id(0, 1));
    stage.runners.crash(&[0]).await.unwrap();
    assert_eq!(connection.read().await.unwrap_err().kind(), std::io::ErrorKind::ConnectionReset);
    for at in &stage.dial[0] {
        let refused = tokio::net::TcpStream::connect(at).await.unwrap_err();
        assert_eq!(refused.kind(), std::io::ErrorKind::ConnectionRefused);
    }
    assert_eq!(
        (stage.value("real.running_now"), stage.value("real.queued_now"), stage.value("real.lost")),
        (0, 0, 2)
    );
    assert_eq!(stage.value("real.connections_open_now"), 0);
    stage.runners.crash(&[0]).await.unwrap();
    stage.runners.restart(&[0]).unwrap();
    stage.runners.restart(&[0]).unwrap();
    assert_eq!(stage.runners.addresses(), stage.dial);
    let mut connection = dial(stage.dial[0][0]).await;
    send(&mut connection, &id(0, 3), 5).await;
    assert_eq!(answer(&mut connection).await.status, 202);
    assert_eq!(stage.ears[0].next().await, (id(0, 3), "started".to_owned()), "nothing of the lost is told");
    let done = next(&mut stage.ears[0].heard).await.1;
    assert_eq!((&done["id"], &done["state"]), (&json!(id(0, 3)), &json!("done")));
    assert!(stage.runners.crash(&[2]).await.is_err(), "there is no such runner");
}

#[tokio::test]
async fn a_link_cut_both_ways_is_silent_and_goes_on_when_whole() {
    let mut stage = Stage::set(&[4], settings()).await;
    let (near, far) = (stage.dial[0][0], stage.dial[0][2]);
    let (mut near, mut old) = (dial(near).await, dial(far).await);
    assert_eq!(call(&mut old, "GET /alive").await.status, 200);
    let mut gone = dial(far).await;
    assert_eq!(call(&mut gone, "GET /alive").await.status, 200);
    stage.runners.set_partition(Some(Partition::BothDirections));
    let mut new = dial(far).await;
    send(&mut old, &id(2, 1), 5).await;
    send(&mut new, &id(2, 2), 5).await;
    send(&mut gone, &id(2, 3), 5).await;
    drop(gone);
    // The runner's own region goes on as before.
    send(&mut near, &id(0, 4), 5).await;
    assert_eq!(answer(&mut near).await.status, 202);
    assert_eq!(stage.ears[0].next().await.1, "started");
    assert_eq!(stage.ears[0].next().await.1, "done");
    assert_eq!(next(&mut stage.began).await.0, id(0, 4));
    stage.runners.set_partition(None);
    assert_eq!(answer(&mut old).await.status, 202);
    assert_eq!(next(&mut stage.began).await.0, id(2, 1));
    assert_eq!(stage.ears[2].next().await, (id(2, 1), "started".to_owned()));
    assert_eq!(stage.ears[2].next().await, (id(2, 1), "done".to_owned()));
    assert!(new.read().await.is_err(), "what never came up is reset");
    assert_eq!(stage.value("real.requests"), 2, "what was given up in the meantime has not begun");
}

#[tokio::test]
async fn over_a_link_cut_one_way_requests_run_and_nothing_comes_back() {
    let mut stage = Stage::set(&[1], settings()).await;
    let mut connection = dial(stage.dial[0][3]).await;
    let mut gone = dial(stage.dial[0][3]).await;
    stage.runners.set_partition(Some(Partition::ToDispatchers));
    send(&mut connection, &id(3, 1), LONG).await;
    assert_eq!(next(&mut stage.began).await.0, id(3, 1));
    send(&mut gone, &id(3, 2), 5).await;
    while stage.value("hollow.queued_now") == 0 {
        tokio::task::yield_now().await;
    }
    // Its end before the 202 gives it up.
    drop(gone);
    while stage.value("hollow.given_up_waiting") == 0 {
        tokio::task::yield_now().await;
    }
    assert_eq!((stage.value("hollow.running_now"), stage.value("hollow.queued_now")), (1, 0));
    assert_eq!(stage.value("hollow.callback_tries"), 0);
    assert_eq!(stage.value("hollow.bytes_out.requests"), 0);
    stage.runners.set_partition(None);
    assert_eq!(answer(&mut connection).await.status, 202);
    assert_eq!(stage.ears[3].next().await, (id(3, 1), "started".to_owned()));
}
