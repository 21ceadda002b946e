//! Roles of the program, and what a role is given at its start.

use std::error::Error;
use std::future::Future;
use std::io;
use std::path::PathBuf;
use std::pin::Pin;

use lockusher_config::settings::NodeSettings;

use crate::settings_file;
use crate::signals::Signals;

/// What a role is started with.
#[derive(Debug)]
pub struct RoleContext {
    pub settings: NodeSettings,
    /// The file that the settings were read from; it may change.
    pub settings_file: PathBuf,
    pub signals: Signals,
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

/// Why a role has ended otherwise than by a planned stop.
pub type RoleError = Box<dyn Error>;

/// A running role; it ends on [`Signal::Stop`](crate::signals::Signal::Stop).
pub type RunningRole = Pin<Box<dyn Future<Output = Result<(), RoleError>>>>;

/// One role of the program. Its name is also its command.
#[derive(Clone, Copy, Debug)]
pub struct Role {
    pub name: &'static str,
    /// One line for the help.
    pub summary: &'static str,
    /// Starts the role; called inside the runtime.
    pub run: fn(RoleContext) -> RunningRole,
}
