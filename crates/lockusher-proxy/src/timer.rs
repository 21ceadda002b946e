//! A timeout by a timer that is shared by several waits. All timers elapse when a proxy that shuts down cuts its requests.

use std::future::{Future, poll_fn};
use std::pin::{Pin, pin};
use std::rc::Rc;
use std::task::{Context, Poll};
use std::time::Instant;

use compio::time::Sleep;
use lockusher_transport::server::ConnectionRegistry;

/// The timer has elapsed before the future completed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct DeadlineExceeded;

/// The timer of a request. It is polled by the task of the client's connection, which is woken when requests are cut.
#[derive(Debug)]
pub(crate) struct RequestTimer {
    sleep: Sleep,
    clients: Rc<ConnectionRegistry>,
}

impl RequestTimer {
    pub(crate) fn until(deadline: Instant, clients: Rc<ConnectionRegistry>) -> Self {
        RequestTimer {
            sleep: compio::time::sleep_until(deadline),
            clients,
        }
    }

    /// Completes when the timer has elapsed.
    pub(crate) fn poll_elapsed(&mut self, cx: &mut Context<'_>) -> Poll<()> {
        if self.clients.are_requests_cut() {
            return Poll::Ready(());
        }
        Pin::new(&mut self.sleep).poll(cx)
    }
}

/// Waits for a future until the timer elapses.
///
/// # Errors
///
/// [`DeadlineExceeded`] if the timer elapses first.
pub(crate) async fn run_until<F: Future>(
    timer: &mut RequestTimer,
    future: F,
) -> Result<F::Output, DeadlineExceeded> {
    let mut future = pin!(future);
    poll_fn(|cx| {
        if let Poll::Ready(output) = future.as_mut().poll(cx) {
            return Poll::Ready(Ok(output));
        }
        timer.poll_elapsed(cx).map(|()| Err(DeadlineExceeded))
    })
    .await
}
