//! Stage assignment: while this node is head, it orders searchers to change their stage as the scheduler decides.
//!
//! A task of the control node, started by [`crate::serve`]. It owns the [`StageScheduler`] and the
//! [`StageAssignmentLease`]; which searcher changes and whether an order may be sent is decided there.
//!
//! Before an order the list that the fleet is given shows the searcher as changing, so that no request meets it on the
//! way. Invariant: an order is written only under a fencing token that was confirmed within half a lease, and is given
//! up, its connection reset, within a fifth of the lease.

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

/// Between two decisions of the scheduler.
const SCHEDULING_INTERVAL: Duration = Duration::from_millis(250);
/// Time in which all proxies are notified that a searcher is about to change.
const LIST_PROPAGATION_DELAY: Duration = Duration::from_millis(300);
/// The connection may take the limit of an attempt divided by this.
const CONNECT_LIMIT_DIVISOR: u32 = 2;

/// Orders changes while this node is head, for ever. Dropping the future ends it at once, an order in flight included.
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

struct StageAssignment {
    driver: Rc<ReplicaDriver>,
    list_publisher: Rc<InstanceListPublisher>,
    settings: Rc<NodeSettings>,
    lease: StageAssignmentLease,
    scheduler: StageScheduler,
    log: StageLog,
}

/// What entitles this node to send one order, as long as it is valid.
#[derive(Clone, Copy, Debug)]
struct OrderPermit {
    fencing_token: u64,
    /// When the confirmation of this node's epoch was requested of the voters.
    requested_at: Millis,
}

impl StageAssignment {
    fn now(&self) -> Millis {
        self.driver.clock.millis()
    }

    /// The fencing token under which this node may order now; none if it isn't head or has to wait.
    fn fencing_token(&mut self) -> Option<u64> {
        let role = self.driver.role();
        let now = self.now();
        self.lease.observe(now, role);
        self.lease.fencing_token(now)
    }

    /// Has the scheduler decide, and carries out the change that it returns, if any.
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
            "order: {} becomes {:?}: {outcome:?}",
            change.identifier,
            change.to
        );
        self.scheduler.order_completed(self.now(), &change, outcome);
        self.publish_switching();
    }

    /// Logs services without a ready searcher in a stage. This node is head.
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
        let why_no_order = |service: &str| match scheduler.why_no_change(service) {
            _ if !may_order => "no order while the former head may still send one".to_owned(),
            Some(reason) => format!("no order: {reason}"),
            None => "a change is ordered".to_owned(),
        };
        self.log
            .observe(now, &configuration, &list.instances, why_no_order);
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

    /// Lets the published list show which searchers are changing.
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
        let limit = Duration::from_millis(self.lease.attempt_limit());
        let attempt = self.attempt(address, permit, change, limit / CONNECT_LIMIT_DIVISOR);
        // What was given up may have been accepted.
        timeout(limit, attempt)
            .await
            .unwrap_or(OrderOutcome::Unknown)
    }

    /// Has a majority of the voters confirm that this node's epoch is the newest: a read does.
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
            && self.lease.is_confirmed(permit.requested_at, self.now())
    }

    /// One attempt to have the searcher carry the order out. The permit is looked at again right before the write.
    async fn attempt(
        &mut self,
        address: SocketAddrV4,
        permit: OrderPermit,
        change: &StageChange,
        connect_limit: Duration,
    ) -> OrderOutcome {
        let Ok(stream) = tcp::connect(address, connect_limit).await else {
            return OrderOutcome::Rejected;
        };
        // What is given up must not be sent again by the kernel later.
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
                log::debug!("order to {address}: {error}");
                OrderOutcome::Unknown
            }
        }
    }
}
