//! Reads the keys below `limits`: the resource limits of a process.

use std::str::FromStr;

use crate::settings::NodeLimits;
use crate::settings_lines::SettingsLines;

/// Default of each limit.
const DEFAULT_LIMITS: NodeLimits = NodeLimits {
    cpu_share: 1.0,
    cores: 1,
    memory_mb: 128,
    file_descriptors: 1_024,
    link_mbps: 100.0,
    disk_mb: 64,
};

/// Reads the keys below `limits`.
pub fn node_limits(lines: &mut SettingsLines<'_>) -> Option<NodeLimits> {
    let default = DEFAULT_LIMITS;
    let cpu_share = lines.positive_number("limits.cpuShare", default.cpu_share);
    let cores = integer_or(lines, "limits.cores", default.cores);
    let memory_mb = integer_or(lines, "limits.memoryMb", default.memory_mb);
    let file_descriptors = integer_or(lines, "limits.fileDescriptors", default.file_descriptors);
    let link_mbps = lines.positive_number("limits.linkMbps", default.link_mbps);
    let disk_mb = integer_or(lines, "limits.diskMb", default.disk_mb);
    Some(NodeLimits {
        cpu_share: cpu_share?,
        cores: cores?,
        memory_mb: memory_mb?,
        file_descriptors: file_descriptors?,
        link_mbps: link_mbps?,
        disk_mb: disk_mb?,
    })
}

fn integer_or<T: FromStr>(lines: &mut SettingsLines<'_>, key: &str, default: T) -> Option<T> {
    lines.value_or(key, "a whole number", default)
}
