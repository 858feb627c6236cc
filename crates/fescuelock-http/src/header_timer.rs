//! The timer of the header timeout, which follows changes of the options.

use std::pin::Pin;
use std::sync::Arc;
use std::task::{Context, Poll, ready};
use std::time::Duration;

use hyper::rt::{Sleep, Timer};
use tokio::time::Instant;

use crate::connections::ConnectionState;
use crate::server::SharedOptions;

/// `HeaderTimer` measures the header timeout of a connection by the options in force.
///
/// The timeout also runs while a connection is idle, and a caller relies on the longest limit that
/// has been in force meanwhile. So the limit at the beginning of a wait applies, or a longer one
/// that is in force when that has passed.
#[derive(Debug, Clone)]
pub(crate) struct HeaderTimer {
    pub options: SharedOptions,
    /// State of the connection, which waits for a request whenever the timer starts.
    pub state: Arc<ConnectionState>,
}

/// `HeaderWait` is one wait for the head of a request.
struct HeaderWait {
    started: Instant,
    options: SharedOptions,
    sleep: Pin<Box<tokio::time::Sleep>>,
}

fn header_timeout(options: &SharedOptions) -> Duration {
    Duration::from_millis(options.load().header_timeout_ms)
}

impl Timer for HeaderTimer {
    /// Waits for the header timeout in force, since `_duration` is from the time of acceptance.
    fn sleep(&self, _duration: Duration) -> Pin<Box<dyn Sleep>> {
        self.state.begin_wait();
        let (started, options) = (Instant::now(), SharedOptions::clone(&self.options));
        let sleep = Box::pin(tokio::time::sleep_until(started + header_timeout(&options)));
        Box::pin(HeaderWait { started, options, sleep })
    }

    fn sleep_until(&self, deadline: std::time::Instant) -> Pin<Box<dyn Sleep>> {
        self.sleep(deadline.saturating_duration_since(self.now()))
    }

    fn now(&self) -> std::time::Instant {
        Instant::now().into_std()
    }
}

impl Future for HeaderWait {
    type Output = ();

    fn poll(self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<()> {
        let wait = self.get_mut();
        loop {
            ready!(wait.sleep.as_mut().poll(context));
            let deadline = wait.started + header_timeout(&wait.options);
            if deadline <= wait.sleep.deadline() {
                return Poll::Ready(());
            }
            wait.sleep.as_mut().reset(deadline);
        }
    }
}

impl Sleep for HeaderWait {}
