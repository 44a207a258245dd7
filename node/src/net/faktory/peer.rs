//! The peer of a connection, and its permissions.

use super::{Faktory, Role};
use crate::net::spiffe;
use std::net::SocketAddr;

/// The peer of a connection and its permissions.
#[derive(Clone)]
pub struct Peer {
    pub(super) name: String,
    pub(super) is_client: bool,
    pub(super) is_worker: bool,
    pub(super) member: Option<String>,
    pub(super) zone: Option<String>,
    pub(super) kind: Option<String>,
}

impl Faktory {
    /// Returns the peer of a connection without TLS, which may be a client and a worker.
    pub fn plaintext_peer(&self, address: SocketAddr) -> Peer {
        let name = address.ip().to_string();
        Peer { name, is_client: true, is_worker: true, member: None, zone: None, kind: None }
    }

    /// Returns the peer that a client certificate identifies.
    pub(super) fn tls_peer(&self, tls: &rustls::ServerConnection) -> Result<Peer, String> {
        let leaf = tls.peer_certificates().and_then(|chain| chain.first()).ok_or("no certificate")?;
        let id = spiffe::id_of(leaf)?;
        let rule = self.config.identity.iter().find(|rule| match rule.id.strip_suffix("/*") {
            Some(prefix) => id.as_str().strip_prefix(prefix).is_some_and(|rest| rest.starts_with('/')),
            None => rule.id == id.as_str(),
        });
        let rule = rule.ok_or_else(|| format!("{} is in no identity of the file", id.as_str()))?;
        Ok(Peer {
            name: id.as_str().to_owned(),
            is_client: rule.role != Role::Worker,
            is_worker: rule.role != Role::Client,
            member: rule.member.clone(),
            zone: rule.zone.clone(),
            kind: rule.kind.clone(),
        })
    }
}
