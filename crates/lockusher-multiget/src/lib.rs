//! What every program round the decision module shares: [`host`] keeps multigets in hand and carries out
//! advice, [`settings`] reads the settings object, [`list`] the lists of searchers. Nothing here decides.

pub mod host;
pub mod list;
pub mod settings;
