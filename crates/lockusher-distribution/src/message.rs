//! Messages between publishers and subscribers, and their envelope.
//!
//! A frame holds an [`Envelope`]: a protocol number and the encoded message, so that a process of another release
//! detects an unsupported message before it decodes it. [`serve`](crate::serve) and [`subscribe`](crate::subscribe)
//! read and write them; agents also use the envelope for gossip.
//!
//! Invariant: the encoding, bitcode, depends on the order and the types of fields and variants. A change of either
//! requires a new [`PROTOCOL`]; the test `recorded_bytes` compares with the bytes of earlier releases.

use std::net::SocketAddrV4;

use bitcode::{Decode, DecodeOwned, Encode};
use derive_more::{Display, Error, From};
use lockusher_config::configuration::Configuration;
use lockusher_config::instances::{Instance, InstanceListRevision};

use crate::difference::{ConfigurationDifference, InstanceListDifference};
use crate::load::ServiceLoad;

/// Version of the message layout; increases with each change of it.
pub const PROTOCOL: u16 = 2;

/// Value of [`Heartbeat::list_age_ms`] for a list that was never confirmed.
pub const NEVER_CONFIRMED_MS: u64 = u64::MAX;

/// A message can't be read. This is permanent: reading it again fails again.
#[derive(Debug, Display, Error, From)]
pub enum MessageError {
    /// The peer's protocol, given here, isn't [`PROTOCOL`].
    #[from(ignore)]
    #[display("the peer speaks protocol {_0}, this process {PROTOCOL}")]
    ProtocolMismatch(#[error(not(source))] u16),
    /// The bytes aren't a valid message.
    #[display("invalid message: {_0}")]
    Decode(bitcode::Error),
}

/// The content of one frame.
#[derive(Clone, Debug, PartialEq, Encode, Decode)]
pub struct Envelope {
    /// [`PROTOCOL`] of the sender.
    pub protocol: u16,
    /// The message, encoded by bitcode.
    pub body: Vec<u8>,
}

impl Envelope {
    /// Encodes a message with this process's [`PROTOCOL`].
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
    /// [`MessageError::ProtocolMismatch`] if the sender's protocol isn't [`PROTOCOL`], [`MessageError::Decode`] if the
    /// body isn't a message of type `T`.
    pub fn decode<T: DecodeOwned>(&self) -> Result<T, MessageError> {
        if self.protocol != PROTOCOL {
            return Err(MessageError::ProtocolMismatch(self.protocol));
        }
        Ok(bitcode::decode(&self.body)?)
    }
}

/// The versions that a subscriber has applied, or the newest ones of a publisher.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Encode, Decode)]
pub struct AppliedVersions {
    /// Version of the configuration; 0 for none.
    pub configuration_version: u64,
    /// Revision of the instance list; the default for none.
    pub list_revision: InstanceListRevision,
}

/// Identity of a subscriber.
#[derive(Clone, Debug, PartialEq, Eq, Encode, Decode)]
pub struct SubscriberIdentity {
    /// Name of the node, which an agent and the proxy on the same machine share.
    pub node: String,
    /// Zone of the node.
    pub zone: String,
    /// Address at which other agents reach this agent; absent for a proxy.
    pub agent_address: Option<SocketAddrV4>,
}

/// State of the proxies that receive updates through a subscriber.
#[derive(Clone, Debug, PartialEq, Eq, Encode, Decode)]
pub struct DownstreamState {
    /// Configuration version in force at the proxies downstream; 0 if unknown.
    pub in_force_version: u64,
    /// Number of proxies downstream; a proxy counts itself.
    pub proxies: u32,
    /// Load of those proxies, summed by service; services without an inference engine are left out.
    pub loads: Vec<ServiceLoad>,
}

impl DownstreamState {
    /// A proxy that hasn't put a configuration in force yet.
    pub const PROXY: DownstreamState = DownstreamState {
        in_force_version: 0,
        proxies: 1,
        loads: Vec::new(),
    };
}

/// Messages from a subscriber to its publisher.
#[derive(Clone, Debug, PartialEq, Encode, Decode)]
pub enum FromSubscriber {
    /// The first message of a connection.
    Subscribe {
        /// Identity of the subscriber.
        identity: SubscriberIdentity,
        /// The versions that it has applied from earlier connections.
        applied: AppliedVersions,
    },
    /// The answer to each update; also sent as a keep-alive, in answer to some heartbeats.
    Acknowledge {
        /// The versions that the subscriber has applied.
        applied: AppliedVersions,
        /// State of the proxies downstream.
        downstream: DownstreamState,
    },
    /// The answer to a difference whose base the subscriber hasn't applied: requests full snapshots.
    RequestFullSnapshot {
        /// Whether the configuration is requested.
        configuration: bool,
        /// Whether the instance list is requested.
        list: bool,
    },
    /// From a control node to an agent, as the only message of a connection: the internal listeners of the control
    /// nodes that the sender knows, or none if the sender isn't in contact with a majority. The answer is
    /// [`ToSubscriber::ControlNodes`].
    AnnounceControlNodes(Vec<SocketAddrV4>),
}

/// Messages from a publisher to a subscriber.
#[derive(Clone, Debug, PartialEq, Encode, Decode)]
pub enum ToSubscriber {
    /// A newer configuration.
    Configuration(ConfigurationUpdate),
    /// A newer instance list.
    Instances(InstanceListUpdate),
    /// The newest versions, and the age of the list.
    Heartbeat(Heartbeat),
    /// Internal listeners of the control nodes.
    ControlNodes(Vec<SocketAddrV4>),
    /// A random sample of other agents.
    Peers(Vec<SocketAddrV4>),
}

/// A newer configuration.
#[derive(Clone, Debug, PartialEq, Encode, Decode)]
pub enum ConfigurationUpdate {
    /// The complete configuration.
    FullSnapshot(Configuration),
    /// The difference from a version that the subscriber has applied.
    Difference(ConfigurationDifference),
}

/// A newer instance list.
#[derive(Clone, Debug, PartialEq, Encode, Decode)]
pub enum InstanceListUpdate {
    /// The complete list.
    FullSnapshot {
        /// Revision of the list.
        revision: InstanceListRevision,
        /// Instances of the list.
        instances: Vec<Instance>,
    },
    /// The difference from a revision that the subscriber has applied.
    Difference(InstanceListDifference),
}

/// Sent at a regular interval: the publisher's newest versions and the age of its list.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Encode, Decode)]
pub struct Heartbeat {
    /// The publisher's newest versions.
    pub newest: AppliedVersions,
    /// Time since a poll confirmed the newest list against the platform, in milliseconds; [`NEVER_CONFIRMED_MS`] if none has.
    pub list_age_ms: u64,
    /// Number of calls to the platform that one poll of the full list takes; 0 if unknown.
    pub calls_per_poll: u32,
    /// Number of subscribed proxies in the fleet; 0 if unknown.
    pub proxies: u32,
    /// Whether the publisher is a member of the control plane's current view.
    pub in_view: bool,
}
