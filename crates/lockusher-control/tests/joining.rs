//! Steps by which a node joins the chain, message by message; each guard is also left out to show that its test notices.

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
const TICK: u64 = 50;
/// Within this time a member notices that the other one is gone, and seals itself.
const LIMIT: u64 = 5000;

/// A replica whose writes become durable at once, and what it did.
struct Node {
    replica: Replica,
    now: u64,
    /// All that is on its disk.
    disk: Vec<DurableRecord>,
    /// Messages sent, heartbeats aside.
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

    /// The process is killed and starts again from its disk.
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

    /// Time passes, in which heartbeats come from the third node only, until a message of this kind is sent; the message.
    fn wait_for(&mut self, is_it: impl Fn(&MessageBody) -> bool) -> MessageBody {
        let deadline = self.now + LIMIT;
        while self.now < deadline {
            if let Some((_, body)) = self.sent.iter().find(|(_, body)| is_it(body)) {
                return body.clone();
            }
            self.now += TICK;
            self.receive_heartbeat(3);
            self.event(Event::Tick);
        }
        panic!("not sent within {LIMIT} ms: {:?}", self.sent);
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

/// The second member of the chain, which has sealed itself and handed over its state, as nothing comes from the head.
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
    left_out = { Some(InjectedBug::EntryAfterSeal), true },
)]
fn a_sealed_member_stores_no_entries(injected_bug: Option<InjectedBug>, taken: bool) {
    let mut member = sealed_member(injected_bug);

    member.receive(1, EPOCH, entry(7));

    assert_eq!(member.has_stored(7), taken);
}

#[parameterized(
    guarded = { None, false },
    left_out = { Some(InjectedBug::SealForgotten), true },
)]
fn a_seal_is_in_force_after_a_restart(injected_bug: Option<InjectedBug>, taken: bool) {
    let mut member = sealed_member(injected_bug).restart(2, injected_bug);

    member.receive(1, EPOCH, entry(7));

    assert_eq!(member.has_stored(7), taken);
}

/// A delayed transfer from the head reaches a node that has stored the sealed state, which contains more.
#[parameterized(
    guarded = { None, 6 },
    left_out = { Some(InjectedBug::OlderTransferTaken), 5 },
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

/// A voter reports a view that it accepted under a lower proposal number: that one is proposed.
#[parameterized(
    guarded = { None, true },
    left_out = { Some(InjectedBug::AcceptedPassedOver), false },
)]
fn a_view_accepted_under_a_lower_number_is_proposed(
    injected_bug: Option<InjectedBug>,
    taken_over: bool,
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
        unreachable!("it was waited for")
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
        unreachable!("it was waited for")
    };

    assert_eq!(proposed == earlier, taken_over);
}

/// The head of an epoch that has ended, which doesn't know that yet, sends an entry down the chain.
#[parameterized(
    guarded = { None, false },
    left_out = { Some(InjectedBug::OlderEpochsCount), true },
)]
fn an_entry_of_an_older_epoch_is_not_stored(injected_bug: Option<InjectedBug>, taken: bool) {
    let mut member = Node::in_view(2, injected_bug);
    member.receive(3, EPOCH, MessageBody::NewView(view(EPOCH + 1, &[1, 2, 3])));

    member.receive(1, EPOCH, entry(7));

    assert_eq!(member.has_stored(7), taken);
}
