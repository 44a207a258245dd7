//! The session of one connection: the handshake and its commands.

use super::password::{PASSWORD_HASH_ROUNDS, constant_time_eq, new_salt, password_hash};
use super::registry::worker_removed;
use super::transport::{Disconnect, Transport};
use super::{Faktory, Peer};
use crate::core::{AttemptEnd, Input};
use crate::net::runners::result_bytes;
use bytes::Bytes;
use sablerun as sr;
use serde_json::{Value, json};
use std::rc::Rc;
use std::time::Instant;
use tokio::io::{AsyncRead, AsyncWrite};

/// The session of one connection. Dropping it ends the attempts that the connection holds.
pub(super) struct Session {
    pub front: Rc<Faktory>,
    pub number: u64,
    pub wid: Option<String>,
}

impl Drop for Session {
    fn drop(&mut self) {
        if let Some(wid) = &self.wid {
            self.front.disconnect(wid, Some(self.number));
        }
    }
}

impl Faktory {
    /// Runs a session on an accepted connection until it ends.
    pub async fn serve_connection<S: AsyncRead + AsyncWrite + Unpin>(self: Rc<Self>, stream: S, peer: Peer) {
        self.last_connection.set(self.last_connection.get() + 1);
        let number = self.last_connection.get();
        let mut transport = Transport::new(stream, &self.runtime.limits, &self.memory);
        let mut session = Session { front: self.clone(), number, wid: None };
        let ended = self.handshake(&mut transport, &peer, &mut session).await;
        let ended = match ended {
            Ok(()) => self.serve_commands(&mut transport, &peer, &session).await,
            Err(disconnect) => Err(disconnect),
        };
        // The attempts on this connection end before the error reply is written.
        drop(session);
        if let Err(Disconnect::WithError(error)) = ended {
            let reply = format!("-ERR {error}\r\n");
            let _ = tokio::time::timeout(self.runtime.limits.head_timeout, transport.send(&reply)).await;
            log::info!("faktory: connection of {} closed: {error}", peer.name);
            // Closing over unread input resets the connection, which may destroy the reply in transit.
            let _ = tokio::time::timeout(self.runtime.limits.linger_timeout, transport.linger()).await;
        }
    }

    /// Sends HI and checks the client's HELLO.
    pub(super) async fn handshake<S: AsyncRead + AsyncWrite + Unpin>(
        &self,
        transport: &mut Transport<S>,
        peer: &Peer,
        session: &mut Session,
    ) -> Result<(), Disconnect> {
        let salt = format!("{:016x}", new_salt(session.number, &self.runtime));
        let greeting = match &self.password {
            Some(_) => json!({"v": 2, "i": PASSWORD_HASH_ROUNDS, "s": salt}),
            None => json!({"v": 2}),
        };
        transport.send(&format!("+HI {greeting}\r\n")).await?;
        let line = tokio::time::timeout(self.runtime.limits.head_timeout, transport.read_line()).await;
        let line = line.map_err(|_| Disconnect::WithError("MALFORMED no HELLO in time".to_owned()))??;
        let line = line_text(&line)?;
        let malformed = |what: &str| Disconnect::WithError(format!("MALFORMED HELLO: {what}"));
        let hello = line.strip_prefix("HELLO ").ok_or_else(|| malformed("it comes first"))?;
        let hello: Value = serde_json::from_str(hello).map_err(|_| malformed("no JSON object"))?;
        if hello["v"].as_u64() != Some(2) {
            return Err(malformed("the version spoken here is 2"));
        }
        if let Some(password) = &self.password {
            let presented = hello["pwdhash"].as_str().unwrap_or("");
            let expected = password_hash(password, &salt, PASSWORD_HASH_ROUNDS);
            if !constant_time_eq(presented.as_bytes(), expected.as_bytes()) {
                log::warn!("faktory: {} gave a wrong password", peer.name);
                return Err(Disconnect::WithError("DENIED invalid password".to_owned()));
            }
        }
        match &hello["wid"] {
            Value::Null => {}
            Value::String(wid) if !wid.is_empty() && wid.len() <= 128 && wid.is_ascii() => {
                self.register_worker(wid, peer, session.number)?;
                session.wid = Some(wid.clone());
            }
            _ => return Err(malformed("wid")),
        }
        Ok(transport.send("+OK\r\n").await?)
    }

    /// Serves commands until END or the end of the connection.
    pub(super) async fn serve_commands<S: AsyncRead + AsyncWrite + Unpin>(
        &self,
        transport: &mut Transport<S>,
        peer: &Peer,
        session: &Session,
    ) -> Result<(), Disconnect> {
        loop {
            let line = transport.read_line().await?;
            self.command_count.set(self.command_count.get() + 1);
            let text = line_text(&line)?;
            let (verb, rest) = text.split_once(' ').unwrap_or((text, ""));
            let reply = match (verb, &session.wid) {
                ("PUSH", _) if !peer.is_client => Err("DENIED this identity is not a client's".to_owned()),
                ("PUSH", _) => match self.parse_job(rest, line.slice_ref(rest.as_bytes()), peer) {
                    Ok(arrival) => self.handle_push(transport, arrival).await?,
                    Err(error) => Err(error.reply(self.runtime.limits.memory_timeout)),
                },
                ("FETCH", Some(wid)) if !self.has_connection(wid, session.number) => Err(worker_removed()),
                ("FETCH", Some(wid)) => {
                    self.handle_fetch(transport, session.number, wid, rest).await?;
                    continue;
                }
                ("ACK" | "FAIL" | "BEAT", Some(wid)) if !self.has_connection(wid, session.number) => {
                    Err(worker_removed())
                }
                ("ACK", Some(wid)) => self.finish_job(wid, rest, sr::Outcome::Ok),
                ("FAIL", Some(wid)) => self.finish_job(wid, rest, sr::Outcome::Error),
                ("BEAT", Some(wid)) => self.handle_beat(wid, rest),
                ("FETCH" | "ACK" | "FAIL" | "BEAT", None) => {
                    Err(format!("DENIED {verb} is for workers: HELLO gave no wid"))
                }
                ("INFO", _) => {
                    transport.send_bulk(self.info().as_bytes()).await?;
                    continue;
                }
                ("FLUSH", _) => Err("DENIED FLUSH: jobs that were taken are not dropped here".to_owned()),
                ("END", _) => return Ok(()),
                (verb, _) => Err(format!("UNKNOWN command {}", printable(verb))),
            };
            match reply {
                Ok(()) => transport.send("+OK\r\n").await?,
                Err(error) => transport.send(&format!("-ERR {error}\r\n")).await?,
            }
        }
    }

    /// Handles a worker's ACK or FAIL. One for a finished job, or for a job of another worker, changes
    /// nothing.
    pub(super) fn finish_job(&self, wid: &str, text: &str, outcome: sr::Outcome) -> Result<(), String> {
        let verb = if outcome == sr::Outcome::Ok { "ACK" } else { "FAIL" };
        let mut body: Value = serde_json::from_str(text).map_err(|_| format!("MALFORMED {verb}: no JSON"))?;
        let jid = body["jid"].as_str().ok_or_else(|| format!("MALFORMED {verb}: jid is missing"))?.to_owned();
        let mut workers = self.workers.borrow_mut();
        let Some(worker) = workers.get_mut(wid) else { return Ok(()) };
        worker.last_beat = Instant::now();
        let Some(running) = worker.running.remove(jid.as_str()) else {
            log::debug!("faktory: {verb} of {jid} by {wid}, which does not hold it");
            return Ok(());
        };
        let took = running.started.elapsed().as_secs_f64();
        worker.latency = Some(worker.latency.map_or(took, |average| average + 0.5 * (took - average)));
        let report = Some(worker.report());
        drop(workers);
        if let Some(attempt) = running.attempt {
            let result = if outcome == sr::Outcome::Ok { body["result"].take() } else { Value::Null };
            let end = AttemptEnd { outcome, result: result_bytes(result, &self.runtime.memory), report };
            self.runtime.feed(Input::AttemptEnded(attempt, end));
        }
        Ok(())
    }
}

/// Returns the text of a line without its ending.
fn line_text(line: &Bytes) -> Result<&str, Disconnect> {
    let text = std::str::from_utf8(line);
    text.map(str::trim_end).map_err(|_| Disconnect::WithError("MALFORMED not UTF-8".to_owned()))
}

fn printable(text: &str) -> String {
    text.chars().filter(|c| c.is_ascii_graphic()).take(32).collect()
}
