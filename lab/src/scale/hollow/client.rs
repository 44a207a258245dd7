//! The client of a hollow dispatcher: passes a request to the runtime as the platform's front does with one
//! that it has read. Never retries.

use crate::scale::record_writers::OpenRequest;
use sablerun as sr;
use sablerun_node::core::{Answer, Arrival, Input};
use sablerun_node::runtime::{ClientGuard, Job, Runtime};
use std::rc::Rc;
use std::time::Duration;

/// Passes a request in and waits at most `timeout` for its answer. The request names its tenant if `tenants`
/// is set.
pub(super) async fn run_client(
    runtime: Rc<Runtime>,
    request: OpenRequest,
    deadline: Duration,
    timeout: Duration,
    tenants: bool,
) {
    let arrival = &request.arrival;
    let tenant_name = tenants.then(|| format!("tenant-{}", arrival.tenant));
    let class = runtime.with_class(arrival.class(), |number, _| number);
    // The front answers a request that names no known class or tenant with 400.
    let (Some(class), Ok(tenant)) = (class, runtime.tenant(tenant_name.as_deref())) else {
        return request.finish("failed");
    };
    let job = Job {
        target: "/api".to_owned(),
        body: arrival.body().into(),
        class: arrival.class().to_owned(),
        tenant: tenant_name,
        ..Job::default()
    };
    let (ticket, answer) = runtime.ticket(class);
    // Dropped with this future, which reports the client as gone unless it was answered.
    let _guard = ClientGuard::new(&runtime, ticket);
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
    request.finish(match tokio::time::timeout(timeout, answer).await {
        Err(_) | Ok(Err(_)) => "lost",
        Ok(Ok(Answer::Served(_))) => "served",
        Ok(Ok(Answer::Refused(_))) => "refused",
        Ok(Ok(Answer::Failed(_) | Answer::Unfit(_))) => "failed",
    });
}
