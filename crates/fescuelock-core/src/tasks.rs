//! Tasks of one node, which end together.

use std::future::Future;

use tokio_util::sync::CancellationToken;
use tokio_util::task::TaskTracker;

/// `Tasks` spawns the tasks of one node and can wait for them or abort them as a group.
#[derive(Debug, Clone, Default)]
pub struct Tasks {
    abort: CancellationToken,
    tracker: TaskTracker,
}

impl Tasks {
    /// Spawns a task that runs until it ends or until [`Tasks::abort`] is called.
    pub fn spawn(&self, future: impl Future<Output = ()> + Send + 'static) {
        let abort = self.abort.clone();
        self.tracker.spawn(async move {
            tokio::select! {
                biased;
                () = abort.cancelled() => {}
                () = future => {}
            }
        });
    }

    /// Drops every task at its next suspension point, as a sudden death of the process would.
    pub fn abort(&self) {
        self.abort.cancel();
    }

    /// Waits until every task has ended. No task may be spawned after this call.
    pub async fn finished(&self) {
        self.tracker.close();
        self.tracker.wait().await;
    }
}
