//! The trait through which the system accesses the platform.

use std::future::Future;

use crate::HostEntry;
use crate::Listing;
use crate::Object;
use crate::PlatformError;

/// The platform's object API and host list.
pub trait Platform: Clone + Send + Sync + 'static {
    /// Reads an object.
    fn read(
        &self,
        key: &str,
    ) -> impl Future<Output = Result<Option<Object>, PlatformError>> + Send;

    /// Writes an object if its version is `expected`; zero means that the object
    /// must not exist.
    fn write(
        &self,
        key: &str,
        value: &str,
        expected: u64,
    ) -> impl Future<Output = Result<u64, PlatformError>> + Send;

    /// Deletes an object if its version is `expected`.
    fn delete(
        &self,
        key: &str,
        expected: u64,
    ) -> impl Future<Output = Result<(), PlatformError>> + Send;

    /// Lists the objects under a prefix.
    fn list(
        &self,
        prefix: &str,
    ) -> impl Future<Output = Result<Listing, PlatformError>> + Send;

    /// Waits for changes under a prefix after `position`.
    fn watch(
        &self,
        prefix: &str,
        position: u64,
    ) -> impl Future<Output = Result<Listing, PlatformError>> + Send;

    /// Reads the host list.
    fn hosts(&self)
    -> impl Future<Output = Result<Vec<HostEntry>, PlatformError>> + Send;

    /// Returns whether the last call to the platform succeeded.
    fn is_up(&self) -> bool;
}

/// The outcome of a conditional write.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum WriteResult {
    /// The write was applied and produced this version.
    Written(u64),
    /// The object holds another writer's value.
    Conflict(Object),
}

/// Performs a conditional write and reads the object back unless it succeeded.
///
/// If the response to an applied write is lost, a retry fails with a conflict, and
/// the writer would mistake its own value for another writer's. `is_ours` must
/// identify the writer's value by a token that no other writer uses.
pub async fn write_or_read_back<P: Platform>(
    platform: &P,
    key: &str,
    value: &str,
    expected: u64,
    is_ours: impl Fn(&str) -> bool,
) -> Result<WriteResult, PlatformError> {
    let unclear = match platform.write(key, value, expected).await {
        Ok(version) => return Ok(WriteResult::Written(version)),
        Err(PlatformError::Conflict(_)) => None,
        Err(error @ PlatformError::UnknownOutcome(_)) => Some(error),
        Err(error) => return Err(error),
    };
    match (platform.read(key).await?, unclear) {
        (Some(found), _) if found.value.as_deref().is_some_and(&is_ours) => {
            Ok(WriteResult::Written(found.version))
        }
        (Some(found), _) if found.version != expected => Ok(WriteResult::Conflict(found)),
        // The write has not been applied but still may be: the outcome is unknown.
        (_, Some(error)) => Err(error),
        (_, None) => {
            Err(PlatformError::UnknownOutcome("the object vanished".to_string()))
        }
    }
}
