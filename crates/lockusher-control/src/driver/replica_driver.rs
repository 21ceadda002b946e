//! Drives one replica: passes events to it and executes its effects.
//!
//! Owned by [`crate::serve`] and shared by the tasks of one control node, all on one thread. The replica makes the
//! decisions; the driver owns the links to peers, the disk, the publisher of committed state, and the operator's
//! pending requests. Invariant: effects are executed in the order in which the replica returned them, and an event that
//! results directly from an effect is dispatched before any other event.

use std::cell::{Cell, RefCell};
use std::collections::{HashMap, VecDeque};
use std::net::SocketAddrV4;
use std::rc::Rc;

use futures_channel::oneshot;
use lockusher_config::configuration::Configuration;
use lockusher_distribution::change_notifier::ChangeNotifier;
use lockusher_distribution::publisher::PublisherStatus;
use lockusher_distribution::serve::SharedPublisher;
use lockusher_storage::Completion;
use lockusher_transport::clock::Clock;

use super::disk::{AppendOutcome, Disk, ScrubCounters};
use super::peer_links::PeerLinks;
use super::service_log::ServiceLog;
use crate::chain_role::ChainRole;
use crate::document::ConfigurationDocument;
use crate::envelope::Envelope;
use crate::replica::{Effect, Event, Replica};
use crate::request::{Reply, Request, RequestTicket};

/// One control node's replica, with the resources that its effects act on.
pub struct ReplicaDriver {
    /// The process's monotonic clock.
    pub clock: Clock,
    /// Publishes the configuration, the instance list and the status to this node's subscribers.
    pub publisher: Rc<SharedPublisher>,
    replica: RefCell<Replica>,
    disk: Disk,
    links: PeerLinks,
    /// Receivers of the replies to pending requests.
    pending_requests: RefCell<HashMap<RequestTicket, oneshot::Sender<Reply>>>,
    next_ticket: Cell<u64>,
    role: Cell<ChainRole>,
    /// The address of the head at the last notification of [`ReplicaDriver::role_changed`].
    reported_head_address: Cell<Option<SocketAddrV4>>,
    role_changed: ChangeNotifier,
    /// Port on which control nodes serve subscribers.
    subscription_port: u16,
    service_log: RefCell<ServiceLog>,
}

impl ReplicaDriver {
    /// Creates the driver of a replica. The caller passes the effects of the replica's start to
    /// [`ReplicaDriver::apply_effects`].
    pub fn new(
        clock: Clock,
        publisher: Rc<SharedPublisher>,
        replica: Replica,
        disk: Disk,
        links: PeerLinks,
        subscription_port: u16,
    ) -> Rc<Self> {
        Rc::new(ReplicaDriver {
            clock,
            publisher,
            replica: RefCell::new(replica),
            disk,
            links,
            pending_requests: RefCell::default(),
            next_ticket: Cell::new(0),
            role: Cell::default(),
            reported_head_address: Cell::default(),
            role_changed: ChangeNotifier::default(),
            subscription_port,
            service_log: RefCell::default(),
        })
    }

    /// Reads from the replica.
    pub fn read<R>(&self, inspect: impl FnOnce(&Replica) -> R) -> R {
        inspect(&self.replica.borrow())
    }

    /// This node's role as the replica last reported it.
    pub fn role(&self) -> ChainRole {
        self.role.get()
    }

    /// Notifies of each change of [`ReplicaDriver::role`] and [`ReplicaDriver::head_address`].
    pub fn role_changed(&self) -> &ChangeNotifier {
        &self.role_changed
    }

    /// Address at which the head of the newest known view serves subscribers; none if this node is the head or knows no
    /// view.
    pub fn head_address(&self) -> Option<SocketAddrV4> {
        let head_ip = self.read(|replica| {
            let view = replica.view()?;
            let head = view.head().filter(|head| *head != replica.identity())?;
            let member = view.voters.iter().find(|member| member.identity == head)?;
            Some(*member.address.ip())
        })?;
        Some(SocketAddrV4::new(head_ip, self.subscription_port))
    }

    /// Passes an event to the replica and executes the resulting effects.
    pub fn dispatch(&self, event: Event) {
        let effects = self.replica.borrow_mut().handle(self.clock.millis(), event);
        self.apply_effects(effects);
        let head = self.head_address();
        if self.reported_head_address.replace(head) != head {
            self.role_changed.notify();
        }
    }

    /// Executes effects, and dispatches the events that result directly from them.
    pub fn apply_effects(&self, effects: Vec<Effect>) {
        let mut queue = VecDeque::from(effects);
        while let Some(effect) = queue.pop_front() {
            if let Some(event) = self.apply_effect(effect) {
                queue.extend(self.replica.borrow_mut().handle(self.clock.millis(), event));
            }
        }
    }

    /// Executes one effect and returns the event that results directly from it, if any.
    fn apply_effect(&self, effect: Effect) -> Option<Event> {
        match effect {
            Effect::Send { to, message } => self.links.send(to, &Envelope::new(message)),
            Effect::Persist { ticket, records } => {
                if let Err(error) = self.disk.append(ticket, &records) {
                    log::error!("disk: append failed: {error}");
                    return Some(Event::PersistFailed { ticket });
                }
            }
            Effect::Reply { ticket, reply } => self.reply(ticket, reply),
            Effect::Committed(document) => self.publish_configuration(&document),
            Effect::RoleChanged { head, epoch } => self.change_role(ChainRole {
                is_head: head,
                epoch,
            }),
            Effect::Members(members) => self.publish_members(&members),
        }
        None
    }

    fn reply(&self, ticket: RequestTicket, reply: Reply) {
        if let Some(sender) = self.pending_requests.borrow_mut().remove(&ticket) {
            // The caller may have dropped the receiver.
            let _ = sender.send(reply);
        }
    }

    fn publish_configuration(&self, document: &ConfigurationDocument) {
        match Configuration::parse(&document.body) {
            Ok(configuration) => {
                let configuration = Rc::new(configuration);
                self.publisher
                    .update(|publisher| publisher.publish_configuration(configuration));
                log::info!("configuration {} committed", document.version);
            }
            Err(faults) => log::error!(
                "committed configuration {} is invalid: {faults}",
                document.version
            ),
        }
    }

    fn change_role(&self, role: ChainRole) {
        if self.role.replace(role) != role {
            log::info!(
                "view {}: {}",
                role.epoch,
                if role.is_head { "head" } else { "not head" }
            );
            self.role_changed.notify();
        }
    }

    fn publish_members(&self, members: &[SocketAddrV4]) {
        let port = self.subscription_port;
        let addresses = members
            .iter()
            .map(|member| SocketAddrV4::new(*member.ip(), port))
            .collect();
        self.publisher
            .update(|publisher| publisher.set_control_nodes(addresses));
    }

    /// Sends a request to the replica and waits for the reply; [`Reply::Unavailable`] if there is none.
    pub async fn request(&self, request: Request) -> Reply {
        let ticket = RequestTicket(self.next_ticket.get());
        self.next_ticket.set(ticket.0 + 1);
        let (sender, receiver) = oneshot::channel();
        self.pending_requests.borrow_mut().insert(ticket, sender);
        self.dispatch(Event::Request { ticket, request });
        receiver.await.unwrap_or(Reply::Unavailable)
    }

    /// Updates the status in the heartbeats to subscribers. The head counts the fleet's proxies; the other nodes get
    /// their number from the head.
    pub fn refresh_status(&self) {
        let in_view = self.read(Replica::is_voter_with_quorum);
        let is_head = self.role().is_head;
        self.publisher.update_no_wake(|publisher| {
            let downstream = publisher.downstream_proxies();
            let proxies = if is_head {
                downstream
            } else {
                downstream.max(publisher.status().proxies)
            };
            publisher.set_status(PublisherStatus {
                in_view,
                proxies,
                ..publisher.status()
            });
        });
    }

    /// Logs the reason if this node isn't serving.
    pub fn log_service(&self) {
        let contact = self.read(Replica::voter_contact);
        let now = self.clock.millis();
        self.service_log.borrow_mut().observe(now, contact);
    }

    /// Starts a scrub, which reads the disk and compares it with the state in memory, unless the disk is busy.
    pub fn scrub(&self) {
        self.disk.scrub_if_idle();
    }

    /// Counters of the disk's scrubs.
    pub fn scrub_counters(&self) -> ScrubCounters {
        self.disk.scrub_counters()
    }

    /// Handles a completion of the storage thread.
    pub fn on_disk_completion(&self, completion: &Completion) {
        match self.disk.on_completion(completion) {
            Some(AppendOutcome::Durable(ticket)) => self.dispatch(Event::Persisted { ticket }),
            Some(AppendOutcome::Failed(ticket)) => self.dispatch(Event::PersistFailed { ticket }),
            None => {}
        }
        let compare = |records| self.read(|replica| replica.compare_disk(records));
        self.disk.on_scrub_completion(completion, compare);
        self.disk.snapshot_if_due(|| self.read(Replica::snapshot));
    }
}
