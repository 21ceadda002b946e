//! Two roles in one process: how they end.

use std::cell::Cell;
use std::future::{pending, ready};

use futures_util::FutureExt;
use lockusher_node::composition::{StopSignal, run_accompanied};

type Outcome = Result<(), String>;

#[test]
fn the_accompanying_role_runs_until_the_leading_one_has_ended_and_then_ends_in_order() {
    let (end_leading, leading_ends) = futures_channel::oneshot::channel::<()>();
    let (end_accompanying, accompanying_ends) = futures_channel::oneshot::channel::<()>();
    let notified_to_stop = Cell::new(false);
    let leading = async { leading_ends.await.map_err(|_| "never ended".to_owned()) };
    let accompany = |stop: StopSignal| async {
        stop.await;
        notified_to_stop.set(true);
        accompanying_ends
            .await
            .map_err(|_| "never ended".to_owned())
    };
    let mut both = Box::pin(run_accompanied(leading, accompany));
    assert!(both.as_mut().now_or_never().is_none());
    assert!(!notified_to_stop.get(), "the leading role is still at work");
    end_leading.send(()).expect("it listens");
    assert!(
        both.as_mut().now_or_never().is_none(),
        "the accompanying role isn't over yet"
    );
    assert!(notified_to_stop.get());
    end_accompanying.send(()).expect("it listens");
    assert!(both.now_or_never().expect("both are over").is_ok());
}

fn outcome<S>(leading: Outcome, accompany: impl FnOnce(StopSignal) -> S) -> Option<String>
where
    S: Future<Output = Outcome>,
{
    let ended = run_accompanied(ready(leading), accompany)
        .now_or_never()
        .expect("over");
    ended.err().map(|error| error.to_string())
}

#[test]
fn the_error_of_either_role_ends_the_process() {
    let failed = || Err("no disk".to_owned());
    assert_eq!(outcome(failed(), |_| pending()), Some("no disk".to_owned()));
    assert_eq!(
        outcome(Ok(()), |_| ready(failed())),
        Some("no disk".to_owned())
    );
    let ended = run_accompanied(pending::<Outcome>(), |_| ready(failed()))
        .now_or_never()
        .expect("over");
    assert_eq!(ended.expect_err("an error").to_string(), "no disk");
}

#[test]
fn a_role_that_ends_before_it_is_notified_to_stop_is_an_error() {
    let ended = run_accompanied(pending::<Outcome>(), |_| ready(Outcome::Ok(())))
        .now_or_never()
        .expect("over");
    let error = ended.expect_err("half a process would look alive");
    assert_eq!(
        error.to_string(),
        "a part of the process has ended before it was told to"
    );
}
