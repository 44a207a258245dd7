//! Minimal environment settings for tests that need only the limits.

use sablerun_settings::Env;

/// Returns minimal settings for tests that use only the limits derived from them.
pub fn test_env() -> Env {
    let text = r#"{"balancers":1,"services":[],"failureDomains":[],"zone":"a","membershipMode":"pushed",
        "limits":{"tryLimit":3,"connIdle":10000000000,"connectTimeout":250000000},"tick":1000000,
        "reporting":{},"rules":{"coldFrom":1,"warmAfter":1,"fallMultiple":1,"fall":1,"drainGrace":1}}"#;
    serde_json::from_str(text).expect("valid settings")
}
