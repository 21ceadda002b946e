//! The driver of the membership core: one IPv4 UDP socket on the mixer's own thread. It makes no decisions.

use std::net::{SocketAddr, SocketAddrV4};
use std::time::Duration;

use lockusher_policy::interface::{AgreedHealth, PolicyUpdate, Time};
use tokio::net::UdpSocket;
use tokio::sync::{mpsc, oneshot};

use crate::core::shared_state::{self, LocalReport};
use crate::core::table::{MemberEntry, State};
use crate::core::{Change, Core, Counts};
use crate::shared::consensus::AgreedVerdict;

/// The most datagrams read per turn, and the pause after a full turn: a flood costs at most 6,400 short reads a second
/// and takes no time from clients; the system drops the rest. An exchange of views at 3,000 members is 32 datagrams at
/// once.
const MAX_DATAGRAMS_PER_TURN: usize = 64;
const FULL_TURN_PAUSE: Duration = Duration::from_millis(10);

/// The state of the fleet as this mixer knows it.
pub struct FleetStatus {
    /// The time to which the state refers.
    pub now: Time,
    /// The membership status of this mixer.
    pub standing: crate::core::MembershipStatus,
    /// Ordered by name.
    pub members: Vec<MemberEntry>,
    /// The number of live members.
    pub living: usize,
    /// The number of mixers whose budget shares may be in use.
    pub counted: usize,
    /// The digest of the live members.
    pub digest: u64,
    /// The counters since the start.
    pub counts: Counts,
    /// `None` if no state is shared.
    pub shared: Option<shared_state::SharedStatus>,
}

/// A request to the driver.
pub enum FleetRequest {
    /// Returns the state of the fleet.
    Status(oneshot::Sender<FleetStatus>),
    /// Takes the periodic report of the local mixer, to be shared with others.
    Report(LocalReport),
    /// Announces that this mixer leaves; datagrams are still answered.
    Leave,
}

/// The sender of requests to the driver.
pub type FleetRequestSender = mpsc::Sender<FleetRequest>;

/// Binds the socket. Fails if the address is not local or is in use.
pub async fn bind(address: SocketAddrV4) -> std::io::Result<UdpSocket> {
    UdpSocket::bind(address).await
}

/// Runs membership until all request senders are dropped. Passes news to the mixer: the number of mixers whenever it
/// changes, and the shared state. `deliver` returns whether the news was accepted; if not, it is offered again.
pub async fn run(
    socket: UdpSocket,
    mut core: Core,
    clock: impl Fn() -> Time,
    deliver: impl Fn(PolicyUpdate) -> bool,
    mut requests: mpsc::Receiver<FleetRequest>,
) {
    let (mut counted, mut health, mut warm_start) = (None, Vec::new(), None);
    let (mut shares, mut had_quorum) = (Vec::new(), None);
    let mut buffer = [0; 2 * crate::core::wire::MAX_DATAGRAM_BYTES];
    let mut paused_until: Option<tokio::time::Instant> = None;
    loop {
        send_datagrams(&socket, &mut core).await;
        for change in core.take_changes() {
            log_change(&change);
        }
        if counted != Some(core.counted()) && deliver(PolicyUpdate::Mixers(core.counted())) {
            counted = Some(core.counted());
        }
        let agreed: Vec<AgreedHealth> = core
            .agreed_verdicts()
            .iter()
            .map(|verdict| verdict.health.clone())
            .collect();
        if health != agreed && deliver(PolicyUpdate::Health(agreed.clone())) {
            log_agreed_verdicts(&health, core.agreed_verdicts());
            health = agreed;
        }
        let new_shares = core.shares(clock());
        if shares != new_shares && deliver(PolicyUpdate::QuotaShares(new_shares.clone())) {
            shares = new_shares;
        }
        log_quorum(&mut had_quorum, core.has_quorum());
        warm_start = core.take_warm_start().or(warm_start);
        if let Some(known) =
            warm_start.take_if(|known| deliver(PolicyUpdate::WarmStart(known.clone())))
        {
            tracing::info!(target: "lockusher::fleet", "fleet: warm start with {} searchers known from other mixers", known.len());
        }
        let wait = Duration::from_micros(core.next_timeout().since(clock()).as_micros());
        tokio::select! {
            biased;
            request = requests.recv() => match request {
                Some(FleetRequest::Status(reply)) => drop(reply.send(fleet_status(clock(), &core))),
                Some(FleetRequest::Report(report)) => core.report(clock(), report),
                Some(FleetRequest::Leave) => core.leave(clock()),
                None => return,
            },
            () = tokio::time::sleep(wait) => core.handle_timeout(clock()),
            () = tokio::time::sleep_until(paused_until.unwrap_or_else(tokio::time::Instant::now)), if paused_until.is_some() => {
                paused_until = None;
            }
            ready = socket.readable(), if paused_until.is_none() => {
                let (mut read_count, mut drained) = (0, false);
                while ready.is_ok() && read_count < MAX_DATAGRAMS_PER_TURN && !drained {
                    read_count += 1;
                    match socket.try_recv_from(&mut buffer) {
                        Ok((length, SocketAddr::V4(from))) => core.handle_datagram(clock(), from, &buffer[..length]),
                        Ok(_) => {}
                        Err(error) => drained = error.kind() == std::io::ErrorKind::WouldBlock,
                    }
                }
                paused_until = (!drained).then(|| tokio::time::Instant::now() + FULL_TURN_PAUSE);
            }
        }
    }
}

async fn send_datagrams(socket: &UdpSocket, core: &mut Core) {
    for (at, bytes) in core.take_datagrams() {
        // A datagram that can't be sent now is lost, as one in transit may be.
        let _ = socket.try_send_to(&bytes, at.into());
    }
}

fn fleet_status(now: Time, core: &Core) -> FleetStatus {
    let mut members: Vec<MemberEntry> = core.members().cloned().collect();
    members.sort_by(|one, other| one.record.name.cmp(&other.record.name));
    FleetStatus {
        now,
        standing: core.status(),
        members,
        living: core.live_count(),
        counted: core.counted(),
        digest: core.digest(),
        counts: core.counts(),
        shared: core.shared_status(now),
    }
}

/// Logs when contact with a majority of the members is lost and when it is restored.
fn log_quorum(before: &mut Option<bool>, now: Option<bool>) {
    match (std::mem::replace(before, now), now) {
        (Some(true), Some(false)) => {
            tracing::warn!(target: "lockusher::fleet", "fleet: contact with a majority of the members lost, no further budget loans");
        }
        (Some(false), Some(true)) => {
            tracing::info!(target: "lockusher::fleet", "fleet: contact with a majority of the members restored");
        }
        _ => {}
    }
}

/// Logs each searcher on which a verdict is agreed, and each on which none is any more.
fn log_agreed_verdicts(before: &[AgreedHealth], now: &[AgreedVerdict]) {
    for verdict in now
        .iter()
        .filter(|verdict| before.iter().all(|before| before.id != verdict.health.id))
    {
        let witnesses: Vec<&str> = verdict
            .witnesses
            .iter()
            .map(super::core::table::MixerName::as_str)
            .collect();
        let (id, fault, witnesses) = (
            verdict.health.id.as_str(),
            verdict.fault.as_str(),
            witnesses.join(", "),
        );
        tracing::info!(target: "lockusher::fleet", "fleet: searcher {id} is {fault}, reported by {witnesses}");
    }
    for id in before
        .iter()
        .map(|of| &of.id)
        .filter(|id| now.iter().all(|verdict| verdict.health.id != **id))
    {
        tracing::info!(target: "lockusher::fleet", "fleet: no verdict on searcher {} is agreed any more", id.as_str());
    }
}

/// Logs a change of the view; suspicions, which are often refuted, only at debug level.
fn log_change(change: &Change) {
    let Change { member, from } = change;
    let (name, at, state) = (member.name.as_str(), member.address, member.state.as_str());
    let reporter = member
        .by
        .as_ref()
        .map(|by| format!(", reported by {}", by.as_str()))
        .unwrap_or_default();
    let previous = from.map_or("unknown", State::as_str);
    match (member.state, from) {
        (State::Suspect, _) | (State::Alive, Some(State::Suspect)) => {
            tracing::debug!(target: "lockusher::fleet", "fleet: {name} at {at} is {state}{reporter} (was {previous})");
        }
        (State::Dead, _) => {
            tracing::warn!(target: "lockusher::fleet", "fleet: {name} at {at} is {state}{reporter} (was {previous})");
        }
        _ => {
            tracing::info!(target: "lockusher::fleet", "fleet: {name} at {at} is {state}{reporter} (was {previous})");
        }
    }
}
