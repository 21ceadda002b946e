//! Gossip between agents: a peer sampling service with rumor mongering on top of it.
//!
//! Each agent knows a few others ([`view`]) and shuffles a part of this view with one of them once a second, so that
//! all views stay random samples of the fleet. Each exchange also carries the newest configuration version of the
//! sender, which a peer with an older version fetches ([`fetch_policy`], [`configuration_fetch`]), and recently
//! observed departures of searchers ([`rumors`]). The control plane delivers both as well; gossip works while the agent
//! is partitioned from the control plane, and spreads departures faster than a control node.
//!
//! [`gossip`] combines these parts and implements the protocol without I/O or a clock; [`socket`] drives it over UDP.
//! [`message`] defines the messages. The agent's tasks ([`gossip_tasks`](crate::gossip_tasks)) share one
//! [`PeerSocket`](socket::PeerSocket).
//!
//! Sources: the peer sampling service of Jelasity, Voulgaris, Guerraoui, Kermarrec and van Steen ("Gossip-based Peer
//! Sampling", ACM TOCS 2007), with the shuffle of Voulgaris, Gavidia and van Steen ("CYCLON: Inexpensive Membership
//! Management for Unstructured P2P Overlays", JNSM 2005); rumor mongering of Demers et al. ("Epidemic Algorithms for
//! Replicated Database Maintenance", PODC 1987, section 1.4).

pub mod configuration_fetch;
pub mod fetch_policy;
pub mod gossip;
pub mod message;
pub mod rumors;
pub mod socket;
pub mod view;
