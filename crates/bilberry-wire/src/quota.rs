//! Charges to customer quotas, from entries to the sidecars that keep the buckets.

use bilberry_core::QuotaCharge;
use bilberry_core::RequestKey;

/// Asks an owner to charge a request to its customer's bucket.
#[derive(Clone, PartialEq, prost::Message)]
pub struct QuotaRequest {
    /// The customer.
    #[prost(string, tag = "1")]
    pub customer: String,
    /// The version of the configuration that sets the limit.
    #[prost(uint64, tag = "2")]
    pub config_version: u64,
    /// The refill rate of the bucket, in units per second.
    #[prost(double, tag = "3")]
    pub rate_per_s: f64,
    /// The capacity of the bucket, in units.
    #[prost(double, tag = "4")]
    pub burst: f64,
    /// The cost of the request, in units.
    #[prost(double, tag = "5")]
    pub cost: f64,
    /// The key shared by all attempts of the request.
    #[prost(fixed64, tag = "6")]
    pub key: u64,
    /// The longest `Retry-After` that the caller can follow, in milliseconds.
    #[prost(uint64, tag = "7")]
    pub max_wait_ms: u64,
    /// Whether the sidecar takes over the bucket from one that was lost.
    #[prost(bool, tag = "8")]
    pub is_takeover: bool,
    /// The number of entries that the sender knows.
    #[prost(uint64, tag = "9")]
    pub entries: u64,
    /// The age of the limit, in milliseconds, if a server reported it.
    ///
    /// The sidecar then derives the version from its own clock, as hosts' clocks differ.
    #[prost(uint64, optional, tag = "10")]
    pub version_age_ms: Option<u64>,
    /// What the bucket holds when the sidecar first hears of it, in units.
    #[prost(double, tag = "11")]
    pub initial: f64,
    /// Whether all charges of the bucket cost about the same, so that nothing is reserved
    /// for small ones.
    #[prost(bool, tag = "12")]
    pub is_uniform: bool,
}

impl QuotaRequest {
    /// Returns the charge that it asks for.
    pub fn charge(&self) -> QuotaCharge {
        QuotaCharge {
            cost: self.cost,
            key: RequestKey(self.key),
            max_wait_ms: self.max_wait_ms,
            initial: self.initial,
            is_uniform: self.is_uniform,
        }
    }
}

/// The reply to a [`QuotaRequest`].
#[derive(Clone, PartialEq, prost::Message)]
pub struct QuotaResponse {
    /// Whether the request was charged.
    #[prost(bool, tag = "1")]
    pub admitted: bool,
    /// The time until a denied request can be admitted, in milliseconds.
    #[prost(uint64, tag = "2")]
    pub wait_ms: u64,
    /// For how long the sidecar has received all charges of the customer, in milliseconds.
    #[prost(uint64, tag = "3")]
    pub known_for_ms: u64,
    /// The number of entries that may admit requests.
    #[prost(uint64, tag = "4")]
    pub entries: u64,
    /// The level of the bucket after the decision, in units.
    #[prost(double, tag = "5")]
    pub level: f64,
}

/// Returns the cost of a request that was charged and did not run.
#[derive(Clone, PartialEq, prost::Message)]
pub struct QuotaRefund {
    /// The customer.
    #[prost(string, tag = "1")]
    pub customer: String,
    /// The cost, in units.
    #[prost(double, tag = "2")]
    pub cost: f64,
}
