//! Tests of a replica's recovery from its disk at the start.

mod support;

use lockusher_control::{
    DurableRecord, Effect, Event, Identity, Position, Replica, ReplicaSetup, ReplicatedState, View,
};
use support::{address, document, first_view, persist, proposal_number, records, state_of};

/// Lists the seeds in another order than that of their addresses.
fn setup(host: u8, first_start: bool) -> ReplicaSetup {
    ReplicaSetup {
        seeds: vec![address(3), address(1), address(2)],
        ..support::setup(host, first_start)
    }
}

#[test]
fn seeds_compute_the_same_first_view_without_communication() {
    let views: Vec<Option<View>> = (1..=3)
        .map(|host| {
            Replica::new(setup(host, true), Vec::new(), 0)
                .0
                .view()
                .cloned()
        })
        .collect();
    assert!(views[0].is_some());
    assert_eq!(views[0], views[1]);
    assert_eq!(views[0], views[2]);
}

#[test]
fn a_seed_that_lost_its_disk_restarts_with_another_identity() {
    let (first, _) = Replica::new(setup(1, true), Vec::new(), 0);
    let (wiped, _) = Replica::new(setup(1, false), Vec::new(), 0);
    assert_ne!(first.identity(), wiped.identity());
    assert_eq!(wiped.view(), None);
    assert!(
        first
            .view()
            .is_some_and(|view| !view.is_voter(wiped.identity()))
    );
}

#[test]
fn a_restart_keeps_identity_and_view() {
    let (first, effects) = Replica::new(setup(1, true), Vec::new(), 0);

    let (restarted, _) = Replica::new(setup(1, false), records(&effects), 0);

    assert_eq!(first.identity(), restarted.identity());
    assert_eq!(first.view(), restarted.view());
}

#[test]
fn a_disk_used_at_another_address_gets_a_new_identity() {
    let (first, effects) = Replica::new(setup(1, true), Vec::new(), 0);

    let (moved, _) = Replica::new(setup(9, false), records(&effects), 0);

    assert_ne!(first.identity(), moved.identity());
    assert_eq!(first.view(), moved.view());
}

#[test]
fn acceptor_records_count_only_in_their_epoch_and_in_any_order() {
    let view = first_view();
    let next = View {
        epoch: 2,
        ..view.clone()
    };
    let identity = DurableRecord::Identity {
        identity: Identity(5),
        address: address(1),
    };
    let log = vec![
        identity,
        DurableRecord::Promise {
            epoch: 1,
            proposal_number: proposal_number(9),
        },
        DurableRecord::Promise {
            epoch: 2,
            proposal_number: proposal_number(4),
        },
        DurableRecord::Promise {
            epoch: 2,
            proposal_number: proposal_number(3),
        },
        DurableRecord::View(next.clone()),
        DurableRecord::View(view),
        DurableRecord::Seal { epoch: 1 },
    ];

    let (replica, _) = Replica::new(setup(1, false), log, 0);

    let snapshot = replica.snapshot();
    assert!(snapshot.contains(&DurableRecord::View(next)));
    assert!(snapshot.contains(&DurableRecord::Promise {
        epoch: 2,
        proposal_number: proposal_number(4)
    }));
    assert!(
        !snapshot
            .iter()
            .any(|record| matches!(record, DurableRecord::Seal { .. }))
    );
}

/// The second sealed state may be recorded as an entry on top of the first, at the same position.
#[test]
fn sealed_states_of_one_epoch_are_all_replayed() {
    let sealed = Position {
        epoch: 3,
        index: Position::SEALED,
    };
    let first = ReplicatedState::default().with(document(1));
    let second = first.with(document(2));
    let third = second.with(document(3));
    let log = vec![
        DurableRecord::State {
            position: sealed,
            state: first.clone(),
        },
        DurableRecord::Entry {
            position: sealed,
            previous: first.history_digest(),
            document: document(2),
        },
        DurableRecord::Entry {
            position: Position { epoch: 4, index: 1 },
            previous: second.history_digest(),
            document: document(3),
        },
    ];

    let (replica, _) = Replica::new(setup(1, false), log, 0);

    assert_eq!(state_of(&replica), Some(third));
}

#[test]
fn duplicate_entries_and_entries_without_their_predecessor_are_skipped() {
    let start = ReplicatedState::default();
    let one = start.with(document(1));
    let entry = |index, previous: &ReplicatedState, version| DurableRecord::Entry {
        position: Position { epoch: 1, index },
        previous: previous.history_digest(),
        document: document(version),
    };
    let log = vec![
        entry(1, &start, 1),
        entry(1, &start, 1),
        entry(3, &one.with(document(8)), 9),
        entry(2, &one, 2),
    ];

    let (replica, _) = Replica::new(setup(1, false), log, 0);

    assert_eq!(state_of(&replica), Some(one.with(document(2))));
}

#[test]
fn a_snapshot_restores_the_state_of_which_it_was_taken() {
    let (mut replica, effects) = Replica::new(setup(1, true), Vec::new(), 0);
    persist(&mut replica, 1, &effects);

    let snapshot = replica.snapshot();
    let (restored, _) = Replica::new(setup(1, false), snapshot.clone(), 0);

    assert_eq!(restored.snapshot(), snapshot);
}

/// A new node whose seeds run no control node finds the others by the addresses that an agent reports.
#[test]
fn a_node_contacts_the_control_nodes_that_an_agent_reports() {
    let mut new_node = Replica::new(setup(9, false), Vec::new(), 0).0;
    let introduced = Event::Introduced {
        addresses: vec![address(5)],
    };

    new_node.handle(10, introduced);
    let effects = new_node.handle(10_000, Event::Tick);

    let contacted = |host| {
        effects
            .iter()
            .any(|effect| matches!(effect, Effect::Send { to, .. } if *to == address(host)))
    };
    assert!(contacted(5), "{effects:?}");
    assert!(contacted(1), "{effects:?}");
}
