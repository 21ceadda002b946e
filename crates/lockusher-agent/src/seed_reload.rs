//! Reads the settings file again when no known control node answers: its seeds may have changed.
//!
//! Called by the agent's main task ([`serve::run`](crate::serve::run)) after each change of the subscription, a lost
//! connection among them.

use lockusher_config::settings_file::SeedFile;

use crate::state::AgentState;

/// The settings file isn't read again sooner than this, in milliseconds.
const MIN_RELOAD_INTERVAL_MS: u64 = 1_000;

/// Reloads the seeds of the control plane.
#[derive(Debug)]
pub struct SeedReload {
    file: SeedFile,
    last_reload_ms: u64,
}

impl SeedReload {
    /// Begins with the seeds that the agent was started with.
    pub fn new(agent: &AgentState) -> Self {
        SeedReload {
            file: SeedFile::new(agent.settings.seeds.clone()),
            last_reload_ms: 0,
        }
    }

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
        self.reload(agent);
    }

    fn reload(&mut self, agent: &AgentState) {
        match self.file.refresh() {
            Ok(true) => self.use_seeds(agent),
            Ok(false) => {}
            Err(error) => log::warn!("seeds are not read again: {error}"),
        }
    }

    fn use_seeds(&self, agent: &AgentState) {
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
