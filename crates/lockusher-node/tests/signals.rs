//! Delivery of signals to the runtime. A single test: the handlers are global to the process.

use std::io::ErrorKind;

use compio::runtime::Runtime;
use lockusher_node::signals::{Signal, Signals};

fn raise(signal: i32) {
    // SAFETY: the signal is handled or ignored by the process.
    assert_eq!(unsafe { libc::raise(signal) }, 0);
}

/// Sends a signal from another thread, so that it can interrupt the runtime while it waits.
fn send_from_another_thread(signal: i32) -> std::thread::JoinHandle<()> {
    std::thread::spawn(move || {
        // SAFETY: the signal is handled by the process.
        assert_eq!(unsafe { libc::kill(libc::getpid(), signal) }, 0);
    })
}

#[test]
fn signals_reach_the_runtime() {
    let signals = Signals::install().unwrap();
    let again = Signals::install().unwrap_err();
    assert_eq!(again.kind(), ErrorKind::AlreadyExists);

    raise(libc::SIGPIPE);
    raise(libc::SIGHUP);
    raise(libc::SIGTERM);
    raise(libc::SIGINT);
    Runtime::new().unwrap().block_on(async {
        let signals = signals.polled().unwrap();
        assert_eq!(signals.next().await.unwrap(), Signal::SettingsChanged);
        assert_eq!(signals.next().await.unwrap(), Signal::Stop);
        assert_eq!(signals.next().await.unwrap(), Signal::Stop);

        for _ in 0..50 {
            let sender = send_from_another_thread(libc::SIGHUP);
            assert_eq!(signals.next().await.unwrap(), Signal::SettingsChanged);
            sender.join().unwrap();
        }

        raise(libc::SIGHUP);
        raise(libc::SIGHUP);
        let sender = send_from_another_thread(libc::SIGTERM);
        let mut changes = 0;
        signals.until_stop(|| changes += 1).await.unwrap();
        sender.join().unwrap();
        assert_eq!(changes, 2);
    });
}
