//! Two parts of the fleet in one process: one that the process is about, and one that accompanies it to its end.

use std::future::Future;
use std::pin::Pin;
use std::task::{Context, Poll};

use futures_channel::oneshot;
use futures_util::future::{Either, select};
use futures_util::pin_mut;

use crate::role::RoleError;

/// Ready once the accompanying part is to stop.
#[derive(Debug)]
pub struct StopSignal(oneshot::Receiver<()>);

impl Future for StopSignal {
    type Output = ();

    fn poll(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<()> {
        Pin::new(&mut self.0).poll(context).map(|_| ())
    }
}

/// Runs two parts side by side. `leading` ends by itself when the process is to stop, and `accompany` makes the part that
/// goes on until then, and is told to stop once `leading` has ended in order. If either ends with an error, or the second
/// one ends first, the other is dropped and the error returned: half a process would look alive.
pub async fn run_accompanied<L, A, S, E, F>(leading: L, accompany: A) -> Result<(), RoleError>
where
    L: Future<Output = Result<(), E>>,
    A: FnOnce(StopSignal) -> S,
    S: Future<Output = Result<(), F>>,
    E: Into<RoleError>,
    F: Into<RoleError>,
{
    let (stop, stopped) = oneshot::channel();
    let accompanying = accompany(StopSignal(stopped));
    pin_mut!(leading, accompanying);
    match select(leading, accompanying).await {
        Either::Left((Ok(()), accompanying)) => {
            // It has ended by itself if it no longer listens.
            let _ = stop.send(());
            accompanying.await.map_err(Into::into)
        }
        Either::Left((Err(error), _)) => Err(error.into()),
        Either::Right((Ok(()), _)) => Err("a part of the process has ended before it was told to".into()),
        Either::Right((Err(error), _)) => Err(error.into()),
    }
}
