//! Runs the agent's listeners and tasks.
//!
//! Called by the node's program for the role `agent`, alone or beside a control node. All tasks are cancelled when the
//! future of [`run`] completes or is dropped. The proxy's connection is then closed immediately, so that the proxy
//! connects to the next agent without waiting for a timeout.

use std::convert::Infallible;
use std::future::Future;
use std::net::SocketAddrV4;
use std::rc::Rc;
use std::time::Duration;

use compio::net::TcpListener;
use compio::runtime::spawn;
use futures_util::future::{Either, select};
use futures_util::pin_mut;
use lockusher_config::settings::{AgentControlMode, NodeSettings};
use lockusher_distribution::serve::{self, SharedPublisher};
use lockusher_transport::http;
use lockusher_transport::tcp::unless_stopped;

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
/// If the settings contain too few internal ports, or an address can't be bound.
pub async fn run(settings: NodeSettings, stop: impl Future<Output = ()>) -> Result<(), AgentError> {
    let ports = InternalPorts::from_settings(&settings).map_err(AgentError::Ports)?;
    pin_mut!(stop);
    let Some(bound) = unless_stopped(bind(settings, ports), stop.as_mut()).await else {
        return Ok(());
    };
    let BoundAgent {
        agent,
        proxy_listener,
        peer_listener,
        operator_listener,
    } = bound?;
    let redirect = operator_listener.map(|listener| start_redirect(&agent, listener));
    let _close_on_drop = CloseOnDrop(Rc::clone(&agent.publisher));
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
    pin_mut!(forwarding);
    match select(forwarding, stop).await {
        Either::Left((never, _)) => match never {},
        Either::Right(((), _)) => {}
    }
    if let Some(redirect) = redirect {
        let grace = Duration::from_millis(agent.settings.bounds.grace_ms);
        redirect.shut_down(http::shutdown_time_limit(grace)).await;
    }
    Ok(())
}

/// Forwards the state after each change of the subscription and each acknowledgement of the proxy. Never returns.
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

/// An agent whose sockets are bound and whose tasks aren't running yet.
struct BoundAgent {
    agent: Rc<AgentState>,
    proxy_listener: TcpListener,
    peer_listener: TcpListener,
    /// The listener for operators, if their requests are redirected to a control node.
    operator_listener: Option<TcpListener>,
}

/// Binds the agent's sockets; waits for addresses that are in use.
async fn bind(settings: NodeSettings, ports: InternalPorts) -> Result<BoundAgent, AgentError> {
    let proxy_listener = listen(ports.proxy_listener()).await?;
    log::info!(
        "agent {}: listening for proxies at {}",
        settings.node,
        ports.proxy_listener()
    );
    let agent = Rc::new(AgentState::create(settings, ports).await?);
    let settings = &agent.settings;
    let redirects = settings.agent_control_mode() == AgentControlMode::Redirect;
    let peer_listener = listen(ports.peer_address(settings)).await?;
    let operator_listener = match settings.control.filter(|_| redirects) {
        Some(address) => Some(listen(address).await?),
        None => None,
    };
    Ok(BoundAgent {
        agent,
        proxy_listener,
        peer_listener,
        operator_listener,
    })
}

/// Starts to redirect operators to a control node.
fn start_redirect(agent: &AgentState, listener: TcpListener) -> http::Server {
    let subscriber = Rc::clone(&agent.subscriber);
    let operator_port = agent.settings.control.map_or(0, |address| address.port());
    redirect::start(listener, subscriber, operator_port)
}

async fn listen(address: SocketAddrV4) -> Result<TcpListener, AgentError> {
    lockusher_transport::tcp::listen(address)
        .await
        .map_err(|source| AgentError::Listen { address, source })
}

/// Closes the connections of a publisher's subscribers when the agent ends, even if its future is dropped.
struct CloseOnDrop(Rc<SharedPublisher>);

impl Drop for CloseOnDrop {
    fn drop(&mut self) {
        self.0.close();
    }
}
