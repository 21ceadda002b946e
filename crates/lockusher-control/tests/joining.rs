//! Tests of the steps by which a node joins the chain, message by message. Each test also runs with its guard disabled,
//! to verify that it detects the bug.

mod support;

use std::net::SocketAddrV4;

use lockusher_control::{
    DurableRecord, Effect, Event, InjectedBug, Message, PersistTicket, Position, Replica,
    ReplicaSetup, ReplicatedState,
    message::{
        AcceptedView, Health, Heartbeat, MessageBody, Payload, ProposalNumber, Transfer,
        TransferPurpose, TransferResponse,
    },
};
use support::{address, document, identity, setup, state, state_of, view};
use yare::parameterized;

/// Epoch of the view in which the first two of three voters are the chain.
const EPOCH: u64 = 2;
const TICK_MS: u64 = 50;
/// Time within which a member detects that the other one is unreachable, and seals the epoch.
const TIMEOUT_MS: u64 = 5000;

/// A replica whose writes become durable at once, with its disk and the messages that it sent.
struct Node {
    replica: Replica,
    now: u64,
    /// All records on its disk.
    disk: Vec<DurableRecord>,
    /// Messages sent, except heartbeats.
    sent: Vec<(SocketAddrV4, MessageBody)>,
}

impl Node {
    /// The seed with this number, in the view of [`EPOCH`].
    fn in_view(host: u8, injected_bug: Option<InjectedBug>) -> Node {
        let mut node = Node::start(setup(host, true), Vec::new(), 0, injected_bug);
        node.receive(1, 1, MessageBody::NewView(view(EPOCH, &[1, 2])));
        node
    }

    fn start(
        setup: ReplicaSetup,
        disk: Vec<DurableRecord>,
        now: u64,
        injected_bug: Option<InjectedBug>,
    ) -> Node {
        let (replica, effects) = match injected_bug {
            None => Replica::new(setup, disk.clone(), now),
            Some(injected_bug) => {
                Replica::with_injected_bug(setup, disk.clone(), now, injected_bug)
            }
        };
        let mut node = Node {
            replica,
            now,
            disk,
            sent: Vec::new(),
        };
        node.carry_out(effects);
        node
    }

    /// Restarts the replica from its disk, as after a kill of its process.
    fn restart(self, host: u8, injected_bug: Option<InjectedBug>) -> Node {
        Node::start(setup(host, false), self.disk, self.now, injected_bug)
    }

    fn carry_out(&mut self, effects: Vec<Effect>) {
        let mut tickets: Vec<PersistTicket> = Vec::new();
        for effect in effects {
            match effect {
                Effect::Send { message, .. }
                    if matches!(message.body, MessageBody::Heartbeat(_)) => {}
                Effect::Send { to, message } => self.sent.push((to, message.body)),
                Effect::Persist { ticket, records } => {
                    self.disk.extend(records);
                    tickets.push(ticket);
                }
                _ => {}
            }
        }
        for ticket in tickets {
            self.event(Event::Persisted { ticket });
        }
    }

    fn event(&mut self, event: Event) {
        let effects = self.replica.handle(self.now, event);
        self.carry_out(effects);
    }

    fn receive(&mut self, host: u8, epoch: u64, body: MessageBody) {
        let message = Message {
            sender: identity(host),
            epoch,
            body,
        };
        self.event(Event::Message {
            from: address(host),
            message,
        });
    }

    fn receive_heartbeat(&mut self, host: u8) {
        let heartbeat = Heartbeat {
            health: Health::Good,
            position: Position::default(),
            history_digest: ReplicatedState::default().history_digest(),
            committed: Position::default(),
            committed_history_digest: None,
            committed_version: 0,
            recent_senders: vec![self.replica.identity()],
        };
        self.receive(host, EPOCH, MessageBody::Heartbeat(heartbeat));
    }

    /// Advances the time, with heartbeats from the third node only, until a message for which `matches_body` holds is
    /// sent; returns it.
    fn wait_for(&mut self, matches_body: impl Fn(&MessageBody) -> bool) -> MessageBody {
        let deadline = self.now + TIMEOUT_MS;
        while self.now < deadline {
            if let Some((_, body)) = self.sent.iter().find(|(_, body)| matches_body(body)) {
                return body.clone();
            }
            self.now += TICK_MS;
            self.receive_heartbeat(3);
            self.event(Event::Tick);
        }
        panic!(
            "no matching message sent within {TIMEOUT_MS} ms: {:?}",
            self.sent
        );
    }

    fn has_stored(&self, version: u64) -> bool {
        self.disk.iter().any(|record| match record {
            DurableRecord::Entry { document, .. } => document.version == version,
            DurableRecord::State { state, .. } => state.version() == version,
            _ => false,
        })
    }

    fn version(&self) -> u64 {
        state_of(&self.replica).map_or(0, |state| state.version())
    }
}

fn is_join_transfer(body: &MessageBody) -> bool {
    matches!(body, MessageBody::Transfer(transfer) if transfer.purpose == TransferPurpose::Join)
}

/// The second member of the chain, which has sealed the epoch and transferred its state, since it receives nothing from
/// the head.
fn sealed_member(injected_bug: Option<InjectedBug>) -> Node {
    let mut member = Node::in_view(2, injected_bug);
    member.wait_for(is_join_transfer);
    member
}

fn entry(version: u64) -> MessageBody {
    let previous = ReplicatedState::default().history_digest();
    MessageBody::Append {
        index: 1,
        previous,
        document: document(version),
        relay: true,
    }
}

#[parameterized(
    guarded = { None, false },
    guard_disabled = { Some(InjectedBug::EntryAfterSeal), true },
)]
fn a_sealed_member_stores_no_entries(injected_bug: Option<InjectedBug>, is_stored: bool) {
    let mut member = sealed_member(injected_bug);

    member.receive(1, EPOCH, entry(7));

    assert_eq!(member.has_stored(7), is_stored);
}

#[parameterized(
    guarded = { None, false },
    guard_disabled = { Some(InjectedBug::SealNotRecovered), true },
)]
fn a_seal_is_in_force_after_a_restart(injected_bug: Option<InjectedBug>, is_stored: bool) {
    let mut member = sealed_member(injected_bug).restart(2, injected_bug);

    member.receive(1, EPOCH, entry(7));

    assert_eq!(member.has_stored(7), is_stored);
}

/// A delayed transfer from the head reaches a node that has stored the sealed state, which is newer.
#[parameterized(
    guarded = { None, 6 },
    guard_disabled = { Some(InjectedBug::OlderTransferApplied), 5 },
)]
fn a_transfer_of_an_older_state_is_not_applied(injected_bug: Option<InjectedBug>, version: u64) {
    let mut joiner = Node::in_view(3, injected_bug);
    let transfer = |purpose, index, versions: &[u64]| {
        let state = state(versions);
        let position = Position {
            epoch: EPOCH,
            index,
        };
        let history_digest = state.history_digest();
        MessageBody::Transfer(Transfer {
            purpose,
            position,
            history_digest,
            payload: Payload::FullSnapshot(state),
        })
    };
    joiner.receive(
        2,
        EPOCH,
        transfer(TransferPurpose::Join, Position::SEALED, &[5, 6]),
    );
    assert_eq!(joiner.version(), 6);

    joiner.receive(1, EPOCH, transfer(TransferPurpose::Learn, 1, &[5]));

    assert_eq!(joiner.version(), version);
}

/// A voter reports a view that it accepted under a lower proposal number: the proposer must propose that view.
#[parameterized(
    guarded = { None, true },
    guard_disabled = { Some(InjectedBug::AcceptedViewIgnored), false },
)]
fn a_view_accepted_under_a_lower_number_is_proposed(
    injected_bug: Option<InjectedBug>,
    is_proposed: bool,
) {
    let mut member = sealed_member(injected_bug);
    let stored = TransferResponse {
        purpose: TransferPurpose::Join,
        position: Position {
            epoch: EPOCH,
            index: Position::SEALED,
        },
        history_digest: ReplicatedState::default().history_digest(),
        stored: true,
    };
    member.receive(3, EPOCH, MessageBody::TransferResponse(stored));
    let prepare = member.wait_for(|body| matches!(body, MessageBody::Prepare { .. }));
    let MessageBody::Prepare { proposal_number } = prepare else {
        unreachable!("wait_for returned another message than a prepare")
    };
    let earlier = view(EPOCH + 1, &[1, 2, 3]);
    let lower = ProposalNumber {
        counter: 0,
        proposer: identity(1).0,
    };
    let accepted = Some(AcceptedView {
        proposal_number: lower,
        view: earlier.clone(),
    });
    member.receive(
        3,
        EPOCH,
        MessageBody::PrepareResponse {
            proposal_number,
            accepted,
        },
    );

    let accept = member.wait_for(|body| matches!(body, MessageBody::Accept { .. }));
    let MessageBody::Accept { view: proposed, .. } = accept else {
        unreachable!("wait_for returned another message than an accept")
    };

    assert_eq!(proposed == earlier, is_proposed);
}

/// The head of an ended epoch, which doesn't know the next view yet, sends an entry down the chain.
#[parameterized(
    guarded = { None, false },
    guard_disabled = { Some(InjectedBug::OlderEpochsCount), true },
)]
fn an_entry_of_an_older_epoch_is_not_stored(injected_bug: Option<InjectedBug>, is_stored: bool) {
    let mut member = Node::in_view(2, injected_bug);
    member.receive(3, EPOCH, MessageBody::NewView(view(EPOCH + 1, &[1, 2, 3])));

    member.receive(1, EPOCH, entry(7));

    assert_eq!(member.has_stored(7), is_stored);
}
