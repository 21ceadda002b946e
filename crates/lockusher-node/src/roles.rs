//! The roles of the program, and how each is started from the settings.
//!
//! `main` passes them to [`crate::program::run`].

use std::hash::{BuildHasher, RandomState};
use std::net::{Ipv4Addr, SocketAddrV4};

use lockusher_config::settings::{AgentControlMode, InternalListener};
use lockusher_control::serve::ControlOptions;
use lockusher_distribution::message::SubscriberIdentity;
use lockusher_distribution::subscribe::subscribe;
use lockusher_transport::clock::Clock;

use crate::composition::run_with_secondary;
use crate::role::{Role, RoleContext, RoleError, RunningRole};

/// All roles.
pub const ROLES: &[Role] = &[
    Role {
        name: "control",
        summary: "Replicate the control state; serve the operators' API",
        run: control,
    },
    Role {
        name: "agent",
        summary: "Relay control-plane state to this machine's proxy; run a control node, if configured",
        run: agent,
    },
    Role {
        name: "proxy",
        summary: "Forward clients' requests to searchers",
        run: proxy,
    },
];

fn control(context: RoleContext) -> RunningRole {
    Box::pin(async move {
        let options = ControlOptions {
            stage_assignment: context.options.stage_orders,
        };
        let (settings, stop) = context.start(|_| ())?;
        Ok(lockusher_control::serve::run(settings, options, stop).await?)
    })
}

fn agent(context: RoleContext) -> RunningRole {
    Box::pin(async move {
        let options = ControlOptions {
            stage_assignment: context.options.stage_orders,
        };
        let (settings, stop) = context.start(|_| ())?;
        if settings.agent_control_mode() != AgentControlMode::ControlNode {
            return Ok(lockusher_agent::serve::run(settings, stop).await?);
        }
        log::info!("a control node runs beside the agent");
        let control = lockusher_control::serve::run(settings.clone(), options, stop);
        Ok(run_with_secondary(control, |stop| lockusher_agent::serve::run(settings, stop)).await?)
    })
}

fn proxy(context: RoleContext) -> RunningRole {
    Box::pin(async move {
        let (settings, stop) = context.start(|_| ())?;
        let port = settings.internal_port(InternalListener::Subscriptions)?;
        let agent = SocketAddrV4::new(Ipv4Addr::LOCALHOST, port);
        let identity = SubscriberIdentity {
            node: settings.node.clone(),
            zone: settings.zone.clone(),
            agent_address: None,
        };
        let random_seed = RandomState::new().hash_one(&settings.node);
        let subscription = subscribe(agent, identity, Clock::start(), random_seed);
        let reporter = subscription.load_reporter();
        let report = move |loads| reporter.report(loads);
        lockusher_proxy::serve::run_and_report(settings, subscription.into_stream(), report, stop)
            .await
            .map_err(RoleError::from)
    })
}
