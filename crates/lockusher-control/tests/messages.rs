//! Tests of the wire format of messages.

use std::{net::SocketAddrV4, sync::Arc};

use lockusher_control::{
    ConfigurationDocument, Digest, Envelope, EnvelopeError, Identity, Member, Message, PROTOCOL,
    Position, Reply, Request, View,
    message::{
        AcceptedView, Health, Heartbeat, MessageBody, Payload, ProposalNumber, Transfer,
        TransferPurpose, TransferResponse,
    },
    state::ReplicatedState,
};
use proptest::prelude::*;
use yare::parameterized;

fn document() -> ConfigurationDocument {
    ConfigurationDocument::new(7, Arc::from(&b"{\"version\":7}"[..]))
}

fn view() -> View {
    let address: SocketAddrV4 = "10.1.0.14:7660".parse().expect("a valid address");
    let voters = vec![Member {
        identity: Identity(5),
        address,
    }];
    View {
        epoch: 3,
        voters,
        chain: vec![Identity(5)],
    }
}

fn bodies() -> Vec<MessageBody> {
    let proposal_number = ProposalNumber {
        counter: 4,
        proposer: 9,
    };
    let state = ReplicatedState::default().with(document());
    let position = Position {
        epoch: 3,
        index: Position::SEALED,
    };
    let history_digest = state.history_digest();
    let heartbeat = Heartbeat {
        health: Health::DiskFault,
        position,
        history_digest,
        committed: position,
        committed_history_digest: Some(ReplicatedState::default().history_digest()),
        committed_version: 7,
        recent_senders: vec![Identity(1), Identity(2)],
    };
    let purpose = TransferPurpose::Join;
    let payload = Payload::FullSnapshot(state);
    vec![
        MessageBody::Heartbeat(heartbeat),
        MessageBody::NewView(view()),
        MessageBody::PrepareResponse {
            proposal_number,
            accepted: Some(AcceptedView {
                proposal_number,
                view: view(),
            }),
        },
        MessageBody::Transfer(Transfer {
            purpose,
            position,
            history_digest,
            payload,
        }),
        MessageBody::TransferResponse(TransferResponse {
            purpose,
            position,
            history_digest,
            stored: true,
        }),
        MessageBody::Append {
            index: 1,
            previous: history_digest,
            document: document(),
            relay: true,
        },
        MessageBody::Forward {
            request: 1,
            body: Request::Put {
                if_match: 5,
                document: document(),
            },
        },
        MessageBody::ForwardResponse {
            request: 1,
            reply: Reply::Document(Some(document())),
        },
    ]
}

#[test]
fn a_message_is_decoded_as_it_was_encoded() {
    for body in bodies() {
        let envelope = Envelope::new(Message {
            sender: Identity(5),
            epoch: 3,
            body,
        });
        let decoded = Envelope::decode(&envelope.encode()).expect("a readable message");
        assert_eq!(decoded, envelope);
    }
}

#[parameterized(
    zero = { 0 },
    next = { PROTOCOL + 1 },
    last = { u16::MAX },
)]
fn an_unknown_protocol_is_rejected(protocol: u16) {
    let message = Message {
        sender: Identity(5),
        epoch: 3,
        body: MessageBody::NewView(view()),
    };
    let bytes = Envelope { protocol, message }.encode();
    let error = Envelope::decode(&bytes).expect_err("an unknown protocol");
    assert!(
        matches!(error, EnvelopeError::UnknownProtocol { protocol: found } if found == protocol)
    );
}

#[parameterized(empty = { &[] }, one = { &[1] })]
fn a_message_without_protocol_is_rejected(bytes: &[u8]) {
    let error = Envelope::decode(bytes).expect_err("no protocol");
    assert!(matches!(error, EnvelopeError::Short { length } if length == bytes.len()));
}

#[test]
fn a_truncated_message_is_rejected() {
    for body in bodies() {
        let bytes = Envelope::new(Message {
            sender: Identity(5),
            epoch: 3,
            body,
        })
        .encode();
        for length in 0..bytes.len() {
            assert!(
                Envelope::decode(&bytes[..length]).is_err(),
                "{length} of {} bytes",
                bytes.len()
            );
        }
    }
}

proptest! {
    #[test]
    fn arbitrary_bytes_are_decoded_without_a_panic(bytes in proptest::collection::vec(any::<u8>(), 0..400)) {
        let mut message = PROTOCOL.to_le_bytes().to_vec();
        message.extend(bytes);
        let _ = Envelope::decode(&message);
    }
}

#[parameterized(
    empty = { "", 0x6c62272e07bb014262b821756295c58d },
    one_letter = { "a", 0xd228cb696f1a8caf78912b704e4a8964 },
)]
fn digests_are_fnv_1a_of_128_bits(text: &str, expected: u128) {
    assert_eq!(Digest::of(text.as_bytes()), Digest(expected));
}
