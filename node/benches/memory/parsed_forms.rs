//! Forms of input that take far more memory once they are parsed than their text, and whole jobs while the process is
//! replaced.

use crate::forms::{Form, ID, MAX_BODY_BYTES, Target, chunked, request, sized};

/// The shortest object with a member.
const SMALL_OBJECT: &str = r#"{"":1}"#;
/// Small objects in the largest Faktory frame.
const OBJECTS_IN_FRAME: usize = 17_500;
/// Small objects in the largest body.
const OBJECTS_IN_BODY: usize = 9_000;

/// As many short headers as the parser accepts beside the others.
fn short_headers() -> String {
    (0..85).map(|n| format!("\r\nh{n}: v")).collect()
}

/// A job that the runner serves, with a body of this length.
fn served(length: usize, more: &str) -> String {
    let head = request("short-pick", &format!("Content-Length: {length}"), more);
    head + &format!("{:<length$}", "usual")
}

/// An array of small objects.
fn small_objects(count: usize) -> String {
    format!("[{}]", vec![SMALL_OBJECT; count].join(","))
}

/// Returns the forms, with this many clients.
pub fn all(clients: usize) -> Vec<Form> {
    let form = |name, target, text| Form::new(name, target, text, clients);
    let x = |count: usize| "x".repeat(count);
    vec![
        form("http jobs of 30,000, 85 short headers", Target::Platform, served(30_000, &short_headers())),
        form("http jobs of 30,000", Target::Platform, served(30_000, "")),
        form("http 85 short headers, body stops", Target::Platform, chunked(&short_headers()) + "5\r\nx"),
        form("http 85 headers of one name", Target::Platform, chunked(&"\r\nh: v".repeat(85)) + "5\r\nx"),
        form(
            "http 85 short headers, no Host",
            Target::Platform,
            format!("POST /api HTTP/1.1{}\r\n\r\n", short_headers()),
        ),
        form(
            "http call-backs, 85 short headers",
            Target::Platform,
            format!(
                "POST /v1/job-events HTTP/1.1\r\nHost: t\r\nContent-Length: 9{}\r\n\r\nx",
                short_headers()
            ),
        ),
        form("replaced, jobs of 30,000", Target::Replacement, served(30_000, "")),
        form("replaced, jobs of 60,000", Target::Replacement, served(60_000, "")),
        form("replaced, 30,000 and 85 headers", Target::Replacement, served(30_000, &short_headers())),
        form("replaced, 65,400 bytes that stop", Target::Replacement, sized(MAX_BODY_BYTES) + &x(65_400)),
        form(
            "runner answers with 85 headers, no end",
            Target::Runner,
            format!("HTTP/1.1 202 Accepted{}\r\nTransfer-Encoding: chunked\r\n\r\n", short_headers())
                + &"1\r\nx\r\n".repeat(60_000),
        ),
        Form {
            piece_bytes: 7,
            ..form("http 85 short headers by 7 bytes", Target::Platform, served(30_000, &short_headers()))
        },
        form("http 85 short headers, Expect", Target::Platform, {
            let more = format!("\r\nExpect: 100-continue{}", short_headers());
            request("bin-check", "Content-Length: 9", &more) + "x"
        }),
        form("http call-backs of small objects", Target::Platform, {
            let result = small_objects(OBJECTS_IN_BODY);
            let body = format!(r#"{{"id":"{ID}","from":"s-0","state":"done","result":{result}}}"#);
            let head = "POST /v1/job-events HTTP/1.1\r\nHost: t";
            format!("{head}\r\nContent-Length: {}\r\n\r\n{body}", body.len())
        }),
        form("faktory jobs of small objects", Target::Faktory, {
            let args = small_objects(OBJECTS_IN_FRAME);
            let job = format!(r#"{{"jid":"{ID}","jobtype":"ShortPick","queue":"picks","args":{args}}}"#);
            format!("PUSH {job}\r\n")
        }),
        form("faktory results of small objects", Target::Faktory, {
            let result = small_objects(OBJECTS_IN_FRAME);
            format!("ACK {{\"jid\":\"{ID}\",\"result\":{result}}}\r\n")
        }),
    ]
}
