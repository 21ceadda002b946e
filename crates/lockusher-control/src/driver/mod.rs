//! The driver of one control node's replica: peers, operator, subscribers, disk and clock.
//!
//! The replica ([`crate::replica::Replica`]) and the stage scheduler ([`crate::stage_scheduler`]) decide without I/O; the
//! modules here own the sockets, the disk and the clock, hand events to them and carry out what they decide.
//! [`crate::serve`] puts them together and starts their tasks. Of those that decide something by themselves, each is a
//! module without I/O: `instance_list_revision`, `operator_error`, `send_queue`,
//! `stage_change_order` and `stage_switch_overlay`.

pub mod announcement;
pub mod change_request;
pub mod disk;
pub mod instance_list_polling;
pub mod instance_list_publisher;
pub mod instance_list_revision;
pub mod operator_api;
pub mod operator_error;
pub mod peer_links;
pub mod peer_listener;
pub mod replica_driver;
pub mod send_queue;
pub mod service_log;
pub mod stage_assignment;
pub mod stage_change_order;
pub mod stage_log;
pub mod stage_switch_overlay;
pub mod status;
