//! Stand-ins for all that a dispatcher speaks to, written from the platform's public pages, for the node's
//! tests and for the lab's experiments. They own the truth about what ran where; they must never share code
//! with the dispatcher, whose claims they test, nor leave the loopback addresses.

pub mod discovery;
pub mod hall;
pub mod hollow;
pub mod http;
pub mod installation;
pub mod metrics;
pub mod program;
pub mod region_link;
pub mod scripted;
