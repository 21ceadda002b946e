//! Polls the platform's instance list while the control plane's is stale.
//!
//! Runs as a separate task, spawned by [`serve::run`](crate::serve::run). While the control plane is unreachable, all
//! agents may poll at the same time; the [`InstanceListPoller`] uses this agent's quota share of the platform's rate
//! limit.

use std::rc::Rc;
use std::time::Duration;

use lockusher_distribution::instance_list_client;
use lockusher_distribution::instance_list_poller::InstanceListPoller;
use lockusher_distribution::subscriber::Subscriber;

use crate::forward::forward;
use crate::state::{AgentState, random_seed};

/// Minimum delay between two staleness checks, in milliseconds.
const MIN_STALENESS_CHECK_MS: u64 = 50;

/// Polls the platform whenever the control plane's list is stale. Never returns.
pub async fn poll_while_stale(agent: Rc<AgentState>) {
    let settings = &agent.settings;
    let mut poller = InstanceListPoller::concurrent(
        settings.cloud_rate_per_s,
        settings.bounds.drain_ms,
        random_seed(),
    );
    loop {
        let now_ms = agent.clock.millis();
        let stale_at_ms = agent.lists.borrow().control_stale_at_ms();
        if now_ms < stale_at_ms {
            poller.stop();
            let delay_ms = (stale_at_ms - now_ms).max(MIN_STALENESS_CHECK_MS);
            compio::time::sleep(Duration::from_millis(delay_ms)).await;
            continue;
        }
        set_rate_and_start(&agent, &mut poller, now_ms);
        let poll =
            instance_list_client::step(&mut poller, settings.cloud_address, agent.clock).await;
        if let Some(poll) = poll {
            agent
                .lists
                .borrow_mut()
                .receive_own_poll(agent.clock.millis(), &poll);
            forward(&agent);
        }
    }
}

/// Sets the poller's rate by the sizes of the fleet and of the list, and starts it if necessary.
fn set_rate_and_start(agent: &AgentState, poller: &mut InstanceListPoller, now_ms: u64) {
    poller.set_concurrent_pollers(agent.fleet_size.borrow().proxies());
    if poller.calls_per_poll() == 0 {
        poller.set_calls_per_poll(agent.subscriber.read(Subscriber::calls_per_poll));
    }
    if !poller.is_started() {
        log::info!("the control plane's instance list is stale, polling the platform");
        poller.start(now_ms);
    }
}
