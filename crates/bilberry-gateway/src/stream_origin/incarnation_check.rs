//! Checks that a stream goes on at the incarnation that is meant.

use std::time::Duration;

use bilberry_core::Clock;
use bilberry_core::Incarnation;
use bilberry_node::RequestBody;
use http_body_util::BodyExt;
use http_body_util::Limited;
use tokio::time::timeout;

use crate::Connection;
use crate::Dialect;
use crate::Gateway;
use crate::Upstream;

/// How long a server may take to tell when it started.
///
/// Servers answer such calls without a slot.
const REPLY_TIMEOUT: Duration = Duration::from_millis(250);

/// The maximum size of the reply, which lists the server's runs.
const MAX_REPLY_BYTES: usize = 64 * 1024;

impl<D: Dialect, C: Clock> Gateway<D, C> {
    /// Reports whether the process at the other end of a connection is the incarnation of
    /// the upstream that this entry knows.
    ///
    /// A server that starts again under its id, possibly with other software, answers
    /// requests that were meant for the earlier start. A connection ends with its process,
    /// so the reply holds for what follows on the same one. Where servers don't tell their
    /// start, each start has an id of its own.
    pub(crate) async fn is_known_incarnation(
        &self,
        connection: &mut Connection,
        upstream: &Upstream,
    ) -> bool {
        let Some(known) = upstream.incarnation() else { return true };
        let asked = timeout(REPLY_TIMEOUT, self.ask_incarnation(connection)).await;
        asked.ok().flatten().flatten() == Some(known)
    }

    /// Reports whether a process lives at the other end of a connection: it answers, or
    /// closes the connection.
    pub(crate) async fn shows_life(&self, connection: &mut Connection) -> bool {
        timeout(REPLY_TIMEOUT, self.ask_incarnation(connection)).await.is_ok()
    }

    /// Returns the start that the process at the other end of a connection tells, if it
    /// tells one; `None` if it does not answer.
    pub(crate) async fn ask_incarnation(
        &self,
        connection: &mut Connection,
    ) -> Option<Option<Incarnation>> {
        let call = self.dialect.start_call(connection.address()).map(RequestBody::from);
        let response = connection.send(call).await.ok()?;
        let status = response.status();
        let body = Limited::new(response.into_body(), MAX_REPLY_BYTES).collect();
        let body = body.await.ok()?.to_bytes();
        connection.wait_until_ready().await.ok()?;
        Some(self.dialect.start_reply(status, &body))
    }
}
