//! Stored records and messages must be encoded as the recorded bytes of an earlier release, so that its disks can be
//! read and its nodes replaced one at a time.

#[path = "../../../tests/support/recorded_bytes.rs"]
mod recorded_bytes;

use std::fs;
use std::path::Path;
use std::sync::Arc;

use lockusher_control::document::patch_identity;
use lockusher_control::driver::disk::{AppendOutcome, Disk, OpenedDisk};
use lockusher_control::driver::peer_links::PeerFrame;
use lockusher_control::message::{
    AcceptedView, Health, Heartbeat, MessageBody, Payload, ProposalNumber, Transfer,
    TransferPurpose, TransferResponse,
};
use lockusher_control::{
    ConfigurationDocument, DurableRecord, Envelope, Identity, Locality, Member, Message,
    PersistTicket, Position, ReplicatedState, Reply, Request, View,
};
use lockusher_storage::Completions;
use lockusher_transport::frame;
use recorded_bytes::{
    assert_bytes_as_recorded, assert_encoded_as_recorded, assert_every_kind_is_sampled, kinds_of,
    read_fixture,
};

const DURABLE_RECORDS: &str = include_str!("recorded_bytes/durable_records.hex");
const MESSAGES: &str = include_str!("recorded_bytes/messages.hex");
const PEER_FRAMES: &str = include_str!("recorded_bytes/peer_frames.hex");
const STORE_FILES: &str = include_str!("recorded_bytes/store_files.hex");

/// Size of the disk, so small that a few records fill a segment, and some more trigger a snapshot.
const DISK_BYTES: u64 = 16 * 1024;
/// File of zeros that the storage keeps in the directory of the log.
const RESERVE: &str = "reserve";

kinds_of!(
    DurableRecord,
    RECORD_KINDS,
    record_kind,
    [
        Identity,
        View,
        Promise,
        Accept,
        Seal,
        Entry,
        State,
        PositionAdvanced
    ]
);
kinds_of!(
    MessageBody,
    BODY_KINDS,
    body_kind,
    [
        Heartbeat,
        NewView,
        Prepare,
        PrepareResponse,
        Accept,
        AcceptResponse,
        ProposalRejected,
        Transfer,
        TransferResponse,
        Append,
        AppendAcknowledged,
        AppendStored,
        AppendRejected,
        Committed,
        ConfirmEpoch,
        EpochConfirmed,
        Forward,
        ForwardResponse,
        Locality,
    ]
);
kinds_of!(
    Health,
    HEALTH_KINDS,
    health_kind,
    [Good, DiskFault, ShuttingDown]
);
kinds_of!(
    TransferPurpose,
    PURPOSE_KINDS,
    purpose_kind,
    [Synchronise, Learn, Join, Repair]
);
kinds_of!(
    Payload,
    PAYLOAD_KINDS,
    payload_kind,
    [Empty, LatestDocument, FullSnapshot]
);
kinds_of!(Request, REQUEST_KINDS, request_kind, [Put, PatchBase, Read]);
kinds_of!(
    Reply,
    REPLY_KINDS,
    reply_kind,
    [Accepted, Conflict, NotNewer, Document, Unavailable]
);

fn member(last_octet: u8, port: u16) -> Member {
    let address = format!("10.1.0.{last_octet}:{port}")
        .parse()
        .expect("a valid address");
    Member {
        identity: Identity::of_first_start(address),
        address,
    }
}

fn joiner() -> Member {
    let address = "10.1.3.9:7663".parse().expect("a valid address");
    Member {
        identity: Identity::of_joiner(0xfedc_ba98_7654_3210),
        address,
    }
}

/// Three voters, one of which joined later; two of them replicate.
fn view() -> View {
    let voters = vec![member(14, 7660), member(15, 7661), joiner()];
    let chain = vec![joiner().identity, member(14, 7660).identity];
    View {
        epoch: 3,
        voters,
        chain,
    }
}

fn first_view() -> View {
    View::first(&[
        member(14, 7660).address,
        member(15, 7661).address,
        member(16, 7662).address,
    ])
}

fn proposal_number() -> ProposalNumber {
    ProposalNumber {
        counter: 0x0102_0304_0506_0708,
        proposer: joiner().identity.0,
    }
}

fn lower_proposal_number() -> ProposalNumber {
    ProposalNumber {
        counter: 4,
        proposer: 9,
    }
}

fn position() -> Position {
    Position {
        epoch: 3,
        index: 300,
    }
}

fn sealed_position() -> Position {
    Position {
        epoch: 2,
        index: Position::SEALED,
    }
}

fn document(version: u64) -> ConfigurationDocument {
    let body = format!("{{\"version\":{version},\"routes\":[],\"services\":[]}}");
    ConfigurationDocument::new(version, Arc::from(body.as_bytes()))
}

fn patched_document() -> ConfigurationDocument {
    let request = patch_identity(19, b"{\"version\":70000,\"upsert\":{}}");
    ConfigurationDocument::patched(70_000, request, Arc::from(&b"{\"version\":70000}"[..]))
}

/// After three configurations, the last of them made by a patch.
fn state() -> ReplicatedState {
    ReplicatedState::default()
        .with(document(7))
        .with(document(19))
        .with(patched_document())
}

fn durable_records() -> Vec<(&'static str, DurableRecord)> {
    let Member { identity, address } = member(14, 7660);
    let joiner = joiner();
    let empty = ReplicatedState::default();
    vec![
        (
            "identity-of-first-start",
            DurableRecord::Identity { identity, address },
        ),
        (
            "identity-of-joiner",
            DurableRecord::Identity {
                identity: joiner.identity,
                address: joiner.address,
            },
        ),
        ("first-view", DurableRecord::View(first_view())),
        ("later-view", DurableRecord::View(view())),
        (
            "promise",
            DurableRecord::Promise {
                epoch: 3,
                proposal_number: proposal_number(),
            },
        ),
        (
            "accept",
            DurableRecord::Accept {
                epoch: 2,
                proposal_number: lower_proposal_number(),
                view: view(),
            },
        ),
        ("seal", DurableRecord::Seal { epoch: 2 }),
        (
            "entry-first",
            DurableRecord::Entry {
                position: Position { epoch: 1, index: 1 },
                previous: empty.history_digest(),
                document: document(7),
            },
        ),
        (
            "entry-patched",
            DurableRecord::Entry {
                position: position(),
                previous: state().previous_history_digest(),
                document: patched_document(),
            },
        ),
        (
            "state-empty",
            DurableRecord::State {
                position: Position::default(),
                state: empty,
            },
        ),
        (
            "state-whole",
            DurableRecord::State {
                position: sealed_position(),
                state: state(),
            },
        ),
        (
            "standing",
            DurableRecord::PositionAdvanced {
                position: sealed_position(),
            },
        ),
    ]
}

fn heartbeats() -> Vec<(&'static str, Heartbeat)> {
    let good = Heartbeat {
        health: Health::Good,
        position: position(),
        history_digest: state().history_digest(),
        committed: sealed_position(),
        committed_history_digest: Some(state().previous_history_digest()),
        committed_version: 70_000,
        recent_senders: vec![member(14, 7660).identity, joiner().identity],
    };
    let disk_fault = Heartbeat {
        health: Health::DiskFault,
        position: Position::default(),
        history_digest: ReplicatedState::default().history_digest(),
        committed: Position::default(),
        committed_history_digest: None,
        committed_version: 0,
        recent_senders: Vec::new(),
    };
    let shutting_down = Heartbeat {
        health: Health::ShuttingDown,
        ..good.clone()
    };
    vec![
        ("heartbeat-good", good),
        ("heartbeat-disk-trouble", disk_fault),
        ("heartbeat-leaving", shutting_down),
    ]
}

fn transfers() -> Vec<(&'static str, Transfer)> {
    let transfer = |purpose, payload| Transfer {
        purpose,
        position: sealed_position(),
        history_digest: state().history_digest(),
        payload,
    };
    let newest = || Payload::LatestDocument {
        previous: state().previous_history_digest(),
        document: patched_document(),
    };
    vec![
        (
            "transfer-synchronise-nothing",
            transfer(TransferPurpose::Synchronise, Payload::Empty),
        ),
        (
            "transfer-learn-newest",
            transfer(TransferPurpose::Learn, newest()),
        ),
        (
            "transfer-join-whole",
            transfer(TransferPurpose::Join, Payload::FullSnapshot(state())),
        ),
        (
            "transfer-repair-whole-empty",
            transfer(
                TransferPurpose::Repair,
                Payload::FullSnapshot(ReplicatedState::default()),
            ),
        ),
    ]
}

fn transfer_responses() -> Vec<(&'static str, TransferResponse)> {
    let response = |purpose, stored| TransferResponse {
        purpose,
        position: sealed_position(),
        history_digest: state().history_digest(),
        stored,
    };
    vec![
        (
            "transfer-answer-synchronise-held",
            response(TransferPurpose::Synchronise, true),
        ),
        (
            "transfer-answer-learn-lacking",
            response(TransferPurpose::Learn, false),
        ),
        (
            "transfer-answer-join-held",
            response(TransferPurpose::Join, true),
        ),
        (
            "transfer-answer-repair-lacking",
            response(TransferPurpose::Repair, false),
        ),
    ]
}

fn requests() -> Vec<(&'static str, Request)> {
    let base = Request::PatchBase {
        if_match: 19,
        version: 70_000,
        request: patched_document().request,
    };
    vec![
        (
            "forward-put",
            Request::Put {
                if_match: 7,
                document: document(19),
            },
        ),
        ("forward-base", base),
        ("forward-read", Request::Read),
    ]
}

fn replies() -> Vec<(&'static str, Reply)> {
    vec![
        ("forwarded-accepted", Reply::Accepted),
        ("forwarded-conflict", Reply::Conflict { current: 19 }),
        ("forwarded-not-newer", Reply::NotNewer { current: 70_000 }),
        ("forwarded-no-document", Reply::Document(None)),
        (
            "forwarded-document",
            Reply::Document(Some(patched_document())),
        ),
        ("forwarded-unavailable", Reply::Unavailable),
    ]
}

/// Message bodies of view agreement and of replication; the others are built from the lists above.
fn protocol_bodies() -> Vec<(&'static str, MessageBody)> {
    let accepted = AcceptedView {
        proposal_number: lower_proposal_number(),
        view: view(),
    };
    let (history_digest, previous) = (state().history_digest(), state().previous_history_digest());
    let append = |relay| MessageBody::Append {
        index: 300,
        previous,
        document: patched_document(),
        relay,
    };
    vec![
        ("new-view", MessageBody::NewView(view())),
        (
            "prepare",
            MessageBody::Prepare {
                proposal_number: proposal_number(),
            },
        ),
        (
            "promised-none-accepted",
            MessageBody::PrepareResponse {
                proposal_number: proposal_number(),
                accepted: None,
            },
        ),
        (
            "promised-one-accepted",
            MessageBody::PrepareResponse {
                proposal_number: proposal_number(),
                accepted: Some(accepted),
            },
        ),
        (
            "accept",
            MessageBody::Accept {
                proposal_number: proposal_number(),
                view: view(),
            },
        ),
        (
            "accepted",
            MessageBody::AcceptResponse {
                proposal_number: proposal_number(),
            },
        ),
        (
            "rejected",
            MessageBody::ProposalRejected {
                promised: proposal_number(),
            },
        ),
        ("append-to-pass-on", append(true)),
        ("append-to-one", append(false)),
        (
            "acknowledge",
            MessageBody::AppendAcknowledged { index: 300 },
        ),
        ("holds", MessageBody::AppendStored { index: 301 }),
        ("lacks", MessageBody::AppendRejected { index: 302 }),
        (
            "committed",
            MessageBody::Committed {
                index: 303,
                history_digest,
            },
        ),
        ("confirm", MessageBody::ConfirmEpoch { sequence: 65_536 }),
        (
            "confirmed",
            MessageBody::EpochConfirmed {
                sequence: 65_536,
                position: position(),
                history_digest,
            },
        ),
    ]
}

fn locality() -> Locality {
    Locality {
        zone: "north-quay".to_owned(),
        region: "quays".to_owned(),
    }
}

fn bodies() -> Vec<(&'static str, MessageBody)> {
    let heartbeats = heartbeats()
        .into_iter()
        .map(|(name, heartbeat)| (name, MessageBody::Heartbeat(heartbeat)));
    let transfers = transfers()
        .into_iter()
        .map(|(name, transfer)| (name, MessageBody::Transfer(transfer)));
    let responses = transfer_responses()
        .into_iter()
        .map(|(name, response)| (name, MessageBody::TransferResponse(response)));
    let requests = requests().into_iter().map(|(name, body)| {
        (
            name,
            MessageBody::Forward {
                request: 77_000,
                body,
            },
        )
    });
    let replies = replies().into_iter().map(|(name, reply)| {
        (
            name,
            MessageBody::ForwardResponse {
                request: 77_000,
                reply,
            },
        )
    });
    let bodies = protocol_bodies().into_iter();
    bodies
        .chain(heartbeats)
        .chain(transfers)
        .chain(responses)
        .chain(requests)
        .chain(replies)
        .chain([("locality", MessageBody::Locality(locality()))])
        .collect()
}

fn message(body: MessageBody) -> Message {
    Message {
        sender: joiner().identity,
        epoch: 3,
        body,
    }
}

#[test]
fn every_kind_of_stored_record_has_a_sample() {
    let records = durable_records();
    assert_every_kind_is_sampled(
        RECORD_KINDS,
        records.iter().map(|(_, record)| record_kind(record)),
    );
}

#[test]
fn every_kind_of_message_has_a_sample() {
    assert_every_kind_is_sampled(BODY_KINDS, bodies().iter().map(|(_, body)| body_kind(body)));
}

#[test]
fn every_kind_of_message_part_has_a_sample() {
    let healths = heartbeats();
    assert_every_kind_is_sampled(
        HEALTH_KINDS,
        healths
            .iter()
            .map(|(_, heartbeat)| health_kind(&heartbeat.health)),
    );
    let transfers = transfers();
    assert_every_kind_is_sampled(
        PURPOSE_KINDS,
        transfers
            .iter()
            .map(|(_, transfer)| purpose_kind(&transfer.purpose)),
    );
    assert_every_kind_is_sampled(
        PAYLOAD_KINDS,
        transfers
            .iter()
            .map(|(_, transfer)| payload_kind(&transfer.payload)),
    );
    let responses = transfer_responses();
    assert_every_kind_is_sampled(
        PURPOSE_KINDS,
        responses
            .iter()
            .map(|(_, response)| purpose_kind(&response.purpose)),
    );
    assert_every_kind_is_sampled(
        REQUEST_KINDS,
        requests().iter().map(|(_, request)| request_kind(request)),
    );
    assert_every_kind_is_sampled(
        REPLY_KINDS,
        replies().iter().map(|(_, reply)| reply_kind(reply)),
    );
}

#[test]
fn stored_records_are_encoded_as_recorded() {
    let decode = |bytes: &[u8]| bitcode::decode(bytes).expect("a readable record");
    assert_encoded_as_recorded(DURABLE_RECORDS, &durable_records(), bitcode::encode, decode);
}

#[test]
fn messages_are_encoded_as_recorded() {
    let in_envelope = |(name, body)| (name, Envelope::new(message(body)));
    let samples: Vec<(&str, Envelope)> = bodies().into_iter().map(in_envelope).collect();
    let decode = |bytes: &[u8]| Envelope::decode(bytes).expect("a readable message");
    assert_encoded_as_recorded(MESSAGES, &samples, Envelope::encode, decode);
}

/// The frame of a message between two control nodes: length, sender's listener, envelope.
#[test]
fn frames_between_control_nodes_are_encoded_as_recorded() {
    let envelope = Envelope::new(message(MessageBody::Prepare {
        proposal_number: proposal_number(),
    }));
    let from = member(15, 7661).address;
    let encoded = frame::encode(&PeerFrame {
        from,
        envelope: envelope.encode(),
    });
    assert_bytes_as_recorded(PEER_FRAMES, &[("prepare", encoded)]);
    let recorded = &read_fixture(PEER_FRAMES)["prepare"];
    let (length, body) = recorded.split_first_chunk::<4>().expect("a length");
    assert_eq!(u32::from_le_bytes(*length) as usize, body.len());
    let decoded: PeerFrame = bitcode::decode(body).expect("a readable frame");
    assert_eq!(decoded.from, from);
    assert_eq!(
        Envelope::decode(&decoded.envelope).expect("a readable message"),
        envelope
    );
    assert_eq!(&frame::encode(&decoded), recorded);
}

async fn append(
    disk: &Disk,
    completions: &mut Completions,
    ticket: u64,
    records: &[DurableRecord],
) {
    disk.append(PersistTicket(ticket), records)
        .expect("the writer accepts the append");
    let completion = completions.next().await.expect("an outcome");
    assert_eq!(
        disk.on_completion(&completion),
        Some(AppendOutcome::Durable(PersistTicket(ticket)))
    );
}

async fn snapshot(disk: &Disk, completions: &mut Completions, records: &[DurableRecord]) {
    disk.snapshot_if_due(|| records.to_vec());
    let completion = completions.next().await.expect("a snapshot's outcome");
    assert_eq!(completion.result, Ok(()));
    assert_eq!(disk.on_completion(&completion), None);
}

fn all_records() -> Vec<DurableRecord> {
    durable_records()
        .into_iter()
        .map(|(_, record)| record)
        .collect()
}

/// Appends every record by itself, replaces them by a snapshot, appends every record again, then two in one append.
async fn write_store(directory: &Path) {
    let records = all_records();
    let OpenedDisk {
        disk,
        mut completions,
        ..
    } = Disk::open(directory, DISK_BYTES).await.expect("opens");
    let mut ticket = 0;
    for record in &records {
        append(
            &disk,
            &mut completions,
            ticket,
            std::slice::from_ref(record),
        )
        .await;
        ticket += 1;
    }
    snapshot(&disk, &mut completions, &records).await;
    for record in &records {
        append(
            &disk,
            &mut completions,
            ticket,
            std::slice::from_ref(record),
        )
        .await;
        ticket += 1;
    }
    append(&disk, &mut completions, ticket, &records[..2]).await;
}

/// The records that [`write_store`] makes durable, in the order of recovery.
fn stored_records() -> Vec<DurableRecord> {
    let records = all_records();
    [&records[..], &records[..], &records[..2]].concat()
}

/// Names and contents of the log's files.
fn files_in(directory: &Path) -> Vec<(String, Vec<u8>)> {
    let mut files = Vec::new();
    for entry in fs::read_dir(directory).expect("a directory") {
        let entry = entry.expect("an entry");
        let name = entry
            .file_name()
            .into_string()
            .expect("a Unicode file name");
        if name != RESERVE {
            files.push((name, fs::read(entry.path()).expect("reads")));
        }
    }
    files.sort();
    files
}

#[compio::test]
async fn the_data_directory_is_written_as_recorded() {
    let directory = tempfile::tempdir().expect("a directory");
    write_store(directory.path()).await;
    let files = files_in(directory.path());
    let actual: Vec<(&str, Vec<u8>)> = files
        .iter()
        .map(|(name, bytes)| (name.as_str(), bytes.clone()))
        .collect();
    assert_bytes_as_recorded(STORE_FILES, &actual);
}

#[compio::test]
async fn a_recorded_data_directory_is_recovered_completely_and_left_unchanged() {
    let directory = tempfile::tempdir().expect("a directory");
    let recorded = read_fixture(STORE_FILES);
    for (name, bytes) in &recorded {
        fs::write(directory.path().join(name), bytes).expect("writes");
    }
    let recovered = Disk::open(directory.path(), DISK_BYTES)
        .await
        .expect("opens")
        .recovered;
    assert_eq!(recovered.records, stored_records());
    assert!(!recovered.cleared);
    assert_eq!(
        files_in(directory.path()),
        recorded.into_iter().collect::<Vec<_>>()
    );
}
