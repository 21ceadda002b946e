//! The state shared by the agent's tasks.
//!
//! All tasks run on one thread; no `RefCell` borrow is held across an `.await`. Created by
//! [`serve::run`](crate::serve::run), used by [`forward`](crate::forward), [`gossip_tasks`](crate::gossip_tasks),
//! [`list_fallback`](crate::list_fallback) and [`seed_reload`](crate::seed_reload).

use std::cell::RefCell;
use std::collections::hash_map::RandomState;
use std::hash::BuildHasher;
use std::rc::Rc;

use lockusher_config::settings::NodeSettings;
use lockusher_distribution::publisher::Publisher;
use lockusher_distribution::reconnect::ControlNodePolicy;
use lockusher_distribution::serve::SharedPublisher;
use lockusher_distribution::subscribe::SharedSubscriber;
use lockusher_distribution::subscriber::Subscriber;
use lockusher_transport::clock::Clock;
use lockusher_transport::error::{Operation, TransportError};
use lockusher_transport::tcp::wait_for_address;

use crate::addresses::InternalPorts;
use crate::error::AgentError;
use crate::fleet_size::FleetSize;
use crate::list_selection::ListSelection;
use crate::peers::socket::PeerSocket;

/// Shared state of a running agent.
pub struct AgentState {
    /// The settings at startup; only the seeds are reloaded later.
    pub settings: NodeSettings,
    /// Ports of the internal listeners.
    pub ports: InternalPorts,
    /// The monotonic clock of the process.
    pub clock: Clock,
    /// The subscription at a control node.
    pub subscriber: Rc<SharedSubscriber<ControlNodePolicy>>,
    /// The publisher for the proxy, and for peers that fetch a configuration.
    pub publisher: Rc<SharedPublisher>,
    /// The gossip with other agents.
    pub peers: Rc<PeerSocket>,
    /// The known instance lists and the one in force.
    pub lists: RefCell<ListSelection>,
    /// The number of proxies in the fleet.
    pub fleet_size: RefCell<FleetSize>,
}

impl AgentState {
    /// Creates the state and binds the gossip socket. Starts no tasks.
    ///
    /// # Errors
    ///
    /// If the socket can't be bound.
    pub async fn create(settings: NodeSettings, ports: InternalPorts) -> Result<Self, AgentError> {
        let clock = Clock::start();
        let control_listeners = ports.control_listeners(&settings.seeds);
        let mut policy = ControlNodePolicy::new(&settings.node, control_listeners, random_seed());
        policy.set_referrers(ports.seed_agents(&settings, &settings.seeds));
        let address = ports.peer_address(&settings);
        let bind = async || PeerSocket::bind(address, random_seed(), clock).await;
        let peers = wait_for_address(address, bind)
            .await
            .map_err(|source| {
                let (operation, address) = (Operation::Listen, Some(address));
                TransportError::Io {
                    operation,
                    address,
                    source,
                }
            })
            .map_err(|source| AgentError::Listen { address, source })?;
        let subscriber = Subscriber::new(ports.identity(&settings));
        Ok(AgentState {
            subscriber: SharedSubscriber::new(subscriber, policy, clock),
            publisher: SharedPublisher::new(Publisher::new(random_seed()), clock),
            peers,
            lists: RefCell::default(),
            fleet_size: RefCell::default(),
            settings,
            ports,
            clock,
        })
    }

    /// Whether the agent is partitioned from the control plane, which is the case while the control plane's list is
    /// stale.
    pub fn is_partitioned(&self) -> bool {
        self.clock.millis() >= self.lists.borrow().control_stale_at_ms()
    }
}

/// A random seed that differs between processes.
pub fn random_seed() -> u64 {
    RandomState::new().hash_one(std::process::id())
}
