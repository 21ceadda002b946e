//! Stage assignment: while this node is head, it orders searchers to change their stage as the scheduler decides.
//!
//! A task of the control node, started by [`crate::serve`]. It owns the [`StageScheduler`], which decides which
//! searcher changes, and the [`StageAssignmentLease`], which decides whether an order may be sent.
//!
//! Before an order is sent, the instance list that is published to the fleet shows the searcher as changing, so that no
//! request is sent to it during the change. Invariant: an order is written only under a fencing token that was
//! confirmed less than half a lease ago, and is abandoned, with a reset of its connection, after a fifth of the lease.

use std::net::SocketAddrV4;
use std::rc::Rc;
use std::time::Duration;

use compio::time::{sleep, timeout};
use lockusher_config::settings::NodeSettings;
use lockusher_distribution::publisher::Publisher;
use lockusher_transport::{http, tcp};

use super::instance_list_publisher::InstanceListPublisher;
use super::replica_driver::ReplicaDriver;
use super::stage_change_order::{order_outcome, stage_change_request};
use super::stage_log::StageLog;
use crate::request::{Reply, Request};
use crate::stage_assignment_lease::StageAssignmentLease;
use crate::stage_scheduler::{Observation, OrderOutcome, StageChange, StageScheduler};
use crate::time::Millis;

/// Time between two decisions of the scheduler.
const SCHEDULING_INTERVAL: Duration = Duration::from_millis(250);
/// Time within which a published list has reached all proxies.
const LIST_PROPAGATION_DELAY: Duration = Duration::from_millis(300);
/// Connecting to a searcher times out after the timeout of the whole order divided by this.
const CONNECT_TIMEOUT_DIVISOR: u32 = 2;

/// Orders changes while this node is head; never returns. Dropping the future stops it at once, including an order in
/// flight.
pub async fn run(
    driver: Rc<ReplicaDriver>,
    list_publisher: Rc<InstanceListPublisher>,
    settings: Rc<NodeSettings>,
) {
    let started_at = driver.clock.millis();
    let mut assignment = StageAssignment {
        lease: StageAssignmentLease::new(settings.bounds.lease_ms, started_at),
        scheduler: StageScheduler::new(settings.cloud_lag_ms),
        log: StageLog::default(),
        driver,
        list_publisher,
        settings,
    };
    loop {
        sleep(SCHEDULING_INTERVAL).await;
        assignment.run_cycle().await;
    }
}

/// State of the stage assignment task.
struct StageAssignment {
    driver: Rc<ReplicaDriver>,
    list_publisher: Rc<InstanceListPublisher>,
    settings: Rc<NodeSettings>,
    lease: StageAssignmentLease,
    scheduler: StageScheduler,
    log: StageLog,
}

/// Permission to send one order: a fencing token and a confirmation, which expires.
#[derive(Clone, Copy, Debug)]
struct OrderPermit {
    fencing_token: u64,
    /// When the confirmation of this node's epoch was requested from the voters.
    requested_at: Millis,
}

impl StageAssignment {
    fn now(&self) -> Millis {
        self.driver.clock.millis()
    }

    /// The fencing token under which this node may send orders now; none if it isn't head or must still wait.
    fn fencing_token(&mut self) -> Option<u64> {
        let role = self.driver.role();
        let now = self.now();
        self.lease.observe(now, role);
        self.lease.fencing_token(now)
    }

    /// Runs the scheduler once, and sends the order for the change that it returns, if any.
    async fn run_cycle(&mut self) {
        let Some(fencing_token) = self.fencing_token() else {
            if !self.driver.role().is_head {
                self.scheduler = StageScheduler::new(self.settings.cloud_lag_ms);
                self.list_publisher.clear_switching();
                return;
            }
            self.log_empty_stages();
            return;
        };
        let change = self.next_change();
        self.log_empty_stages();
        self.publish_switching();
        let Some(change) = change else { return };
        sleep(LIST_PROPAGATION_DELAY).await;
        let outcome = self.send_order(fencing_token, &change).await;
        log::info!(
            "order: searcher {} to stage {:?}: {outcome:?}",
            change.identifier,
            change.to
        );
        self.scheduler.order_completed(self.now(), &change, outcome);
        self.publish_switching();
    }

    /// Logs services without a ready searcher in a stage. Called only while this node is head.
    fn log_empty_stages(&mut self) {
        let now = self.now();
        let may_order = self.fencing_token().is_some();
        let publisher = &self.driver.publisher;
        let Some(configuration) = publisher.read(|publisher| publisher.configuration().cloned())
        else {
            return;
        };
        let Some(list) = publisher.read(|publisher| publisher.list().cloned()) else {
            return;
        };
        let scheduler = &self.scheduler;
        let order_status = |service: &str| match scheduler.no_change_reason(service) {
            _ if !may_order => "no order yet: the former head may still send one".to_owned(),
            Some(reason) => format!("no order: {reason}"),
            None => "a change is ordered".to_owned(),
        };
        self.log
            .observe(now, &configuration, &list.instances, order_status);
    }

    fn next_change(&mut self) -> Option<StageChange> {
        let now = self.now();
        let publisher = &self.driver.publisher;
        let configuration = publisher.read(|publisher| publisher.configuration().cloned())?;
        let list = publisher.read(|publisher| publisher.list().cloned())?;
        let observation = Observation {
            now,
            configuration: &configuration,
            instances: &list.instances,
            loads: &publisher.read(Publisher::downstream_loads),
            proxies: publisher.read(Publisher::downstream_proxies),
        };
        self.scheduler.next_change(&observation)
    }

    /// Updates which searchers the published list shows as changing.
    fn publish_switching(&self) {
        self.list_publisher
            .set_switching(self.scheduler.changes_in_flight());
    }

    async fn send_order(&mut self, fencing_token: u64, change: &StageChange) -> OrderOutcome {
        let Ok(address) = change.address.parse() else {
            return OrderOutcome::Rejected;
        };
        let Some(permit) = self.confirm(fencing_token).await else {
            return OrderOutcome::NotSent;
        };
        let order_timeout = Duration::from_millis(self.lease.attempt_timeout_ms());
        let attempt = self.attempt(
            address,
            permit,
            change,
            order_timeout / CONNECT_TIMEOUT_DIVISOR,
        );
        // The searcher may have accepted an order that timed out.
        timeout(order_timeout, attempt)
            .await
            .unwrap_or(OrderOutcome::Unknown)
    }

    /// Requests a confirmation from a majority of the voters that this node's epoch is the newest. A linearizable read
    /// includes it.
    async fn confirm(&mut self, fencing_token: u64) -> Option<OrderPermit> {
        let permit = OrderPermit {
            fencing_token,
            requested_at: self.now(),
        };
        let is_confirmed = matches!(self.driver.request(Request::Read).await, Reply::Document(_));
        (is_confirmed && self.is_valid(permit)).then_some(permit)
    }

    fn is_valid(&mut self, permit: OrderPermit) -> bool {
        self.fencing_token() == Some(permit.fencing_token)
            && self
                .lease
                .is_confirmation_valid(permit.requested_at, self.now())
    }

    /// Sends the order once. The permit is checked again directly before the write.
    async fn attempt(
        &mut self,
        address: SocketAddrV4,
        permit: OrderPermit,
        change: &StageChange,
        connect_timeout: Duration,
    ) -> OrderOutcome {
        let Ok(stream) = tcp::connect(address, connect_timeout).await else {
            return OrderOutcome::Rejected;
        };
        // The kernel must not retransmit an abandoned order after the connection is closed.
        let discards_on_close = tcp::discard_on_close(&stream).is_ok();
        let request =
            stage_change_request(address, change, &self.settings.node, permit.fencing_token);
        let Ok(request) = request else {
            return OrderOutcome::NotSent;
        };
        if !discards_on_close || !self.is_valid(permit) {
            return OrderOutcome::NotSent;
        }
        match http::exchange(stream, request).await {
            Ok(answer) => order_outcome(answer.status),
            Err(error) => {
                log::debug!("order to searcher {address} failed: {error}");
                OrderOutcome::Unknown
            }
        }
    }
}
