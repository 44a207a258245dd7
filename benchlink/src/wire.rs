//! The types of the simulator's wire format, decoded directly from the text of a line.

use sablerun_settings::Env;
use serde::de::{Deserialize, Deserializer, Error, IgnoredAny, SeqAccess, Visitor};
use std::borrow::Cow;
use std::fmt;

/// One line of input.
#[derive(serde::Deserialize)]
pub struct Batch<'a> {
    /// The current time, in nanoseconds.
    #[serde(rename = "atTime")]
    pub at: u64,
    /// The events, in the order in which they arrived.
    #[serde(borrow)]
    pub happened: Vec<Event<'a>>,
}

/// Text that is borrowed from the line if it contains no escapes.
#[derive(serde::Deserialize)]
pub struct Text<'a>(#[serde(borrow)] pub Cow<'a, str>);

/// An entry of a list page: worker, zone, kind, cell, state, relative size, up since (in nanoseconds).
#[derive(serde::Deserialize)]
pub struct Entry(pub String, pub String, pub String, pub u32, pub String, pub Option<f64>, pub Option<u64>);

/// A load report: one value for each field named in the settings.
pub type ReportRow = Option<Vec<Option<f64>>>;

/// An event; the first number is the instance.
pub enum Event<'a> {
    /// An instance starts, with its seed and settings.
    Provision(u32, u64, Box<Env>),
    /// A numbered page of list entries, which `Targets` refers to.
    Page(usize, Vec<Entry>),
    /// A list update: mode and page.
    Targets(u32, Text<'a>, Option<usize>),
    /// A request has arrived. `needs` is its slots, `repeat` marks a retry, and times are in nanoseconds.
    JobIn {
        instance: u32,
        request: u32,
        deadline: u64,
        memory: Option<f64>,
        class: Text<'a>,
        estimate: Option<u64>,
        repeat: bool,
        needs: Option<f64>,
        tenant: Option<Text<'a>>,
    },
    /// The client no longer waits for this request.
    Dropped(u32, u32),
    /// A streamed answer has begun: request, attempt.
    Begun(u32, u32, u32),
    /// A probe's result; status 0 is success.
    Pong { instance: u32, worker: Text<'a>, status: u32, row: ReportRow },
    /// An update on an attempt: request, attempt, kind (1 started, 2 progress), level (the fraction done).
    Change(u32, u32, u32, u32, Option<f64>),
    /// An attempt's result; the status is the outcome's number.
    Done { instance: u32, request: u32, attempt: u32, closed: bool, status: u32, row: ReportRow },
    /// A timer: token.
    TimeoutFired(u32, u64),
    /// The instance is killed.
    CrashNow(u32),
    /// A message from a peer, with shared state that the library does not use.
    Inbox,
    /// An event unknown to this adapter.
    Unknown(String),
}

impl<'de: 'a, 'a> Deserialize<'de> for Event<'a> {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        deserializer.deserialize_seq(EventVisitor)
    }
}

struct EventVisitor;

/// Reads the next value of an event; errors name the event and the field.
fn field<'de, A: SeqAccess<'de>, T: Deserialize<'de>>(
    seq: &mut A,
    event: &str,
    name: &str,
) -> Result<T, A::Error> {
    match seq.next_element() {
        Ok(Some(value)) => Ok(value),
        Ok(None) => Err(A::Error::custom(format!("{event}.{name} is missing"))),
        Err(e) => Err(A::Error::custom(format!("{event}.{name}: {e}"))),
    }
}

/// Reads a value that may be null or missing at the end.
fn optional<'de, A: SeqAccess<'de>, T: Deserialize<'de>>(
    seq: &mut A,
    event: &str,
    name: &str,
) -> Result<Option<T>, A::Error> {
    seq.next_element::<Option<T>>()
        .map(Option::flatten)
        .map_err(|e| A::Error::custom(format!("{event}.{name}: {e}")))
}

impl<'de> Visitor<'de> for EventVisitor {
    type Value = Event<'de>;

    fn expecting(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("an event: an array that begins with its name")
    }

    fn visit_seq<A: SeqAccess<'de>>(self, mut seq: A) -> Result<Event<'de>, A::Error> {
        let name: Text<'de> = field(&mut seq, "event", "name")?;
        let (name, s) = (&*name.0, &mut seq);
        let event = match name {
            "PROVISION" => {
                Event::Provision(field(s, name, "i")?, field(s, name, "rngSeed")?, field(s, name, "env")?)
            }
            "PAGE" => Event::Page(field(s, name, "page")?, field(s, name, "entries")?),
            "TARGETS" => {
                Event::Targets(field(s, name, "i")?, field(s, name, "mode")?, optional(s, name, "page")?)
            }
            "JOB_IN" => {
                let instance = field(s, name, "i")?;
                let request = field(s, name, "txn")?;
                let _: IgnoredAny = field(s, name, "again")?;
                let deadline = field(s, name, "dropDead")?;
                let _: IgnoredAny = field(s, name, "mutates")?;
                let memory = optional(s, name, "memory")?;
                let estimate = optional(s, name, "estimate")?;
                let class = field(s, name, "kind")?;
                let repeat = optional(s, name, "repeat")?.unwrap_or(false);
                let _: Option<IgnoredAny> = optional(s, name, "entity")?;
                let needs = optional(s, name, "needs")?;
                let tenant = optional::<A, TenantName>(s, name, "tenant")?.and_then(|t| t.0);
                Event::JobIn { instance, request, deadline, memory, class, estimate, repeat, needs, tenant }
            }
            "DROPPED" => Event::Dropped(field(s, name, "i")?, field(s, name, "txn")?),
            "BEGUN" => Event::Begun(field(s, name, "i")?, field(s, name, "txn")?, field(s, name, "go")?),
            "PONG" => {
                let instance = field(s, name, "i")?;
                let _: IgnoredAny = field(s, name, "timeTaken")?;
                Event::Pong {
                    instance,
                    worker: field(s, name, "worker")?,
                    status: field(s, name, "status")?,
                    row: optional(s, name, "healthInfo")?,
                }
            }
            "CHANGE" => {
                let (instance, request) = (field(s, name, "i")?, field(s, name, "txn")?);
                let attempt = field(s, name, "go")?;
                let _: IgnoredAny = field(s, name, "worker")?;
                let kind = field(s, name, "kind")?;
                Event::Change(instance, request, attempt, kind, optional(s, name, "level")?)
            }
            "DONE" => {
                let (instance, request) = (field(s, name, "i")?, field(s, name, "txn")?);
                let _: IgnoredAny = field(s, name, "detail")?;
                let attempt = field(s, name, "go")?;
                let _: IgnoredAny = field(s, name, "worker")?;
                let closed = field(s, name, "over")?;
                let _: IgnoredAny = field(s, name, "timeTaken")?;
                let status = field(s, name, "status")?;
                Event::Done {
                    instance,
                    request,
                    attempt,
                    closed,
                    status,
                    row: optional(s, name, "healthInfo")?,
                }
            }
            "TIMEOUT_FIRED" => Event::TimeoutFired(field(s, name, "i")?, field(s, name, "cookie")?),
            "CRASH_NOW" => Event::CrashNow(field(s, name, "i")?),
            "INBOX" => Event::Inbox,
            _ => Event::Unknown(name.to_owned()),
        };
        while seq.next_element::<IgnoredAny>()?.is_some() {}
        Ok(event)
    }
}

/// A tenant's name; sites without tenants may send 0.
struct TenantName<'a>(Option<Text<'a>>);

impl<'de: 'a, 'a> Deserialize<'de> for TenantName<'a> {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        struct NameVisitor;
        impl<'de> Visitor<'de> for NameVisitor {
            type Value = TenantName<'de>;
            fn expecting(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                f.write_str("a tenant's name or 0")
            }
            fn visit_u64<E: Error>(self, _: u64) -> Result<Self::Value, E> {
                Ok(TenantName(None))
            }
            fn visit_borrowed_str<E: Error>(self, v: &'de str) -> Result<Self::Value, E> {
                Ok(TenantName(Some(Text(Cow::Borrowed(v)))))
            }
            fn visit_str<E: Error>(self, v: &str) -> Result<Self::Value, E> {
                Ok(TenantName(Some(Text(Cow::Owned(v.to_owned())))))
            }
        }
        deserializer.deserialize_any(NameVisitor)
    }
}
