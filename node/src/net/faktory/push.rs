//! Jobs that clients push: their parsing, and their final answers.

use super::transport::{Disconnect, Transport};
use super::{Faktory, Peer, config};
use crate::core::{Answer, Arrival, Input, Ticket};
use crate::runtime::{ClientGuard, Job};
use bytes::Bytes;
use sablerun as sr;
use serde_json::Value;
use std::rc::Rc;
use std::time::Duration;
use tokio::io::{AsyncRead, AsyncWrite};

/// Why a pushed job is not taken.
pub(super) enum PushError {
    /// What is wrong with it.
    Malformed(String),
    /// There is no memory for it.
    OutOfMemory,
}

impl From<String> for PushError {
    fn from(reason: String) -> PushError {
        PushError::Malformed(reason)
    }
}

impl From<&str> for PushError {
    fn from(reason: &str) -> PushError {
        PushError::Malformed(reason.to_owned())
    }
}

impl PushError {
    /// Returns the error reply; a job for which there is no memory may be pushed again after `retry_after`.
    pub fn reply(&self, retry_after: Duration) -> String {
        match self {
            PushError::Malformed(reason) => format!("MALFORMED PUSH: {reason}"),
            PushError::OutOfMemory => format!("REFUSED retry_after={:.3}", retry_after.as_secs_f64()),
        }
    }
}

impl Faktory {
    /// Parses a pushed job into the core's request, without its ticket.
    pub(super) fn parse_job(
        &self,
        text: &str,
        original: Bytes,
        peer: &Peer,
    ) -> Result<Arrival<Rc<Job>>, PushError> {
        let job: Value = serde_json::from_str(text).map_err(|_| "no JSON".to_owned())?;
        let jid = job["jid"].as_str().ok_or("jid is missing")?;
        // The jid becomes part of a URL path when the job is cancelled at a runner of the platform.
        let unreserved = |b: u8| b.is_ascii_alphanumeric() || b"-._~".contains(&b);
        if jid.len() < 8 || jid.len() > 128 || !jid.bytes().all(unreserved) {
            return Err("jid is malformed".into());
        }
        let jobtype = job["jobtype"].as_str().filter(|t| !t.is_empty()).ok_or("jobtype is missing")?;
        let args = Some(&job["args"]).filter(|args| args.is_array()).ok_or("args is no array")?;
        let queue = match &job["queue"] {
            Value::Null => "default",
            queue => queue.as_str().ok_or("queue is malformed")?,
        };
        if !matches!(&job["at"], Value::Null) {
            return Err("at: jobs for later are not taken".into());
        }
        let (names, custom) = (&self.config.custom, &job["custom"]);
        let string = |key: &str| match &custom[key] {
            Value::Null => Ok(None),
            value => value.as_str().map(Some).ok_or_else(|| format!("custom.{key} is malformed")),
        };
        let number = |key: &str| match &custom[key] {
            Value::Null => Ok(None),
            value => {
                let number = value.as_f64().filter(|x| x.is_finite() && *x >= 0.0);
                number.map(Some).ok_or_else(|| format!("custom.{key} is malformed"))
            }
        };
        let matches =
            |pattern: &Option<String>, name: &str| pattern.as_deref().is_none_or(|pattern| pattern == name);
        let mut routes = self.config.route.iter();
        let route = routes.find(|r| matches(&r.queue, queue) && matches(&r.jobtype, jobtype));
        let class_name = match (string(&names.class)?, route) {
            (Some(class), _) => class,
            (None, Some(route)) => &route.class,
            (None, None) => return Err("queue and jobtype match no route".into()),
        };
        let class = self.runtime.with_class(class_name, |number, class| (number, class.deadline));
        let (class, deadline) = class.ok_or("custom names no known class")?;
        // An identity acts for its own member only. The job may name one where neither identity nor route
        // does.
        let assigned = peer.member.as_deref().or(route.and_then(|r| r.member.as_deref()));
        let named = string(&names.member)?;
        let member = assigned.or(named).or(self.config.member.as_deref());
        let tenant = self.runtime.tenant(member);
        let tenant = tenant.map_err(|()| "no known member: neither identity, route nor custom names one")?;
        let timeout = match (number(&names.timeout_ms)?, route.and_then(|r| r.deadline_ms)) {
            (Some(ms), _) => sr::Span::from_secs(ms.min(86_400_000.0) / 1e3),
            (None, Some(ms)) => sr::Span::from_secs(ms as f64 / 1e3),
            (None, None) => deadline,
        };
        let key = string(&names.key)?;
        // The key becomes a header when the job goes to a runner of the platform.
        let visible = |key: &&str| !key.is_empty() && key.bytes().all(|b| (0x20..0x7f).contains(&b));
        if key.is_some_and(|key| !visible(&key)) {
            return Err(format!("custom.{} must be visible ASCII, and not empty", names.key).into());
        }
        let job = Job {
            target: route.map_or_else(config::default_target, |r| r.target.clone()),
            body: self.held_text(args).ok_or(PushError::OutOfMemory)?,
            key: Some(key.unwrap_or(jid).to_owned()),
            content_type: Some("application/json".to_owned()),
            class: class_name.to_owned(),
            tenant: member.map(str::to_owned),
            queue: Some(queue.to_owned()),
            original: Some(original),
        };
        Ok(Arrival {
            ticket: Ticket(0),
            id: jid.into(),
            class,
            tenant,
            deadline: self.runtime.clock.now() + timeout,
            slots: number(&names.slots)?.unwrap_or(1.0),
            memory: 0.0,
            estimate: sr::Span::from_secs(number(&names.cost_us)?.unwrap_or(0.0) / 1e6),
            retry: custom[&names.retry].as_bool().unwrap_or(false),
            key: self.runtime.idempotency_key(class, &job),
            job: Rc::new(job),
        })
    }

    /// Hands a job to the core and waits for its final answer or the client's disconnect.
    pub(super) async fn handle_push<S: AsyncRead + AsyncWrite + Unpin>(
        &self,
        transport: &mut Transport<S>,
        mut arrival: Arrival<Rc<Job>>,
    ) -> Result<Result<(), String>, Disconnect> {
        let (ticket, mut answer) = self.runtime.ticket(arrival.class);
        arrival.ticket = ticket;
        let _client_guard = ClientGuard::new(&self.runtime, ticket);
        self.runtime.feed(Input::Arrived(arrival));
        let answer = loop {
            tokio::select! {
                biased;
                answer = &mut answer => break answer,
                more = transport.fill_behind_command() => more?,
            }
        };
        Ok(match answer {
            Ok(Answer::Served(_)) => Ok(()),
            Ok(Answer::Refused(hold_off)) => Err(format!("REFUSED retry_after={:.3}", hold_off.secs())),
            Ok(Answer::Failed(reason)) => Err(format!("FAILED {reason}")),
            Ok(Answer::Unfit(reason)) => Err(format!("MALFORMED PUSH: {reason}")),
            Err(_) => Err("FAILED no answer was made".to_owned()),
        })
    }

    /// Returns a value as text whose memory counts against the budget; `None` if there is no memory for it.
    pub(super) fn held_text(&self, value: &Value) -> Option<Bytes> {
        let mut text = value.to_string().into_bytes();
        text.shrink_to_fit();
        self.memory.try_adopt(text).ok()
    }
}
