//! End-to-end fault injection: a searcher misbehaves at each point of a request, and no rule may be violated. The
//! faults for one kind of request are injected one after another in one deployment.

use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use lockusher_router_testbed::checker::Verdict;
use lockusher_router_testbed::client::Client;
use lockusher_router_testbed::deployment::{request_mix, spec_for};
use lockusher_router_testbed::record::ArrivalOutcome;
use lockusher_router_testbed::request::{RequestRecord, RequestSpec, TryOutcome};
use lockusher_router_testbed::searcher::{Fault, FaultPlan};
use lockusher_router_testbed::wait::wait_until;
use lockusher_router_testbed::world::{World, WorldPlan};

static EXCLUSIVE: Mutex<()> = Mutex::new(());

/// Requests that are sent while a fault is armed.
const REQUESTS: usize = 6;
/// Polls, 50 ms apart, until a condition must be met.
const POLLS: u32 = 200;

fn exclusive() -> MutexGuard<'static, ()> {
    EXCLUSIVE.lock().unwrap_or_else(PoisonError::into_inner)
}

fn world() -> World {
    World::start(&WorldPlan::default()).expect("starting the world")
}

/// A request for the route with this name, with a prompt if the route takes one.
fn spec(world: &World, route: &str) -> RequestSpec {
    let kinds = request_mix(&world.configuration, 1.0);
    let kind = kinds
        .into_iter()
        .find(|kind| kind.spec.route == route)
        .expect("no such route");
    let mut spec = kind.spec;
    spec.prompt = kind.shared_parts.into_iter().take(1).collect();
    spec
}

fn send(world: &World, spec: &RequestSpec, count: usize) -> Vec<RequestRecord> {
    let mixers = world.fleet.mixers();
    let spec = Arc::new(spec.clone());
    let mut client = Client::keeping_connections(world.clock, Duration::from_secs(10));
    (0..count)
        .map(|number| {
            let front_for_try =
                |try_number: u32| mixers[(number + try_number as usize) % mixers.len()].front;
            client.request(&spec, world.clock.now(), front_for_try)
        })
        .collect()
}

fn assert_clean(fault: &str, verdict: &Verdict) {
    assert!(verdict.is_clean(), "{fault}: {:#?}", verdict.violations);
}

const RUN_FAULTS: [Fault; 9] = [
    Fault::ResetAfterRequest,
    Fault::ResetBeforeFirstEvent,
    Fault::ResetMidEvent { complete_events: 0 },
    Fault::ResetMidEvent { complete_events: 2 },
    Fault::WrongIdentifier,
    Fault::ExtraBytes,
    Fault::Reject { status: 503 },
    Fault::Reject { status: 429 },
    Fault::Reject { status: 421 },
];

const PREFILL_FAULTS: [Fault; 5] = [
    Fault::ResetAfterRequest,
    Fault::ResetBeforeFirstEvent,
    Fault::WrongIdentifier,
    Fault::Reject { status: 503 },
    Fault::Reject { status: 421 },
];

/// Injects each fault once at every searcher and checks the rules after each; then waits until requests are served
/// again.
fn run_faults(
    world: &World,
    spec: &RequestSpec,
    faults: &[Fault],
    plan: impl Fn(&FaultPlan, Fault),
    must_serve: impl Fn(Fault) -> bool,
) {
    let mut records = Vec::new();
    for fault in faults {
        let injected_before = faults_injected(world);
        world
            .faults()
            .for_each(|fault_plan| plan(fault_plan, *fault));
        let sent = send(world, spec, REQUESTS);
        assert!(
            faults_injected(world) > injected_before,
            "{fault:?} was not injected into any request"
        );
        if must_serve(*fault) {
            let unserved: Vec<&RequestRecord> =
                sent.iter().filter(|record| !record.is_served()).collect();
            assert!(unserved.is_empty(), "{fault:?}: {unserved:#?}");
        }
        records.extend(sent);
        assert_clean(&format!("{fault:?}"), &world.check(&records));
        world.faults().for_each(FaultPlan::clear);
    }
    records.extend(send_until_served(world, spec));
    assert_clean("after the faults", &world.check(&records));
}

/// A rejected request was not executed, so it may be retried at another searcher.
fn is_rejection(fault: Fault) -> bool {
    matches!(fault, Fault::Reject { .. })
}

/// An idempotent request is served whatever happens to its first execution.
fn every_fault(_fault: Fault) -> bool {
    true
}

fn faults_injected(world: &World) -> usize {
    world.faults().map(FaultPlan::injected).sum()
}

fn send_until_served(world: &World, spec: &RequestSpec) -> Vec<RequestRecord> {
    let mut records = Vec::new();
    let served = wait_until("service after the faults", POLLS, || {
        let mut sent = send(world, spec, 2);
        let served = sent.iter().all(RequestRecord::is_served);
        records.append(&mut sent);
        served
    });
    served.expect("requests are still not served");
    records
}

#[test]
fn faults_in_a_non_resumable_stream_violate_no_rule() {
    let _exclusive = exclusive();
    let world = world();
    let plan = |fault_plan: &FaultPlan, fault| fault_plan.on_runs(fault, 1);
    run_faults(
        &world,
        &spec(&world, "answer"),
        &RUN_FAULTS,
        plan,
        is_rejection,
    );
}

#[test]
fn faults_in_a_resumable_stream_violate_no_rule() {
    let _exclusive = exclusive();
    let world = world();
    let plan = |fault_plan: &FaultPlan, fault| fault_plan.on_runs(fault, 1);
    run_faults(
        &world,
        &spec(&world, "summary"),
        &RUN_FAULTS,
        plan,
        every_fault,
    );
}

#[test]
fn faults_during_prefill_violate_no_rule() {
    let _exclusive = exclusive();
    let world = world();
    let plan = |fault_plan: &FaultPlan, fault| fault_plan.on_prefills(fault, 1);
    run_faults(
        &world,
        &spec(&world, "answer"),
        &PREFILL_FAULTS,
        plan,
        every_fault,
    );
}

#[test]
fn faults_in_a_non_idempotent_plain_request_violate_no_rule() {
    let _exclusive = exclusive();
    let world = world();
    let plan = |fault_plan: &FaultPlan, fault| fault_plan.on_runs(fault, 1);
    run_faults(
        &world,
        &spec(&world, "record"),
        &RUN_FAULTS,
        plan,
        is_rejection,
    );
}

#[test]
fn an_unresponsive_searcher_does_not_delay_the_response_beyond_the_deadline() {
    let _exclusive = exclusive();
    let world = world();
    let mut spec = spec(&world, "answer");
    spec.deadline = Duration::from_secs(2);
    // On a busy machine the response may be scheduled late. `a_searchers_deadline_reserves_time_for_the_response` of the
    // proxy's tests shows that it is started in time; here the client keeps waiting and must receive a response.
    spec.disconnects_after = Some(3 * spec.deadline);
    world
        .faults()
        .for_each(|faults| faults.on_runs(Fault::NoResponse, 1));
    let records = send(&world, &spec, 4);
    assert!(
        faults_injected(&world) > 0,
        "no request was sent to an unresponsive searcher"
    );
    assert_clean("unresponsive searcher", &world.check(&records));
    for record in &records {
        let last = &record.tries[record.tries.len() - 1];
        assert!(
            matches!(last.outcome, TryOutcome::Complete(_)),
            "expected a response despite the unresponsive searcher: {last:?}"
        );
    }
}

#[test]
fn handles_that_expire_immediately_violate_no_rule() {
    let _exclusive = exclusive();
    let world = world();
    let spec = spec(&world, "answer");
    let mut records = Vec::new();
    let expiring = std::sync::atomic::AtomicBool::new(true);
    std::thread::scope(|scope| {
        scope.spawn(|| {
            while expiring.load(std::sync::atomic::Ordering::SeqCst) {
                world.models.iter().for_each(
                    lockusher_router_testbed::model_searcher::ModelSearcher::expire_all_handles,
                );
                std::thread::yield_now();
            }
        });
        records.extend(send(&world, &spec, REQUESTS));
        expiring.store(false, std::sync::atomic::Ordering::SeqCst);
    });
    let expired = world.arrival_log().count(|arrival| {
        !arrival.prefill_only && arrival.outcome == ArrivalOutcome::Rejected { status: 503 }
    });
    assert!(expired > 0, "no request used an expired handle");
    records.extend(send_until_served(&world, &spec));
    assert_clean("expired handles", &world.check(&records));
}

#[test]
fn a_searcher_restarted_at_the_same_address_executes_no_request_for_its_predecessor() {
    let _exclusive = exclusive();
    let mut world = world();
    let spec = spec(&world, "answer");
    let mut records = send(&world, &spec, REQUESTS);
    for position in 0..world.models.len() {
        world
            .restart_model(position)
            .expect("restarting the searcher");
        records.extend(send(&world, &spec, REQUESTS));
    }
    let misdirected = world
        .arrival_log()
        .count(|arrival| arrival.outcome == ArrivalOutcome::Rejected { status: 421 });
    assert!(
        misdirected > 0,
        "no request for a previous incarnation reached its replacement"
    );
    records.extend(send_until_served(&world, &spec));
    assert_clean("restarts", &world.check(&records));
}

#[test]
fn a_client_disconnect_violates_no_rule_and_frees_its_searcher() {
    let _exclusive = exclusive();
    let world = world();
    world
        .models
        .iter()
        .for_each(|model| model.set_slow_down(20));
    let mut spec = spec(&world, "answer");
    spec.disconnects_after = Some(Duration::from_millis(900));
    spec.retries = 0;
    let records = send(&world, &spec, REQUESTS);
    let is_idle = || {
        world
            .models
            .iter()
            .all(|model| model.report().running + model.report().waiting == 0)
    };
    wait_until("the searchers are idle", POLLS, is_idle).expect("abandoned requests still run");
    assert_clean("disconnected clients", &world.check(&records));
}

#[test]
fn a_request_without_a_route_is_answered_404() {
    let _exclusive = exclusive();
    let world = world();
    let mut unknown = spec_for(&world.configuration.routes[2]);
    unknown.target = "/nowhere/1".to_owned();
    let records = send(&world, &unknown, 2);
    for record in &records {
        assert_eq!(record.tries[0].seen().map(|seen| seen.status), Some(404));
    }
    assert_clean("no route", &world.check(&records));
}
