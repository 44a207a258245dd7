//! The instances of one process: names to numbers and back, events in, actions out.

use crate::wire::{Batch, Entry, Env, Event, Row, Rules};
use sablerun as sr;
use std::collections::{BTreeMap, HashMap};
use std::fmt::Write;

/// Names in the order in which they were first met.
#[derive(Default)]
struct Names {
    numbers: HashMap<String, u32>,
    quoted: Vec<String>,
}

impl Names {
    fn of<'a>(names: impl IntoIterator<Item = &'a String>) -> Names {
        let mut all = Names::default();
        for name in names {
            all.number(name);
        }
        all
    }

    fn number(&mut self, name: &str) -> u32 {
        if let Some(&number) = self.numbers.get(name) {
            return number;
        }
        let number = self.quoted.len() as u32;
        self.numbers.insert(name.to_owned(), number);
        self.quoted.push(serde_json::Value::from(name).to_string());
        number
    }

    fn get(&self, name: &str) -> Option<u32> {
        self.numbers.get(name).copied()
    }
}

/// One dispatcher and the names that it was told.
struct Instance {
    balancer: sr::Balancer,
    workers: Names,
    zones: Names,
    kinds: Names,
    classes: Names,
    tenants: Names,
    fields: Vec<Field>,
}

/// Where a value of a load report goes.
#[derive(Clone, Copy)]
enum Field {
    Inflight,
    Latency,
    FreeSlots,
    FreeMemory,
    Errors,
    Unused,
}

impl Instance {
    fn new(seed: u64, now: sr::Time, env: &Env) -> Result<Instance, String> {
        let mut zones = Names::of(&env.failure_domains);
        let kinds = Names::of(&env.kinds);
        let classes = env.services.iter().enumerate();
        let settings = sr::Settings {
            dispatchers: env.balancers,
            number: env.me,
            zone: Some(sr::ZoneId(zones.number(&env.zone))),
            classes: classes
                .map(|(i, service)| {
                    let kind = env.extra.class_kind.get(i).copied().unwrap_or(-1);
                    let stretch = env.extra.class_stretch.get(i).copied();
                    Ok(sr::Class {
                        objective: sr::Span(service.objective),
                        stretch: service.aim_stretch.or(stretch).unwrap_or(0.0),
                        deadline: sr::Span(service.deadline),
                        worth: service.importance,
                        late_worth: service.late_worth,
                        effect: effect(&service.repeat, service.group.as_deref())?,
                        window: sr::Span(service.window),
                        kind: u32::try_from(kind).ok().map(sr::KindId),
                    })
                })
                .collect::<Result<_, String>>()?,
            tenants: env
                .projects
                .iter()
                .map(|project| sr::Tenant { quota_per_s: project.quota_per_s })
                .collect(),
            over_share_worth: env.over_share_worth,
            prices: sr::Prices {
                cross_zone: env.prices.cross_zone,
                handshake: env.prices.handshake,
                waste: env.prices.waste,
                probe: env.prices.probe,
                late_fail: env.prices.late_fail,
            },
            discovery: match env.membership_mode.as_str() {
                "pushed" => sr::Discovery::Pushed,
                "on_request" => sr::Discovery::Asked,
                other => return Err(format!("PROVISION.env: membershipMode {other:?}")),
            },
            tick: sr::Span(env.tick),
            tells_start: env.extra.tells_start,
            progress: sr::Span(env.extra.progress),
            cancel: env.limits.cancel,
            probing: env.limits.probing,
            parallel: env.limits.parallel_tries,
            idle_limit: env.limits.conn_idle.map_or(sr::Settings::default().idle_limit, sr::Span),
            max_attempts: env.limits.try_limit,
            budget: budget(&env.rules)?,
            tail: sr::Tail { weight: env.goal.tail_part, tolerated: env.goal.tail_miss },
            worth_by_work: env.worth_by == "work",
            marks_retries: env.client_habits.marks_retry,
            sized: matches!(env.weights.as_str(), "nominal" | "rough"),
            max_hold_off: sr::Span(if env.limits.retry_after { env.limits.max_retry_after } else { 0 }),
            drain_grace: sr::Span(env.rules.drain_grace),
            drain_binds_alone: env.rules.drain_binds_alone,
            cold_from: env.rules.cold_from,
            warm_after: sr::Span(env.rules.warm_after),
            fall_multiple: env.rules.fall_multiple,
            fall: sr::Span(env.rules.fall),
        };
        let fields = env.reporting.fields.iter().map(|name| {
            let meaning = match name.as_str() {
                "x0" => env.extra.report_x0.as_deref().unwrap_or(""),
                "x1" => env.extra.report_x1.as_deref().unwrap_or(""),
                name => name,
            };
            match meaning {
                "outstanding" => Field::Inflight,
                "recent_ms" => Field::Latency,
                "free slots" => Field::FreeSlots,
                "free memory" => Field::FreeMemory,
                "errors_per_s" => Field::Errors,
                _ => Field::Unused,
            }
        });
        let fields = fields.collect();
        let balancer = sr::Balancer::new(settings, seed, now).map_err(|e| format!("PROVISION.env: {e}"))?;
        Ok(Instance {
            balancer,
            workers: Names::default(),
            zones,
            kinds,
            classes: Names::of(env.services.iter().map(|service| &service.name)),
            tenants: Names::of(env.projects.iter().map(|project| &project.name)),
            fields,
        })
    }

    fn report(&self, row: Row) -> Option<sr::Report> {
        let mut report = sr::Report::default();
        for (&field, value) in self.fields.iter().zip(row?) {
            match field {
                Field::Inflight => report.inflight = value,
                Field::Latency => report.latency = value.map(|ms| sr::Span::from_secs(ms / 1e3)),
                Field::FreeSlots => report.free_slots = value,
                Field::FreeMemory => report.free_memory = value,
                Field::Errors => report.errors_per_s = value,
                Field::Unused => {}
            }
        }
        Some(report)
    }

    fn entry(&mut self, entry: &Entry) -> Result<sr::ListEntry, String> {
        let standing = match entry.4.as_str() {
            "ready" => sr::Standing::Ready,
            "draining" => sr::Standing::Draining,
            "gone" => sr::Standing::Gone,
            other => return Err(format!("PAGE.entries: state {other:?}")),
        };
        Ok(sr::ListEntry {
            worker: sr::WorkerId(self.workers.number(&entry.0)),
            zone: sr::ZoneId(self.zones.number(&entry.1)),
            kind: sr::KindId(self.kinds.number(&entry.2)),
            cell: entry.3,
            standing,
            size: entry.5.unwrap_or(1.0),
            up_since: entry.6.filter(|&t| t > 0).map(sr::Time),
        })
    }
}

fn effect(repeat: &str, group: Option<&str>) -> Result<sr::Effect, String> {
    Ok(match (repeat, group) {
        ("retryable", _) => sr::Effect::Safe,
        ("fragile", _) => sr::Effect::Unsafe,
        ("dedup", Some("zone")) => sr::Effect::Keyed(sr::Group::Zone),
        ("dedup", Some("cell")) => sr::Effect::Keyed(sr::Group::Cell),
        ("dedup", Some("all") | None) => sr::Effect::Keyed(sr::Group::All),
        _ => return Err(format!("PROVISION.env: services repeat {repeat:?}, group {group:?}")),
    })
}

/// The budget of further attempts: all three settings or none.
fn budget(rules: &Rules) -> Result<Option<sr::Budget>, String> {
    match (rules.extra_floor, rules.repeat_ratio, rules.look_back) {
        (None, None, None) => Ok(None),
        (Some(floor), Some(ratio), Some(window)) => {
            Ok(Some(sr::Budget { floor, ratio, window: sr::Span(window) }))
        }
        _ => Err("PROVISION.env: rules extraFloor, repeatRatio and lookBack go together".to_owned()),
    }
}

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
    /// Hands a batch to its instances and writes the reply, without its line end.
    pub fn answer(&mut self, batch: Batch<'_>, reply: &mut String) -> Result<(), String> {
        let now = sr::Time(batch.at);
        reply.push_str("{\"outbox\":[");
        let start = reply.len();
        for event in batch.happened {
            self.take(now, event, reply, start)?;
        }
        reply.push_str("]}");
        Ok(())
    }

    fn take(
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
                let instance = find(&mut self.instances, i, "TARGETS")?;
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
                let instance = find(&mut self.instances, i, "JOB_IN")?;
                let class = instance
                    .classes
                    .get(&class.0)
                    .ok_or_else(|| format!("JOB_IN.kind: no class {:?}", class.0))?;
                let event = sr::Event::Arrival(sr::Arrival {
                    request: sr::RequestId(request),
                    class: sr::ClassId(class),
                    tenant: tenant.and_then(|name| instance.tenants.get(&name.0)).map(sr::TenantId),
                    deadline: sr::Time(deadline),
                    slots: needs.unwrap_or(1.0),
                    memory: memory.unwrap_or(0.0),
                    estimate: sr::Span(estimate.unwrap_or(0)),
                    retry: repeat,
                });
                (i, Some(event))
            }
            Event::Dropped(i, request) => (i, Some(sr::Event::Closed(sr::RequestId(request)))),
            Event::Begun(i, request, attempt) => (i, Some(sr::Event::Began(sr::RequestId(request), attempt))),
            Event::Pong { instance: i, worker, status, row } => {
                let instance = find(&mut self.instances, i, "PONG")?;
                let report = instance.report(row);
                let Some(worker) = instance.workers.get(&worker.0) else { return Ok(()) };
                (i, Some(sr::Event::Probed(sr::WorkerId(worker), status == 0, report)))
            }
            Event::Change(i, request, attempt, kind, level) => {
                let note = match kind {
                    1 => sr::Note::Started,
                    2 => sr::Note::Progress(level.unwrap_or(0.0)),
                    _ => return Ok(()),
                };
                (i, Some(sr::Event::Noted(sr::RequestId(request), attempt, note)))
            }
            Event::Done { instance: i, request, attempt, closed, status, row } => {
                let instance = find(&mut self.instances, i, "DONE")?;
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
        let instance = find(&mut self.instances, i, "event")?;
        if let Some(event) = event {
            instance.balancer.handle(now, event, &mut self.actions);
        }
        for action in self.actions.drain(..) {
            if reply.len() > start {
                reply.push(',');
            }
            write(i, &action, &instance.workers, reply);
        }
        Ok(())
    }
}

fn find<'a>(
    instances: &'a mut BTreeMap<u32, Instance>,
    i: u32,
    event: &str,
) -> Result<&'a mut Instance, String> {
    instances.get_mut(&i).ok_or_else(|| format!("{event}.i: instance {i} was never started"))
}

fn write(i: u32, action: &sr::Action, workers: &Names, out: &mut String) {
    let done = match *action {
        sr::Action::Send(request, worker) => {
            write!(out, "[\"DELIVER\",{i},{},{},0]", request.0, workers.quoted[worker.0 as usize])
        }
        sr::Action::Cancel(request, attempt) => write!(out, "[\"CALL_OFF\",{i},{},{attempt}]", request.0),
        sr::Action::Refuse(request, hold_off) => write!(out, "[\"REJECT\",{i},{},{}]", request.0, hold_off.0),
        sr::Action::Fail(request) => write!(out, "[\"DROP_REQUEST\",{i},{}]", request.0),
        sr::Action::Timer(at, token) => write!(out, "[\"AFTER\",{i},{},{token}]", at.0),
        sr::Action::Subscribe => write!(out, "[\"WATCH\",{i},true]"),
        sr::Action::Fetch => write!(out, "[\"PULL\",{i}]"),
        sr::Action::Probe(worker) => {
            write!(out, "[\"ASK_LOAD\",{i},{}]", workers.quoted[worker.0 as usize])
        }
        sr::Action::Release(worker) => {
            write!(out, "[\"RELEASE\",{i},{}]", workers.quoted[worker.0 as usize])
        }
    };
    done.expect("writing to a string cannot fail");
}
