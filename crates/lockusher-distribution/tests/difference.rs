//! Applying a difference gives exactly the newer version, whether elements were added, removed, changed or moved.

mod support;

use lockusher_config::instances::Instance;
use lockusher_distribution::difference::{
    ConfigurationDifference, DifferenceError, InstanceListDifference, Segment, apply_segments,
    diff_segments,
};
use proptest::prelude::*;
use proptest::sample::subsequence;
use support::{configuration, instance, revision};
use yare::parameterized;

fn instances() -> impl Strategy<Value = Vec<Instance>> {
    let names: Vec<u32> = (0..12).collect();
    (
        subsequence(names, 0..=12).prop_shuffle(),
        proptest::collection::vec(1u32..3, 12),
    )
        .prop_map(|(names, slots)| {
            let entry = |name: &u32| Instance {
                slots: slots[*name as usize],
                ..instance(&format!("i{name}"))
            };
            names.iter().map(entry).collect()
        })
}

fn routes() -> impl Strategy<Value = Vec<(u8, u64)>> {
    let names: Vec<u8> = (0..8).collect();
    (
        subsequence(names, 0..=8).prop_shuffle(),
        proptest::collection::vec(1u64..3, 8),
    )
        .prop_map(|(names, timeouts)| {
            names
                .iter()
                .map(|name| (*name, timeouts[*name as usize]))
                .collect()
        })
}

proptest! {
    #[test]
    fn a_list_difference_gives_the_target(base in instances(), target in instances()) {
        let difference = InstanceListDifference::between(revision(1, 1), &base, revision(1, 2), &target);
        let encoded = bitcode::encode(&difference);
        let decoded: InstanceListDifference = bitcode::decode(&encoded).expect("own encoding");

        prop_assert_eq!(decoded.apply(revision(1, 1), &base), Ok(target));
    }

    #[test]
    fn a_configuration_difference_gives_the_target(base in routes(), target in routes()) {
        let base = configuration(3, &base);
        let target = configuration(7, &target);

        let difference = ConfigurationDifference::between(&base, &target);

        prop_assert_eq!(difference.apply(&base), Ok(target));
    }

    #[test]
    fn an_unchanged_list_inserts_nothing(base in instances()) {
        let segments = diff_segments(&base, &base);

        prop_assert!(segments.len() <= 1);
        let inserted = segments.iter().any(|segment| matches!(segment, Segment::Insert(_)));
        prop_assert!(!inserted);
    }
}

#[test]
fn a_list_difference_against_another_base_is_rejected() {
    let difference =
        InstanceListDifference::between(revision(1, 1), &[], revision(1, 2), &[instance("a")]);

    assert_eq!(
        difference.apply(revision(1, 9), &[]),
        Err(DifferenceError::BaseMismatch)
    );
}

#[test]
fn a_configuration_difference_against_another_base_is_rejected() {
    let base = configuration(1, &[]);
    let difference =
        ConfigurationDifference::between(&configuration(2, &[]), &configuration(3, &[]));

    assert_eq!(difference.apply(&base), Err(DifferenceError::BaseMismatch));
}

#[parameterized(
    beyond_the_end = { 1, 2 },
    overflow = { u32::MAX, u32::MAX },
)]
fn a_segment_outside_the_base_is_rejected(from: u32, count: u32) {
    let base = [instance("a"), instance("b")];

    assert_eq!(
        apply_segments(&base, vec![Segment::CopyFromBase { from, count }]),
        Err(DifferenceError::SegmentOutOfRange)
    );
}
