//! `large`: a registry of many entries: how long a start takes, whether a burst of changes harms multigets, how long a
//! rebuild takes, and what memory all that needs.

use std::time::{Duration, Instant};

use anyhow::{Result, ensure};
use lockusher_registry_client::core::follow::Protocol;

use crate::fleet::{self, Followed, Load};
use crate::registry::Registry;
use crate::registry::store::Write;
use crate::stand_in::Setup;

/// Hosts that really listen; all entries point to one of them.
const LISTENING: usize = 24;
/// Writes in one transaction of the burst.
const TOGETHER: usize = 50;
/// Replicas of a shard, and shards that a host holds.
const REPLICAS: usize = 30;
const IN_A_ROW: usize = 3;
/// Every other change is of one of so few hosts.
const HOT: usize = 100;
const PATIENCE: Duration = Duration::from_secs(60);

fn wait(what: &str, holds: impl Fn() -> bool) -> Result<Duration> {
    let began = Instant::now();
    while !holds() {
        ensure!(
            began.elapsed() < PATIENCE,
            "{what}: not within {PATIENCE:?}"
        );
        std::thread::sleep(Duration::from_millis(10));
    }
    Ok(began.elapsed())
}

/// The share answered, and the time that all but one in a hundred took.
fn service(mut outcomes: Vec<(u16, Duration)>) -> (f64, Duration) {
    let answered = outcomes.iter().filter(|(status, _)| *status == 200).count();
    outcomes.sort_by_key(|(_, took)| *took);
    let p99 = outcomes
        .get(outcomes.len() * 99 / 100)
        .map_or(Duration::MAX, |(_, took)| *took);
    (answered as f64 / outcomes.len().max(1) as f64, p99)
}

/// Plays it; tells whether the view came to the truth each time and multigets went on being answered.
pub fn run(protocol: Protocol, entries: usize, changes: usize, seconds: Duration) -> Result<bool> {
    let runtime = tokio::runtime::Builder::new_multi_thread()
        .worker_threads(2)
        .enable_all()
        .build()?;
    let registry = Registry::new(1);
    let endpoints = runtime.block_on(fleet::endpoints(&registry, protocol, 2))?;
    let searchers = fleet::searchers(LISTENING);
    let cells = (entries * IN_A_ROW / REPLICAS).max(IN_A_ROW);
    let put = |host: usize, status: &str| Write::Put {
        key: fleet::key(&format!("n{host:06}")).into_bytes(),
        value: fleet::entry(searchers[host % LISTENING].address, host % cells, status).into_bytes(),
        lease: 0,
    };
    registry.write((0..entries).map(|host| put(host, "active")));
    let text = fleet::settings_text(protocol, &endpoints, "");
    let setup = Setup {
        has_known_list: false,
        sockets: 1_024,
        memory_mb: 192,
        cells,
        cells_per_shard: IN_A_ROW,
        shards: cells,
        ..Setup::default()
    };
    let began = Instant::now();
    let followed = Followed::start(&setup, &text, true)?;
    let mixer = &followed.mixer;
    wait("the start", || mixer.get("/up").status == 200)?;
    let started = began.elapsed();
    let (start_kb, calm) = (
        mixer.peak_memory_kb(),
        Load::start(mixer.address, 4, Duration::from_millis(20), cells),
    );
    std::thread::sleep(Duration::from_secs(3));
    let (_, calm_p99) = service(calm.end());

    let load = Load::start(mixer.address, 4, Duration::from_millis(20), cells);
    let (cpu, began, mut done) = (mixer.cpu_us(), Instant::now(), 0);
    let mut status = vec![true; entries];
    while began.elapsed() < seconds {
        if done < (began.elapsed().as_secs_f64() * changes as f64) as usize {
            let hosts = (done..done + TOGETHER).map(|i| {
                if i % 2 == 0 {
                    i * 7 % entries
                } else {
                    i * 7 % HOT
                }
            });
            let writes: Vec<Write> = hosts
                .map(|host| {
                    status[host] = !status[host];
                    put(host, if status[host] { "active" } else { "leaving" })
                })
                .collect();
            registry.write(writes);
            done += TOGETHER;
        } else {
            std::thread::sleep(Duration::from_millis(1));
        }
    }
    let wrote = began.elapsed();
    let (answered, burst_p99) = service(load.end());
    let newest = registry.store().revision();
    let reaches = |newest: u64| move |held: u64| held >= newest;
    let holds = |reached: &dyn Fn(u64) -> bool| {
        followed.registry()["revision"]
            .as_u64()
            .is_some_and(reached)
    };
    let caught_up = wait("the burst", || holds(&reaches(newest)))?;
    let burst_cpu = (mixer.cpu_us() - cpu) as f64 / (wrote + caught_up).as_micros() as f64;
    let (folded, burst_kb) = (
        followed.registry()["counts"]["folded"].clone(),
        mixer.peak_memory_kb(),
    );
    std::thread::sleep(Duration::from_millis(300));
    let differs = |status: &[bool]| {
        let view = fleet::statuses(&followed.view());
        let wrong = view
            .iter()
            .zip(status)
            .filter(|((_, said), up)| (said == "active") != **up)
            .count();
        wrong + view.len().abs_diff(status.len())
    };
    let mut differ = differs(&status);

    // Cut off while a tenth drains and all is compacted away.
    endpoints.iter().for_each(|e| e.relay.refuse(true));
    endpoints.iter().for_each(|e| e.relay.cut());
    let drained: Vec<usize> = (0..entries).step_by(10).collect();
    registry.write(drained.iter().map(|host| put(*host, "leaving")));
    drained.iter().for_each(|host| status[*host] = false);
    registry.compact();
    std::thread::sleep(Duration::from_millis(500));
    endpoints.iter().for_each(|e| e.relay.refuse(false));
    let newest = registry.store().revision();
    let rebuilt = wait("the rebuild", || holds(&reaches(newest)))?;
    differ += differs(&status);
    let rebuild_kb = mixer.peak_memory_kb();
    let kept = differ == 0 && answered >= 0.99 && rebuild_kb < 192 * 1_024;
    println!(
        "protocol={protocol:?} entries={entries} start_ms={} start_kb={start_kb} changes={done} wrote_ms={} \
         caught_up_ms={} folded={folded} burst_core={burst_cpu:.2} calm_p99_ms={:.1} burst_p99_ms={:.1} \
         answered={answered:.4} burst_kb={burst_kb} rebuild_ms={} rebuild_kb={rebuild_kb} \
         views_that_differ={differ} kept={kept}",
        started.as_millis(),
        wrote.as_millis(),
        caught_up.as_millis(),
        calm_p99.as_secs_f64() * 1e3,
        burst_p99.as_secs_f64() * 1e3,
        rebuilt.as_millis(),
    );
    Ok(kept)
}
