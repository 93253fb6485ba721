//! Authentication of callers.

use std::sync::Arc;

use bilberry_config::Compiled;
use bilberry_config::Customer;
use bilberry_config::KeyHash;
use hyper::HeaderMap;
use hyper::header::AUTHORIZATION;

use crate::ApiError;
use crate::ErrorKind;

/// Returns the bearer token of a request.
pub(crate) fn bearer(headers: &HeaderMap) -> Option<&str> {
    let value = headers.get(AUTHORIZATION)?.to_str().ok()?;
    value.strip_prefix("Bearer ").map(str::trim).filter(|secret| !secret.is_empty())
}

/// Returns the hash by which the configuration identifies a secret.
pub(crate) fn hash_secret(secret: &str) -> String {
    blake3::hash(secret.as_bytes()).to_hex().to_string()
}

/// Returns the customer to which the API key of the request belongs.
pub(crate) fn authenticate(
    compiled: &Compiled,
    headers: &HeaderMap,
) -> Result<Arc<Customer>, ApiError> {
    let refuse =
        |code, message| ApiError::not_run(ErrorKind::Unauthenticated, code, message);
    let key = bearer(headers).ok_or_else(|| {
        refuse("missing_api_key", "no API key; send `Authorization: Bearer KEY`")
    })?;
    // Keys are looked up by hash, so that lookup times reveal nothing about keys and
    // the configuration contains none.
    compiled.by_key_hash.get(&KeyHash::of(key)).cloned().ok_or_else(|| {
        refuse("invalid_api_key", "the API key is unknown; ask the operators for one")
    })
}
