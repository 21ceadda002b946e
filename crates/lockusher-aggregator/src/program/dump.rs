//! `registry dump`: prints the contents of the registry as a mixer sees them.

use std::time::Duration;

use anyhow::{Context, Result, bail};
use lockusher_multiget::list::{List, ListOutput};
use lockusher_multiget::settings::Names;
use lockusher_registry_client::io::follow;
use tokio::sync::{mpsc, watch};

use super::configuration;
use crate::clock::Clock;
use crate::operator::OperatorSettings;

/// Prints the first complete view. Zones are numbered as in the configuration that `LB_CONFIG` names, if it is set.
pub async fn dump(operator: OperatorSettings, timeout: Duration) -> Result<()> {
    let plan = operator
        .registry
        .context("registry: not set; --settings names the file that sets it")?;
    let names = match std::env::var_os("LB_CONFIG") {
        Some(_) => configuration()?.settings.names(),
        None => Names::default(),
    };
    let (_plan_sender, plan_receiver) = watch::channel(plan);
    let (queue, mut lists) = mpsc::channel::<List>(1);
    let (_ask_sender, ask_receiver) = mpsc::channel(1);
    let clock = Clock::start();
    let following = follow(
        plan_receiver,
        names.clone(),
        0,
        move || clock.now(),
        queue,
        |list| list,
        ask_receiver,
    );
    tokio::select! {
        () = following => bail!("registry: the follower ended"),
        list = lists.recv() => {
            let list = list.context("registry: the follower ended without a list")?;
            println!("{}", serde_json::to_string_pretty(&ListOutput::new(list.index, &list.lines, &names))?);
            Ok(())
        }
        () = tokio::time::sleep(timeout) => bail!("registry: no complete view within {} ms", timeout.as_millis()),
    }
}
