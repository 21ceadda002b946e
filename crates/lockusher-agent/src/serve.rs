//! Runs the agent: its listeners and its tasks.
//!
//! Called by the node's program for the role `agent`, alone or beside a control node. All tasks end with the future of
//! [`run`]; the proxy's connection is closed at once then, so that the proxy connects to the next agent without waiting
//! for a timeout.

use std::convert::Infallible;
use std::future::Future;
use std::net::SocketAddrV4;
use std::rc::Rc;

use compio::net::TcpListener;
use compio::runtime::{JoinHandle, spawn};
use futures_util::future::{Either, select};
use futures_util::pin_mut;
use lockusher_config::settings::{EdgeControl, NodeSettings};
use lockusher_distribution::serve::{self, SharedPublisher};

use crate::addresses::InternalPorts;
use crate::error::AgentError;
use crate::forward::forward;
use crate::gossip_tasks;
use crate::list_fallback;
use crate::redirect;
use crate::seed_reload::SeedReload;
use crate::state::AgentState;

/// Runs the agent until `stop` is ready.
///
/// # Errors
///
/// If the settings name too few internal ports, or an address can't be bound.
pub async fn run(settings: NodeSettings, stop: impl Future<Output = ()>) -> Result<(), AgentError> {
    let ports = InternalPorts::of(&settings).map_err(AgentError::Ports)?;
    let proxy_listener = listen(ports.proxy_listener()).await?;
    log::info!(
        "agent {}: proxies are served at {}",
        settings.node,
        ports.proxy_listener()
    );
    let agent = Rc::new(AgentState::create(settings, ports).await?);
    let peer_listener = listen(ports.peer_address(&agent.settings)).await?;
    let _redirecting = start_redirecting(&agent).await?;
    let _closing = CloseOnDrop(Rc::clone(&agent.publisher));
    let _tasks = [
        spawn(Rc::clone(&agent.subscriber).run()),
        spawn(serve::accept(proxy_listener, Rc::clone(&agent.publisher))),
        spawn(serve::accept(peer_listener, Rc::clone(&agent.publisher))),
        spawn(list_fallback::poll_while_stale(Rc::clone(&agent))),
        spawn(gossip_tasks::receive_from_peers(Rc::clone(&agent))),
        spawn(gossip_tasks::run_gossip(Rc::clone(&agent))),
        spawn(gossip_tasks::fetch_from_peers(Rc::clone(&agent))),
    ];
    let forwarding = forward_changes(&agent);
    pin_mut!(forwarding, stop);
    match select(forwarding, stop).await {
        Either::Left((never, _)) => match never {},
        Either::Right(((), _)) => Ok(()),
    }
}

/// Forwards whatever the subscription and the proxy's acknowledgements change, for ever.
async fn forward_changes(agent: &AgentState) -> Infallible {
    let mut seed_reload = SeedReload::new(agent);
    loop {
        let subscription_seen = agent.subscriber.changed().generation();
        let acknowledgements_seen = agent.publisher.subscriber_activity().generation();
        forward(agent);
        seed_reload.reload_if_exhausted(agent);
        let subscription = agent.subscriber.changed().changed_since(subscription_seen);
        let acknowledgements = agent
            .publisher
            .subscriber_activity()
            .changed_since(acknowledgements_seen);
        pin_mut!(subscription, acknowledgements);
        select(subscription, acknowledgements).await;
    }
}

/// Redirects operators if a machine without a control node has an operators' address.
async fn start_redirecting(agent: &AgentState) -> Result<Option<JoinHandle<()>>, AgentError> {
    let settings = &agent.settings;
    let Some(address) = settings
        .control
        .filter(|_| settings.edge_control() == EdgeControl::Redirect)
    else {
        return Ok(None);
    };
    let listener = listen(address).await?;
    let subscriber = Rc::clone(&agent.subscriber);
    Ok(Some(spawn(redirect::serve(
        listener,
        subscriber,
        address.port(),
    ))))
}

async fn listen(address: SocketAddrV4) -> Result<TcpListener, AgentError> {
    lockusher_transport::tcp::listen(address)
        .await
        .map_err(|source| AgentError::Listen { address, source })
}

/// Closes the connections of a publisher's subscribers, also when the agent's future is dropped.
struct CloseOnDrop(Rc<SharedPublisher>);

impl Drop for CloseOnDrop {
    fn drop(&mut self) {
        self.0.close();
    }
}
