//! Drives one replica: hands it events, carries out its effects.

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

use super::disk::{Disk, ScrubCounters};
use super::peer_links::PeerLinks;
use crate::chain_role::ChainRole;
use crate::document::ConfigurationDocument;
use crate::message::Envelope;
use crate::replica::{Effect, Event, Replica, Reply, Request, RequestTicket};

/// One control node's replica with everything that it acts on.
pub struct ReplicaDriver {
    pub clock: Clock,
    pub publisher: Rc<SharedPublisher>,
    replica: RefCell<Replica>,
    disk: Disk,
    links: PeerLinks,
    pending_requests: RefCell<HashMap<RequestTicket, oneshot::Sender<Reply>>>,
    next_ticket: Cell<u64>,
    role: Cell<ChainRole>,
    reported_head_address: Cell<Option<SocketAddrV4>>,
    role_changed: ChangeNotifier,
    /// Port at which control nodes serve subscribers.
    subscription_port: u16,
}

impl ReplicaDriver {
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
        })
    }

    /// Looks at the replica.
    pub fn read<R>(&self, inspect: impl FnOnce(&Replica) -> R) -> R {
        inspect(&self.replica.borrow())
    }

    pub fn role(&self) -> ChainRole {
        self.role.get()
    }

    /// Signals each change of [`ReplicaDriver::role`] and [`ReplicaDriver::head_address`].
    pub fn role_changed(&self) -> &ChangeNotifier {
        &self.role_changed
    }

    /// Where the head of the newest view known serves subscribers; none if this node is the head or knows no view.
    pub fn head_address(&self) -> Option<SocketAddrV4> {
        let (address, own) = self.read(|replica| {
            let view = replica.view()?;
            let head = view.head()?;
            let member = view.voters.iter().find(|member| member.identity == head)?;
            Some((member.address, head == replica.identity()))
        })?;
        (!own).then(|| SocketAddrV4::new(*address.ip(), self.subscription_port))
    }

    /// Hands the replica an event and carries out what it asks for.
    pub fn dispatch(&self, event: Event) {
        let effects = self.replica.borrow_mut().handle(self.clock.millis(), event);
        self.apply_effects(effects);
        let head = self.head_address();
        if self.reported_head_address.replace(head) != head {
            self.role_changed.notify();
        }
    }

    /// Carries out effects, and the events that they lead to at once.
    pub fn apply_effects(&self, effects: Vec<Effect>) {
        let mut queue = VecDeque::from(effects);
        while let Some(effect) = queue.pop_front() {
            if let Some(event) = self.apply_effect(effect) {
                queue.extend(self.replica.borrow_mut().handle(self.clock.millis(), event));
            }
        }
    }

    fn apply_effect(&self, effect: Effect) -> Option<Event> {
        match effect {
            Effect::Send { to, message } => self.links.send(to, &Envelope::new(message)),
            Effect::Persist { ticket, records } => {
                if let Err(error) = self.disk.append(ticket, &records) {
                    log::error!("disk: {error}");
                    return Some(Event::PersistFailed { ticket });
                }
            }
            Effect::Reply { ticket, reply } => self.reply(ticket, reply),
            Effect::Committed(document) => self.publish_configuration(&document),
            Effect::RoleChanged { head, epoch } => self.change_role(ChainRole { is_head: head, epoch }),
            Effect::Members(members) => self.publish_members(&members),
        }
        None
    }

    fn reply(&self, ticket: RequestTicket, reply: Reply) {
        if let Some(sender) = self.pending_requests.borrow_mut().remove(&ticket) {
            // The caller may have gone.
            let _ = sender.send(reply);
        }
    }

    fn publish_configuration(&self, document: &ConfigurationDocument) {
        match Configuration::parse(&document.body) {
            Ok(configuration) => {
                let configuration = Rc::new(configuration);
                self.publisher.update(|publisher| publisher.publish_configuration(configuration));
                log::info!("configuration {} committed", document.version);
            }
            Err(faults) => log::error!("committed configuration {}: {faults}", document.version),
        }
    }

    fn change_role(&self, role: ChainRole) {
        if self.role.replace(role) != role {
            log::info!("view {}: {}", role.epoch, if role.is_head { "head" } else { "not head" });
            self.role_changed.notify();
        }
    }

    fn publish_members(&self, members: &[SocketAddrV4]) {
        let port = self.subscription_port;
        let addresses = members.iter().map(|member| SocketAddrV4::new(*member.ip(), port)).collect();
        self.publisher.update(|publisher| publisher.set_control_nodes(addresses));
    }

    /// Puts a request of the operator to the replica and waits for its reply.
    pub async fn request(&self, request: Request) -> Reply {
        let ticket = RequestTicket(self.next_ticket.get());
        self.next_ticket.set(ticket.0 + 1);
        let (sender, receiver) = oneshot::channel();
        self.pending_requests.borrow_mut().insert(ticket, sender);
        self.dispatch(Event::Request { ticket, request });
        receiver.await.unwrap_or(Reply::Unavailable)
    }

    /// Brings what the heartbeats to subscribers say up to date. The head counts the fleet's proxies; the others learn
    /// their number from it.
    pub fn refresh_status(&self) {
        let in_view = self.read(Replica::is_current);
        let is_head = self.role().is_head;
        self.publisher.update_quietly(|publisher| {
            let downstream = publisher.downstream_proxies();
            let proxies = if is_head { downstream } else { downstream.max(publisher.status().proxies) };
            publisher.set_status(PublisherStatus { in_view, proxies, ..publisher.status() });
        });
    }

    /// Has the disk read back and compared with the state in memory.
    pub fn scrub(&self) {
        self.disk.scrub_if_idle();
    }

    /// Counts of scrubs of the disk.
    pub fn scrub_counters(&self) -> ScrubCounters {
        self.disk.scrub_counters()
    }

    /// Takes a completion of the disk.
    pub fn on_disk_completion(&self, completion: &Completion) {
        match self.disk.on_completion(completion) {
            Some((ticket, true)) => self.dispatch(Event::Persisted { ticket }),
            Some((ticket, false)) => self.dispatch(Event::PersistFailed { ticket }),
            None => {}
        }
        self.disk
            .on_scrub_completion(completion, |records| self.read(|replica| replica.compare_disk(records)));
        self.disk.snapshot_if_due(|| self.replica.borrow().snapshot());
    }
}
