//! Gives orders to searchers to change their stage, while this node is head.
//!
//! Before an order the list that the fleet is given shows the searcher as changing, so that no request meets it on the way.

use std::net::SocketAddrV4;
use std::rc::Rc;
use std::time::Duration;

use compio::time::{sleep, timeout};
use hyper::{Method, Request as HttpRequest, StatusCode};
use lockusher_config::instances::Stage;
use lockusher_config::settings::NodeSettings;
use lockusher_transport::error::TransportError;
use lockusher_transport::http::{self, FullBody};
use lockusher_transport::tcp;
use serde_json::json;

use super::instance_list_polling;
use super::replica_driver::ReplicaDriver;
use crate::Millis;
use crate::replica::{Reply, Request};
use crate::stage_assignment_lease::StageAssignmentLease;
use crate::stage_scheduler::{Observation, OrderOutcome, StageChange, StageScheduler};

/// Pause between two looks at the loads.
const SCHEDULING_INTERVAL: Duration = Duration::from_millis(250);
/// Time in which all proxies hear that a searcher is about to change.
const OVERLAY_PROPAGATION_DELAY: Duration = Duration::from_millis(300);
const STAGE_CHANGE_PATH: &str = "/api/order";

/// Gives orders while this node is head, for ever. Dropping the future ends it at once, an order under way included.
pub async fn run(driver: Rc<ReplicaDriver>, settings: Rc<NodeSettings>) {
    let started = driver.clock.millis();
    let mut assigner = StageAssigner {
        lease: StageAssignmentLease::new(settings.bounds.lease_ms, started),
        scheduler: StageScheduler::new(settings.cloud_lag_ms),
        driver,
        settings,
    };
    loop {
        sleep(SCHEDULING_INTERVAL).await;
        assigner.run_cycle().await;
    }
}

struct StageAssigner {
    driver: Rc<ReplicaDriver>,
    settings: Rc<NodeSettings>,
    lease: StageAssignmentLease,
    scheduler: StageScheduler,
}

impl StageAssigner {
    fn now(&self) -> Millis {
        self.driver.clock.millis()
    }

    /// The fencing token under which this node may order now; none if it isn't head or has to wait.
    fn fencing_token(&mut self) -> Option<u64> {
        let role = self.driver.role();
        let now = self.now();
        self.lease.observe(now, role.head, role.epoch);
        self.lease.fencing_token(now)
    }

    async fn run_cycle(&mut self) {
        let Some(fencing_token) = self.fencing_token() else {
            if !self.driver.role().head {
                self.scheduler = StageScheduler::new(self.settings.cloud_lag_ms);
                self.driver.stage_switch_overlay.set(Vec::new());
            }
            return;
        };
        let change = self.plan();
        self.publish_overlay();
        let Some(change) = change else { return };
        sleep(OVERLAY_PROPAGATION_DELAY).await;
        let outcome = self.send_order(fencing_token, &change).await;
        log::info!("order: {} becomes {:?}: {outcome:?}", change.identifier, change.to);
        self.scheduler.order_completed(self.now(), &change, outcome);
        self.publish_overlay();
    }

    fn plan(&mut self) -> Option<StageChange> {
        let now = self.now();
        let (configuration, list, loads, proxies) = self.driver.publisher.read(|publisher| {
            let newest = (publisher.configuration().cloned(), publisher.list().cloned());
            (newest.0, newest.1, publisher.downstream_loads(), publisher.downstream_proxies())
        });
        let observation = Observation {
            now,
            configuration: configuration.as_deref()?,
            instances: &list.as_ref()?.instances,
            loads: &loads,
            proxies,
        };
        self.scheduler.next_change(&observation)
    }

    /// Lets the published list show which searchers are changing.
    fn publish_overlay(&self) {
        let switching = self
            .scheduler
            .changes_in_flight()
            .map(|change| (change.identifier.clone(), change.from))
            .collect();
        if self.driver.stage_switch_overlay.set(switching) {
            instance_list_polling::republish(&self.driver);
        }
    }

    async fn send_order(&mut self, fencing_token: u64, change: &StageChange) -> OrderOutcome {
        let Ok(address) = change.address.parse() else { return OrderOutcome::Rejected };
        let requested_at = self.now();
        let confirmed = matches!(self.driver.request(Request::Read).await, Reply::Document(_));
        if !confirmed || !self.may_send(fencing_token, requested_at) {
            return OrderOutcome::NotSent;
        }
        let limit = Duration::from_millis(self.lease.attempt_limit());
        let attempt = self.attempt(address, fencing_token, requested_at, change, limit / 2);
        match timeout(limit, attempt).await {
            Ok(outcome) => outcome,
            Err(_) => OrderOutcome::Unknown,
        }
    }

    fn may_send(&mut self, fencing_token: u64, requested_at: Millis) -> bool {
        self.fencing_token() == Some(fencing_token) && self.lease.is_confirmed(requested_at, self.now())
    }

    async fn attempt(
        &mut self,
        address: SocketAddrV4,
        fencing_token: u64,
        requested_at: Millis,
        change: &StageChange,
        connect_limit: Duration,
    ) -> OrderOutcome {
        let Ok(stream) = tcp::connect(address, connect_limit).await else { return OrderOutcome::Rejected };
        // What is given up must not be sent again by the kernel later.
        let discards = tcp::discard_on_close(&stream).is_ok();
        let request = stage_change_request(address, change, &self.settings.node, fencing_token);
        let Ok(request) = request else { return OrderOutcome::NotSent };
        if !discards || !self.may_send(fencing_token, requested_at) {
            return OrderOutcome::NotSent;
        }
        match http::exchange(stream, request).await {
            Ok(answer) => outcome_of(answer.status),
            Err(error) => {
                log::debug!("order to {address}: {error}");
                OrderOutcome::Unknown
            }
        }
    }
}

/// The order as a request.
pub fn stage_change_request(
    address: SocketAddrV4,
    change: &StageChange,
    holder: &str,
    fencing_token: u64,
) -> Result<HttpRequest<FullBody>, TransportError> {
    let stage = match change.to {
        Stage::Prefill => "prefill",
        Stage::Decode => "decode",
    };
    let body =
        json!({"operation": "stage", "stage": stage, "holder": holder, "fence": fencing_token}).to_string();
    let request = HttpRequest::builder()
        .method(Method::POST)
        .uri(STAGE_CHANGE_PATH)
        .header("host", address.to_string())
        .header("content-type", "application/json")
        .header("expected-instance", &change.identifier)
        .header("connection", "close")
        .body(FullBody::from(body))?;
    Ok(request)
}

/// What a searcher's answer means.
pub fn outcome_of(status: StatusCode) -> OrderOutcome {
    match status.as_u16() {
        200 | 202 => OrderOutcome::Accepted,
        400 | 404 | 405 => OrderOutcome::Unsupported,
        409 | 412 | 421 => OrderOutcome::Rejected,
        _ => OrderOutcome::Unknown,
    }
}
