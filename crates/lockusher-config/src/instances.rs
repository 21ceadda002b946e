//! The platform's list of searchers.

use bitcode::{Decode, Encode};

/// One searcher as listed.
#[derive(Clone, Debug, PartialEq, Encode, Decode)]
pub struct Instance {
    /// Names one incarnation; new with every start.
    pub identifier: String,
    pub service: String,
    /// `IP:PORT`.
    pub address: String,
    pub zone: String,
    /// Version of its software.
    pub version: String,
    pub slots: u32,
    pub state: InstanceState,
    /// How much longer it is slow from its start, in milliseconds.
    pub cold_remaining_ms: u64,
    /// Which stage of inference it serves; absent for plain services.
    pub stage: Option<Stage>,
    pub models: Vec<ModelVersion>,
}

/// Whether a searcher takes new requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Encode, Decode)]
pub enum InstanceState {
    Ready,
    /// Changing its stage by order of the control plane: no new requests until it is back. The platform doesn't show this.
    Changing,
    /// About to end: no new requests.
    Draining,
}

/// A stage of inference.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Encode, Decode)]
pub enum Stage {
    Prefill,
    Decode,
}

/// A model that a searcher holds.
#[derive(Clone, Debug, PartialEq, Encode, Decode)]
pub struct ModelVersion {
    pub name: String,
    pub version: u64,
}

/// Orders revisions of the list: a later reader has a higher epoch, and counts up from there.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Encode, Decode)]
pub struct InstanceListRevision {
    /// Epoch of the control view in which the reader was appointed.
    pub epoch: u64,
    /// Counts the reader's changes within its epoch.
    pub sequence: u64,
}
