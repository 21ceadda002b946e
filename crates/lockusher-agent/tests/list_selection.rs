//! Selection of the list in force, and assignment of the revision under which it is published to the proxy.

mod support;

use std::rc::Rc;

use lockusher_agent::list_selection::ListSelection;
use lockusher_config::instances::{Instance, InstanceListRevision};
use lockusher_distribution::departures::Departure;
use lockusher_distribution::instance_list::InstanceList;
use lockusher_distribution::revision::{
    POLLER_REVISION_STEP, is_poller_revision, next_poller_revision,
};
use proptest::prelude::*;
use support::common::{draining, instance, revision};
use support::departed;
use support::list_history::{ListSimulation, own_poll};

fn list(sequence: u64, instances: &[Instance]) -> InstanceList {
    InstanceList {
        revision: revision(1, sequence * POLLER_REVISION_STEP),
        instances: Rc::new(instances.to_vec()),
    }
}

/// A selection in which `list` is in force, last confirmed at `confirmed_at_ms`.
fn selection_with(list: &InstanceList, confirmed_at_ms: u64) -> ListSelection {
    let mut lists = ListSelection::default();
    lists.receive_control_list(confirmed_at_ms, list, Some(confirmed_at_ms));
    lists.take_update(confirmed_at_ms);
    lists
}

fn names(update: &InstanceList) -> Vec<&str> {
    update
        .instances
        .iter()
        .map(|instance| instance.identifier.as_str())
        .collect()
}

#[test]
fn the_control_planes_list_is_published_under_its_own_revision() {
    let mut lists = ListSelection::default();
    let first = list(1, &[instance("a")]);

    lists.receive_control_list(0, &first, None);

    assert_eq!(lists.take_update(0), Some(first));
    assert_eq!(lists.take_update(0), None);
}

#[test]
fn an_own_poll_is_in_force_until_the_control_planes_list_is_confirmed_later() {
    let mut lists = selection_with(&list(1, &[instance("a")]), 1_000);

    lists.receive_own_poll(5_000, &own_poll(5_000, &[instance("a"), instance("b")]));
    let own = lists.take_update(5_100).expect("the own poll is newer");
    assert_eq!(names(&own), ["a", "b"]);
    assert!(!is_poller_revision(own.revision));

    // A lagging control node sends a newer revision with an earlier confirmation.
    lists.receive_control_list(
        3_000,
        &list(2, &[instance("a"), instance("c")]),
        Some(3_000),
    );
    assert_eq!(lists.take_update(5_200), None);

    lists.receive_control_list(6_000, &list(3, &[instance("b")]), Some(6_000));
    let caught_up = lists
        .take_update(6_100)
        .expect("the control plane's list is newer");
    assert_eq!(caught_up, list(3, &[instance("b")]));
}

/// An unchanged list of the control plane replaces the agent's poll once it is confirmed later than the poll.
#[test]
fn a_confirmed_list_that_did_not_change_is_published_under_a_higher_revision() {
    let unchanged = list(1, &[instance("a"), instance("b")]);
    let mut lists = selection_with(&unchanged, 1_000);
    lists.receive_own_poll(
        5_000,
        &own_poll(5_000, &[instance("a"), instance("b"), instance("c")]),
    );
    let own = lists.take_update(5_100).expect("the own poll is newer");

    lists.receive_control_list(6_000, &unchanged, Some(6_000));

    let update = lists
        .take_update(6_100)
        .expect("the confirmed list is newer");
    assert_eq!(update.instances, unchanged.instances);
    assert!(update.revision > own.revision);
    assert!(
        update.revision < list(2, &[]).revision,
        "the control plane's next change is above it"
    );
}

#[test]
fn a_poll_older_than_the_confirmed_list_is_not_selected() {
    let mut lists = selection_with(&list(1, &[instance("a")]), 6_000);

    lists.receive_own_poll(5_000, &own_poll(5_000, &[]));

    assert_eq!(lists.take_update(6_100), None);
}

#[test]
fn an_older_list_does_not_bring_back_searchers_seen_draining_or_gone() {
    let control = list(1, &[instance("a"), instance("b"), instance("c")]);
    let mut lists = selection_with(&control, 1_000);
    lists.receive_own_poll(5_000, &own_poll(5_000, &[draining("a"), instance("c")]));
    lists.take_update(5_100);

    // Because of a wrong confirmation time, the older list counts as confirmed later.
    lists.receive_control_list(5_400, &control, Some(5_400));

    assert_eq!(
        lists.take_update(5_500),
        None,
        "the list in force stays: a is draining, b is gone"
    );
    let in_force = lists.in_force().expect("a list was published");
    assert_eq!(*in_force.instances, [draining("a"), instance("c")]);
}

#[test]
fn a_departure_that_a_peer_observed_takes_effect_at_once() {
    let mut lists = selection_with(&list(1, &[instance("a"), instance("b")]), 1_000);

    assert!(lists.record_peer_departure(2_000, &departed("a", Departure::Draining)));
    assert!(lists.record_peer_departure(2_000, &departed("b", Departure::Gone)));
    assert!(!lists.record_peer_departure(2_100, &departed("b", Departure::Gone)));

    let update = lists.take_update(2_100).expect("the list has changed");
    assert_eq!(*update.instances, [draining("a")]);
}

#[test]
fn a_restarted_agent_does_not_replace_the_proxys_list_by_one_that_may_be_older() {
    let mut lists = ListSelection::default();
    let applied = revision(1, 2 * POLLER_REVISION_STEP + 7);
    let control = list(2, &[instance("a")]);
    lists.receive_control_list(900, &control, Some(900));
    assert_eq!(lists.take_update(900), Some(control.clone()));

    lists.receive_proxy_revision(1_000, applied);
    lists.receive_control_list(1_100, &control, Some(1_100));
    assert_eq!(lists.take_update(1_100), None);

    lists.receive_control_list(1_400, &control, Some(1_400));
    let update = lists
        .take_update(1_400)
        .expect("definitely newer than the list that the proxy has applied");
    assert!(update.revision > applied);
    assert_eq!(update.instances, control.instances);
    assert_eq!(lists.take_update(1_500), None);
}

#[test]
fn poller_revisions_leave_a_gap_and_restart_in_a_new_epoch() {
    let first = next_poller_revision(InstanceListRevision::default(), 3);
    let after_the_gap = next_poller_revision(revision(3, POLLER_REVISION_STEP + 12), 3);
    let in_a_new_epoch = next_poller_revision(revision(3, 9 * POLLER_REVISION_STEP), 4);

    assert_eq!(first, revision(3, POLLER_REVISION_STEP));
    assert_eq!(after_the_gap, revision(3, 2 * POLLER_REVISION_STEP));
    assert_eq!(in_a_new_epoch, revision(4, POLLER_REVISION_STEP));
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(300))]

    /// With lagging control nodes, polls of the agent and restarts of the agent, the proxy's revisions increase, no
    /// departed searcher returns, and an up-to-date control node delivers the newest list.
    #[test]
    fn no_departed_searcher_returns_and_the_newest_list_wins(seed in any::<u64>()) {
        let mut simulation = ListSimulation::new(seed);
        for _ in 0..400 {
            simulation.step();
        }

        let newest = simulation.recover();

        prop_assert_eq!(simulation.proxy_list(), &newest);
    }
}
