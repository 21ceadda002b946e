//! `shared-sim`: state that mixers share in virtual time, at sizes that processes do not reach.

use anyhow::Result;
use lockusher_membership::core::shared_state::{LocalReport, SharingConfig};
use lockusher_policy::interface::{Budget, SearcherId, SearcherObservation, Span, Time};
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

use super::percentiles;
use super::virtual_time::World;

const SETTLES: Span = Span::from_millis(10_000);
/// Between two reports of a mixer; in truth a fifth of that, of which most change nothing.
const REPORTS: Span = Span::from_millis(1_000);
const STEP: Span = Span::from_millis(50);
const SEARCHERS: usize = 12;
/// Witnesses of a death in a fleet at thin traffic: one in twenty, four at least.
const WITNESSES: usize = 20;
const KNOWN_MS: u64 = 3_000;
const MOST_BYTES_S: f64 = 10_000.0;
/// What a member may spend on an average.
const EACH: f64 = 3.0;

fn observation(searcher: usize, now: Time, down_since: Option<Time>) -> SearcherObservation {
    let success_ratio = if down_since.is_some() { 0.1 } else { 1.0 };
    SearcherObservation {
        id: SearcherId::new(&format!("s{searcher}")),
        started_at: None,
        latency: Some(0.01),
        success_ratio,
        last_outcome_at: now,
        silent_since: None,
        down_since,
        cold_since: None,
    }
}

/// A fleet that reports: `down` is a searcher and since when the witnesses see it so.
struct Fleet {
    world: World,
    down: Option<(usize, Time)>,
    next: Time,
    wants: Vec<f64>,
}

impl Fleet {
    fn play(&mut self, span: Span) {
        let end = self.world.now + span;
        while self.world.now < end {
            if self.next <= self.world.now {
                self.next = self.next + REPORTS;
                self.report();
            }
            self.world.play(STEP);
        }
    }

    fn report(&mut self) {
        let up: Vec<usize> = self.world.up().collect();
        let now = self.world.now;
        let every = if up.len() >= 4 * WITNESSES {
            WITNESSES
        } else {
            up.len().div_ceil(4)
        };
        for (nth, mixer) in up.into_iter().enumerate() {
            let seen = (0..SEARCHERS).filter_map(|searcher| match self.down {
                Some((of, since)) if of == searcher => {
                    (nth % every == 0).then(|| observation(of, now, Some(since)))
                }
                _ => Some(observation(searcher, now, None)),
            });
            let own = LocalReport {
                seen: seen.collect(),
                wants: vec![(Budget::Retries, self.wants[mixer])],
                ..LocalReport::default()
            };
            self.world.tell(mixer, own);
        }
    }

    fn knows(&self, mixer: usize, searcher: usize) -> bool {
        let id = SearcherId::new(&format!("s{searcher}"));
        self.world
            .core(mixer)
            .agreed_verdicts()
            .iter()
            .any(|of| of.health.id == id && of.health.is_degraded())
    }

    fn bytes_s(&mut self, span: Span) -> f64 {
        let (before, began) = (self.world.counts().bytes_out, self.world.now);
        self.play(span);
        let each = self.world.mixers() as f64 * self.world.now.since(began).as_secs();
        (self.world.counts().bytes_out - before) as f64 / each
    }
}

/// Plays it; tells whether all promises were kept. The last line it prints has its figures.
pub fn run(members: usize, seed: u64, span: Span) -> Result<bool> {
    anyhow::ensure!(
        (4..=10_000).contains(&members),
        "--members: {members} is not between 4 and 10,000"
    );
    let mut rng = ChaCha8Rng::seed_from_u64(seed ^ 0x5a5a);
    let mut world = World::new(members, seed);
    let budget = EACH * members as f64;
    world.zones = 3;
    world.plan.sharing = Some(SharingConfig {
        judgements: true,
        budgets: vec![(Budget::Retries, budget)],
        mixers: members,
        ..SharingConfig::default()
    });
    for member in 0..members {
        world.start(member);
        world.play(Span::from_micros(1_000_000 / members as u64));
    }
    anyhow::ensure!(world.settle(SETTLES).is_some(), "the fleet does not settle");
    // Traffic is uneven: some want several times the mean, most little.
    let want = |rng: &mut ChaCha8Rng| EACH * rng.random_range(0.0..1.0_f64).powi(4) * 10.0;
    let wants = (0..members).map(|_| want(&mut rng)).collect();
    let next = world.now;
    let mut fleet = Fleet {
        world,
        down: None,
        next,
        wants,
    };
    fleet.play(Span::from_millis(5_000));
    let calm = fleet.bytes_s(Span::from_millis(5_000));
    // A searcher dies; its witnesses go on seeing it.
    let died = fleet.world.now;
    fleet.down = Some((3, died));
    let (mut known, mut unknown) = (Vec::new(), (0..members).collect::<Vec<usize>>());
    let before = fleet.world.counts().bytes_out;
    while !unknown.is_empty() && fleet.world.now.since(died) < SETTLES {
        fleet.play(STEP);
        let now = fleet.world.now;
        let (learnt, still): (Vec<usize>, Vec<usize>) = unknown
            .into_iter()
            .partition(|mixer| fleet.knows(*mixer, 3));
        known.extend(learnt.iter().map(|_| now.since(died)));
        unknown = still;
    }
    let took = fleet.world.now.since(died);
    known.extend(unknown.iter().map(|_| SETTLES));
    let bad = fleet.bytes_s(Span::from_millis(5_000));
    let spread =
        (fleet.world.counts().bytes_out - before) as f64 / members as f64 / (took.as_secs() + 5.0);
    fleet.down = None;
    // What may be spent under cuts, kills and standstills, of which no view knows all.
    let (mut worst, mut least_lent, end) = (0.0_f64, f64::MAX, fleet.world.now + span);
    fleet.world.judges = false;
    while fleet.world.now < end {
        match rng.random_range(0..4) {
            0 => {
                let share: f64 = rng.random_range(0.1..0.6);
                fleet.world.net.group = (0..members)
                    .map(|_| u8::from(rng.random::<f64>() < share))
                    .collect();
            }
            1 => {
                let part: Vec<usize> = fleet
                    .world
                    .up()
                    .filter(|_| rng.random::<f64>() < 0.2)
                    .collect();
                part.iter().for_each(|member| fleet.world.kill(*member));
                part.iter().for_each(|member| fleet.world.start(*member));
            }
            2 => {
                let one = rng.random_range(0..members);
                fleet
                    .world
                    .stop(one, Span::from_millis(rng.random_range(500..9_000)));
            }
            _ => fleet.world.net.group = vec![0; members],
        }
        for _ in 0..rng.random_range(10..80) {
            fleet.play(STEP);
            let may = fleet.world.may_spend(0);
            (worst, least_lent) = (worst.max(may / budget), least_lent.min(may / budget));
        }
    }
    let [p50, p99, most] = percentiles(&mut known);
    let bytes = calm.max(bad).max(spread);
    let kept = p99 <= KNOWN_MS && worst <= 1.0 + 1e-9 && bytes < MOST_BYTES_S;
    println!(
        "members={members} seed={seed} seconds={} known_p50_ms={p50} known_p99_ms={p99} known_worst_ms={most} \
         bytes_s_calm={calm:.0} bytes_s_spreading={spread:.0} bytes_s_after={bad:.0} most_of_budget={worst:.3} \
         least_of_budget={least_lent:.3} kept={kept}",
        span.as_secs(),
    );
    Ok(kept)
}
