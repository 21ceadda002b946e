//! The replicated state against a plain list.

mod support;

use lockusher_control::{Digest, ReplicatedState, state::MAX_HISTORY};
use support::document;

#[test]
fn the_newest_digests_are_kept() {
    let mut state = ReplicatedState::default();
    let mut taken: Vec<Digest> = Vec::new();
    let count = MAX_HISTORY as u64 + 10;
    for version in 1..=count {
        state = state.with(document(version));
        taken.push(document(version).digest);
    }
    let (forgotten, kept) = taken.split_at(taken.len() - MAX_HISTORY);
    assert!(kept.iter().all(|digest| state.has_applied(*digest)));
    assert!(!forgotten.iter().any(|digest| state.has_applied(*digest)));
    assert_eq!(state.version(), count);
}

#[test]
fn lineages_tell_sequences_apart() {
    let start = ReplicatedState::default();
    let one = start.with(document(1));
    let two = one.with(document(2));
    assert_eq!(two, start.with(document(1)).with(document(2)));
    assert_eq!(two.previous_history_digest(), one.history_digest());
    let other = start.with(document(2));
    let history_digests =
        [start.history_digest(), one.history_digest(), two.history_digest(), other.history_digest()];
    for (place, history_digest) in history_digests.iter().enumerate() {
        assert!(!history_digests[..place].contains(history_digest));
    }
}
