//! Two roles in one process: shutdown and errors.

use std::cell::Cell;
use std::future::{pending, ready};

use futures_util::FutureExt;
use lockusher_node::composition::{StopSignal, run_with_secondary};

type Outcome = Result<(), String>;

#[test]
fn the_secondary_role_is_stopped_after_the_primary_one_has_ended() {
    let (end_primary, primary_ends) = futures_channel::oneshot::channel::<()>();
    let (end_secondary, secondary_ends) = futures_channel::oneshot::channel::<()>();
    let notified_to_stop = Cell::new(false);
    let primary = async { primary_ends.await.map_err(|_| "never ended".to_owned()) };
    let start_secondary = |stop: StopSignal| async {
        stop.await;
        notified_to_stop.set(true);
        secondary_ends.await.map_err(|_| "never ended".to_owned())
    };
    let mut both = Box::pin(run_with_secondary(primary, start_secondary));
    assert!(both.as_mut().now_or_never().is_none());
    assert!(!notified_to_stop.get(), "the primary role is still running");
    end_primary.send(()).expect("the receiver is alive");
    assert!(
        both.as_mut().now_or_never().is_none(),
        "the secondary role is still running"
    );
    assert!(notified_to_stop.get());
    end_secondary.send(()).expect("the receiver is alive");
    assert!(both.now_or_never().expect("both have ended").is_ok());
}

fn outcome<S>(primary: Outcome, start_secondary: impl FnOnce(StopSignal) -> S) -> Option<String>
where
    S: Future<Output = Outcome>,
{
    let ended = run_with_secondary(ready(primary), start_secondary)
        .now_or_never()
        .expect("ended");
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
    let ended = run_with_secondary(pending::<Outcome>(), |_| ready(failed()))
        .now_or_never()
        .expect("ended");
    assert_eq!(ended.expect_err("an error").to_string(), "no disk");
}

#[test]
fn a_secondary_role_that_ends_before_it_is_stopped_is_an_error() {
    let ended = run_with_secondary(pending::<Outcome>(), |_| ready(Outcome::Ok(())))
        .now_or_never()
        .expect("ended");
    let error = ended.expect_err("one role alone would look like a healthy process");
    assert_eq!(
        error.to_string(),
        "the secondary role ended before it was stopped"
    );
}
