//! Peer sampling among agents, and what they tell each other when the control plane can't.
//!
//! Each agent knows a few others ([`view`]) and exchanges a part of them with one of them once a second, so that all
//! views stay random samples of the fleet (Voulgaris, Gavidia and van Steen: "CYCLON", 2005). Each exchange carries the
//! newest configuration version, which a peer that lacks it fetches ([`fetch_policy`]), and the searchers whose end was seen
//! of late ([`rumors`]). [`gossip`] joins these and decides; [`socket`] drives it over UDP.

pub mod fetch_policy;
pub mod gossip;
pub mod message;
pub mod rumors;
pub mod socket;
pub mod view;
