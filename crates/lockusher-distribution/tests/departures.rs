//! Departed searchers aren't brought back by an older list.

mod support;

use std::rc::Rc;

use lockusher_distribution::departures::{DepartedInstances, Departure};
use support::{draining, instance};

#[test]
fn a_searcher_seen_draining_stays_draining_in_an_older_list() {
    let mut departed = DepartedInstances::default();
    let older = Rc::new(vec![instance("a"), instance("b")]);

    departed.record_list(1_000, &older, &[draining("a"), instance("b")]);

    assert_eq!(*departed.apply(900, &older), [draining("a"), instance("b")]);
    assert_eq!(
        *departed.apply(60_000, &older),
        [draining("a"), instance("b")]
    );
}

#[test]
fn a_searcher_seen_gone_stays_gone_unless_a_much_newer_list_shows_it() {
    let mut departed = DepartedInstances::default();
    let list = Rc::new(vec![instance("a"), instance("b")]);

    departed.record_list(1_000, &list, &[instance("b")]);

    assert_eq!(*departed.apply(900, &list), [instance("b")]);
    assert_eq!(*departed.apply(5_000, &list), [instance("b")]);
    assert!(Rc::ptr_eq(&departed.apply(6_000, &list), &list));
}

#[test]
fn a_departure_is_new_once_and_again_only_when_more_final() {
    let mut departed = DepartedInstances::default();

    assert!(departed.record(0, "a", Departure::Draining));
    assert!(!departed.record(10, "a", Departure::Draining));
    assert!(departed.record(20, "a", Departure::Gone));
    assert!(!departed.record(30, "a", Departure::Draining));

    assert_eq!(departed.departure_of(30, "a"), Some(Departure::Gone));
}

#[test]
fn the_number_of_recorded_departures_is_bounded() {
    let mut departed = DepartedInstances::default();

    for number in 0..10_000 {
        departed.record(number, &format!("i{number}"), Departure::Gone);
    }

    assert_eq!(departed.departure_of(10_000, "i0"), None);
    assert_eq!(
        departed.departure_of(10_000, "i9999"),
        Some(Departure::Gone)
    );
}
