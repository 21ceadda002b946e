//! What publishers and subscribers say to each other.
//!
//! Each frame is an [`Envelope`]: a protocol number beside the encoded message, so that a process of another release
//! recognizes what it can't read before it tries to.

use std::net::SocketAddrV4;

use bitcode::{Decode, DecodeOwned, Encode};
use derive_more::{Display, Error, From};
use lockusher_config::configuration::Configuration;
use lockusher_config::instances::{Instance, InstanceListRevision};

use crate::difference::{ConfigurationDifference, InstanceListDifference};
use crate::load::ServiceLoad;

/// Number of the messages below; rises with every change of their layout.
pub const PROTOCOL: u16 = 2;

/// Stands for "never" in [`Heartbeat::list_age_ms`].
pub const NEVER_MS: u64 = u64::MAX;

/// A message that can't be read.
#[derive(Debug, Display, Error, From)]
pub enum MessageError {
    #[from(ignore)]
    #[display("the peer speaks protocol {_0}, this process {PROTOCOL}")]
    ProtocolMismatch(#[error(not(source))] u16),
    #[display("message: {_0}")]
    Decode(bitcode::Error),
}

/// One frame.
#[derive(Clone, Debug, PartialEq, Encode, Decode)]
pub struct Envelope {
    /// [`PROTOCOL`] of the sender.
    pub protocol: u16,
    /// The message in bitcode.
    pub body: Vec<u8>,
}

impl Envelope {
    /// Encloses a message.
    pub fn seal<T: Encode>(message: &T) -> Self {
        Envelope { protocol: PROTOCOL, body: bitcode::encode(message) }
    }

    /// The message enclosed; an error if it is of another protocol or damaged.
    pub fn open<T: DecodeOwned>(&self) -> Result<T, MessageError> {
        if self.protocol != PROTOCOL {
            return Err(MessageError::ProtocolMismatch(self.protocol));
        }
        Ok(bitcode::decode(&self.body)?)
    }
}

/// What a subscriber holds.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Encode, Decode)]
pub struct AppliedVersions {
    /// 0: none.
    pub configuration_version: u64,
    /// The default: none.
    pub list_revision: InstanceListRevision,
}

/// Who subscribes.
#[derive(Clone, Debug, PartialEq, Eq, Encode, Decode)]
pub struct SubscriberIdentity {
    pub node: String,
    pub zone: String,
    /// Where other agents reach this one; absent for a proxy.
    pub agent_address: Option<SocketAddrV4>,
}

/// What stands behind a subscriber.
#[derive(Clone, Debug, PartialEq, Eq, Encode, Decode)]
pub struct Downstream {
    /// Configuration version in force at the proxies behind the subscriber; 0 if none is known.
    pub in_force_version: u64,
    /// Proxies that are fed by way of the subscriber; a proxy counts itself.
    pub proxies: u32,
    /// What those proxies see of the services, summed; services without an inference engine are left out.
    pub loads: Vec<ServiceLoad>,
}

impl Downstream {
    /// A proxy that has nothing in force yet.
    pub const PROXY: Downstream = Downstream { in_force_version: 0, proxies: 1, loads: Vec::new() };
}

/// From a subscriber to its publisher.
#[derive(Clone, Debug, PartialEq, Encode, Decode)]
pub enum FromSubscriber {
    /// The first message of a connection.
    Subscribe { identity: SubscriberIdentity, applied: AppliedVersions },
    /// After each update, and now and then in between as a sign of life.
    Acknowledge { applied: AppliedVersions, downstream: Downstream },
    /// A difference didn't fit what the subscriber holds: it asks for the whole.
    RequestFullSnapshot { configuration: bool, list: bool },
}

/// From a publisher to a subscriber.
#[derive(Clone, Debug, PartialEq, Encode, Decode)]
pub enum ToSubscriber {
    Configuration(ConfigurationUpdate),
    Instances(InstanceListUpdate),
    Heartbeat(Heartbeat),
    /// Internal listeners of the control nodes that exist.
    ControlNodes(Vec<SocketAddrV4>),
    /// A random sample of other agents.
    Peers(Vec<SocketAddrV4>),
}

/// A configuration, whole or as a difference.
#[derive(Clone, Debug, PartialEq, Encode, Decode)]
pub enum ConfigurationUpdate {
    FullSnapshot(Configuration),
    Difference(ConfigurationDifference),
}

/// A list of searchers, whole or as a difference.
#[derive(Clone, Debug, PartialEq, Encode, Decode)]
pub enum InstanceListUpdate {
    FullSnapshot { revision: InstanceListRevision, instances: Vec<Instance> },
    Difference(InstanceListDifference),
}

/// Sent regularly; says what is newest and how fresh it is.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Encode, Decode)]
pub struct Heartbeat {
    pub newest: AppliedVersions,
    /// How long since a reader confirmed the newest list against the platform; [`NEVER_MS`] if none has.
    pub list_age_ms: u64,
    /// Calls to the platform that one reading of the whole list takes; 0 if unknown.
    pub calls_per_poll: u32,
    /// Subscribed proxies in the fleet; 0 if unknown.
    pub proxies: u32,
    /// Whether the publisher takes part in the control plane's current view.
    pub in_view: bool,
}
