//! A client of a hollow dispatcher: its request, handed in as the platform's front hands in one that it has read.
//! It owns the request's way to its answer; it must never try again.

use crate::scale::records::Out;
use sablerun as sr;
use sablerun_node::core::{Answer, Arrival, Input};
use sablerun_node::runtime::{ClientGuard, Job, Runtime};
use std::rc::Rc;
use std::time::Duration;

/// Hands a request in and waits for its answer. The client waits for this long, and names its tenant or does not.
pub(super) async fn client(
    runtime: Rc<Runtime>,
    out: Out,
    deadline: Duration,
    patience: Duration,
    tenants: bool,
) {
    let arrival = &out.arrival;
    let tenant_name = tenants.then(|| format!("tenant-{}", arrival.tenant));
    let class = runtime.with_class(arrival.class(), |number, _| number);
    // The front answers a request that names no known class or tenant with 400.
    let (Some(class), Ok(tenant)) = (class, runtime.tenant(tenant_name.as_deref())) else {
        return out.answered("failed");
    };
    let job = Job {
        target: "/api".to_owned(),
        body: arrival.body().into(),
        class: arrival.class().to_owned(),
        tenant: tenant_name,
        ..Job::default()
    };
    let (ticket, answer) = runtime.ticket(class);
    // Dropped with this future: the client has gone away then, unless it was answered.
    let _here = ClientGuard::new(&runtime, ticket);
    runtime.feed(Input::Arrived(Arrival {
        ticket,
        id: arrival.id.as_str().into(),
        class,
        tenant,
        deadline: runtime.clock.now() + sr::Span(deadline.as_nanos() as u64),
        slots: 1.0,
        memory: 0.0,
        estimate: sr::Span(0),
        retry: false,
        key: None,
        job: Rc::new(job),
    }));
    out.answered(match tokio::time::timeout(patience, answer).await {
        Err(_) | Ok(Err(_)) => "lost",
        Ok(Ok(Answer::Served(_))) => "served",
        Ok(Ok(Answer::Refused(_))) => "refused",
        Ok(Ok(Answer::Failed(_) | Answer::Unfit(_))) => "failed",
    });
}
