//! Reads a request's head: the platform's headers, and what is wrong with them.

use crate::runtime::Runtime;
use actix_http::header::{self, HeaderMap, HeaderName};
use actix_http::{HttpMessage, Request};
use sablerun as sr;

/// The job attributes in a request's head.
pub(super) struct Head {
    pub id: String,
    pub class: u32,
    pub class_name: String,
    pub tenant: Option<u32>,
    pub tenant_name: Option<String>,
    pub key: Option<String>,
    pub content_type: Option<String>,
    pub timeout: sr::Span,
    pub slots: f64,
    pub memory: f64,
    pub estimate: sr::Span,
    pub retry: bool,
}

impl Head {
    /// Reads the headers; the error is the reason for a 400 response.
    pub fn read(runtime: &Runtime, request: &Request) -> Result<Head, String> {
        let headers = request.headers();
        let optional = |name: &'static str| header_text(headers, &HeaderName::from_static(name));
        let required = |name: &'static str| optional(name)?.ok_or_else(|| format!("{name} is missing"));
        let id = required("x-request-id")?;
        // The id becomes part of a URL path when an attempt is cancelled.
        let unreserved = |b: u8| b.is_ascii_alphanumeric() || b"-._~".contains(&b);
        if id.is_empty() || id.len() > 128 || !id.bytes().all(unreserved) {
            return Err("x-request-id is malformed".to_owned());
        }
        let class_name = required("x-priority-class")?;
        // Only jobs of a keyed class must carry a key: a job that must never run twice may come without one.
        let number_and_keyed =
            |number, class: &sr::Class| (number, matches!(class.idempotency, sr::Idempotency::Keyed(_)));
        let class = runtime.with_class(class_name, number_and_keyed);
        let (class, keyed) = class.ok_or("x-priority-class names no known class")?;
        let tenant_name = optional("x-tenant-id")?;
        let tenant = runtime.tenant(tenant_name);
        let tenant = tenant.map_err(|()| "x-tenant-id is missing or names no known tenant")?;
        let key = optional("idempotency-key")?;
        if keyed && key.is_none_or(str::is_empty) {
            return Err("idempotency-key is missing".to_owned());
        }
        let timeout = parse_timeout(required("x-timeout")?).ok_or("x-timeout is malformed")?;
        let cost =
            optional("x-cost")?.map(|text| parse_number(text).ok_or("x-cost is malformed")).transpose()?;
        let (mut slots, mut memory) = (1.0, 0.0);
        for part in optional("x-attrs")?.unwrap_or("").split(',').filter(|part| !part.trim().is_empty()) {
            let (name, value) = part.split_once('=').ok_or("x-attrs is malformed")?;
            match name.trim() {
                "slots" | "needs" => slots = parse_number(value).ok_or("x-attrs: slots is malformed")?,
                "memory" => memory = parse_number(value).ok_or("x-attrs: memory is malformed")?,
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
            content_type: header_text(headers, &header::CONTENT_TYPE).ok().flatten().map(str::to_owned),
            timeout,
            slots,
            memory,
            estimate: sr::Span::from_secs(cost.unwrap_or(0.0) / 1e6),
            retry: optional("x-retried")? == Some("1"),
        })
    }
}

/// Returns a header's value as trimmed text, if the header is there.
pub(super) fn header_text<'a>(headers: &'a HeaderMap, name: &HeaderName) -> Result<Option<&'a str>, String> {
    let Some(value) = headers.get(name) else { return Ok(None) };
    value.to_str().map(|text| Some(text.trim())).map_err(|_| format!("{name} is malformed"))
}

/// Parses a number that is finite and not negative.
fn parse_number(text: &str) -> Option<f64> {
    text.trim().parse::<f64>().ok().filter(|x| x.is_finite() && *x >= 0.0)
}

/// Parses a time with its unit: `m` for milliseconds or `u` for microseconds.
fn parse_timeout(text: &str) -> Option<sr::Span> {
    let unit = match text.as_bytes().last()? {
        b'm' => 1e-3,
        b'u' => 1e-6,
        _ => return None,
    };
    // No client waits for more than a day.
    Some(sr::Span::from_secs(parse_number(&text[..text.len() - 1])?.min(86_400.0 / unit) * unit))
}
