//! The messages between publishers and subscribers, and their envelope.
//!
//! A frame holds an [`Envelope`]: a protocol number beside the encoded message, so that a process of another release
//! recognizes what it can't read before it tries to. Written and read by [`serve`](crate::serve) and
//! [`subscribe`](crate::subscribe); agents use the envelope for their gossip too.
//!
//! Invariant: the encoding, bitcode, goes by the order and the types of fields and variants. A change of either is a new
//! [`PROTOCOL`]; the test `recorded_bytes` compares with what earlier releases sent.

use std::net::SocketAddrV4;

use bitcode::{Decode, DecodeOwned, Encode};
use derive_more::{Display, Error, From};
use lockusher_config::configuration::Configuration;
use lockusher_config::instances::{Instance, InstanceListRevision};

use crate::difference::{ConfigurationDifference, InstanceListDifference};
use crate::load::ServiceLoad;

/// Number of the messages' layout; rises with every change of it.
pub const PROTOCOL: u16 = 2;

/// Stands for "never" in [`Heartbeat::list_age_ms`].
pub const NEVER_MS: u64 = u64::MAX;

/// A message can't be read. Reading it again fails again.
#[derive(Debug, Display, Error, From)]
pub enum MessageError {
    /// The message is of the peer's protocol, given here, and not of [`PROTOCOL`].
    #[from(ignore)]
    #[display("the peer speaks protocol {_0}, this process {PROTOCOL}")]
    ProtocolMismatch(#[error(not(source))] u16),
    /// The bytes aren't a message.
    #[display("message: {_0}")]
    Decode(bitcode::Error),
}

/// The content of one frame.
#[derive(Clone, Debug, PartialEq, Encode, Decode)]
pub struct Envelope {
    /// [`PROTOCOL`] of the sender.
    pub protocol: u16,
    /// The message in bitcode.
    pub body: Vec<u8>,
}

impl Envelope {
    /// Encodes a message.
    pub fn encode<T: Encode>(message: &T) -> Self {
        Envelope {
            protocol: PROTOCOL,
            body: bitcode::encode(message),
        }
    }

    /// Decodes the message.
    ///
    /// # Errors
    ///
    /// [`MessageError::ProtocolMismatch`] if the sender is of another protocol, [`MessageError::Decode`] if the body
    /// isn't a message of type `T`.
    pub fn decode<T: DecodeOwned>(&self) -> Result<T, MessageError> {
        if self.protocol != PROTOCOL {
            return Err(MessageError::ProtocolMismatch(self.protocol));
        }
        Ok(bitcode::decode(&self.body)?)
    }
}

/// The versions that a process has applied: a subscriber's, or those that a publisher sends as the newest.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Encode, Decode)]
pub struct AppliedVersions {
    /// Version of the configuration; 0 for none.
    pub configuration_version: u64,
    /// Revision of the instance list; the default for none.
    pub list_revision: InstanceListRevision,
}

/// Who subscribes.
#[derive(Clone, Debug, PartialEq, Eq, Encode, Decode)]
pub struct SubscriberIdentity {
    /// Name of the node; an agent and the proxy beside it share it.
    pub node: String,
    /// Zone that the node is in.
    pub zone: String,
    /// Where other agents reach this one; absent for a proxy.
    pub agent_address: Option<SocketAddrV4>,
}

/// What is fed by way of a subscriber.
#[derive(Clone, Debug, PartialEq, Eq, Encode, Decode)]
pub struct Downstream {
    /// Configuration version in force at the proxies downstream; 0 if none is known.
    pub in_force_version: u64,
    /// Number of proxies downstream; a proxy counts itself.
    pub proxies: u32,
    /// The load that those proxies see, summed by service; services without an inference engine are left out.
    pub loads: Vec<ServiceLoad>,
}

impl Downstream {
    /// A proxy that has nothing in force yet.
    pub const PROXY: Downstream = Downstream {
        in_force_version: 0,
        proxies: 1,
        loads: Vec::new(),
    };
}

/// From a subscriber to its publisher.
#[derive(Clone, Debug, PartialEq, Encode, Decode)]
pub enum FromSubscriber {
    /// The first message of a connection.
    Subscribe {
        /// Who subscribes.
        identity: SubscriberIdentity,
        /// What it has applied, by way of earlier connections.
        applied: AppliedVersions,
    },
    /// The answer to each update, and now and then to a heartbeat, as a keep-alive.
    Acknowledge {
        /// What the subscriber has applied.
        applied: AppliedVersions,
        /// What it feeds.
        downstream: Downstream,
    },
    /// The answer to a difference against a base that the subscriber hasn't applied: it asks for full snapshots.
    RequestFullSnapshot {
        /// Whether the configuration is requested.
        configuration: bool,
        /// Whether the instance list is requested.
        list: bool,
    },
    /// From a control node to an agent, as the only message of a connection: the internal listeners of the control nodes
    /// that it knows, none if it isn't in contact with a majority. The answer is [`ToSubscriber::ControlNodes`].
    AnnounceControlNodes(Vec<SocketAddrV4>),
}

/// From a publisher to a subscriber.
#[derive(Clone, Debug, PartialEq, Encode, Decode)]
pub enum ToSubscriber {
    /// A newer configuration.
    Configuration(ConfigurationUpdate),
    /// A newer instance list.
    Instances(InstanceListUpdate),
    /// What is newest.
    Heartbeat(Heartbeat),
    /// Internal listeners of the control nodes that exist.
    ControlNodes(Vec<SocketAddrV4>),
    /// A random sample of other agents.
    Peers(Vec<SocketAddrV4>),
}

/// A newer configuration.
#[derive(Clone, Debug, PartialEq, Encode, Decode)]
pub enum ConfigurationUpdate {
    /// All of it.
    FullSnapshot(Configuration),
    /// What differs from a version that the subscriber has applied.
    Difference(ConfigurationDifference),
}

/// A newer instance list.
#[derive(Clone, Debug, PartialEq, Encode, Decode)]
pub enum InstanceListUpdate {
    /// All of it.
    FullSnapshot {
        /// The list's revision.
        revision: InstanceListRevision,
        /// The list.
        instances: Vec<Instance>,
    },
    /// What differs from a revision that the subscriber has applied.
    Difference(InstanceListDifference),
}

/// Sent regularly: what is newest, and how fresh it is.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Encode, Decode)]
pub struct Heartbeat {
    /// The publisher's newest versions.
    pub newest: AppliedVersions,
    /// Time since a poll confirmed the newest list against the platform, in milliseconds; [`NEVER_MS`] if none has.
    pub list_age_ms: u64,
    /// Calls to the platform that one poll of the full list takes; 0 if unknown.
    pub calls_per_poll: u32,
    /// Subscribed proxies in the fleet; 0 if unknown.
    pub proxies: u32,
    /// Whether the publisher takes part in the control plane's current view.
    pub in_view: bool,
}
