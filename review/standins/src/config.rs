//! Desired states of the small deployments.

use serde_json::Value;
use serde_json::json;

/// A route for streams.
#[derive(Debug, Clone, Copy)]
pub struct StreamRoute {
    /// Its name, which is also its path prefix.
    pub name: &'static str,
    /// Its priority; 0 is the highest.
    pub priority: u8,
    /// Whether its streams may be resumed.
    pub resumable: bool,
    /// The largest number of servers for one attempt.
    pub attempts: u32,
    /// The time within which the first event earns its full credit.
    pub target_ms: u64,
}

/// Returns the first desired state, with these routes to the servers.
pub fn desired_state(routes: &[StreamRoute], models: &[String], memory: u64) -> Value {
    desired_state_with(7, routes, models, memory, &["key-b"])
}

/// Returns a desired state, in which the second tenant has these keys.
pub fn desired_state_with(
    version: u64,
    routes: &[StreamRoute],
    models: &[String],
    memory: u64,
    second_keys: &[&str],
) -> Value {
    let route = |route: &StreamRoute| {
        json!({
            "Name": route.name, "Host": "api.example",
            "PathPrefix": format!("/{}/", route.name), "Kind": "streaming",
            "TimeoutMs": 15_000, "TargetLatencyMs": route.target_ms,
            "Priority": route.priority, "Service": "lm-pool",
            "MaxAttempts": route.attempts, "Public": false, "Sticky": true,
            "Resumable": route.resumable, "GapTargetMs": 500,
        })
    };
    let models: Vec<Value> = models.iter().map(|model| json!({"Name": model})).collect();
    json!({
        "Version": version,
        "Routes": routes.iter().map(route).collect::<Vec<_>>(),
        "Services": [{
            "Name": "lm-pool", "HealthPath": "/health", "MaxConns": 300,
            "EngineKind": {"Slots": 48, "KvCapacityTokens": memory, "Models": models},
        }],
        "Limits": {"MaxHeaderBytes": 16_384, "MaxBodyBytes": 4_194_304,
            "HeaderTimeoutMs": 3_000, "IdleTimeoutMs": 15_000},
        "Tenants": [
            {"Name": "tenant-a", "ApiKeys": ["key-a"], "Isolated": false},
            {"Name": "tenant-b", "ApiKeys": second_keys, "Isolated": false},
        ],
    })
}
