//! Handles the requests on the front's address: clients' jobs, runners' call-backs and the readiness check.
//! A job that was handed to the core gets the core's answer as soon as it is made, and none
//! that was decided here.

use crate::core::{Answer, Arrival, Input};
use crate::metrics::AnswerKind;
use crate::net::callbacks::{self, CallBack};
use crate::net::peers::Forwarded;
use crate::net::platform::Front;
use crate::net::platform::body::RequestBody;
use crate::net::platform::chunk_scanner::ChunkScanner;
use crate::net::platform::connection::{Connection, Traffic};
use crate::net::platform::head::{Head, header_text};
use crate::net::platform::headers::release_headers;
use crate::net::platform::lifecycle::BodyRest;
use crate::net::platform::reply::Reply;
use crate::net::sliced_body::SlicedBody;
use crate::runtime::{ClientGuard, Job};
use actix_http::header::{self, HeaderName};
use actix_http::{HttpMessage, Method, Request, Response, StatusCode};
use bytes::Bytes;
use sablerun as sr;
use std::convert::Infallible;
use std::rc::Rc;

impl Front {
    /// Handles any request on the front's address.
    pub(super) async fn handle(
        self: Rc<Self>,
        mut request: Request,
    ) -> Result<Response<SlicedBody>, Infallible> {
        let arrived = self.runtime.clock.now();
        let connection = request.conn_data::<Rc<Connection>>().cloned().unwrap_or_default();
        let from_runner = request.path() == "/v1/job-events";
        connection.traffic.set(if from_runner { Traffic::CallBacks } else { Traffic::Requests });
        connection.body_grant.set(0);
        let started = connection.update(|lifecycle| lifecycle.request_started(body_of(&request)));
        let reply = match (request.path(), request.method()) {
            // Parsed after the connection's last response, so that nobody would read this one: not served.
            _ if !started => Reply { close: true, ..Reply::new(StatusCode::SERVICE_UNAVAILABLE, "") },
            ("/api", &Method::POST) => self.handle_job(arrived, &mut request, &connection).await,
            ("/v1/job-events", &Method::POST) => self.handle_call_back(&mut request, &connection).await,
            ("/up", &Method::GET) if self.runtime.accepts_clients() => Reply::new(StatusCode::OK, ""),
            ("/up", &Method::GET) => Reply::new(StatusCode::SERVICE_UNAVAILABLE, "no list yet"),
            ("/api" | "/v1/job-events", _) => Reply::not_allowed("POST"),
            ("/up", _) => Reply::not_allowed("GET"),
            _ => Reply::new(StatusCode::NOT_FOUND, "no such path"),
        };
        let mut response = Response::build(reply.status);
        if let Some((name, value)) = reply.header {
            response.insert_header((name, value));
        }
        let close = reply.close || self.near_limit() || !from_runner && self.runtime.stopping();
        if connection.update(|state| state.response_started(close)) {
            response.force_close();
        }
        connection.response_incomplete.set(!reply.body.is_empty());
        let body = SlicedBody::with_end(reply.body, move || connection.response_incomplete.set(false));
        Ok(response.message_body(body).unwrap_or_else(|_| {
            let empty = Response::with_body(StatusCode::INTERNAL_SERVER_ERROR, SlicedBody::new(Bytes::new()));
            log::error!("a response could not be built");
            empty
        }))
    }

    /// Handles a client's job, from its head to its final answer.
    async fn handle_job(&self, arrived: sr::Time, request: &mut Request, connection: &Connection) -> Reply {
        let head = match Head::read(&self.runtime, request) {
            Ok(head) => head,
            Err(reason) => {
                log::debug!("a request is rejected: {reason}");
                let class_name = HeaderName::from_static("x-priority-class");
                if let Ok(Some(class_name)) = header_text(request.headers(), &class_name) {
                    self.count_rejected(class_name, AnswerKind::Errored);
                }
                return Reply::bad_request(reason);
            }
        };
        let body = RequestBody::take(request);
        release_headers(request);
        let body = match self.read_body(body, connection).await {
            Ok(body) => body,
            Err(reply) => {
                let refused = reply.status == StatusCode::SERVICE_UNAVAILABLE;
                let kind = if refused { AnswerKind::Deferred } else { AnswerKind::Errored };
                self.count_rejected(&head.class_name, kind);
                return reply;
            }
        };
        let target = request.uri().path_and_query().map_or("/api", |target| target.as_str());
        let job = Job {
            target: target.to_owned(),
            body,
            key: head.key,
            content_type: head.content_type,
            class: head.class_name,
            tenant: head.tenant_name,
            queue: None,
            original: None,
        };
        let key = self.runtime.idempotency_key(head.class, &job);
        let (ticket, answer) = self.runtime.ticket(head.class);
        // Dropped with this future when the connection closes before the answer, which reports the client
        // gone.
        let _client_guard = ClientGuard::new(&self.runtime, ticket);
        self.runtime.feed(Input::Arrived(Arrival {
            ticket,
            id: head.id.into(),
            class: head.class,
            tenant: head.tenant,
            deadline: arrived + head.timeout,
            slots: head.slots,
            memory: head.memory,
            estimate: head.estimate,
            retry: head.retry,
            key,
            job: Rc::new(job),
        }));
        match answer.await {
            Ok(Answer::Served(result)) => Reply { body: result, ..Reply::new(StatusCode::OK, "") },
            Ok(Answer::Refused(hold_off)) => {
                let mut reply = Reply::new(StatusCode::SERVICE_UNAVAILABLE, "refused: no runner has room");
                if hold_off.0 > 0 {
                    reply.header = Some((header::RETRY_AFTER, format!("{:.3}", hold_off.secs())));
                }
                reply
            }
            Ok(Answer::Failed(reason)) => Reply::new(StatusCode::BAD_GATEWAY, reason),
            Ok(Answer::Unfit(reason)) => Reply::new(StatusCode::UNPROCESSABLE_ENTITY, reason),
            Err(_) => Reply::new(StatusCode::INTERNAL_SERVER_ERROR, "no answer was made"),
        }
    }

    /// Counts a job rejected before it reached the core for the class it names, even if the class is unknown:
    /// operators count a class that clients send before this process knows it. Jobs that reach the core are
    /// counted by the runtime.
    fn count_rejected(&self, class_name: &str, kind: AnswerKind) {
        if let Some(class) = self.runtime.metrics.class_if_room(class_name) {
            class.count(kind);
        }
    }

    /// Handles a runner's call-back, which is acknowledged at once whether or not its job is known. Only if
    /// the other process of an upgrade may have the job and does not answer is the runner asked to repeat it.
    async fn handle_call_back(&self, request: &mut Request, connection: &Connection) -> Reply {
        let body = RequestBody::take(request);
        release_headers(request);
        let body = match self.read_body(body, connection).await {
            Ok(body) => body,
            Err(reply) => return reply,
        };
        let call_back: CallBack = match serde_json::from_slice(&body) {
            Ok(call_back) => call_back,
            Err(e) => {
                log::warn!("call-back that can't be read: {e}");
                return Reply::bad_request(format!("body: {e}"));
            }
        };
        log::trace!("call-back {}", String::from_utf8_lossy(&body));
        let known = self.runtime.has_request(&call_back.id);
        let peers = self.peers.borrow().clone().filter(|_| !known);
        if let Some(peers) = peers {
            let id = call_back.id.clone();
            // Its values take many times the memory of the body, and the forwarding may have to wait.
            drop(call_back);
            return match peers.forward(&body).await {
                Forwarded::Accepted | Forwarded::NoOwner => Reply::new(StatusCode::OK, ""),
                Forwarded::Unreachable => {
                    log::warn!(
                        id = id.as_str();
                        "call-back not forwarded: the other process does not answer"
                    );
                    Reply::new(StatusCode::SERVICE_UNAVAILABLE, "not handed on: tell it again")
                }
            };
        }
        callbacks::apply(&self.runtime, call_back);
        Reply::new(StatusCode::OK, "")
    }
}

/// Returns what a request's head tells of its body.
fn body_of(request: &Request) -> BodyRest {
    let headers = request.headers();
    if headers.contains_key(header::TRANSFER_ENCODING) {
        return BodyRest::Chunked(ChunkScanner::default());
    }
    if headers.contains_key(header::UPGRADE) || request.method() == Method::CONNECT {
        return BodyRest::UntilClose;
    }
    let declared = header_text(headers, &header::CONTENT_LENGTH).ok().flatten();
    BodyRest::Sized(declared.and_then(|length| length.parse().ok()).unwrap_or(0))
}
