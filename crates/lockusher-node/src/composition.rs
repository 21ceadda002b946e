//! Runs two roles in one process: a primary one, and a secondary one that is stopped after it.
//!
//! Used by the role `agent` on machines that also run a control node. Invariant: if one role fails, so does the
//! process: a process with only one of its roles would still look healthy.

use std::future::Future;
use std::pin::Pin;
use std::task::{Context, Poll};

use derive_more::{Display, Error};
use futures_channel::oneshot;
use futures_util::future::{Either, select};
use futures_util::pin_mut;

/// Why two roles of a process ended other than by a graceful shutdown.
#[derive(Debug, Display, Error)]
pub enum CompositionError<P, S> {
    /// The primary role failed.
    #[display("{_0}")]
    Primary(P),
    /// The secondary role failed.
    #[display("{_0}")]
    Secondary(S),
    /// The secondary role ended without an error while the primary one was running.
    #[display("the secondary role ended before it was stopped")]
    EndedEarly,
}

/// Completes when the secondary role is to stop.
#[derive(Debug)]
pub struct StopSignal(oneshot::Receiver<()>);

impl Future for StopSignal {
    type Output = ();

    fn poll(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<()> {
        Pin::new(&mut self.0).poll(context).map(|_| ())
    }
}

/// Runs two roles concurrently. `primary` completes by itself when the process is to stop; `start_secondary` creates
/// the secondary role, which is notified to stop once `primary` has completed without an error. If either role fails,
/// the other one is dropped.
///
/// # Errors
///
/// [`CompositionError`] with the error of the role that failed first, or if the secondary role ended first.
pub async fn run_with_secondary<P, N, S, E, F>(
    primary: P,
    start_secondary: N,
) -> Result<(), CompositionError<E, F>>
where
    P: Future<Output = Result<(), E>>,
    N: FnOnce(StopSignal) -> S,
    S: Future<Output = Result<(), F>>,
{
    let (stop, stopped) = oneshot::channel();
    let secondary = start_secondary(StopSignal(stopped));
    pin_mut!(primary, secondary);
    match select(primary, secondary).await {
        Either::Left((Ok(()), secondary)) => {
            // Fails only if the secondary role has dropped its stop signal and ends by itself.
            let _ = stop.send(());
            secondary.await.map_err(CompositionError::Secondary)
        }
        Either::Left((Err(error), _)) => Err(CompositionError::Primary(error)),
        Either::Right((Ok(()), _)) => Err(CompositionError::EndedEarly),
        Either::Right((Err(error), _)) => Err(CompositionError::Secondary(error)),
    }
}
