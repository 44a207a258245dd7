//! The core's inputs and effects, and the types that they carry, shared with fronts and links.

use super::Reconfiguration;
use bytes::Bytes;
use sablerun as sr;
use sablerun_digest::Frame;
use sablerun_keys as keys;
use std::net::SocketAddr;
use std::rc::Rc;

/// The id of a waiting client, assigned by the runtime.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct Ticket(pub u64);

/// Identifies an attempt of a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct AttemptId {
    /// The request's number, as the balancer knows it.
    pub request: u32,
    /// The attempt's index within the request, from 0.
    pub number: u32,
}

/// A request from a front. `J` is the payload that links forward; the core does not inspect it.
#[derive(Clone, Debug)]
pub struct Arrival<J> {
    pub ticket: Ticket,
    /// The request's id on the wire.
    pub id: Rc<str>,
    pub class: u32,
    pub tenant: Option<u32>,
    /// When the client stops waiting.
    pub deadline: sr::Time,
    pub slots: f64,
    pub memory: f64,
    pub estimate: sr::Span,
    pub retry: bool,
    /// The client's idempotency key, if keys are used for the class.
    pub key: Option<IdempotencyKey>,
    pub job: J,
}

/// A client's idempotency key, and the fingerprint of the request that it identifies.
#[derive(Clone, Debug, PartialEq)]
pub struct IdempotencyKey {
    pub text: Rc<str>,
    pub fingerprint: keys::Fingerprint,
}

/// The source of a runner list. A full list from one source does not affect the runners of the others.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub enum Source {
    Discovery,
    /// Runners that connected to a front themselves.
    SelfRegistered,
}

/// A runner's entry in a list.
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
    /// The runner's result.
    Served(Bytes),
    /// Refused: a retry is harmless, but only after this time.
    Refused(sr::Span),
    /// Failed: nothing is promised. The request may have run, so a retry may do harm.
    Failed(&'static str),
    /// Rejected as invalid: never accepted.
    Unfit(&'static str),
}

/// How an attempt ended.
#[derive(Clone, Debug)]
pub struct AttemptEnd {
    pub outcome: sr::Outcome,
    /// The runner's result if the outcome is `Ok`, else empty.
    pub result: Bytes,
    pub report: Option<sr::Report>,
}

impl AttemptEnd {
    /// An end without result and report.
    pub fn without_report(outcome: sr::Outcome) -> AttemptEnd {
        AttemptEnd { outcome, result: Bytes::new(), report: None }
    }
}

/// Why another process of this dispatcher rules a request out.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PeerConflict {
    /// All processes together have as many open requests as allowed.
    NoRoom,
    /// The other process has a request of the same id.
    IdTaken,
    /// The other process has a request of the same id under the same key, which this one repeats.
    IdTakenBySameKey,
}

/// An event for the core.
#[derive(Clone, Debug)]
pub enum Input<J> {
    Arrived(Arrival<J>),
    /// A request arrived that another process of this dispatcher rules out.
    RuledOutByPeer(Ticket, PeerConflict),
    /// The key store may take this many bytes from now on.
    KeyMemory(usize),
    /// The client disconnected before its answer.
    ClientGone(Ticket),
    /// The runner `from` reports that the job of request `id` has started.
    Started {
        id: String,
        from: String,
    },
    /// A runner reports a job's progress.
    Progress {
        id: String,
        from: String,
        share: f64,
    },
    /// A runner reports how a job ended.
    Finished {
        id: String,
        from: String,
        end: AttemptEnd,
    },
    /// A link observed the end of an attempt.
    AttemptEnded(AttemptId, AttemptEnd),
    /// A runner rejected the request of an attempt as invalid.
    RequestRejected(AttemptId),
    Probed {
        runner: String,
        ok: bool,
        report: Option<sr::Report>,
    },
    /// A frame of the load digest.
    Digest(Frame),
    List(Source, sr::ListKind, Vec<ListedRunner>),
    /// A call for the runner list failed or the watch on it broke.
    ListFailed,
    /// The watch delivers nothing any more, not even keep-alives.
    ListSilent,
    /// New settings apply from now on.
    Reconfigure(Box<Reconfiguration>),
    /// The runner list is served at this address from now on.
    DiscoveryMoved(SocketAddr),
    /// The program ends at this time: requests unanswered by then are answered.
    StopAt(sr::Time),
    /// A runner that registered itself has been removed; its successor, which was never listed, takes its place.
    RunnerReplaced {
        runner: String,
        successor: String,
    },
    /// An operator disables or enables a runner; the result is returned under the number `call`. A call
    /// that the other process of an upgrade accepted (`from_peer`) may name a runner not listed here yet.
    SetDisabled {
        call: u64,
        runner: String,
        disabled: bool,
        from_peer: bool,
    },
    /// A timer may be due.
    TimerDue,
}

impl<J> Input<J> {
    /// The input's kind, for metrics by kind.
    pub fn name(&self) -> &'static str {
        match self {
            Input::Arrived(_) | Input::RuledOutByPeer(..) => "arrived",
            Input::KeyMemory(_) => "key_memory",
            Input::ClientGone(_) => "client_gone",
            Input::Started { .. } => "started",
            Input::Progress { .. } => "progress",
            Input::Finished { .. } => "told",
            Input::AttemptEnded(..) => "ended",
            Input::RequestRejected(_) => "unusable",
            Input::Probed { .. } => "probed",
            Input::Digest(_) => "digest",
            Input::List(..) | Input::RunnerReplaced { .. } => "list",
            Input::ListFailed | Input::ListSilent => "list_lost",
            Input::Reconfigure(_) => "retune",
            Input::DiscoveryMoved(_) => "roster_at",
            Input::StopAt(_) => "stop_at",
            Input::SetDisabled { .. } => "hand",
            Input::TimerDue => "due",
        }
    }
}

/// An action for the runtime to execute.
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
    /// Stop waiting for an attempt and notify its runner.
    Cancel(AttemptId),
    /// An attempt has ended without being cancelled: links drop their state for it.
    Forget(AttemptId),
    /// Watch the runner list at this address.
    Subscribe(SocketAddr),
    /// Fetch the full runner list from this address once.
    Fetch(SocketAddr),
    /// Ask a runner for its load.
    Probe(String),
    /// Fetch the full digest, because frames are missing.
    FetchDigest,
    /// Close idle connections to a runner.
    CloseIdle(String),
    /// The request of this id is gone: no attempt of it is left. Only reported if asked for.
    RequestRemoved(Rc<str>),
    /// The result of an operator's call to disable or enable a runner.
    AdminResult {
        call: u64,
        result: Result<(), &'static str>,
    },
}
