//! The role of a control node in the chain, as its replica reports it.

/// Whether a node is head of the chain, and in which epoch.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ChainRole {
    /// Whether it is head of the newest view known, and in contact with a majority of its voters.
    pub is_head: bool,
    /// Epoch of that view.
    pub epoch: u64,
}

impl ChainRole {
    /// The head in this epoch.
    pub fn head(epoch: u64) -> Self {
        ChainRole {
            is_head: true,
            epoch,
        }
    }

    /// A node that isn't head in this epoch.
    pub fn not_head(epoch: u64) -> Self {
        ChainRole {
            is_head: false,
            epoch,
        }
    }
}
