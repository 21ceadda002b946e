//! The interface between the program and its roles: definition, context and errors of a role.
//!
//! The roles are defined in [`crate::roles`]; the program runs one of them.

use std::future::Future;
use std::io;
use std::path::PathBuf;
use std::pin::Pin;

use derive_more::{Display, Error, From};
use lockusher_agent::error::AgentError;
use lockusher_config::settings::{NodeSettings, TooFewPorts};
use lockusher_config::settings_file;
use lockusher_control::serve::ControlError;
use lockusher_proxy::ProxyError;

use crate::composition::CompositionError;
use crate::signals::Signals;

/// The inputs of a role.
#[derive(Debug)]
pub struct RoleContext {
    /// The node's settings at the start.
    pub settings: NodeSettings,
    /// The file of the settings, which may change.
    pub settings_file: PathBuf,
    /// Signals that the process receives.
    pub signals: Signals,
    /// Options of the command line.
    pub options: RoleOptions,
}

/// Options of a role on the command line. Options that don't apply to the role are rejected by the command line.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RoleOptions {
    /// Whether a control node changes the stages of searchers; `--stage-orders`.
    pub stage_orders: bool,
}

impl Default for RoleOptions {
    fn default() -> Self {
        RoleOptions { stage_orders: true }
    }
}

impl RoleContext {
    /// Returns the settings, and a future that completes on the signal to stop. Until then the future reloads the
    /// settings file on SIGHUP and calls `settings_changed` with the new settings; a file with faults is logged and
    /// otherwise ignored.
    ///
    /// # Errors
    ///
    /// If the runtime can't poll for signals.
    pub fn start(
        self,
        mut settings_changed: impl FnMut(NodeSettings),
    ) -> io::Result<(NodeSettings, impl Future<Output = ()>)> {
        let signals = self.signals.polled()?;
        let file = self.settings_file;
        let stop = async move {
            let reload = || match settings_file::load(&file) {
                Ok(settings) => settings_changed(settings),
                Err(error) => log::error!("settings not reloaded: {error}"),
            };
            if let Err(error) = signals.until_stop(reload).await {
                log::error!("stopping, cannot read signals: {error}");
            }
        };
        Ok((self.settings, stop))
    }
}

/// Why a role ended other than by a graceful shutdown. The wrapped errors document whether a restart can succeed.
#[derive(Debug, Display, Error, From)]
#[display("{_0}")]
pub enum RoleError {
    /// The runtime can't poll for signals.
    Signals(io::Error),
    /// The range of internal ports is too short.
    Ports(TooFewPorts),
    /// The role `control` failed.
    Control(ControlError),
    /// The role `agent` failed.
    Agent(AgentError),
    /// The role `proxy` failed.
    Proxy(ProxyError),
    /// The control node or the agent failed, in a process that runs both.
    ControlAndAgent(CompositionError<ControlError, AgentError>),
}

/// A running role; it completes after [`Signal::Stop`](crate::signals::Signal::Stop).
pub type RunningRole = Pin<Box<dyn Future<Output = Result<(), RoleError>>>>;

/// A role of the program.
#[derive(Clone, Copy, Debug)]
pub struct Role {
    /// Name of the role, which is also its command.
    pub name: &'static str,
    /// One-line description for the help.
    pub summary: &'static str,
    /// Starts the role; called inside the runtime.
    pub run: fn(RoleContext) -> RunningRole,
}
