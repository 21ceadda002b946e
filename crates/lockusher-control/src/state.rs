//! The replicated state: the newest configuration and the identities of the requests applied before it.
//!
//! Every replica of the chain has a copy; a state is changed only by applying a further configuration
//! ([`ReplicatedState::with`]), so that states with equal history digests are equal.

use std::sync::Arc;

use bitcode::{Decode, Encode};

use crate::document::{ConfigurationDocument, Digest};

/// Number of identities of applied requests that are retained, so that a retry is recognised and acknowledged again.
pub const MAX_HISTORY: usize = 4096;

/// Digest over the whole sequence of configurations applied: equal digests mean equal states.
#[derive(Clone, Copy, Debug, Decode, Encode, Eq, PartialEq)]
pub struct HistoryDigest(pub Digest);

/// The state of which each replica of the chain has a copy.
#[derive(Clone, Debug, Decode, Encode, Eq, PartialEq)]
pub struct ReplicatedState {
    /// The newest configuration.
    document: Option<ConfigurationDocument>,
    /// Identities of the newest [`MAX_HISTORY`] requests applied, oldest first.
    history: Arc<Vec<Digest>>,
    /// Digest over all configurations applied.
    history_digest: HistoryDigest,
    /// Digest over all configurations applied before the newest one.
    previous: HistoryDigest,
}

impl Default for ReplicatedState {
    fn default() -> Self {
        let history_digest = HistoryDigest(Digest::of(&[]));
        Self {
            document: None,
            history: Arc::default(),
            history_digest,
            previous: history_digest,
        }
    }
}

impl ReplicatedState {
    /// The newest configuration.
    pub fn document(&self) -> Option<&ConfigurationDocument> {
        self.document.as_ref()
    }

    /// Version of the newest configuration; 0 before the first.
    pub fn version(&self) -> u64 {
        self.document
            .as_ref()
            .map_or(0, |document| document.version)
    }

    /// Identifies the sequence of configurations applied.
    pub fn history_digest(&self) -> HistoryDigest {
        self.history_digest
    }

    /// History digest of the state before the newest configuration.
    pub fn previous_history_digest(&self) -> HistoryDigest {
        self.previous
    }

    /// Whether this request of the operator has been applied (of the newest [`MAX_HISTORY`]).
    pub fn has_applied(&self, request: Digest) -> bool {
        self.history.contains(&request)
    }

    /// The same state without the identities of applied requests, for an injected bug.
    #[cfg(feature = "injected-bugs")]
    pub(crate) fn without_history(&self) -> Self {
        Self {
            history: Arc::default(),
            ..self.clone()
        }
    }

    /// The state after this configuration has been applied.
    pub fn with(&self, document: ConfigurationDocument) -> Self {
        let history_digest = HistoryDigest(
            self.history_digest
                .0
                .extended(&self.history_digest.0.0.to_le_bytes())
                .extended(&document.version.to_le_bytes())
                .extended(&document.request.0.to_le_bytes())
                .extended(&document.digest.0.to_le_bytes()),
        );
        let surplus = (self.history.len() + 1).saturating_sub(MAX_HISTORY);
        let mut history = Vec::with_capacity(self.history.len() + 1 - surplus);
        history.extend_from_slice(&self.history[surplus..]);
        history.push(document.request);
        Self {
            document: Some(document),
            history: Arc::new(history),
            history_digest,
            previous: self.history_digest,
        }
    }
}
