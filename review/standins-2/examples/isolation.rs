//! A tenant is isolated by a new desired state; another tenant then sends a prompt that
//! begins with parts that the first one has had read.

use std::collections::HashMap;
use std::process::ExitCode;
use std::time::Duration;

use bilberry_adapter_tests::Caller;
use bilberry_adapter_tests::Cluster;
use bilberry_adapter_tests::RawRequest;
use bilberry_adapter_tests::config;
use review_standins_2::Record;
use review_standins_2::deployment;
use review_standins_2::has_trouble;
use serde_json::Value;
use serde_json::json;
use tokio::time::sleep;

/// `ConfigApplyMs` of the deployment, and half a second.
const AFTER_ACK: Duration = Duration::from_millis(2_500);

/// The desired state with two tenants, of which the first may be isolated.
fn desired(version: u64, first_is_isolated: bool) -> Value {
    let mut state = config(version, &["key-a"]);
    state["Tenants"] = json!([
        {"Name": "first", "ApiKeys": ["key-a"], "Priority": 1, "Isolated": first_is_isolated},
        {"Name": "second", "ApiKeys": ["key-b"], "Priority": 1, "Isolated": false},
    ]);
    state
}

/// Sends a request whose prompt has two shared parts and one of its own.
async fn send(
    cluster: &Cluster,
    record: &mut Record,
    key: &str,
    attempt: &str,
    own_part: &str,
) -> u16 {
    let mut caller = Caller::prompt("/checks/brief", attempt);
    let prefix = format!("a1:60,b2:40,{own_part}:20");
    caller.headers = caller.headers.replace("key-a", key);
    caller.headers = caller.headers.replace("a1:60,b2:40,c3:20", &prefix);
    let reply = caller.send(cluster.callers()).await;
    record.line(format!(
        "client: {attempt} with {key}, prompt {prefix}, is answered {}",
        reply.status
    ));
    reply.status
}

/// Lists the parts that each request at the engine uses and which another tenant's request
/// made: an engine finds parts under the same salt if it has all parts before them too.
fn foreign_parts(requests: &[RawRequest], record: &mut Record) -> Vec<(String, String)> {
    let mut made: HashMap<(String, String), String> = HashMap::new();
    let mut foreign = Vec::new();
    for request in requests {
        let (attempt, tenant) =
            (request.header("x-attempt-id"), request.header("x-tenant"));
        let salt = request.header("x-cache-salt");
        record.line(format!(
            "server: runs {attempt} of tenant {tenant}, X-Cache-Salt {salt:?}, \
             X-Prompt-Prefix {}",
            request.header("x-prompt-prefix")
        ));
        let mut is_kept = true;
        for part in request.prompt_part_ids() {
            let key = (salt.to_string(), part.to_string());
            is_kept &= made.contains_key(&key);
            let maker = made.entry(key).or_insert_with(|| tenant.to_string());
            if is_kept && maker != tenant {
                record.line(format!(
                    "server: {attempt} of tenant {tenant} uses part {part}, which a \
                     request of tenant {maker} made"
                ));
                foreign.push((tenant.to_string(), maker.clone()));
            }
        }
    }
    foreign
}

#[tokio::main]
async fn main() -> ExitCode {
    let mut record = Record::begin();
    let is_isolated = has_trouble();
    let mut cluster = deployment(1, 5).await;
    cluster.store.put("config", "main", desired(1, false));
    cluster.set_target_weights(1);
    cluster.start_sidecars();
    cluster.start_entry().await;
    cluster.wait_for_sidecars(1).await;
    if send(&cluster, &mut record, "key-a", "first-1", "c3").await != 200 {
        return ExitCode::from(2);
    }
    cluster.store.put("config", "main", desired(2, is_isolated));
    record.line(format!(
        "operator: version 2 is acknowledged, tenant first has Isolated = {is_isolated}"
    ));
    cluster.wait_for_config(2).await;
    sleep(AFTER_ACK).await;
    if send(&cluster, &mut record, "key-b", "second-1", "d4").await != 200 {
        return ExitCode::from(2);
    }
    let foreign = foreign_parts(&cluster.engines[0].requests(), &mut record);
    // Without isolation, tenants may share parts.
    record.end(is_isolated && !foreign.is_empty())
}
