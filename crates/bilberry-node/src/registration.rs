//! Registration of this process with the platform.

use std::sync::Arc;
use std::time::Duration;

use bilberry_core::backoff_ms;
use bilberry_platform::Platform;
use bilberry_platform::PlatformError;
use bilberry_platform::WriteResult;
use bilberry_platform::write_or_read_back;
use bilberry_wire::Member;
use bilberry_wire::Role;
use serde::Deserialize;
use serde::Serialize;

use crate::Node;

/// The key prefix of registrations.
pub(crate) const NODES_PREFIX: &str = "nodes/";

/// The initial retry delay after a failed registration.
const BASE_DELAY_MS: u64 = 100;

/// The maximum retry delay after a failed registration.
const MAX_DELAY_MS: u64 = 5_000;

/// A registration in its stored form.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct Registration {
    pub process: String,
    pub host: String,
    pub sidecar_of: Option<String>,
    pub address: String,
    pub incarnation: u64,
}

impl Registration {
    fn of(member: &Member) -> Self {
        let is_sidecar = member.role() == Role::Sidecar;
        Self {
            process: member.process.clone(),
            host: member.host.clone(),
            sidecar_of: is_sidecar.then(|| member.upstream.clone()),
            address: member.address.clone(),
            incarnation: member.incarnation,
        }
    }

    /// Converts a registration stored at `version` to a member.
    pub(crate) fn member(self, version: u64) -> Member {
        let role = if self.sidecar_of.is_some() { Role::Sidecar } else { Role::Entry };
        Member {
            process: self.process,
            host: self.host,
            role: role.into(),
            upstream: self.sidecar_of.unwrap_or_default(),
            address: self.address,
            incarnation: self.incarnation,
            version,
            leaving: false,
        }
    }
}

/// Registers this process, and retries until the platform has accepted it.
pub async fn register<P: Platform>(node: Arc<Node>, platform: P) {
    let member = node.member();
    let key = format!("{NODES_PREFIX}{}", member.process);
    let value = serde_json::to_string(&Registration::of(&member)).unwrap_or_default();
    for attempt in 0.. {
        match register_once(&platform, &key, &value).await {
            Ok(version) => {
                node.set_registration_version(version);
                return;
            }
            Err(error) => log::debug!("registration failed, retrying: {error}"),
        }
        let jitter = rand::random();
        let delay_ms = backoff_ms(attempt, BASE_DELAY_MS, MAX_DELAY_MS, jitter);
        tokio::time::sleep(Duration::from_millis(delay_ms)).await;
    }
}

async fn register_once<P: Platform>(
    platform: &P,
    key: &str,
    value: &str,
) -> Result<u64, PlatformError> {
    let known = platform.read(key).await?;
    let expected = known.map_or(0, |object| object.version);
    match write_or_read_back(platform, key, value, expected, |found| found == value)
        .await?
    {
        WriteResult::Written(version) => Ok(version),
        WriteResult::Conflict(object) => Err(PlatformError::Conflict(object.version)),
    }
}
