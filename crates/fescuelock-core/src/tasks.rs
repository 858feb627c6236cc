//! The group of asynchronous tasks of a node.

use std::future::Future;

use tokio_util::sync::CancellationToken;
use tokio_util::task::TaskTracker;

/// `TaskGroup` spawns the tasks of a node and cancels or awaits all of them.
#[derive(Debug, Clone, Default)]
pub struct TaskGroup {
    abort: CancellationToken,
    tracker: TaskTracker,
}

impl TaskGroup {
    /// Spawns a task that runs until it completes or [`TaskGroup::abort`] is called.
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

    /// Cancels every task at its next suspension point, without cleanup.
    ///
    /// Called after a drain, or without one to simulate a crash of the process.
    pub fn abort(&self) {
        self.abort.cancel();
    }

    /// Waits until every task has ended. No task may be spawned after this call.
    pub async fn wait_all(&self) {
        self.tracker.close();
        self.tracker.wait().await;
    }
}
