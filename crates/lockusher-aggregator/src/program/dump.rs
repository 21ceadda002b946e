//! `registry dump`: what the registry holds, as a mixer would see it.

use std::time::Duration;

use anyhow::{Context, Result, bail};
use lockusher_multiget::list::{List, ListOut};
use lockusher_multiget::settings::Names;
use lockusher_registry_client::io::follow;
use tokio::sync::{mpsc, watch};

use super::configuration;
use crate::clock::Clock;
use crate::operator::Operator;

/// Prints the first whole view. Zones are named as `LB_CONFIG` does, if it is set.
pub async fn dump(operator: Operator, within: Duration) -> Result<()> {
    let plan = operator
        .registry
        .context("registry: not set; --settings names the file that sets it")?;
    let names = match std::env::var_os("LB_CONFIG") {
        Some(_) => configuration()?.settings.names(),
        None => Names::default(),
    };
    let (_plans, plans) = watch::channel(plan);
    let (queue, mut lists) = mpsc::channel::<List>(1);
    let (_asks, asked) = mpsc::channel(1);
    let clock = Clock::start();
    let following = follow(
        plans,
        names.clone(),
        0,
        move || clock.now(),
        queue,
        |list| list,
        asked,
    );
    tokio::select! {
        () = following => bail!("registry: no longer followed"),
        list = lists.recv() => {
            let list = list.context("registry: nothing was told")?;
            println!("{}", serde_json::to_string_pretty(&ListOut::new(list.index, &list.lines, &names))?);
            Ok(())
        }
        () = tokio::time::sleep(within) => bail!("registry: no whole view within {} ms", within.as_millis()),
    }
}
