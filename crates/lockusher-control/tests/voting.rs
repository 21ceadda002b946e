//! Tests of one voter's response to each message.

mod support;

use lockusher_control::message::MessageBody;
use lockusher_control::{Effect, Event, Message, Position, Replica, ReplicatedState, View};
use support::{address, first_view, identity, persist, proposal_number, setup, tickets};
use yare::parameterized;

const START_MS: u64 = 0;

/// The second seed, with its first view on disk.
fn started_voter() -> Replica {
    let (mut replica, effects) = Replica::new(setup(2, true), Vec::new(), START_MS);
    persist(&mut replica, START_MS, &effects);
    replica
}

/// Messages sent to the first seed, except heartbeats.
fn responses(effects: &[Effect]) -> Vec<MessageBody> {
    let sent = effects.iter().filter_map(|effect| match effect {
        Effect::Send { to, message } if *to == address(1) => Some(message.body.clone()),
        _ => None,
    });
    sent.filter(|body| !matches!(body, MessageBody::Heartbeat(_)))
        .collect()
}

/// Delivers a message from the first seed, the head of the first view.
fn receive_from_head(replica: &mut Replica, epoch: u64, body: MessageBody) -> Vec<Effect> {
    let message = Message {
        sender: identity(1),
        epoch,
        body,
    };
    replica.handle(
        START_MS,
        Event::Message {
            from: address(1),
            message,
        },
    )
}

fn next_view() -> View {
    View {
        epoch: 2,
        ..first_view()
    }
}

#[test]
fn a_prepare_is_answered_once_its_promise_is_durable() {
    let mut voter = started_voter();

    let effects = receive_from_head(
        &mut voter,
        1,
        MessageBody::Prepare {
            proposal_number: proposal_number(3),
        },
    );
    assert_eq!(responses(&effects), Vec::new());
    let effects = persist(&mut voter, START_MS, &effects);

    assert_eq!(
        responses(&effects),
        vec![MessageBody::PrepareResponse {
            proposal_number: proposal_number(3),
            accepted: None
        }]
    );
}

#[test]
fn a_prepare_is_not_answered_after_a_refused_write_until_a_retry_is_durable() {
    let mut voter = started_voter();

    let effects = receive_from_head(
        &mut voter,
        1,
        MessageBody::Prepare {
            proposal_number: proposal_number(3),
        },
    );
    let first = tickets(&effects)[0];
    assert_eq!(
        responses(&voter.handle(START_MS, Event::PersistFailed { ticket: first })),
        Vec::new()
    );
    assert_eq!(
        responses(&voter.handle(START_MS, Event::Persisted { ticket: first })),
        Vec::new()
    );
    let retry = voter.handle(START_MS + 300, Event::Tick);
    let effects = persist(&mut voter, START_MS, &retry);

    assert_eq!(
        responses(&effects),
        vec![MessageBody::PrepareResponse {
            proposal_number: proposal_number(3),
            accepted: None
        }]
    );
}

#[test]
fn an_accept_below_the_promised_proposal_number_is_rejected() {
    let mut voter = started_voter();
    let effects = receive_from_head(
        &mut voter,
        1,
        MessageBody::Prepare {
            proposal_number: proposal_number(3),
        },
    );
    persist(&mut voter, START_MS, &effects);

    let body = MessageBody::Accept {
        proposal_number: proposal_number(2),
        view: next_view(),
    };
    let effects = receive_from_head(&mut voter, 1, body);

    assert_eq!(
        responses(&effects),
        vec![MessageBody::ProposalRejected {
            promised: proposal_number(3)
        }]
    );
}

#[test]
fn an_accepted_view_is_reported_to_a_later_prepare() {
    let mut voter = started_voter();
    let effects = receive_from_head(
        &mut voter,
        1,
        MessageBody::Accept {
            proposal_number: proposal_number(3),
            view: next_view(),
        },
    );
    assert_eq!(responses(&effects), Vec::new());
    let effects = persist(&mut voter, START_MS, &effects);
    assert_eq!(
        responses(&effects),
        vec![MessageBody::AcceptResponse {
            proposal_number: proposal_number(3)
        }]
    );

    let effects = receive_from_head(
        &mut voter,
        1,
        MessageBody::Prepare {
            proposal_number: proposal_number(4),
        },
    );
    let effects = persist(&mut voter, START_MS, &effects);

    let responses = responses(&effects);
    assert!(
        matches!(&responses[..], [MessageBody::PrepareResponse { accepted: Some(accepted), .. }]
            if accepted.view == next_view() && accepted.proposal_number == proposal_number(3)),
        "{responses:?}"
    );
}

#[test]
fn an_epoch_is_confirmed_until_a_successor_is_accepted() {
    let mut voter = started_voter();

    let effects = receive_from_head(&mut voter, 1, MessageBody::ConfirmEpoch { sequence: 5 });

    let confirmed = MessageBody::EpochConfirmed {
        sequence: 5,
        position: Position::default(),
        history_digest: ReplicatedState::default().history_digest(),
    };
    assert_eq!(responses(&effects), vec![confirmed]);

    receive_from_head(
        &mut voter,
        1,
        MessageBody::Accept {
            proposal_number: proposal_number(3),
            view: next_view(),
        },
    );
    let effects = receive_from_head(&mut voter, 1, MessageBody::ConfirmEpoch { sequence: 6 });

    assert_eq!(responses(&effects), Vec::new());
}

#[parameterized(
    a_confirmation = { MessageBody::ConfirmEpoch { sequence: 5 } },
    a_prepare = { MessageBody::Prepare { proposal_number: proposal_number(9) } },
)]
fn a_message_of_an_older_epoch_is_answered_by_the_newer_view(body: MessageBody) {
    let mut voter = started_voter();
    let effects = receive_from_head(&mut voter, 1, MessageBody::NewView(next_view()));
    persist(&mut voter, START_MS, &effects);
    let effects = voter.handle(START_MS + 1000, Event::Tick);
    persist(&mut voter, START_MS, &effects);

    let effects = receive_from_head(&mut voter, 1, body);

    assert_eq!(responses(&effects), vec![MessageBody::NewView(next_view())]);
}

#[test]
fn a_voter_that_lost_its_disk_neither_votes_nor_confirms() {
    let (mut wiped, effects) = Replica::new(setup(2, false), Vec::new(), START_MS);
    persist(&mut wiped, START_MS, &effects);
    let effects = receive_from_head(&mut wiped, 1, MessageBody::NewView(first_view()));
    persist(&mut wiped, START_MS, &effects);
    assert_eq!(wiped.view(), Some(&first_view()));

    // Sent in succession to the same replica: none may change its response to the next.
    for body in [
        MessageBody::Prepare {
            proposal_number: proposal_number(9),
        },
        MessageBody::Accept {
            proposal_number: proposal_number(9),
            view: next_view(),
        },
        MessageBody::ConfirmEpoch { sequence: 1 },
    ] {
        let effects = receive_from_head(&mut wiped, 1, body);
        assert_eq!(tickets(&effects), Vec::new());
        assert_eq!(responses(&effects), Vec::new());
    }
}
