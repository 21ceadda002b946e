//! Reloads the seeds from the settings file when no known control node is reachable.
//!
//! Called by the agent's main task ([`serve::run`](crate::serve::run)) after each change of the subscription, such as a
//! lost connection.

use lockusher_config::settings_file::SeedFile;

use crate::state::AgentState;

/// Minimum time between two reads of the settings file, in milliseconds.
const MIN_RELOAD_INTERVAL_MS: u64 = 1_000;

/// Reloads the seeds, which are addresses of control nodes.
#[derive(Debug)]
pub struct SeedReload {
    file: SeedFile,
    last_reload_ms: u64,
}

impl SeedReload {
    /// Starts with the seeds that the agent was started with.
    pub fn new(agent: &AgentState) -> Self {
        SeedReload {
            file: SeedFile::new(agent.settings.seeds.clone()),
            last_reload_ms: 0,
        }
    }

    /// Reloads the seeds if all known addresses of control nodes have failed, unless they were reloaded recently.
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
        self.reload(agent);
    }

    fn reload(&mut self, agent: &AgentState) {
        match self.file.refresh() {
            Ok(true) => self.apply_seeds(agent),
            Ok(false) => {}
            Err(error) => log::warn!("seeds not reloaded from the settings file: {error}"),
        }
    }

    fn apply_seeds(&self, agent: &AgentState) {
        let seeds = self.file.seeds();
        log::info!("the settings file names other seeds: {seeds:?}");
        let control_listeners = agent.ports.control_listeners(seeds);
        let referrers = agent.ports.seed_agents(&agent.settings, seeds);
        agent.subscriber.update_policy(|policy| {
            policy.set_seeds(control_listeners);
            policy.set_referrers(referrers);
        });
    }
}
