//! A whole deployment on the loopback: the processes of a fleet, with stand-ins for searchers, platform, operator and
//! clients.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::ops::RangeInclusive;
use std::path::PathBuf;
use std::sync::Arc;
use std::time::Duration;

use derive_more::{Display, Error, From};
use lockusher_config::configuration::Configuration;

use crate::checker::{Evidence, RuleBounds, Verdict, check};
use crate::deployment::{
    MODEL_SERVICE, PLAIN_SERVICE, first_configuration, model_parameters, plain_parameters,
};
use crate::engine::{MICROS_PER_MS, Stage};
use crate::entry::ConnectionBalancer;
use crate::fleet::{Fleet, FleetBounds, FleetError, FleetPlan};
use crate::kv_network::KvNetwork;
use crate::load::{Load, LoadPlan};
use crate::model_searcher::ModelSearcher;
use crate::operator::{ChangeOutcome, Operator};
use crate::plain_searcher::{PlainParameters, PlainSearcher};
use crate::platform::{Platform, PlatformParameters};
use crate::record::{ArrivalLog, TestClock};
use crate::request::RequestRecord;
use crate::searcher::{FaultPlan, Identity};
use crate::wait::WaitTimeout;

const REGION: &str = "north";
const ZONES: [&str; 2] = ["quay", "hill"];
/// Port of the platform's instance list.
const CLOUD_PORT: u16 = 8142;
const SEARCHER_PORT: u16 = 8080;
/// Number of the first searcher's stand-in address; the platform has number 0.
const FIRST_SEARCHER_NUMBER: u8 = 1;
/// Entries per page of the platform's list; few, so that reading it takes several pages.
const PAGE_SIZE: usize = 3;
/// How long the operator retries sending the first configuration.
const FIRST_CONFIGURATION_TIMEOUT: Duration = Duration::from_secs(30);

/// Why a world can't be started.
#[derive(Debug, Display, Error, From)]
pub enum WorldError {
    #[display("{_0}")]
    Fleet(FleetError),
    #[display("{_0}")]
    Io(std::io::Error),
    #[display("{_0}")]
    Wait(WaitTimeout),
    #[display("sending the first configuration: {_0:?}")]
    #[from(ignore)]
    FirstConfiguration(#[error(not(source))] ChangeOutcome),
}

/// Size and parameters of a world.
#[derive(Clone, Debug)]
pub struct WorldPlan {
    /// Edge machines, each with a proxy and an agent.
    pub edges: usize,
    /// Core machines, each with a control node.
    pub cores: usize,
    /// Model searchers that start in the prefill stage.
    pub prefill_searchers: usize,
    /// Model searchers that start in the decode stage.
    pub decode_searchers: usize,
    /// Searchers of the plain service.
    pub plain_searchers: usize,
    /// Staleness of the platform's list.
    pub cloud_lag_ms: u64,
    /// Time bounds and budgets of the fleet.
    pub bounds: FleetBounds,
    /// The configuration with which the fleet starts.
    pub first_configuration: Configuration,
    /// Sizes of the plain searchers' answers, in bytes.
    pub answer_bytes: RangeInclusive<usize>,
    /// The `lockusher-node` program; `None`: the one built from this workspace.
    pub program: Option<PathBuf>,
}

impl Default for WorldPlan {
    fn default() -> WorldPlan {
        WorldPlan {
            edges: 2,
            cores: 3,
            prefill_searchers: 2,
            decode_searchers: 2,
            plain_searchers: 2,
            cloud_lag_ms: 300,
            bounds: FleetBounds::default(),
            first_configuration: first_configuration(),
            answer_bytes: plain_parameters().answer_bytes,
            program: None,
        }
    }
}

/// A running deployment.
pub struct World {
    /// The clock of all records.
    pub clock: TestClock,
    /// The platform's instance list.
    pub platform: Platform,
    /// Searchers of the model service.
    pub models: Vec<ModelSearcher>,
    /// Searchers of the plain service.
    pub plains: Vec<PlainSearcher>,
    /// The processes under test.
    pub fleet: Fleet,
    /// Sends configuration changes.
    pub operator: Arc<Operator>,
    /// Chooses a mixer for each connection.
    pub balancer: Arc<ConnectionBalancer>,
    /// The last configuration known to be acknowledged.
    pub configuration: Configuration,
    bounds: FleetBounds,
    searchers: Searchers,
    /// Stages shown in the platform's list, by instance.
    listed_stages: BTreeMap<String, Stage>,
}

impl World {
    /// Starts everything, applies the first configuration and waits until all proxies are ready.
    pub fn start(plan: &WorldPlan) -> Result<World, WorldError> {
        let clock = TestClock::start();
        let fleet_plan = fleet_plan(plan);
        let fleet = Fleet::allocate(&fleet_plan)?;
        let mut searchers = Searchers::new(clock, ArrivalLog::default(), KvNetwork::default());
        let (models, plains) = searchers.start_all(plan, &fleet)?;
        let parameters = PlatformParameters {
            lag: plan.cloud_lag_ms * MICROS_PER_MS,
            rate_per_second: fleet_plan.cloud_rate_per_s,
            page_size: PAGE_SIZE,
        };
        let entries = models
            .iter()
            .map(ModelSearcher::entry)
            .chain(plains.iter().map(PlainSearcher::entry));
        let platform = Platform::start(
            fleet.stand_in_address(0, CLOUD_PORT),
            parameters,
            entries.collect(),
            clock,
        )?;
        let mut world = World {
            clock,
            platform,
            models,
            plains,
            operator: Operator::new(fleet.operator_addresses(), clock),
            balancer: Arc::new(ConnectionBalancer::start(fleet.mixers())),
            fleet,
            configuration: plan.first_configuration.clone(),
            bounds: plan.bounds.clone(),
            searchers,
            listed_stages: BTreeMap::new(),
        };
        world.fleet.start_all()?;
        world.apply_first_configuration()?;
        world.fleet.wait_all_ready()?;
        Ok(world)
    }

    /// Time bounds and budgets of the fleet.
    pub fn bounds(&self) -> &FleetBounds {
        &self.bounds
    }

    /// The requests that arrived at the searchers.
    pub fn arrival_log(&self) -> &ArrivalLog {
        &self.searchers.arrival_log
    }

    /// The network over which searchers transfer the KV cache of prefilled prompts.
    pub fn kv_network(&self) -> &KvNetwork {
        &self.searchers.network
    }

    /// The fault plans of all searchers.
    pub fn faults(&self) -> impl Iterator<Item = &FaultPlan> {
        let models = self.models.iter().map(ModelSearcher::faults);
        models.chain(self.plains.iter().map(PlainSearcher::faults))
    }

    /// Sends a modified copy of the current configuration, which replaces it if acknowledged.
    pub fn change(
        &mut self,
        modify: impl FnOnce(&mut Configuration),
        timeout: Duration,
    ) -> ChangeOutcome {
        let base = self.configuration.version;
        let mut next = self.configuration.clone();
        next.version += 2;
        modify(&mut next);
        let outcome = self.operator.put(&next, base, 0, timeout);
        if outcome == ChangeOutcome::Acknowledged {
            self.configuration = next;
        }
        outcome
    }

    /// Sends load in the background.
    pub fn load(&self, plan: &LoadPlan) -> Load {
        Load::start(plan, self.clock, Arc::clone(&self.balancer))
    }

    /// Checks all rules on the given requests.
    pub fn check(&self, records: &[RequestRecord]) -> Verdict {
        check(&self.evidence(records))
    }

    /// All observations, with the tries of the given requests.
    pub fn evidence(&self, records: &[RequestRecord]) -> Evidence {
        Evidence {
            tries: records
                .iter()
                .flat_map(|record| record.tries.clone())
                .collect(),
            arrivals: self.arrival_log().snapshot(),
            changes: self.operator.changes(),
            drained: self.platform.drain_times(),
            bounds: rule_bounds(&self.bounds),
        }
    }

    /// Crashes a model searcher and starts a new incarnation at its address; the list shows it after its lag.
    pub fn restart_model(&mut self, position: usize) -> std::io::Result<()> {
        let mut previous = self.models.remove(position);
        let stage = previous.report().stage;
        previous.stop();
        let replacement =
            self.searchers
                .start_model(previous.address(), &previous.identity().zone, stage)?;
        self.platform.remove(&previous.identity().instance);
        self.platform.add(replacement.entry());
        self.models.insert(position, replacement);
        Ok(())
    }

    /// Updates the stages of the model searchers in the platform's list.
    pub fn list_stages(&mut self) {
        for model in &self.models {
            let stage = model.report().stage;
            let instance = &model.identity().instance;
            if self.listed_stages.get(instance) != Some(&stage) {
                self.platform.set_stage(instance, stage.as_str());
                self.listed_stages.insert(instance.clone(), stage);
            }
        }
    }

    /// Drains a model searcher: it reports so in its responses and in the platform's list.
    pub fn drain_model(&self, instance: &str) {
        if let Some(model) = self
            .models
            .iter()
            .find(|model| model.identity().instance == instance)
        {
            model.drain();
            self.platform.drain(instance);
        }
    }

    /// Stops a model searcher and removes it from the platform's list.
    pub fn remove_model(&mut self, instance: &str) {
        let is_instance = |model: &ModelSearcher| model.identity().instance == instance;
        if let Some(position) = self.models.iter().position(is_instance) {
            self.models.remove(position).stop();
            self.platform.remove(instance);
        }
    }

    fn apply_first_configuration(&self) -> Result<(), WorldError> {
        match self
            .operator
            .put(&self.configuration, 0, 0, FIRST_CONFIGURATION_TIMEOUT)
        {
            ChangeOutcome::Acknowledged => Ok(()),
            other => Err(WorldError::FirstConfiguration(other)),
        }
    }
}

/// Starts searchers, each with a new instance id.
struct Searchers {
    clock: TestClock,
    arrival_log: ArrivalLog,
    network: KvNetwork,
    /// Number of incarnations started so far.
    incarnations: u32,
}

impl Searchers {
    fn new(clock: TestClock, arrival_log: ArrivalLog, network: KvNetwork) -> Searchers {
        Searchers {
            clock,
            arrival_log,
            network,
            incarnations: 0,
        }
    }

    fn start_all(
        &mut self,
        plan: &WorldPlan,
        fleet: &Fleet,
    ) -> std::io::Result<(Vec<ModelSearcher>, Vec<PlainSearcher>)> {
        let mut addresses = (FIRST_SEARCHER_NUMBER..).map(|number| {
            let zone = ZONES[usize::from(number) % ZONES.len()];
            (fleet.stand_in_address(number, SEARCHER_PORT), zone)
        });
        let stages = std::iter::repeat_n(Stage::Prefill, plan.prefill_searchers)
            .chain(std::iter::repeat_n(Stage::Decode, plan.decode_searchers));
        let mut models = Vec::new();
        for (stage, (address, zone)) in stages.zip(addresses.by_ref()) {
            models.push(self.start_model(address, zone, stage)?);
        }
        let mut plains = Vec::new();
        for (address, zone) in addresses.take(plan.plain_searchers) {
            plains.push(self.start_plain(address, zone, plan.answer_bytes.clone())?);
        }
        Ok((models, plains))
    }

    fn start_model(
        &mut self,
        address: SocketAddr,
        zone: &str,
        stage: Stage,
    ) -> std::io::Result<ModelSearcher> {
        let identity = self.new_identity(MODEL_SERVICE, address, zone);
        let (arrival_log, network) = (self.arrival_log.clone(), self.network.clone());
        ModelSearcher::start(
            identity,
            stage,
            model_parameters(),
            self.clock,
            arrival_log,
            network,
        )
    }

    fn start_plain(
        &mut self,
        address: SocketAddr,
        zone: &str,
        answer_bytes: RangeInclusive<usize>,
    ) -> std::io::Result<PlainSearcher> {
        let identity = self.new_identity(PLAIN_SERVICE, address, zone);
        PlainSearcher::start(
            identity,
            PlainParameters {
                answer_bytes,
                ..plain_parameters()
            },
            self.clock,
            self.arrival_log.clone(),
        )
    }

    fn new_identity(&mut self, service: &str, address: SocketAddr, zone: &str) -> Identity {
        self.incarnations += 1;
        Identity {
            instance: format!("i-{service}-{}", self.incarnations),
            service: service.to_owned(),
            address,
            zone: zone.to_owned(),
            region: REGION.to_owned(),
        }
    }
}

fn fleet_plan(plan: &WorldPlan) -> FleetPlan {
    FleetPlan {
        edges: plan.edges,
        cores: plan.cores,
        zones: ZONES.map(str::to_owned).to_vec(),
        region: REGION.to_owned(),
        cloud_port: CLOUD_PORT,
        cloud_rate_per_s: 40.0,
        cloud_lag_ms: plan.cloud_lag_ms,
        bounds: plan.bounds.clone(),
        program: plan.program.clone(),
    }
}

fn rule_bounds(bounds: &FleetBounds) -> RuleBounds {
    RuleBounds {
        drain: bounds.drain_ms * MICROS_PER_MS,
        configuration: bounds.configuration_ms * MICROS_PER_MS,
        loss_slack: bounds.loss_slack_ms * MICROS_PER_MS,
        budget_window: bounds.budget_window_s * 1_000 * MICROS_PER_MS,
        retry_budget_ratio: bounds.retry_budget_ratio,
        retry_budget_slack: bounds.retry_budget_slack as f64,
    }
}
