//! The platform's instance list: the searchers that there are.
//!
//! [`instances_reader`](crate::instances_reader) makes the instances from the platform's answer. The instance-list poller
//! in the control plane or the agents owns the newest list; agents and proxies apply its updates. These types are sent
//! between nodes in `bitcode`'s form, which goes by the order and types of fields and variants: neither may change. Source:
//! the operators' pages (PROTOCOL, "Service discovery").

use bitcode::{Decode, Encode};

/// One searcher as listed. Fields are named after their keys.
#[derive(Clone, Debug, PartialEq, Encode, Decode)]
pub struct Instance {
    /// Names one incarnation of the searcher: new with every start; key `identifier`, required.
    pub identifier: String,
    /// Name of the service that it belongs to; key `service`, required.
    pub service: String,
    /// `IP:PORT`, where it accepts connections; key `address`, required.
    pub address: String,
    /// Zone of its machine; key `zone`, by default empty.
    pub zone: String,
    /// Version of its software; key `version`, by default empty.
    pub version: String,
    /// Requests that it works on at a time; key `slots`, by default 1.
    pub slots: u32,
    /// Whether it accepts new requests; key `state`, required.
    pub state: InstanceState,
    /// How much longer it is warming up after its start, in milliseconds; key `coldRemainingMs`, by default 0. The proxy's
    /// slow start lasts for that long at least.
    pub cold_remaining_ms: u64,
    /// Which stage of inference it serves; key `stage`, absent for searchers without an inference engine.
    pub stage: Option<Stage>,
    /// The models that it has loaded; key `models`, by default none.
    pub models: Vec<ModelVersion>,
}

/// Whether a searcher accepts new requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Encode, Decode)]
pub enum InstanceState {
    /// It accepts them.
    Ready,
    /// Its stage is being changed by order of the control plane: no new requests until that is done. The platform's list
    /// doesn't show this state; the control plane adds it.
    Changing,
    /// It is about to end: no new requests.
    Draining,
}

/// A stage of inference.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Encode, Decode)]
pub enum Stage {
    /// Reads prompts, and hands over their KV cache.
    Prefill,
    /// Generates tokens.
    Decode,
}

/// A model that a searcher has loaded.
#[derive(Clone, Debug, PartialEq, Encode, Decode)]
pub struct ModelVersion {
    /// Name of the model; key `name`, required.
    pub name: String,
    /// Version of its weights; key `version`, by default 0.
    pub version: u64,
}

/// Orders revisions of the list, first by epoch, then by sequence: a poller that is appointed later has a higher epoch, and
/// counts up from there.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Encode, Decode)]
pub struct InstanceListRevision {
    /// Epoch of the control view in which the poller was appointed.
    pub epoch: u64,
    /// Number of the poller's changes within its epoch.
    pub sequence: u64,
}
