//! The platform's instance list: the searchers of a deployment.
//!
//! [`instances_reader`](crate::instances_reader) parses the instances from the platform's response. The instance-list
//! poller in the control plane or the agents owns the newest list; agents and proxies apply its updates. These types
//! are sent between nodes, encoded with `bitcode`, which identifies fields and variants by order and type: neither may
//! change. Source: the operators' pages (PROTOCOL, "Service discovery").

use bitcode::{Decode, Encode};

/// One searcher of the list.
#[derive(Clone, Debug, PartialEq, Encode, Decode)]
pub struct Instance {
    /// Identifies one incarnation of the searcher: different after every start; key `identifier`, required.
    pub identifier: String,
    /// Name of the service that it belongs to; key `service`, required.
    pub service: String,
    /// `IP:PORT`, where it accepts connections; key `address`, required.
    pub address: String,
    /// Zone of its machine; key `zone`, by default empty.
    pub zone: String,
    /// Version of its software; key `version`, by default empty.
    pub version: String,
    /// Maximum number of requests that it processes concurrently; key `slots`, by default 1.
    pub slots: u32,
    /// Whether it accepts new requests; key `state`, required.
    pub state: InstanceState,
    /// Remaining time for which it is warming up after its start, in milliseconds; key `coldRemainingMs`, by default 0.
    /// The proxy's slow start lasts at least as long.
    pub warm_up_remaining_ms: u64,
    /// The inference stage that it serves; key `stage`, absent for searchers without an inference engine.
    pub stage: Option<Stage>,
    /// The models that it has loaded; key `models`, by default none.
    pub models: Vec<ModelVersion>,
}

/// Whether a searcher accepts new requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Encode, Decode)]
pub enum InstanceState {
    /// It accepts new requests.
    Ready,
    /// The control plane is changing its stage: no new requests until the change is complete. The platform's list
    /// doesn't have this state; the control plane adds it.
    Changing,
    /// It is shutting down: no new requests.
    Draining,
}

/// A stage of inference.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Encode, Decode)]
pub enum Stage {
    /// Processes prompts and transfers their KV cache to a decode searcher.
    Prefill,
    /// Generates the tokens of the response.
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

/// Revision of the instance list, ordered by epoch, then by sequence: a poller that is appointed later has a higher
/// epoch and starts its own sequence.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Encode, Decode)]
pub struct InstanceListRevision {
    /// Epoch of the control view in which the poller was appointed.
    pub epoch: u64,
    /// Sequence number of the change within the epoch.
    pub sequence: u64,
}
