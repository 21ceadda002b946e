//! Reasons that a control node logs while it isn't serving.

use std::net::SocketAddrV4;

use lockusher_control::driver::service_log::NotServing;
use lockusher_control::replica::VoterContact;

fn address(host: u8) -> SocketAddrV4 {
    format!("10.0.0.{host}:7661").parse().expect("an address")
}

/// Contact with five voters, of which `missing` aren't reached.
fn contact(missing: u8) -> VoterContact {
    VoterContact {
        epoch: 7,
        voters: 5,
        majority: 3,
        missing: (1..=missing).map(address).collect(),
        is_voter: true,
    }
}

#[test]
fn a_node_in_contact_with_a_majority_serves() {
    assert_eq!(NotServing::from_contact(contact(0)), None);
    assert_eq!(NotServing::from_contact(contact(2)), None);
}

#[test]
fn without_a_majority_the_missing_voters_are_listed() {
    let reason = NotServing::from_contact(contact(3)).expect("it can't serve");

    assert_eq!(
        reason.to_string(),
        "no majority in view 7: 2 of 5 voters reached, 3 needed; missing 10.0.0.1:7661 10.0.0.2:7661 10.0.0.3:7661"
    );
}

#[test]
fn a_missing_view_and_a_node_that_is_not_a_voter_are_reported() {
    let new = VoterContact {
        epoch: 0,
        voters: 0,
        majority: 0,
        missing: Vec::new(),
        is_voter: false,
    };
    let learner = VoterContact {
        is_voter: false,
        ..contact(0)
    };

    assert_eq!(NotServing::from_contact(new), Some(NotServing::NoView));
    let reason = NotServing::from_contact(learner).expect("it can't serve");
    assert_eq!(reason.to_string(), "not a voter of view 7");
}
