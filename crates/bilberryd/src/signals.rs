//! Handling of the signals that stop or reload a process.

use tokio::signal::unix::SignalKind;
use tokio::signal::unix::signal;

/// Calls `reload` on each hangup signal for the lifetime of the process.
///
/// The default action of the signal ends the process, so without a handler a
/// change of the settings file would abort all requests in progress.
pub fn on_hangup(mut reload: impl FnMut() + Send + 'static) {
    let mut hangup = match signal(SignalKind::hangup()) {
        Ok(hangup) => hangup,
        Err(error) => {
            log::warn!("failed to install the handler for hangup signals: {error}");
            return;
        }
    };
    tokio::spawn(async move {
        while hangup.recv().await.is_some() {
            reload();
        }
    });
}

/// Waits for a termination or interrupt signal.
pub async fn wait_for_signal() {
    let (Ok(mut terminate), Ok(mut interrupt)) =
        (signal(SignalKind::terminate()), signal(SignalKind::interrupt()))
    else {
        return std::future::pending().await;
    };
    tokio::select! {
        _ = terminate.recv() => {}
        _ = interrupt.recv() => {}
    }
}
