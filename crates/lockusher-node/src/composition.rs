//! Two roles of the fleet in one process: one that the process is about, and one that accompanies it to its end.
//!
//! Called by the role `agent` on machines that run a control node, too. Invariant: neither goes on without the other: half
//! a process would look alive.

use std::future::Future;
use std::pin::Pin;
use std::task::{Context, Poll};

use derive_more::{Display, Error};
use futures_channel::oneshot;
use futures_util::future::{Either, select};
use futures_util::pin_mut;

/// Why two roles of a process have ended otherwise than in order.
#[derive(Debug, Display, Error)]
pub enum CompositionError<L, A> {
    /// The leading role failed.
    #[display("{_0}")]
    Leading(L),
    /// The accompanying role failed.
    #[display("{_0}")]
    Accompanying(A),
    /// The accompanying role ended in order while the leading one was at work.
    #[display("a part of the process has ended before it was told to")]
    EndedEarly,
}

/// Ready once the accompanying role is to stop.
#[derive(Debug)]
pub struct StopSignal(oneshot::Receiver<()>);

impl Future for StopSignal {
    type Output = ();

    fn poll(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<()> {
        Pin::new(&mut self.0).poll(context).map(|_| ())
    }
}

/// Runs two roles side by side. `leading` ends by itself when the process is to stop; `accompany` makes the role that goes
/// on until then, and is notified to stop once `leading` has ended in order. When one ends otherwise, the other is
/// dropped.
///
/// # Errors
///
/// [`CompositionError`] with the error of the role that failed first, or if the accompanying one ended first.
pub async fn run_accompanied<L, A, S, E, F>(
    leading: L,
    accompany: A,
) -> Result<(), CompositionError<E, F>>
where
    L: Future<Output = Result<(), E>>,
    A: FnOnce(StopSignal) -> S,
    S: Future<Output = Result<(), F>>,
{
    let (stop, stopped) = oneshot::channel();
    let accompanying = accompany(StopSignal(stopped));
    pin_mut!(leading, accompanying);
    match select(leading, accompanying).await {
        Either::Left((Ok(()), accompanying)) => {
            // It has ended by itself if it no longer listens.
            let _ = stop.send(());
            accompanying.await.map_err(CompositionError::Accompanying)
        }
        Either::Left((Err(error), _)) => Err(CompositionError::Leading(error)),
        Either::Right((Ok(()), _)) => Err(CompositionError::EndedEarly),
        Either::Right((Err(error), _)) => Err(CompositionError::Accompanying(error)),
    }
}
