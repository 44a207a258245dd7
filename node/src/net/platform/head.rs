//! What a request's head says. It owns how the platform's headers are read and what is wrong with them;
//! it must never wait, nor hand anything in.

use crate::runtime::Runtime;
use actix_http::header::{HeaderMap, HeaderName};
use actix_http::{HttpMessage, Request};
use sablerun as sr;

/// What a request's head says.
pub(super) struct Head {
    pub id: String,
    pub class: u32,
    pub class_name: String,
    pub tenant: Option<u32>,
    pub tenant_name: Option<String>,
    pub key: Option<String>,
    pub patience: sr::Span,
    pub slots: f64,
    pub memory: f64,
    pub estimate: sr::Span,
    pub retry: bool,
}

impl Head {
    pub fn read(runtime: &Runtime, request: &Request) -> Result<Head, String> {
        let headers = request.headers();
        let optional = |name: &'static str| text(headers, &HeaderName::from_static(name));
        let needed = |name: &'static str| optional(name)?.ok_or_else(|| format!("{name} is missing"));
        let id = needed("x-request-id")?;
        // It becomes part of a path when an attempt is given up.
        let plain = |b: u8| b.is_ascii_alphanumeric() || b"-._~".contains(&b);
        if id.is_empty() || id.len() > 128 || !id.bytes().all(plain) {
            return Err("x-request-id is malformed".to_owned());
        }
        let class_name = needed("x-priority-class")?;
        // Only jobs of a keyed class carry a key: one that must never run twice may come without.
        let known =
            |number, class: &sr::Class| (number, matches!(class.idempotency, sr::Idempotency::Keyed(_)));
        let class = runtime.with_class(class_name, known);
        let (class, keyed) = class.ok_or("x-priority-class names no known class")?;
        let tenant_name = optional("x-tenant-id")?;
        let tenant = runtime.tenant(tenant_name);
        let tenant = tenant.map_err(|()| "x-tenant-id is missing or names no known tenant")?;
        let key = optional("idempotency-key")?;
        if keyed && key.is_none_or(str::is_empty) {
            return Err("idempotency-key is missing".to_owned());
        }
        let patience = timeout(needed("x-timeout")?).ok_or("x-timeout is malformed")?;
        let cost = optional("x-cost")?.map(|text| number(text).ok_or("x-cost is malformed")).transpose()?;
        let (mut slots, mut memory) = (1.0, 0.0);
        for part in optional("x-attrs")?.unwrap_or("").split(',').filter(|part| !part.trim().is_empty()) {
            let (name, value) = part.split_once('=').ok_or("x-attrs is malformed")?;
            match name.trim() {
                "slots" | "needs" => slots = number(value).ok_or("x-attrs: slots is malformed")?,
                "memory" => memory = number(value).ok_or("x-attrs: memory is malformed")?,
                _ => {}
            }
        }
        Ok(Head {
            id: id.to_owned(),
            class,
            class_name: class_name.to_owned(),
            tenant,
            tenant_name: tenant_name.map(str::to_owned),
            key: key.map(str::to_owned),
            patience,
            slots,
            memory,
            estimate: sr::Span::from_secs(cost.unwrap_or(0.0) / 1e6),
            retry: optional("x-retried")? == Some("1"),
        })
    }
}

pub(super) fn text<'a>(headers: &'a HeaderMap, name: &HeaderName) -> Result<Option<&'a str>, String> {
    let Some(value) = headers.get(name) else { return Ok(None) };
    value.to_str().map(|text| Some(text.trim())).map_err(|_| format!("{name} is malformed"))
}

/// A figure that is neither negative nor senseless.
fn number(text: &str) -> Option<f64> {
    text.trim().parse::<f64>().ok().filter(|x| x.is_finite() && *x >= 0.0)
}

/// A time with its unit: `m` for milliseconds or `u` for microseconds.
fn timeout(text: &str) -> Option<sr::Span> {
    let unit = match text.as_bytes().last()? {
        b'm' => 1e-3,
        b'u' => 1e-6,
        _ => return None,
    };
    // No client waits for more than a day.
    Some(sr::Span::from_secs(number(&text[..text.len() - 1])?.min(86_400.0 / unit) * unit))
}
