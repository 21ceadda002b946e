//! Tests of the replicated state, in comparison with a plain list of the applied requests.

mod support;

use lockusher_control::{Digest, ReplicatedState, state::MAX_HISTORY};
use support::document;

#[test]
fn the_newest_request_identities_are_retained() {
    let mut state = ReplicatedState::default();
    let mut applied: Vec<Digest> = Vec::new();
    let count = MAX_HISTORY as u64 + 10;
    for version in 1..=count {
        state = state.with(document(version));
        applied.push(document(version).digest);
    }

    let (evicted, retained) = applied.split_at(applied.len() - MAX_HISTORY);
    assert!(retained.iter().all(|digest| state.has_applied(*digest)));
    assert!(!evicted.iter().any(|digest| state.has_applied(*digest)));
    assert_eq!(state.version(), count);
}

#[test]
fn history_digests_differ_for_different_sequences() {
    let start = ReplicatedState::default();
    let one = start.with(document(1));
    let two = one.with(document(2));
    assert_eq!(two, start.with(document(1)).with(document(2)));
    assert_eq!(two.previous_history_digest(), one.history_digest());
    let other = start.with(document(2));
    let history_digests = [
        start.history_digest(),
        one.history_digest(),
        two.history_digest(),
        other.history_digest(),
    ];
    for (index, history_digest) in history_digests.iter().enumerate() {
        assert!(!history_digests[..index].contains(history_digest));
    }
}
