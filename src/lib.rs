//! The decisions of a dispatcher that pushes jobs to workers.
//!
//! Every worker has a price, `C = (QL + 1) * PT + CD`: its queue length, its time per job, and the cost of
//! reaching it (transfer time, another zone, a new connection). A job goes to a ready worker with a
//! probability in proportion to `1 / C`. [`Balancer`] keeps the estimates behind the prices, decides which
//! workers are ready, queues requests that find none, and handles timeouts, retries, refusals, drains and
//! slow start.
//!
//! The library performs no I/O and reads no clock: the host passes in events with their time and executes the
//! actions that are returned. The same events and seed give the same actions.
//!
//! ```
//! use sablerun::*;
//!
//! let class = Class {
//!     objective: Span::from_secs(0.2),
//!     stretch: 2.0,
//!     deadline: Span::from_secs(5.0),
//!     worth: 1.0,
//!     late_worth: 0.0,
//!     idempotency: Idempotency::Safe,
//!     window: Span(0),
//!     kind: None,
//! };
//! let settings = Settings { classes: vec![class], ..Settings::default() };
//! let now = Time(1_000_000_000);
//! let mut balancer = Balancer::new(settings, 7, now)?;
//! let mut actions = Vec::new();
//!
//! let worker = ListEntry {
//!     worker: WorkerId(0),
//!     zone: ZoneId(0),
//!     kind: KindId(0),
//!     cell: 0,
//!     state: WorkerState::Ready,
//!     size: 1.0,
//!     up_since: None,
//! };
//! balancer.handle(now, Event::List(ListKind::Full, vec![worker]), &mut actions);
//! let arrival = Event::Arrival(Arrival {
//!     request: RequestId(1),
//!     class: ClassId(0),
//!     tenant: None,
//!     deadline: now + Span::from_secs(5.0),
//!     slots: 1.0,
//!     memory: 0.0,
//!     estimate: Span(0),
//!     retry: false,
//!     prior: None,
//! });
//! balancer.handle(now, arrival, &mut actions);
//! assert!(actions.contains(&Action::Send(RequestId(1), WorkerId(0))));
//! # Ok::<(), SettingsError>(())
//! ```

mod balance;
mod interface;

pub use balance::Balancer;
pub use interface::*;

/// The README's example as a doc test, so that it keeps compiling.
#[cfg(doctest)]
#[doc = include_str!("../README.md")]
struct Readme;
