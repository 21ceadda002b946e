//! Waits that a timer ends.

use std::future::{Future, poll_fn};
use std::pin::{Pin, pin};
use std::task::Poll;

use compio::time::Sleep;

/// The deadline of a request or of one of its calls has passed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct DeadlineExceeded;

/// Waits for a future, but no longer than the timer runs.
///
/// # Errors
///
/// [`DeadlineExceeded`] if the timer ended first.
pub(crate) async fn until<F: Future>(
    timer: &mut Sleep,
    awaited: F,
) -> Result<F::Output, DeadlineExceeded> {
    let mut awaited = pin!(awaited);
    poll_fn(|cx| {
        if let Poll::Ready(output) = awaited.as_mut().poll(cx) {
            return Poll::Ready(Ok(output));
        }
        Pin::new(&mut *timer)
            .poll(cx)
            .map(|()| Err(DeadlineExceeded))
    })
    .await
}
