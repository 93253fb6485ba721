//! Whether a response that ended with its connection is complete.
//!
//! A server ends a response that has neither a length nor chunks by closing the connection,
//! and the crash of a server looks the same. The response is complete only if the server that
//! made it lives on: the same start of it, as a server may be back by the time of the check.

use std::time::Duration;

use bilberry_core::Clock;
use bilberry_core::Incarnation;
use bilberry_core::Name;
use bilberry_node::RequestBody;
use http_body_util::BodyExt;
use http_body_util::Limited;
use hyper::HeaderMap;
use tokio::time::sleep;
use tokio::time::timeout;

use crate::Connection;
use crate::Dialect;
use crate::Gateway;
use crate::IdentityCall;
use crate::RequestContext;
use crate::ServerIdentity;
use crate::Upstream;
use crate::connections::ConnectError;
use crate::connections::connect;

/// The delay before the first check, in which an exiting process closes its listening
/// socket.
const FIRST_CHECK_AFTER: Duration = Duration::from_millis(10);

/// The delay before the next check of a server that did not answer one.
///
/// A server answers health checks as it does requests, not while it is full.
const NEXT_CHECK_AFTER: Duration = Duration::from_millis(50);

/// The timeout of one check.
const CHECK_TIMEOUT: Duration = Duration::from_millis(250);

/// The time after which a response counts as cut off whose server has answered no check.
const MAX_CHECK_TIME: Duration = Duration::from_secs(1);

/// The maximum size of the answer to a check.
const MAX_REPLY_BYTES: usize = 64 * 1024;

impl<D: Dialect, C: Clock> Gateway<D, C> {
    /// Reports whether the start of an upstream that made a response lives on after it has
    /// closed the connection.
    ///
    /// Without proof the result is false.
    pub(crate) async fn has_outlived_response(
        &self,
        context: &RequestContext,
        upstream: &Upstream,
    ) -> bool {
        sleep(FIRST_CHECK_AFTER).await;
        let time = MAX_CHECK_TIME.min(context.deadline.remaining(self.clock.now()));
        let is_same = timeout(time, self.check_start(context, upstream)).await;
        is_same.unwrap_or(false) && !upstream.has_ended()
    }

    /// Checks which start of an upstream answers until one does.
    async fn check_start(&self, context: &RequestContext, upstream: &Upstream) -> bool {
        loop {
            match connect(upstream.address).await {
                Ok(mut connection) => {
                    let check = self.check_start_on(context, upstream, &mut connection);
                    if let Ok(Some(is_same)) = timeout(CHECK_TIMEOUT, check).await {
                        self.connections.put_idle(connection, &HeaderMap::new());
                        return is_same;
                    }
                }
                Err(ConnectError::Refused) => return false,
                Err(ConnectError::Unreachable(_) | ConnectError::Failed(_)) => {}
            }
            sleep(NEXT_CHECK_AFTER).await;
        }
    }

    /// Reports whether the process at the other end of a connection is the known start of an
    /// upstream; `None` if it does not tell.
    async fn check_start_on(
        &self,
        context: &RequestContext,
        upstream: &Upstream,
        connection: &mut Connection,
    ) -> Option<bool> {
        let known = upstream.incarnation();
        if known.is_some() && self.is_engine(upstream) {
            // Answered without a slot.
            let found: Option<Incarnation> = self.ask_incarnation(connection).await?;
            return Some(found == known);
        }
        let health_path = context.pool.health_path.clone()?;
        let found = self.ask_identity(connection, upstream, health_path).await?;
        let is_known = known.is_none_or(|known| found.incarnation == Some(known));
        Some(found.upstream == upstream.id && is_known)
    }

    /// Returns the start of a server that answers on a connection; `None` if it does not
    /// tell.
    async fn ask_identity(
        &self,
        connection: &mut Connection,
        upstream: &Upstream,
        health_path: Name,
    ) -> Option<ServerIdentity> {
        let call = IdentityCall {
            upstream: upstream.id.clone(),
            address: connection.address(),
            health_path,
        };
        let call = self.dialect.identity_call(&call).map(RequestBody::from);
        let (head, body) = connection.send(call).await.ok()?.into_parts();
        let body = Limited::new(body, MAX_REPLY_BYTES).collect().await.ok()?.to_bytes();
        connection.wait_until_ready().await.ok()?;
        self.dialect.identity_reply(&head.headers, &body)
    }
}
