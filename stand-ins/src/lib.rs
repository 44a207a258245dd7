//! Stand-ins for everything that a dispatcher communicates with, written from the platform's public pages,
//! for the node's tests and the lab's experiments. They record what was really executed where. They share
//! no code with the dispatcher, whose claims they test, and use loopback addresses only.

pub mod discovery;
pub mod hall;
pub mod hollow;
pub mod http;
pub mod installation;
pub mod metrics;
pub mod program;
pub mod region_link;
pub mod scripted;
