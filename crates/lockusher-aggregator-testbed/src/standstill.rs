//! `standstill`: a mixer is stopped and continued at random points of a load whose clients leave early. Nothing may be
//! sent for a multiget whose client's close was there to be read, nor after its final answer; the searchers note when
//! each part's frame had come whole.

use std::collections::HashMap;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::{Duration, Instant};

use anyhow::Result;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

use crate::stand_in::{Client, PartAction, Setup, World, body, request};

/// What one instant may be off another: the rules' own allowance.
const ALLOWED: Duration = Duration::from_millis(50);
const CLIENTS: usize = 8;

/// When a multiget was over for its client.
#[derive(Clone, Copy)]
enum Over {
    Answered(Instant),
    Closed(Instant),
}

fn client(
    mixer: std::net::SocketAddr,
    number: usize,
    seed: u64,
    stop: &AtomicBool,
) -> HashMap<String, Over> {
    let mut rng = ChaCha8Rng::seed_from_u64(seed ^ (number as u64 + 1) << 32);
    let (mut connection, mut over, mut asked) = (Client::to(mixer), HashMap::new(), 0);
    while !stop.load(Ordering::Relaxed) {
        let id = format!("c{number}n{asked}");
        asked += 1;
        let first = rng.random_range(0..24);
        let wrote = connection.try_write(&request(
            &id,
            &body(&[first, (first + 7) % 24, (first + 13) % 24]),
        ));
        let patience = Duration::from_millis(rng.random_range(5..300));
        let end = match wrote.then(|| connection.read_within(patience)).flatten() {
            Some(_) => Over::Answered(Instant::now()),
            None => {
                // Its close is there to be read from here on, whether or not the mixer stands still.
                connection = Client::to(mixer);
                Over::Closed(Instant::now())
            }
        };
        over.insert(id, end);
        std::thread::sleep(Duration::from_millis(rng.random_range(0..15)));
    }
    over
}

/// Plays it; tells whether nothing left too late. The last line it prints has its figures.
pub fn run(seed: u64, span: Duration, silent_one_in: u64) -> Result<bool> {
    let world = World::start(Setup::default());
    // Each searcher never answers one part in `silent_one_in`, others than its neighbours do not: copies are due while
    // clients lose patience, and are answered.
    for (number, searcher) in world.searchers.iter().enumerate() {
        let salt = seed
            .wrapping_mul(31)
            .wrapping_add(number as u64 * 0x9e37_79b9);
        searcher.set_script(move |part| {
            let odd = part
                .id
                .bytes()
                .fold(salt, |sum, byte| sum.wrapping_mul(31) ^ u64::from(byte));
            if (odd >> 7) % silent_one_in == 0 {
                PartAction::Silent
            } else {
                PartAction::Good
            }
        });
    }
    let (stop, mixer) = (Arc::new(AtomicBool::new(false)), world.address);
    let clients: Vec<_> = (0..CLIENTS)
        .map(|number| {
            let stop = stop.clone();
            std::thread::spawn(move || client(mixer, number, seed, &stop))
        })
        .collect();
    let (mut rng, began, mut stops) = (ChaCha8Rng::seed_from_u64(seed), Instant::now(), 0);
    while began.elapsed() < span {
        std::thread::sleep(Duration::from_millis(rng.random_range(20..400)));
        let still = Duration::from_millis(rng.random_range(50..400));
        world.while_paused(|| std::thread::sleep(still));
        stops += 1;
    }
    stop.store(true, Ordering::Relaxed);
    let over: HashMap<String, Over> = clients
        .into_iter()
        .flat_map(|client| client.join().unwrap_or_default())
        .collect();
    std::thread::sleep(Duration::from_millis(500));

    let (mut after_close, mut after_answer, mut worst, mut sends) = (0, 0, Duration::ZERO, 0);
    let all = world.sends("c");
    for (_, part) in &all {
        sends += 1;
        let id = part.id.split('.').next().unwrap_or_default();
        let (at, counts) = match over.get(id) {
            Some(Over::Closed(at)) => (*at, &mut after_close),
            Some(Over::Answered(at)) => (*at, &mut after_answer),
            None => continue,
        };
        let late = part.at.saturating_duration_since(at);
        if late > ALLOWED {
            *counts += 1;
            worst = worst.max(late);
        }
    }
    let asked_there: std::collections::HashSet<&str> = all
        .iter()
        .filter_map(|(_, part)| part.id.split('.').next())
        .collect();
    let closed = over
        .values()
        .filter(|over| matches!(over, Over::Closed(_)))
        .count();
    let kept = after_close == 0 && after_answer == 0;
    println!(
        "seed={seed} seconds={} stops={stops} multigets={} never_sent={} left_early={closed} sends={sends} \
         after_close={after_close} after_answer={after_answer} worst_ms={} kept={kept}",
        span.as_secs(),
        over.len(),
        over.len() - asked_there.len().min(over.len()),
        worst.as_millis(),
    );
    Ok(kept)
}
