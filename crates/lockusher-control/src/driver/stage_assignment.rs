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
use super::replica_driver::Host;
use crate::Millis;
use crate::replica::{Reply, Request};
use crate::stage_assignment_lease::StageAssignmentLease;
use crate::stage_scheduler::{Observation, OrderOutcome, StageChange, StagePlanner};

/// Pause between two looks at the loads.
const LOOK: Duration = Duration::from_millis(250);
/// Time in which all proxies hear that a searcher is about to change.
const NOTICE: Duration = Duration::from_millis(300);
const ORDER_PATH: &str = "/api/order";

/// Gives orders while this node is head, for ever. Dropping the future ends it at once, an order under way included.
pub async fn run(host: Rc<Host>, settings: Rc<NodeSettings>) {
    let started = host.clock.millis();
    let mut orders = StageOrders {
        lease: StageAssignmentLease::new(settings.bounds.lease_ms, started),
        planner: StagePlanner::new(settings.cloud_lag_ms),
        host,
        settings,
    };
    loop {
        sleep(LOOK).await;
        orders.look().await;
    }
}

struct StageOrders {
    host: Rc<Host>,
    settings: Rc<NodeSettings>,
    lease: StageAssignmentLease,
    planner: StagePlanner,
}

impl StageOrders {
    fn now(&self) -> Millis {
        self.host.clock.millis()
    }

    /// The fence under which this node may order now; none if it isn't head or has to wait.
    fn fence(&mut self) -> Option<u64> {
        let role = self.host.role();
        let now = self.now();
        self.lease.observe(now, role.head, role.epoch);
        self.lease.fence(now)
    }

    async fn look(&mut self) {
        let Some(fence) = self.fence() else {
            if !self.host.role().head {
                self.planner = StagePlanner::new(self.settings.cloud_lag_ms);
                self.host.stage_switch_overlay.set(Vec::new());
            }
            return;
        };
        let change = self.plan();
        self.show_marks();
        let Some(change) = change else { return };
        sleep(NOTICE).await;
        let outcome = self.order(fence, &change).await;
        log::info!("order: {} becomes {:?}: {outcome:?}", change.identifier, change.to);
        self.planner.ordered(self.now(), &change, outcome);
        self.show_marks();
    }

    fn plan(&mut self) -> Option<StageChange> {
        let now = self.now();
        let (configuration, list, loads, proxies) = self.host.publisher.read(|publisher| {
            let newest = (publisher.configuration().cloned(), publisher.list().cloned());
            (newest.0, newest.1, publisher.downstream_loads(), publisher.downstream_proxies())
        });
        let seen = Observation {
            now,
            configuration: configuration.as_deref()?,
            instances: &list.as_ref()?.instances,
            loads: &loads,
            proxies,
        };
        self.planner.plan(&seen)
    }

    /// Lets the published list show which searchers are changing.
    fn show_marks(&self) {
        let marks = self.planner.changing().map(|change| (change.identifier.clone(), change.from)).collect();
        if self.host.stage_switch_overlay.set(marks) {
            instance_list_polling::publish_again(&self.host);
        }
    }

    async fn order(&mut self, fence: u64, change: &StageChange) -> OrderOutcome {
        let Ok(address) = change.address.parse() else { return OrderOutcome::Refused };
        let asked = self.now();
        let confirmed = matches!(self.host.request(Request::Read).await, Reply::Document(_));
        if !confirmed || !self.may_send(fence, asked) {
            return OrderOutcome::NotSent;
        }
        let limit = Duration::from_millis(self.lease.attempt_limit());
        let attempt = self.attempt(address, fence, asked, change, limit / 2);
        match timeout(limit, attempt).await {
            Ok(outcome) => outcome,
            Err(_) => OrderOutcome::Unknown,
        }
    }

    fn may_send(&mut self, fence: u64, asked: Millis) -> bool {
        self.fence() == Some(fence) && self.lease.is_confirmed(asked, self.now())
    }

    async fn attempt(
        &mut self,
        address: SocketAddrV4,
        fence: u64,
        asked: Millis,
        change: &StageChange,
        connect_limit: Duration,
    ) -> OrderOutcome {
        let Ok(stream) = tcp::connect(address, connect_limit).await else { return OrderOutcome::Refused };
        // What is given up must not be sent again by the kernel later.
        let discards = tcp::discard_on_close(&stream).is_ok();
        let request = order_request(address, change, &self.settings.node, fence);
        let Ok(request) = request else { return OrderOutcome::NotSent };
        if !discards || !self.may_send(fence, asked) {
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
pub fn order_request(
    address: SocketAddrV4,
    change: &StageChange,
    holder: &str,
    fence: u64,
) -> Result<HttpRequest<FullBody>, TransportError> {
    let stage = match change.to {
        Stage::Prefill => "prefill",
        Stage::Decode => "decode",
    };
    let body = json!({"operation": "stage", "stage": stage, "holder": holder, "fence": fence}).to_string();
    let request = HttpRequest::builder()
        .method(Method::POST)
        .uri(ORDER_PATH)
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
        200 | 202 => OrderOutcome::Taken,
        400 | 404 | 405 => OrderOutcome::NotKnown,
        409 | 412 | 421 => OrderOutcome::Refused,
        _ => OrderOutcome::Unknown,
    }
}
