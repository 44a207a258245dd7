//! The configuration of a dispatcher in a small deployment: the classes, members and limits of karachi-east,
//! as the example on WIRE-sablerun.md shows them.

use std::net::SocketAddr;

/// The halls of the deployment.
pub const HALLS: [&str; 3] = ["hall-a", "hall-b", "hall-c"];

/// The memory and the descriptors of a dispatcher: the most that the pages name.
pub const MEMORY_MB: u64 = 192;
pub const SOCKETS: u64 = 1024;

/// What differs between the dispatchers and configurations of a run.
#[derive(Clone)]
pub struct Configuration {
    pub name: String,
    pub number: usize,
    pub dispatchers: usize,
    pub listen: SocketAddr,
    pub discovery: SocketAddr,
    pub hall: &'static str,
    /// The seed for random numbers, new with each start.
    pub seed: u64,
}

impl Configuration {
    /// Returns the text of `$NODE_CONFIG`.
    pub fn text(&self) -> String {
        let Configuration { name, number, dispatchers, listen, discovery, hall, seed } = self;
        let service = |name: &str, objective_ms: u64, deadline_s: u64, importance: u64, repeat: &str| {
            format!(
                "{{\"name\":\"{name}\",\"objective\":{objective_ms}000000,\"deadline\":{deadline_s}000000000,\
                 \"importance\":{importance},\"lateWorth\":0.0,\"streaming\":false,{repeat}}}"
            )
        };
        let services = [
            service(
                "pick-route",
                120,
                5,
                2,
                "\"repeat\":\"retryable\",\"group\":\"all\",\"window\":5000000000",
            ),
            service(
                "bin-check",
                75,
                5,
                1,
                "\"repeat\":\"retryable\",\"group\":\"all\",\"window\":5000000000",
            ),
            service(
                "wave-release",
                400,
                6,
                10,
                "\"repeat\":\"dedup\",\"group\":\"zone\",\"window\":10000000000",
            ),
            service("short-pick", 150, 6, 3, "\"repeat\":\"dedup\",\"group\":\"all\",\"window\":10000000000"),
        ]
        .join(",");
        let halls = HALLS.map(|hall| format!("\"{hall}\"")).join(",");
        let projects = [("mehran-dist", 53, 0.49), ("indus-traders", 31, 0.29), ("ravi-supply", 12, 0.11)]
            .map(|(name, quota, share)| {
                format!("{{\"name\":\"{name}\",\"quotaPerS\":{quota},\"share\":{share}}}")
            })
            .join(",");
        format!(
            "{{\"name\":\"{name}\",\"listen\":\"{listen}\",\"discovery\":\"{discovery}\",\"seed\":\"{seed:016x}\",\
             \"limits\":{{\"cores\":1.0,\"memory_mb\":{MEMORY_MB},\"sockets\":{SOCKETS}}},\
             \"known\":{{\"seq\":0,\"whole\":true,\"hosts\":[]}},\
             \"settings\":{{\"balancers\":{dispatchers},\"me\":{number},\"clientHabits\":{{\"marksRetry\":true}},\
             \"extra\":{{\"classKind\":[-1,-1,-1,-1],\"classStretch\":[2.0,2.0,1.75,1.75],\"progress\":0,\
             \"queueOrder\":\"fifo\",\"reportX0\":\"free slots\",\"tellsStart\":true}},\
             \"failureDomains\":[{halls}],\"kinds\":[\"k4-full\",\"k4-slow\"],\
             \"goal\":{{\"whole\":0.6,\"worstClass\":0.2,\"worstTenant\":0.1,\"worstWindow\":0.1}},\
             \"limits\":{{\"cancel\":true,\"connIdle\":10000000000,\"connectTimeout\":250000000,\
             \"maxOpen\":28486,\"maxRetryAfter\":2000000000,\"parallelTries\":true,\"peers\":false,\
             \"probing\":true,\"retryAfter\":true,\"tryLimit\":5}},\
             \"membershipMode\":\"on_request\",\"overShareWorth\":0.05,\
             \"prices\":{{\"crossZone\":0.03,\"handshake\":0.02,\"lateFail\":0.074,\"probe\":0.0018,\"waste\":0.04}},\
             \"projects\":[{projects}],\
             \"reporting\":{{\"fields\":[\"errors_per_s\",\"recent_ms\",\"outstanding\",\"x0\"],\"how\":\"piggyback\"}},\
             \"rules\":{{\"answerSlack\":16000000,\"askWithin\":10000000000,\"coldFrom\":0.32,\
             \"drainGrace\":500000000,\"fall\":1000000000,\"fallMultiple\":2.5,\"warmAfter\":8600000000}},\
             \"services\":[{services}],\"stages\":[\"pick-nodes\"],\"tick\":4000000,\"tier\":0,\
             \"weights\":\"nominal\",\"workload\":\"jobs\",\"worthBy\":\"work\",\"zone\":\"{hall}\"}}}}\n"
        )
    }
}
