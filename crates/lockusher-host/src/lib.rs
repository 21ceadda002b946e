//! What every program round the decision module shares: [`host`] keeps multigets in hand and carries out
//! advice, [`settings`] reads the settings object. Nothing here decides.

pub mod host;
pub mod settings;
