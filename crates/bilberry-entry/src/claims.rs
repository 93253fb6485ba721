//! Claims on non-idempotent calls, stored in the platform's object API.

use std::time::Duration;

use bilberry_core::Claim;
use bilberry_core::ClaimState;
use bilberry_core::Clock;
use bilberry_core::RepeatVerdict;
use bilberry_core::SystemClock;
use bilberry_core::backoff_ms;
use bilberry_platform::Object;
use bilberry_platform::Platform;
use bilberry_platform::PlatformError;
use bilberry_platform::WriteResult;
use bilberry_platform::write_or_read_back;

/// The key prefix of claim objects.
const CLAIMS_PREFIX: &str = "claims/";

/// The maximum number of retries of a background write.
const MAX_RETRIES: u32 = 30;

/// The initial delay between retries.
const BASE_DELAY_MS: u64 = 100;

/// The maximum delay between retries.
const MAX_DELAY_MS: u64 = 10_000;

/// Stores claims in the platform's object API.
#[derive(Debug, Clone)]
pub struct Claims<P> {
    platform: P,
}

/// The result of an attempt to claim a key.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ClaimOutcome {
    /// The claim was acquired and is stored at this object version.
    Acquired(u64),
    /// The key was claimed before.
    Existing(RepeatVerdict),
}

impl<P: Platform> Claims<P> {
    /// Creates a claim store on the given platform.
    pub fn new(platform: P) -> Self {
        Self { platform }
    }

    /// Returns the object key for the idempotency key of a caller.
    pub fn object_key(service: &str, customer: &str, key: &str) -> String {
        let mut hasher = blake3::Hasher::new();
        for part in [service, customer, key] {
            // The length prefix makes the concatenation of the parts unambiguous.
            hasher.update(&(part.len() as u64).to_le_bytes());
            hasher.update(part.as_bytes());
        }
        format!("{CLAIMS_PREFIX}{}", hasher.finalize().to_hex())
    }

    /// Claims a key, or returns a verdict on the existing claim.
    ///
    /// The object is created only if it does not exist, so only one of several
    /// entries that receive the same key concurrently acquires it.
    pub async fn claim(
        &self,
        key: &str,
        claim: &Claim,
    ) -> Result<ClaimOutcome, PlatformError> {
        let mut expected = 0;
        loop {
            let existing = match self.write(key, claim, expected).await? {
                WriteResult::Written(version) => {
                    return Ok(ClaimOutcome::Acquired(version));
                }
                WriteResult::Conflict(object) => object,
            };
            let now = SystemClock.now();
            let verdict = match parse(&existing) {
                Some(other) => {
                    other.verdict_for(&claim.attempt, &claim.request_hash, now)
                }
                None => RepeatVerdict::Unclear,
            };
            match verdict {
                // The earlier call was rejected before it ran, so its key is free.
                // The conditional update lets only one of several repeats claim it.
                RepeatVerdict::Reclaim => expected = existing.version,
                verdict => return Ok(ClaimOutcome::Existing(verdict)),
            }
        }
    }

    /// Records the outcome of a claimed call.
    pub async fn record(
        &self,
        key: &str,
        claim: &Claim,
        version: u64,
    ) -> Result<(), PlatformError> {
        self.write(key, claim, version).await.map(|_| ())
    }

    /// Records an outcome, with a bounded number of retries.
    ///
    /// The platform may be down for a long time just after the call ran. Without the
    /// record, a repeat of the key can only be told that the call may have run.
    pub async fn record_with_retries(self, key: String, claim: Claim, version: u64) {
        for retry in 0..MAX_RETRIES {
            back_off(retry).await;
            if self.record(&key, &claim, version).await.is_ok() {
                return;
            }
        }
        log::warn!(
            "failed to record the outcome of {key}; it stays unknown to repeats of the key"
        );
    }

    /// Releases a key whose claim may have been written, with a bounded number of
    /// retries.
    pub async fn release_with_retries(self, key: String, claim: Claim) {
        for retry in 0..MAX_RETRIES {
            back_off(retry).await;
            let Ok(found) = self.platform.read(&key).await else { continue };
            let own_claim = found
                .as_ref()
                .and_then(|object| Some((object.version, parse(object)?)))
                .filter(|(_, found)| found.attempt == claim.attempt);
            let released = Claim { state: ClaimState::NotRun, ..claim.clone() };
            match own_claim {
                // A write whose response was lost may still be in flight.
                None => continue,
                Some((version, _)) => {
                    if self.record(&key, &released, version).await.is_ok() {
                        return;
                    }
                }
            }
        }
    }

    async fn write(
        &self,
        key: &str,
        claim: &Claim,
        expected: u64,
    ) -> Result<WriteResult, PlatformError> {
        let value = serde_json::to_string(claim).expect("a claim is serializable");
        // The attempt token and the state identify this write.
        let is_ours = |found: &str| found == value;
        write_or_read_back(&self.platform, key, &value, expected, is_ours).await
    }
}

fn parse(object: &Object) -> Option<Claim> {
    serde_json::from_str(object.value.as_deref()?).ok()
}

async fn back_off(retry: u32) {
    let unit = rand::random_range(0.5..1.0);
    let delay_ms = backoff_ms(retry, BASE_DELAY_MS, MAX_DELAY_MS, unit);
    tokio::time::sleep(Duration::from_millis(delay_ms)).await;
}
