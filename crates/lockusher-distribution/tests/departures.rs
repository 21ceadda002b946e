//! Searchers that have ended don't come back by an older list.

mod support;

use std::rc::Rc;

use lockusher_distribution::departures::{DepartedInstances, Departure};
use support::{draining, instance};

#[test]
fn a_searcher_seen_draining_stays_draining_in_an_older_list() {
    let mut ended = DepartedInstances::default();
    ended.record_list(1_000, &[instance("a"), instance("b")], &[draining("a"), instance("b")]);
    let older = Rc::new(vec![instance("a"), instance("b")]);
    assert_eq!(*ended.apply(900, &older), [draining("a"), instance("b")]);
    assert_eq!(*ended.apply(60_000, &older), [draining("a"), instance("b")]);
}

#[test]
fn a_searcher_seen_gone_stays_gone_unless_a_much_newer_list_shows_it() {
    let mut ended = DepartedInstances::default();
    ended.record_list(1_000, &[instance("a"), instance("b")], &[instance("b")]);
    let list = Rc::new(vec![instance("a"), instance("b")]);
    assert_eq!(*ended.apply(900, &list), [instance("b")]);
    assert_eq!(*ended.apply(5_000, &list), [instance("b")]);
    assert!(Rc::ptr_eq(&ended.apply(6_000, &list), &list));
}

#[test]
fn only_news_is_new() {
    let mut ended = DepartedInstances::default();
    assert!(ended.record(0, "a", Departure::Draining));
    assert!(!ended.record(10, "a", Departure::Draining));
    assert!(ended.record(20, "a", Departure::Gone));
    assert!(!ended.record(30, "a", Departure::Draining));
    assert_eq!(ended.departure_of(30, "a"), Some(Departure::Gone));
}

#[test]
fn what_is_remembered_is_bounded() {
    let mut ended = DepartedInstances::default();
    for number in 0..10_000 {
        ended.record(number, &format!("i{number}"), Departure::Gone);
    }
    assert_eq!(ended.departure_of(10_000, "i0"), None);
    assert_eq!(ended.departure_of(10_000, "i9999"), Some(Departure::Gone));
}
