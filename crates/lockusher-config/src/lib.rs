//! Plain values of a deployment: the settings of a node, the operator's routing configuration and the
//! platform's instance list, with the readers that check them. Nothing here does I/O or reads a clock.

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
mod settings_lines;
pub mod settings_reader;
