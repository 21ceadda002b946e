//! Settings, routing configuration and instance list of the router fleet, with the readers that validate them.
//!
//! | value | read from | reader |
//! | --- | --- | --- |
//! | [`settings::NodeSettings`] | a node's settings file | [`settings_reader`] |
//! | [`configuration::Configuration`] | the operator's routing configuration | [`configuration_reader`] |
//! | [`configuration_patch::ConfigurationPatch`] | the operator's changes to named items of it | [`configuration_patch`] |
//! | [`instances::Instance`] | the platform's instance list | [`instances_reader`] |
//!
//! A reader reports all faults of its input at once ([`fault::Faults`]). [`route_table`] finds the route of a request.
//! Only [`settings_file`] does I/O, and no module reads a clock.

pub mod configuration;
pub mod configuration_patch;
pub mod configuration_reader;
pub mod duration;
pub mod fault;
pub mod instances;
pub mod instances_reader;
mod internal_ports;
mod json;
pub mod route_table;
pub mod settings;
pub mod settings_file;
mod settings_lines;
pub mod settings_reader;
