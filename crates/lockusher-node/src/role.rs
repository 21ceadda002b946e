//! A role of the program: what it is, what it is started with, and why it fails.
//!
//! The roles themselves are listed in [`crate::roles`]; the program runs one of them.

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

/// What a role is started with.
#[derive(Debug)]
pub struct RoleContext {
    /// The node's settings as they were at the start.
    pub settings: NodeSettings,
    /// The file that the settings were read from; it may change.
    pub settings_file: PathBuf,
    /// Signals to the process.
    pub signals: Signals,
    /// What the command line says.
    pub options: RoleOptions,
}

/// What the command line says beside the role; options that don't concern the role are refused.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RoleOptions {
    /// Control: whether searchers are ordered to change their stage.
    pub stage_orders: bool,
}

impl Default for RoleOptions {
    fn default() -> Self {
        RoleOptions { stage_orders: true }
    }
}

impl RoleContext {
    /// The settings, and a future that ends when the process is to stop. Until then a signal that the settings
    /// file has changed has it read again, and `settings_changed` is called with what it says; a faulty file is
    /// logged and changes nothing.
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
                Err(error) => log::error!("the changed settings are not used: {error}"),
            };
            if let Err(error) = signals.until_stop(reload).await {
                log::error!("stopping, signals can't be read: {error}");
            }
        };
        Ok((self.settings, stop))
    }
}

/// Why a role has ended otherwise than by a planned stop. Each of its errors says whether another start may help.
#[derive(Debug, Display, Error, From)]
#[display("{_0}")]
pub enum RoleError {
    /// The runtime can't poll for signals.
    Signals(io::Error),
    /// The settings name too few internal ports.
    Ports(TooFewPorts),
    /// The control node failed.
    Control(ControlError),
    /// The agent failed.
    Agent(AgentError),
    /// The proxy failed.
    Proxy(ProxyError),
    /// The control node or the agent beside it failed.
    ControlAndAgent(CompositionError<ControlError, AgentError>),
}

/// A running role; it ends on [`Signal::Stop`](crate::signals::Signal::Stop).
pub type RunningRole = Pin<Box<dyn Future<Output = Result<(), RoleError>>>>;

/// One role of the program. Its name is also its command.
#[derive(Clone, Copy, Debug)]
pub struct Role {
    /// Its name, which is its command.
    pub name: &'static str,
    /// One line for the help.
    pub summary: &'static str,
    /// Starts the role; called inside the runtime.
    pub run: fn(RoleContext) -> RunningRole,
}
