//! A timeout by a timer that is shared by several waits.

use std::future::{Future, poll_fn};
use std::pin::{Pin, pin};
use std::task::Poll;

use compio::time::Sleep;

/// The timer has elapsed before the future completed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct DeadlineExceeded;

/// Waits for a future until the timer elapses.
///
/// # Errors
///
/// [`DeadlineExceeded`] if the timer elapses first.
pub(crate) async fn run_until<F: Future>(
    timer: &mut Sleep,
    future: F,
) -> Result<F::Output, DeadlineExceeded> {
    let mut future = pin!(future);
    poll_fn(|cx| {
        if let Poll::Ready(output) = future.as_mut().poll(cx) {
            return Poll::Ready(Ok(output));
        }
        Pin::new(&mut *timer)
            .poll(cx)
            .map(|()| Err(DeadlineExceeded))
    })
    .await
}
