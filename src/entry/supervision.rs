//! Starts background tasks anew when they panic.

use std::panic::AssertUnwindSafe;
use std::time::Duration;

use futures::FutureExt;
use tokio::task::spawn_local;
use tokio::time::sleep;

use crate::telemetry::metrics::metrics;

/// Delay before a task that has panicked is started anew, so that one that panics at once doesn't
/// use up the processor.
const RESTART_DELAY: Duration = Duration::from_millis(100);

/// Runs a background task on the current thread, and starts it anew when it panics. Otherwise a VM
/// would go on without a part of its work, such as the renewal of its lease, and seem healthy.
pub fn spawn<F>(name: &'static str, start: impl Fn() -> F + 'static)
where
    F: Future<Output = ()> + 'static,
{
    spawn_local(async move {
        while AssertUnwindSafe(start()).catch_unwind().await.is_err() {
            log::error!("event=task_failed task={name} action=restarted");
            metrics().count_task_failure(name);
            sleep(RESTART_DELAY).await;
        }
    });
}

#[cfg(test)]
mod tests;
