//! `demo`: hosts, a registry and a mixer on free ports of the loopback; multigets while a host drains and another dies.

use std::time::{Duration, Instant};

use anyhow::Result;
use lockusher_registry_client::core::follow::Protocol;

use crate::fleet::{self, Followed};
use crate::registry::Registry;
use crate::stand_in::{PartAction, Setup, until};

const HOSTS: usize = 4;
const ASKED: usize = 12;

/// Plays it; tells whether every multiget was answered whole and what drained got nothing more.
pub fn run() -> Result<bool> {
    let runtime = tokio::runtime::Builder::new_multi_thread()
        .worker_threads(2)
        .enable_all()
        .build()?;
    let registry = Registry::new(1);
    let endpoints = runtime.block_on(fleet::endpoints(&registry, Protocol::Etcd, 2))?;
    let searchers = fleet::searchers(HOSTS);
    let put = |host: usize, status: &str| {
        let searcher = &searchers[host];
        registry.put(
            &fleet::key(&searcher.name),
            fleet::entry(searcher.address, host % 3, status),
        )
    };
    for host in 0..HOSTS {
        put(host, "active");
    }
    let text = fleet::settings_text(Protocol::Etcd, &endpoints, "");
    let followed = Followed::start(
        &Setup {
            has_known_list: false,
            ..Setup::default()
        },
        &text,
        false,
    )?;
    until(|| followed.mixer.get("/up").status == 200);
    println!(
        "{HOSTS} hosts, a registry with 2 members, and a mixer on {}\n",
        followed.mixer.address
    );

    let mut client = followed.mixer.client();
    let mut all_whole = true;
    let mut ask = |what: &str| {
        let before: Vec<usize> = searchers.iter().map(|s| s.log().parts.len()).collect();
        let (mut whole, began) = (0, Instant::now());
        for i in 0..ASKED {
            let answer = client.ask(
                &format!("{}-{i}", what.replace(' ', "-")),
                &[i, i + 5, i + 11],
            );
            whole += usize::from(answer.status == 200 && answer.body.contains("\"total\":true"));
        }
        let took = began.elapsed();
        all_whole &= whole == ASKED;
        let parts: Vec<usize> = searchers
            .iter()
            .zip(before)
            .map(|(s, b)| s.log().parts.len() - b)
            .collect();
        let by: Vec<String> = searchers
            .iter()
            .zip(&parts)
            .map(|(s, parts)| format!("{} {parts}", s.name))
            .collect();
        println!(
            "{what}: {whole} of {ASKED} answered whole in {took:.0?}; parts sent: {}",
            by.join(", ")
        );
        parts
    };
    let caught_up = |revision: u64| {
        until(|| {
            followed.registry()["revision"]
                .as_u64()
                .is_some_and(|held| held >= revision)
        });
        // The router is told within the time that tellings lie apart.
        std::thread::sleep(Duration::from_millis(200));
    };

    ask("all are up");
    caught_up(put(0, "leaving"));
    let drained = ask("h0 drains")[0] == 0;
    searchers[1].set_script(|_| PartAction::Break);
    ask("h1 dies");
    caught_up(registry.delete(&fleet::key("h1")));
    let gone = ask("h1 is gone from the registry")[1] == 0;
    searchers[1].set_script(|_| PartAction::Good);
    put(0, "active");
    caught_up(put(1, "active"));
    ask("both are back");
    println!(
        "\nwhat the mixer says of its registry:\n{:#}",
        followed.registry()
    );
    let kept = all_whole && drained && gone;
    println!(
        "answered_whole={all_whole} nothing_to_drained={drained} nothing_to_gone={gone} kept={kept}"
    );
    Ok(kept)
}
