//! The reducer's words: what may happen to it and what it may ask for, with the types they carry. It owns
//! their form, which fronts and links share with the core. It must never decide or change anything.

use super::Reconfiguration;
use bytes::Bytes;
use sablerun as sr;
use sablerun_digest::Frame;
use sablerun_keys as keys;
use std::net::SocketAddr;
use std::rc::Rc;

/// Whoever waits for an answer: a number that a front made up.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct Ticket(pub u64);

/// An attempt of a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct AttemptId {
    /// The request, by the module's number.
    pub request: u32,
    /// The attempt's number, from 0.
    pub number: u32,
}

/// A request as a front hands it in. `J` is what links pass on; the core never looks into it.
#[derive(Clone, Debug)]
pub struct Arrival<J> {
    pub ticket: Ticket,
    /// Its id on the wires.
    pub id: Rc<str>,
    pub class: u32,
    pub tenant: Option<u32>,
    /// When the client gives up.
    pub deadline: sr::Time,
    pub slots: f64,
    pub memory: f64,
    pub estimate: sr::Span,
    pub retry: bool,
    /// The client's key, where keys are kept for its class.
    pub key: Option<IdempotencyKey>,
    pub job: J,
}

/// A client's key for a request, and what it stands for.
#[derive(Clone, Debug, PartialEq)]
pub struct IdempotencyKey {
    pub text: Rc<str>,
    pub fingerprint: keys::Fingerprint,
}

/// Who tells of runners: a whole list from one source says nothing of the others' runners.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub enum Source {
    Discovery,
    /// Runners that connected to a front by themselves.
    SelfRegistered,
}

/// A runner as a list names it.
#[derive(Clone, Debug, PartialEq)]
pub struct ListedRunner {
    pub name: String,
    pub zone: String,
    pub kind: String,
    pub cell: u32,
    pub state: sr::WorkerState,
    pub size: f64,
    pub up_since: Option<sr::Time>,
}

/// The final answer to a request.
#[derive(Clone, Debug, PartialEq)]
pub enum Answer {
    /// What a runner made.
    Served(Bytes),
    /// Trying again is harmless, but not before this has passed.
    Refused(sr::Span),
    /// Nothing is promised.
    Failed(&'static str),
    /// It was never taken: the client can't mean this.
    Unfit(&'static str),
}

/// How an attempt ended, as a link saw it.
#[derive(Clone, Debug)]
pub struct AttemptEnd {
    pub outcome: sr::Outcome,
    /// What the runner made, where it served.
    pub result: Bytes,
    pub report: Option<sr::Report>,
}

impl AttemptEnd {
    /// An end without result or report.
    pub fn without_report(outcome: sr::Outcome) -> AttemptEnd {
        AttemptEnd { outcome, result: Bytes::new(), report: None }
    }
}

/// What has happened.
#[derive(Clone, Debug)]
pub enum Input<J> {
    Arrived(Arrival<J>),
    /// The client has left before its answer.
    ClientGone(Ticket),
    /// A runner tells that a job has started, by the request's id and its own name.
    Started {
        id: String,
        from: String,
    },
    /// A runner tells how far a job is.
    Progress {
        id: String,
        from: String,
        share: f64,
    },
    /// A runner tells how a job ended.
    Finished {
        id: String,
        from: String,
        end: AttemptEnd,
    },
    /// A link saw an attempt end.
    AttemptEnded(AttemptId, AttemptEnd),
    /// A runner can't use the request of an attempt.
    RequestRejected(AttemptId),
    Probed {
        runner: String,
        ok: bool,
        report: Option<sr::Report>,
    },
    /// A frame of the load digest.
    Digest(Frame),
    List(Source, sr::ListKind, Vec<ListedRunner>),
    /// A call for the list failed or its watch broke.
    ListFailed,
    /// Nothing comes over the watch any more, not even a sign of life.
    ListSilent,
    /// New settings hold from now on.
    Reconfigure(Box<Reconfiguration>),
    /// The list is to be asked for at this address from now on.
    DiscoveryMoved(SocketAddr),
    /// The program ends then: whatever is unanswered by that time is answered.
    StopAt(sr::Time),
    /// An operator takes a runner out by hand (`out`), or puts it back; `call` is told with the result.
    /// A call that the other process of an upgrade took (`shared`) may name a runner not listed here yet.
    SetDisabled {
        call: u64,
        runner: String,
        disabled: bool,
        from_peer: bool,
    },
    /// Time has passed: a timer may be due.
    TimerDue,
}

impl<J> Input<J> {
    /// What kind it is, for figures by kind.
    pub fn name(&self) -> &'static str {
        match self {
            Input::Arrived(_) => "arrived",
            Input::ClientGone(_) => "client_gone",
            Input::Started { .. } => "started",
            Input::Progress { .. } => "progress",
            Input::Finished { .. } => "told",
            Input::AttemptEnded(..) => "ended",
            Input::RequestRejected(_) => "unusable",
            Input::Probed { .. } => "probed",
            Input::Digest(_) => "digest",
            Input::List(..) => "list",
            Input::ListFailed | Input::ListSilent => "list_lost",
            Input::Reconfigure(_) => "retune",
            Input::DiscoveryMoved(_) => "roster_at",
            Input::StopAt(_) => "stop_at",
            Input::SetDisabled { .. } => "hand",
            Input::TimerDue => "due",
        }
    }
}

/// What is to be done.
#[derive(Clone, Debug)]
pub enum Effect<J> {
    Answer(Ticket, Answer),
    Start {
        attempt: AttemptId,
        id: Rc<str>,
        runner: String,
        job: J,
        deadline: sr::Time,
    },
    /// Stop waiting for an attempt and let its runner know.
    Cancel(AttemptId),
    /// An attempt has ended by itself: whatever a link holds of it can go.
    Forget(AttemptId),
    /// Ask there for the list and its changes from now on.
    Subscribe(SocketAddr),
    /// Ask there for the whole list once.
    Fetch(SocketAddr),
    Probe(String),
    /// Ask the digest for the whole: frames are missing.
    FetchDigest,
    CloseIdle(String),
    /// What came of an operator's call to take a runner out or put it back.
    AdminResult {
        call: u64,
        result: Result<(), &'static str>,
    },
}
