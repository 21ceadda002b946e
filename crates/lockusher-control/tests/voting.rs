//! One voter's answers, message by message.

mod support;

use lockusher_control::message::MessageBody;
use lockusher_control::{Effect, Event, Message, Position, Replica, ReplicatedState, View};
use support::{address, first_view, identity, persist, proposal_number, setup, tickets};

const START: u64 = 0;

/// The second seed, with its first view on disk.
fn voter() -> Replica {
    let (mut replica, effects) = Replica::new(setup(2, true), Vec::new(), START);
    persist(&mut replica, START, &effects);
    replica
}

/// What is sent to the first seed, heartbeats aside.
fn answers(effects: &[Effect]) -> Vec<MessageBody> {
    let sent = effects.iter().filter_map(|effect| match effect {
        Effect::Send { to, message } if *to == address(1) => Some(message.body.clone()),
        _ => None,
    });
    sent.filter(|body| !matches!(body, MessageBody::Heartbeat(_))).collect()
}

/// The first seed, head of the first view, says this.
fn from_head(replica: &mut Replica, epoch: u64, body: MessageBody) -> Vec<Effect> {
    let message = Message { sender: identity(1), epoch, body };
    replica.handle(START, Event::Message { from: address(1), message })
}

fn next_view() -> View {
    View { epoch: 2, ..first_view() }
}

#[test]
fn a_promise_is_answered_once_it_is_durable() {
    let mut voter = voter();
    let effects = from_head(&mut voter, 1, MessageBody::Prepare { proposal_number: proposal_number(3) });
    assert_eq!(answers(&effects), Vec::new());
    let effects = persist(&mut voter, START, &effects);
    assert_eq!(
        answers(&effects),
        vec![MessageBody::PrepareResponse { proposal_number: proposal_number(3), accepted: None }]
    );
}

#[test]
fn a_refused_write_is_not_answered_until_it_is_durable() {
    let mut voter = voter();
    let effects = from_head(&mut voter, 1, MessageBody::Prepare { proposal_number: proposal_number(3) });
    let first = tickets(&effects)[0];
    assert_eq!(answers(&voter.handle(START, Event::PersistFailed { ticket: first })), Vec::new());
    assert_eq!(answers(&voter.handle(START, Event::Persisted { ticket: first })), Vec::new());
    let again = voter.handle(START + 300, Event::Tick);
    let effects = persist(&mut voter, START, &again);
    assert_eq!(
        answers(&effects),
        vec![MessageBody::PrepareResponse { proposal_number: proposal_number(3), accepted: None }]
    );
}

#[test]
fn a_lower_ballot_is_rejected() {
    let mut voter = voter();
    let effects = from_head(&mut voter, 1, MessageBody::Prepare { proposal_number: proposal_number(3) });
    persist(&mut voter, START, &effects);
    let body = MessageBody::Accept { proposal_number: proposal_number(2), view: next_view() };
    let effects = from_head(&mut voter, 1, body);
    assert_eq!(answers(&effects), vec![MessageBody::ProposalRejected { promised: proposal_number(3) }]);
}

#[test]
fn an_accepted_view_is_reported_to_later_ballots() {
    let mut voter = voter();
    let effects = from_head(
        &mut voter,
        1,
        MessageBody::Accept { proposal_number: proposal_number(3), view: next_view() },
    );
    assert_eq!(answers(&effects), Vec::new());
    let effects = persist(&mut voter, START, &effects);
    assert_eq!(answers(&effects), vec![MessageBody::AcceptResponse { proposal_number: proposal_number(3) }]);
    let effects = from_head(&mut voter, 1, MessageBody::Prepare { proposal_number: proposal_number(4) });
    let effects = persist(&mut voter, START, &effects);
    let answers = answers(&effects);
    assert!(
        matches!(&answers[..], [MessageBody::PrepareResponse { accepted: Some(accepted), .. }]
            if accepted.view == next_view() && accepted.proposal_number == proposal_number(3)),
        "{answers:?}"
    );
}

#[test]
fn an_epoch_is_confirmed_until_a_successor_is_accepted() {
    let mut voter = voter();
    let effects = from_head(&mut voter, 1, MessageBody::ConfirmEpoch { sequence: 5 });
    let confirmed = MessageBody::EpochConfirmed {
        sequence: 5,
        position: Position::default(),
        history_digest: ReplicatedState::default().history_digest(),
    };
    assert_eq!(answers(&effects), vec![confirmed]);
    from_head(&mut voter, 1, MessageBody::Accept { proposal_number: proposal_number(3), view: next_view() });
    let effects = from_head(&mut voter, 1, MessageBody::ConfirmEpoch { sequence: 6 });
    assert_eq!(answers(&effects), Vec::new());
}

#[test]
fn an_older_epoch_is_answered_by_the_newer_view() {
    let mut voter = voter();
    let effects = from_head(&mut voter, 1, MessageBody::NewView(next_view()));
    persist(&mut voter, START, &effects);
    for body in [
        MessageBody::ConfirmEpoch { sequence: 5 },
        MessageBody::Prepare { proposal_number: proposal_number(9) },
    ] {
        let effects = voter.handle(START + 1000, Event::Tick);
        persist(&mut voter, START, &effects);
        let effects = from_head(&mut voter, 1, body);
        let told = answers(&effects);
        assert!(told.iter().all(|body| *body == MessageBody::NewView(next_view())), "{told:?}");
    }
}

#[test]
fn a_wiped_voter_does_not_vote() {
    let (mut wiped, effects) = Replica::new(setup(2, false), Vec::new(), START);
    persist(&mut wiped, START, &effects);
    let effects = from_head(&mut wiped, 1, MessageBody::NewView(first_view()));
    persist(&mut wiped, START, &effects);
    assert_eq!(wiped.view(), Some(&first_view()));
    for body in [
        MessageBody::Prepare { proposal_number: proposal_number(9) },
        MessageBody::Accept { proposal_number: proposal_number(9), view: next_view() },
        MessageBody::ConfirmEpoch { sequence: 1 },
    ] {
        let effects = from_head(&mut wiped, 1, body);
        assert_eq!(tickets(&effects), Vec::new());
        assert_eq!(answers(&effects), Vec::new());
    }
}
