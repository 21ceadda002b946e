//! What carries the core's datagrams: one UDP socket, IPv4, on the mixer's own thread. Nothing here decides.

use std::net::{SocketAddr, SocketAddrV4};
use std::time::Duration;

use lockusher_policy::interface::{AgreedHealth, PolicyUpdate, Time};
use tokio::net::UdpSocket;
use tokio::sync::{mpsc, oneshot};

use crate::core::share::{self, Own};
use crate::core::table::{Held, State};
use crate::core::{Change, Core, Counts};
use crate::shared::judge::Standing;

/// Datagrams that are read in one turn, and how long the next turn waits after a full one: a flood takes at most
/// 6,400 short looks a second and a client's time never; the rest is dropped by the system. An exchange of views at
/// 3,000 members is 32 at once.
const A_TURN: usize = 64;
const REST: Duration = Duration::from_millis(10);

/// How the fleet stands for this mixer.
pub struct Shown {
    pub now: Time,
    pub standing: crate::core::Standing,
    /// In the order of their names.
    pub members: Vec<Held>,
    pub living: usize,
    pub counted: usize,
    pub digest: u64,
    pub counts: Counts,
    /// Where state is shared.
    pub shared: Option<share::Shown>,
}

/// What is asked of the driver.
pub enum Ask {
    /// How the fleet stands.
    Show(oneshot::Sender<Shown>),
    /// What this mixer saw and did lately is told to others.
    Tell(Own),
    /// This mixer leaves: others are told; what comes is answered on.
    Leave,
}

/// The way to ask.
pub type Asks = mpsc::Sender<Ask>;

/// Binds the socket. Errors: an address that is not ours, or in use.
pub async fn bind(address: SocketAddrV4) -> std::io::Result<UdpSocket> {
    UdpSocket::bind(address).await
}

/// Keeps the view for good, and tells the mixer what comes of it: the count of mixers whenever it changes, and what
/// the fleet shares. `tell` says whether there was room for it; if not, it is told again. Ends when nobody can ask.
pub async fn keep(
    socket: UdpSocket,
    mut core: Core,
    clock: impl Fn() -> Time,
    tell: impl Fn(PolicyUpdate) -> bool,
    mut asks: mpsc::Receiver<Ask>,
) {
    let (mut counted, mut judged, mut remembered) = (None, Vec::new(), None);
    let (mut portions, mut in_contact) = (Vec::new(), None);
    let mut buffer = [0; 2 * crate::core::wire::MOST_BYTES];
    let mut rest: Option<tokio::time::Instant> = None;
    loop {
        carry(&socket, &mut core).await;
        for change in core.take_changes() {
            log(&change);
        }
        if counted != Some(core.counted()) && tell(PolicyUpdate::Mixers(core.counted())) {
            counted = Some(core.counted());
        }
        let stands: Vec<AgreedHealth> = core
            .standing_judgements()
            .iter()
            .map(|of| of.judged.clone())
            .collect();
        if judged != stands && tell(PolicyUpdate::Health(stands.clone())) {
            log_judged(&judged, core.standing_judgements());
            judged = stands;
        }
        let now_portions = core.portions(clock());
        if portions != now_portions && tell(PolicyUpdate::QuotaShares(now_portions.clone())) {
            portions = now_portions;
        }
        log_contact(&mut in_contact, core.in_contact());
        remembered = core.take_remembered().or(remembered);
        if let Some(known) =
            remembered.take_if(|known| tell(PolicyUpdate::WarmStart(known.clone())))
        {
            tracing::info!(target: "lockusher::fleet", "fleet: {} searchers are known from others", known.len());
        }
        let wait = Duration::from_micros(core.next().since(clock()).as_micros());
        tokio::select! {
            biased;
            asked = asks.recv() => match asked {
                Some(Ask::Show(reply)) => drop(reply.send(shown(clock(), &core))),
                Some(Ask::Tell(own)) => core.tell(clock(), own),
                Some(Ask::Leave) => core.leave(clock()),
                None => return,
            },
            () = tokio::time::sleep(wait) => core.due(clock()),
            () = tokio::time::sleep_until(rest.unwrap_or_else(tokio::time::Instant::now)), if rest.is_some() => {
                rest = None;
            }
            ready = socket.readable(), if rest.is_none() => {
                let (mut read, mut dry) = (0, false);
                while ready.is_ok() && read < A_TURN && !dry {
                    read += 1;
                    match socket.try_recv_from(&mut buffer) {
                        Ok((length, SocketAddr::V4(from))) => core.hear(clock(), from, &buffer[..length]),
                        Ok(_) => {}
                        Err(error) => dry = error.kind() == std::io::ErrorKind::WouldBlock,
                    }
                }
                rest = (!dry).then(|| tokio::time::Instant::now() + REST);
            }
        }
    }
}

async fn carry(socket: &UdpSocket, core: &mut Core) {
    for (at, bytes) in core.take_out() {
        // A datagram that can't leave now is lost, as one on the way may be.
        let _ = socket.try_send_to(&bytes, at.into());
    }
}

fn shown(now: Time, core: &Core) -> Shown {
    let mut members: Vec<Held> = core.view().cloned().collect();
    members.sort_by(|one, other| one.record.name.cmp(&other.record.name));
    Shown {
        now,
        standing: core.standing(),
        members,
        living: core.living(),
        counted: core.counted(),
        digest: core.digest(),
        counts: core.counts(),
        shared: core.shown(now),
    }
}

/// A line when contact with the most of the fleet is lost, and found.
fn log_contact(before: &mut Option<bool>, now: Option<bool>) {
    match (std::mem::replace(before, now), now) {
        (Some(true), Some(false)) => {
            tracing::warn!(target: "lockusher::fleet", "fleet: contact with the most of it is lost, nothing more is lent");
        }
        (Some(false), Some(true)) => {
            tracing::info!(target: "lockusher::fleet", "fleet: contact with the most of it");
        }
        _ => {}
    }
}

/// A line for each searcher that is judged, and for each that no longer is.
fn log_judged(before: &[AgreedHealth], now: &[Standing]) {
    for of in now
        .iter()
        .filter(|of| before.iter().all(|before| before.id != of.judged.id))
    {
        let by: Vec<&str> = of
            .witnesses
            .iter()
            .map(super::core::table::MixerName::as_str)
            .collect();
        let (id, fault, by) = (of.judged.id.as_str(), of.fault.word(), by.join(", "));
        tracing::info!(target: "lockusher::fleet", "fleet: searcher {id} is {fault}, say {by}");
    }
    for id in before
        .iter()
        .map(|of| &of.id)
        .filter(|id| now.iter().all(|of| of.judged.id != **id))
    {
        tracing::info!(target: "lockusher::fleet", "fleet: nothing stands against searcher {} any more", id.as_str());
    }
}

/// One line for each change; a suspicion that may pass is for those who look closely.
fn log(change: &Change) {
    let Change { member, from } = change;
    let (name, at, state) = (member.name.as_str(), member.address, member.state.word());
    let by = member
        .by
        .as_ref()
        .map(|by| format!(", says {}", by.as_str()))
        .unwrap_or_default();
    let was = from.map_or("unknown", State::word);
    match (member.state, from) {
        (State::Suspect, _) | (State::Alive, Some(State::Suspect)) => {
            tracing::debug!(target: "lockusher::fleet", "fleet: {name} at {at} is {state}{by} (was {was})");
        }
        (State::Dead, _) => {
            tracing::warn!(target: "lockusher::fleet", "fleet: {name} at {at} is {state}{by} (was {was})");
        }
        _ => {
            tracing::info!(target: "lockusher::fleet", "fleet: {name} at {at} is {state}{by} (was {was})");
        }
    }
}
