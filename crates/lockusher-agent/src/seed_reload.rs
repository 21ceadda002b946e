//! Reads the settings file again when no known control node answers: its seeds may have changed.
//!
//! Called by the agent's main task ([`serve::run`](crate::serve::run)) after each change of the subscription, a lost
//! connection among them.

use lockusher_config::settings::NodeSettings;

use crate::state::AgentState;

/// Names the settings file.
const SETTINGS_VARIABLE: &str = "LOCKUSHER_NODE_FILE";
/// The settings file isn't read again sooner than this, in milliseconds.
const MIN_RELOAD_INTERVAL_MS: u64 = 2_000;

/// Reloads the seeds of the control plane.
#[derive(Debug, Default)]
pub struct SeedReload {
    last_reload_ms: u64,
}

impl SeedReload {
    /// Reads the seeds if all known addresses of control nodes were tried, and not too often.
    pub fn reload_if_exhausted(&mut self, agent: &AgentState) {
        let now_ms = agent.clock.millis();
        if now_ms < self.last_reload_ms + MIN_RELOAD_INTERVAL_MS {
            return;
        }
        if !agent
            .subscriber
            .update_policy(|policy| policy.is_out_of_addresses())
        {
            return;
        }
        self.last_reload_ms = now_ms;
        reload(agent);
    }
}

fn reload(agent: &AgentState) {
    let Some(path) = std::env::var_os(SETTINGS_VARIABLE) else {
        return;
    };
    match std::fs::read_to_string(&path).map(|text| NodeSettings::parse(&text)) {
        Ok(Ok(settings)) => {
            let seeds = agent.ports.control_listeners(&settings);
            agent
                .subscriber
                .update_policy(|policy| policy.set_seeds(seeds));
        }
        Ok(Err(faults)) => log::warn!("settings: {faults}"),
        Err(error) => log::warn!("settings: {error}"),
    }
}
