//! The dispatcher instances of this process: translates the wire's events for the balancer and its actions
//! for the wire, with names mapped to numbers and back.

use crate::wire::{Batch, Entry, Event, ReportRow};
use sablerun as sr;
use sablerun_settings::{Env, NameTable, Tables};
use std::collections::BTreeMap;
use std::fmt::Write;

/// One dispatcher and its name tables.
struct Instance {
    balancer: sr::Balancer,
    tables: Tables,
}

impl Instance {
    fn new(seed: u64, now: sr::Time, env: &Env) -> Result<Instance, String> {
        let (mut settings, tables) = env.to_settings().map_err(|e| format!("PROVISION.env: {e}"))?;
        // The simulator's rule: the list is valid for four polling intervals, anew from each failed call.
        settings.validity_after_loss = sr::Span(settings.max_poll_interval.0.saturating_mul(4));
        settings.saved_list_validity = settings.validity_after_loss;
        settings.failed_calls_renew_validity = true;
        let balancer = sr::Balancer::new(settings, seed, now).map_err(|e| format!("PROVISION.env: {e}"))?;
        Ok(Instance { balancer, tables })
    }

    fn report(&self, row: ReportRow) -> Option<sr::Report> {
        row.map(|row| self.tables.report(row))
    }

    fn entry(&mut self, entry: &Entry) -> Result<sr::ListEntry, String> {
        let state = match entry.4.as_str() {
            "ready" => sr::WorkerState::Ready,
            "draining" => sr::WorkerState::Draining,
            "gone" => sr::WorkerState::Gone,
            other => return Err(format!("PAGE.entries: state {other:?}")),
        };
        Ok(sr::ListEntry {
            worker: sr::WorkerId(self.tables.workers.intern(&entry.0)),
            zone: sr::ZoneId(self.tables.zones.intern(&entry.1)),
            kind: sr::KindId(self.tables.kinds.intern(&entry.2)),
            cell: entry.3,
            state,
            size: entry.5.unwrap_or(1.0),
            up_since: entry.6.filter(|&t| t > 0).map(sr::Time),
        })
    }
}

/// Returns the outcome that a status on the wire stands for.
fn outcome(status: u32) -> Result<sr::Outcome, String> {
    Ok(match status {
        0 => sr::Outcome::Ok,
        255 => sr::Outcome::Error,
        254 => sr::Outcome::Full,
        253 => sr::Outcome::Timeout,
        252 => sr::Outcome::ConnectFailed,
        251 => sr::Outcome::Reset,
        250 => sr::Outcome::Cancelled,
        249 => sr::Outcome::Moot,
        other => return Err(format!("DONE.status: {other} is no outcome")),
    })
}

/// All instances of this process.
#[derive(Default)]
pub struct Host {
    instances: BTreeMap<u32, Instance>,
    pages: BTreeMap<usize, Vec<Entry>>,
    actions: Vec<sr::Action>,
}

impl Host {
    /// Passes a batch to its instances and writes the reply, without a line end.
    pub fn handle_batch(&mut self, batch: Batch<'_>, reply: &mut String) -> Result<(), String> {
        let now = sr::Time(batch.at);
        reply.push_str("{\"outbox\":[");
        let start = reply.len();
        for event in batch.happened {
            self.handle_event(now, event, reply, start)?;
        }
        reply.push_str("]}");
        Ok(())
    }

    /// Passes one event to its instance and appends the resulting actions to the reply; `start` is the
    /// reply's length before the first action.
    fn handle_event(
        &mut self,
        now: sr::Time,
        event: Event<'_>,
        reply: &mut String,
        start: usize,
    ) -> Result<(), String> {
        let (i, event) = match event {
            Event::Provision(i, seed, env) => {
                self.instances.insert(i, Instance::new(seed, now, &env)?);
                (i, None)
            }
            Event::CrashNow(i) => {
                self.instances.remove(&i);
                return Ok(());
            }
            Event::Page(number, entries) => {
                self.pages.insert(number, entries);
                return Ok(());
            }
            Event::Targets(i, mode, page) => {
                let kind = match &*mode.0 {
                    "SAVED" => Some(sr::ListKind::Saved),
                    "FULL" => Some(sr::ListKind::Full),
                    "INCREMENTAL" => Some(sr::ListKind::Delta),
                    "FAILED" => None,
                    other => return Err(format!("TARGETS.mode: {other:?}")),
                };
                let instance = find_instance(&mut self.instances, i, "TARGETS")?;
                let event = match kind {
                    None => sr::Event::ListFailed,
                    Some(kind) => {
                        let number = page.ok_or("TARGETS.page is missing")?;
                        let page = self.pages.get(&number);
                        let page = page.ok_or(format!("TARGETS.page: no page {number}"))?;
                        let entries = page.iter().map(|entry| instance.entry(entry));
                        sr::Event::List(kind, entries.collect::<Result<_, _>>()?)
                    }
                };
                (i, Some(event))
            }
            Event::JobIn {
                instance: i,
                request,
                deadline,
                memory,
                class,
                estimate,
                repeat,
                needs,
                tenant,
            } => {
                let instance = find_instance(&mut self.instances, i, "JOB_IN")?;
                let class = instance
                    .tables
                    .classes
                    .get(&class.0)
                    .ok_or_else(|| format!("JOB_IN.kind: no class {:?}", class.0))?;
                let event = sr::Event::Arrival(sr::Arrival {
                    request: sr::RequestId(request),
                    class: sr::ClassId(class),
                    tenant: tenant.and_then(|name| instance.tables.tenants.get(&name.0)).map(sr::TenantId),
                    deadline: sr::Time(deadline),
                    slots: needs.unwrap_or(1.0),
                    memory: memory.unwrap_or(0.0),
                    estimate: sr::Span(estimate.unwrap_or(0)),
                    retry: repeat,
                    prior: None,
                });
                (i, Some(event))
            }
            Event::Dropped(i, request) => (i, Some(sr::Event::RequestClosed(sr::RequestId(request)))),
            Event::Begun(i, request, attempt) => {
                (i, Some(sr::Event::StreamStarted(sr::RequestId(request), attempt)))
            }
            Event::Pong { instance: i, worker, status, row } => {
                let instance = find_instance(&mut self.instances, i, "PONG")?;
                let report = instance.report(row);
                let Some(worker) = instance.tables.workers.get(&worker.0) else { return Ok(()) };
                (i, Some(sr::Event::Probed(sr::WorkerId(worker), status == 0, report)))
            }
            Event::Change(i, request, attempt, kind, level) => {
                let update = match kind {
                    1 => sr::AttemptUpdate::Started,
                    2 => sr::AttemptUpdate::Progress(level.unwrap_or(0.0)),
                    _ => return Ok(()),
                };
                (i, Some(sr::Event::AttemptUpdate(sr::RequestId(request), attempt, update)))
            }
            Event::Done { instance: i, request, attempt, closed, status, row } => {
                let instance = find_instance(&mut self.instances, i, "DONE")?;
                let event = sr::Event::Ended {
                    request: sr::RequestId(request),
                    attempt,
                    outcome: outcome(status)?,
                    closed,
                    report: instance.report(row),
                };
                (i, Some(event))
            }
            Event::TimeoutFired(i, token) => (i, Some(sr::Event::Timer(token))),
            Event::Inbox => return Ok(()),
            Event::Unknown(name) => {
                eprintln!("sablerun-benchlink: event {name:?} is unknown and was skipped");
                return Ok(());
            }
        };
        let instance = find_instance(&mut self.instances, i, "event")?;
        if let Some(event) = event {
            instance.balancer.handle(now, event, &mut self.actions);
        }
        for action in self.actions.drain(..) {
            if reply.len() > start {
                reply.push(',');
            }
            write_action(i, &action, &instance.tables.workers, reply);
        }
        Ok(())
    }
}

/// Returns instance `i`; `event` names the event in the error message.
fn find_instance<'a>(
    instances: &'a mut BTreeMap<u32, Instance>,
    i: u32,
    event: &str,
) -> Result<&'a mut Instance, String> {
    instances.get_mut(&i).ok_or_else(|| format!("{event}.i: instance {i} was never started"))
}

/// Appends an action as a message of the wire.
fn write_action(i: u32, action: &sr::Action, workers: &NameTable, out: &mut String) {
    let result = match *action {
        sr::Action::Send(request, worker) => {
            write!(out, "[\"DELIVER\",{i},{},{},0]", request.0, workers.quoted(worker.0))
        }
        sr::Action::Cancel(request, attempt) => write!(out, "[\"CALL_OFF\",{i},{},{attempt}]", request.0),
        sr::Action::Refuse(request, hold_off) => write!(out, "[\"REJECT\",{i},{},{}]", request.0, hold_off.0),
        sr::Action::Fail(request) => write!(out, "[\"DROP_REQUEST\",{i},{}]", request.0),
        sr::Action::Timer(at, token) => write!(out, "[\"AFTER\",{i},{},{token}]", at.0),
        sr::Action::Subscribe => write!(out, "[\"WATCH\",{i},true]"),
        sr::Action::Fetch => write!(out, "[\"PULL\",{i}]"),
        sr::Action::Probe(worker) => {
            write!(out, "[\"ASK_LOAD\",{i},{}]", workers.quoted(worker.0))
        }
        sr::Action::CloseIdle(worker) => {
            write!(out, "[\"RELEASE\",{i},{}]", workers.quoted(worker.0))
        }
    };
    result.expect("writing to a string cannot fail");
}
