//! Tests of the view planned from a voter's observations.

use std::{
    collections::BTreeSet,
    net::{Ipv4Addr, SocketAddrV4},
};

use lockusher_control::{
    Identity, Locality, Member, ToleratedDomains, View,
    view::majority_of,
    view_change::{JoinCandidate, MAX_VOTERS, ViewChange, ViewChangeContext, plan_view_change},
    voter_spread::VoterSpread,
};
use proptest::prelude::*;
use yare::parameterized;

/// Node `number` has this identity and the address with the same number.
fn member(number: u64) -> Member {
    let host = u8::try_from(number % 200).expect("a small number");
    Member {
        identity: Identity(number),
        address: SocketAddrV4::new(Ipv4Addr::new(10, 0, 0, host), 7000),
    }
}

fn identities(numbers: &[u64]) -> Vec<Identity> {
    numbers.iter().map(|number| Identity(*number)).collect()
}

fn view(voters: &[u64], chain: &[u64]) -> View {
    let voters = voters.iter().map(|number| member(*number)).collect();
    View {
        epoch: 4,
        voters,
        chain: identities(chain),
    }
}

fn joiner(number: u64) -> JoinCandidate {
    JoinCandidate {
        member: member(number),
        caught_up: true,
        has_sealed_state: false,
    }
}

/// Observations of node 1: the `healthy_members` are healthy, and no other node is known.
fn context<'a>(view: &'a View, healthy_members: &[u64]) -> ViewChangeContext<'a> {
    ViewChangeContext {
        view,
        own_identity: Identity(1),
        healthy_members: identities(healthy_members).into_iter().collect(),
        join_candidates: Vec::new(),
        replaceable: Vec::new(),
        removable: Vec::new(),
        epoch_change_required: false,
        sealed: false,
        may_add_members: true,
        minimum_voters: 3,
        spread: VoterSpread::default(),
    }
}

fn chain_of(change: Option<ViewChange>) -> Option<Vec<Identity>> {
    change.map(|change| change.view.chain)
}

#[test]
fn no_change_is_planned_while_the_chain_is_healthy() {
    let view = view(&[1, 2, 3], &[1, 2, 3]);
    assert_eq!(plan_view_change(&context(&view, &[1, 2, 3])), None);
}

#[test]
fn a_lost_member_is_excluded_and_the_others_keep_their_order() {
    let view = view(&[1, 2, 3], &[3, 1, 2]);
    assert_eq!(
        chain_of(plan_view_change(&context(&view, &[1, 2]))),
        Some(identities(&[1, 2]))
    );
}

#[test]
fn a_chain_below_the_majority_is_extended_by_a_voter() {
    let view = view(&[1, 2, 3], &[1, 2]);
    let mut context = context(&view, &[1]);
    assert_eq!(plan_view_change(&context), None);
    context.join_candidates = vec![JoinCandidate {
        caught_up: false,
        ..joiner(3)
    }];
    assert_eq!(
        chain_of(plan_view_change(&context)),
        Some(identities(&[1, 3]))
    );
}

#[test]
fn a_node_with_a_new_disk_replaces_its_former_identity() {
    let view = view(&[1, 2, 3], &[1, 2]);
    let mut context = context(&view, &[1, 2]);
    let renewed = Member {
        identity: Identity(30),
        ..member(3)
    };
    context.join_candidates = vec![JoinCandidate {
        member: renewed,
        caught_up: true,
        has_sealed_state: false,
    }];
    let change = plan_view_change(&context).expect("a view with the new disk");
    assert_eq!(change.view.voters, vec![member(1), member(2), renewed]);
    assert_eq!(change.view.chain, identities(&[1, 2, 30]));
}

#[test]
fn a_new_node_replaces_an_unreachable_voter() {
    let view = view(&[1, 2, 3], &[1, 2]);
    let mut context = context(&view, &[1, 2]);
    context.replaceable = identities(&[3]);
    context.join_candidates = vec![joiner(4)];
    let change = plan_view_change(&context).expect("a view with the replacement");
    assert_eq!(change.view.voters, vec![member(1), member(2), member(4)]);
}

#[test]
fn a_further_node_is_added_up_to_the_limit() {
    let numbers: Vec<u64> = (1..=MAX_VOTERS as u64).collect();
    let small = view(&[1, 2, 3], &[1, 2, 3]);
    let mut grows = context(&small, &[1, 2, 3]);
    grows.join_candidates = vec![joiner(4), joiner(5)];
    assert_eq!(
        plan_view_change(&grows).map(|change| change.view.voters.len()),
        Some(4)
    );
    let large = view(&numbers, &numbers);
    let mut full = context(&large, &numbers);
    full.join_candidates = vec![joiner(20)];
    assert_eq!(plan_view_change(&full), None);
}

#[test]
fn an_unreachable_voter_is_removed_down_to_the_minimum() {
    let large = view(&[1, 2, 3, 4], &[1, 2, 3]);
    let mut context = context(&large, &[1, 2, 3]);
    context.removable = identities(&[4]);
    assert_eq!(
        plan_view_change(&context).map(|change| change.view.voters.len()),
        Some(3)
    );
    context.minimum_voters = 4;
    assert_eq!(plan_view_change(&context), None);
}

proptest! {
    /// For arbitrary observations, a planned view keeps the invariants on which safety depends.
    #[test]
    fn a_planned_view_keeps_the_invariants(
        voters in 1u64..=9,
        chain_length in 1usize..=9,
        healthy_mask in any::<u16>(),
        unreachable_mask in any::<u16>(),
        joining in proptest::collection::vec((1u64..=14, any::<bool>(), any::<bool>()), 0..5),
        flags in any::<[bool; 3]>(),
        own_number in 1u64..=9,
    ) {
        let numbers: Vec<u64> = (1..=voters).collect();
        let length = chain_length.clamp(majority_of(numbers.len()), numbers.len());
        let view = view(&numbers, &numbers[..length]);
        let selected = |mask: u16| numbers.iter().copied().filter(move |number| mask & 1 << number != 0);
        let healthy_members: Vec<u64> = selected(healthy_mask).collect();
        let mut context = context(&view, &healthy_members);
        context.own_identity = Identity(own_number.min(voters));
        context.replaceable = identities(&selected(unreachable_mask).collect::<Vec<_>>());
        context.removable = context.replaceable.clone();
        [context.epoch_change_required, context.sealed, context.may_add_members] = flags;
        let mut added_candidates = BTreeSet::new();
        for (number, caught_up, has_sealed_state) in joining {
            let in_chain = view.in_chain(Identity(number));
            if !in_chain && added_candidates.insert(number) {
                context.join_candidates.push(JoinCandidate { caught_up, has_sealed_state, ..joiner(number) });
            }
        }
        let Some(ViewChange { view: next, joiners }) = plan_view_change(&context) else { return Ok(()) };
        let remaining: Vec<Identity> =
            next.chain.iter().copied().filter(|member| view.in_chain(*member)).collect();
        let in_order: Vec<Identity> =
            view.chain.iter().copied().filter(|member| remaining.contains(member)).collect();
        prop_assert_eq!(next.epoch, view.epoch + 1);
        prop_assert!(!remaining.is_empty(), "a member of the old chain stays");
        prop_assert_eq!(&remaining, &in_order);
        prop_assert_eq!(&next.chain[..remaining.len()], &remaining[..], "joiners come last");
        prop_assert!(remaining.iter().all(|member| context.healthy_members.contains(member)));
        prop_assert!(next.chain.len() >= next.majority());
        prop_assert!(next.chain.iter().all(|member| next.is_voter(*member)));
        prop_assert_eq!(next.chain.len() - remaining.len(), joiners.len());
        prop_assert!(joiners.is_empty() || remaining.contains(&context.own_identity));
        let added = next.voters.iter().filter(|voter| !view.is_voter(voter.identity)).count();
        let removed = view.voters.iter().filter(|voter| !next.is_voter(voter.identity)).count();
        prop_assert!(added <= 1 && removed <= 1, "one voter at a time");
        prop_assert!(next.voters.len() <= MAX_VOTERS);
        prop_assert!(next.voters.len() >= view.voters.len().min(context.minimum_voters));
        let unique: BTreeSet<SocketAddrV4> = next.voters.iter().map(|voter| voter.address).collect();
        prop_assert_eq!(unique.len(), next.voters.len(), "one voter at an address");
    }
}

/// One voter shuts down while another one is unreachable: after the removal of the former, the remaining chain of two
/// is a majority of the three voters.
#[test]
fn a_voter_that_shuts_down_is_removed_where_the_remaining_chain_is_a_majority_only_without_it() {
    let view = view(&[1, 2, 3, 4], &[1, 2, 3, 4]);
    let mut context = context(&view, &[1, 2]);
    context.replaceable = identities(&[4]);
    assert_eq!(plan_view_change(&context), None);
    context.removable = identities(&[3]);
    let change = plan_view_change(&context).expect("a view without the voter that shuts down");
    assert_eq!(change.view.voters, vec![member(1), member(2), member(4)]);
    assert_eq!(change.view.chain, identities(&[1, 2]));
}

#[test]
fn voters_outside_the_chain_are_listed_last_in_the_order_in_which_they_left() {
    let view = view(&[1, 2, 3, 4, 5], &[1, 2, 4, 5]);
    let change = plan_view_change(&context(&view, &[1, 4, 5])).expect("a view without node 2");
    let voters = [1, 4, 5, 3, 2].map(member);
    assert_eq!(change.view.voters, voters);
}

/// A spread that tolerates the loss of one zone, with the nodes of each zone.
fn spread_over(zones: &[&[u64]]) -> VoterSpread {
    let nodes = zones.iter().enumerate().flat_map(|(zone, nodes)| {
        let locality = Locality {
            zone: zone.to_string(),
            region: String::new(),
        };
        nodes
            .iter()
            .map(move |node| (Identity(*node), locality.clone()))
    });
    VoterSpread {
        tolerated: ToleratedDomains {
            zones: 1,
            regions: 0,
        },
        localities: nodes.collect(),
    }
}

#[parameterized(
    one_in_each = { &[1, 2, 3], &[&[1], &[2], &[3]], 0 },
    two_of_three_together = { &[1, 2, 3], &[&[1, 2], &[3]], 1 },
    two_of_five_together = { &[1, 2, 3, 4, 5], &[&[1, 2], &[3, 4], &[5]], 0 },
    three_of_five_together = { &[1, 2, 3, 4, 5], &[&[1, 2, 3], &[4], &[5]], 1 },
    all_together = { &[1, 2, 3], &[&[1, 2, 3]], 2 },
    unknown_ones_apart = { &[1, 2, 3], &[&[1]], 0 },
)]
fn the_shortfall_is_what_a_majority_lacks_without_the_largest_zone(
    voters: &[u64],
    zones: &[&[u64]],
    shortfall: usize,
) {
    let voters: Vec<Member> = voters.iter().map(|number| member(*number)).collect();
    assert_eq!(spread_over(zones).imbalance(&voters).shortfall, shortfall);
}

#[test]
fn the_largest_regions_are_counted_as_zones_are() {
    let in_region = |node: u64, region: &str| {
        let locality = Locality {
            zone: format!("zone-{node}"),
            region: region.to_owned(),
        };
        (Identity(node), locality)
    };
    let spread = VoterSpread {
        tolerated: ToleratedDomains {
            zones: 0,
            regions: 1,
        },
        localities: [
            in_region(1, "a"),
            in_region(2, "a"),
            in_region(3, "a"),
            in_region(4, "b"),
        ]
        .into(),
    };
    assert_eq!(spread.imbalance(&[1, 2, 3, 4].map(member)).shortfall, 2);
}

#[test]
fn a_joiner_that_spreads_the_voters_better_comes_first() {
    let view = view(&[1, 2, 3], &[1, 2, 3]);
    let mut context = context(&view, &[1, 2, 3]);
    context.spread = spread_over(&[&[1, 2, 4], &[3, 5]]);
    context.join_candidates = vec![joiner(4), joiner(5)];
    let change = plan_view_change(&context).expect("a view with node 5");
    assert!(change.view.is_voter(Identity(5)));
}

#[test]
fn a_joiner_that_would_concentrate_the_voters_stays_outside() {
    let view = view(&[1, 2, 3], &[1, 2, 3]);
    let mut context = context(&view, &[1, 2, 3]);
    context.spread = spread_over(&[&[1, 4], &[2], &[3]]);
    context.join_candidates = vec![joiner(4)];
    assert_eq!(plan_view_change(&context), None);
}

#[test]
fn a_joiner_replaces_an_unreachable_voter_of_its_zone() {
    let view = view(&[1, 2, 3, 4, 5], &[1, 2, 3]);
    let mut context = context(&view, &[1, 2, 3]);
    context.spread = spread_over(&[&[1, 4, 6], &[2, 5], &[3]]);
    context.replaceable = identities(&[5, 4]);
    context.join_candidates = vec![joiner(6)];
    let change = plan_view_change(&context).expect("a view with node 6");
    assert!(!change.view.is_voter(Identity(4)));
    assert!(change.view.is_voter(Identity(5)));
}

#[parameterized(
    all_are_reachable = { &[], true },
    one_is_unreachable = { &[4], false },
)]
fn a_voter_of_the_largest_zone_is_removed_while_all_are_reachable(
    unreachable: &[u64],
    is_removed: bool,
) {
    let view = view(&[1, 2, 3, 4], &[1, 2, 3, 4]);
    let mut context = context(&view, &[1, 2, 3, 4]);
    context.spread = spread_over(&[&[1, 2], &[3], &[4]]);
    context.replaceable = identities(unreachable);
    let change = plan_view_change(&context);
    let voters = change.map(|change| change.view.voters);
    assert_eq!(voters, is_removed.then(|| [1, 3, 4].map(member).to_vec()));
}
