//! The I/O around the replica: peers, operator, subscribers, disk and clock of one control node.

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
pub mod stage_assignment;
pub mod stage_change_order;
pub mod stage_switch_overlay;
pub mod status;
