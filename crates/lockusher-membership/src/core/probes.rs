//! Outstanding probes. A probe is retried, from the second attempt on also through other members, before its target is
//! suspected. Also tracks the local health score, which lengthens timeouts (Lifeguard).

use std::collections::BTreeMap;
use std::net::SocketAddrV4;

use lockusher_policy::interface::{Span, Time};

use super::table::MixerName;

/// Attempts of one probe while this mixer is healthy. At 10% loss, the chance that all of them are lost, directly and
/// through three helpers, is about 1 in 100,000.
const BASE_ATTEMPTS: u32 = 3;
/// Members that are asked to probe the target indirectly (SWIM's k).
pub(super) const INDIRECT_PROBES: usize = 3;
/// The worst local health score (Lifeguard's S).
const MAX_HEALTH_SCORE: u32 = 8;
/// Probes relayed for other members at the same time.
const MAX_RELAYED_PROBES: usize = 256;

/// An outstanding probe of one member.
pub(super) struct Probe {
    pub target: MixerName,
    pub generation: u64,
    /// Attempts so far.
    attempts: u32,
    timeout_at: Time,
}

/// A ping sent on behalf of another member.
struct RelayedProbe {
    requester: SocketAddrV4,
    number: u32,
    expires_at: Time,
}

/// All outstanding probes and the local health score.
#[derive(Default)]
pub(super) struct Probes {
    in_flight: BTreeMap<u32, Probe>,
    relayed: BTreeMap<u32, RelayedProbe>,
    last_number: u32,
    /// The local health score (Lifeguard): 0 is healthy. It rises when a first attempt gets no answer and falls when
    /// one does.
    health_score: u32,
    /// How late the timers of this mixer fire, smoothed.
    timer_lateness: Span,
}

/// What to do about a probe whose attempt timed out.
pub(super) enum ProbeAction {
    /// Ping again, also through other members.
    Retry(u32, MixerName),
    /// No attempt was answered.
    Failed(MixerName, u64),
}

impl Probes {
    /// A number that identifies a ping and its ack.
    pub fn next_number(&mut self) -> u32 {
        self.last_number = self.last_number.wrapping_add(1);
        self.last_number
    }

    /// How long one attempt waits for its answer.
    fn attempt_timeout(&self, interval: Span) -> Span {
        interval.times(0.5) + self.timer_lateness.times(2.0)
    }

    /// The factor by which the local health score lengthens a suspicion (Lifeguard).
    pub fn timeout_multiplier(&self) -> f64 {
        1.0 + f64::from(self.health_score) / f64::from(MAX_HEALTH_SCORE)
    }

    /// Records the first attempt of a probe and returns its number.
    pub fn start(&mut self, now: Time, interval: Span, target: MixerName, generation: u64) -> u32 {
        let (number, timeout_at) = (self.next_number(), now + self.attempt_timeout(interval));
        self.in_flight.insert(
            number,
            Probe {
                target,
                generation,
                attempts: 1,
                timeout_at,
            },
        );
        number
    }

    /// Whether a probe of this member is outstanding.
    pub fn is_probing(&self, name: &MixerName) -> bool {
        self.in_flight.values().any(|probe| probe.target == *name)
    }

    /// Handles an ack. For a relayed probe, returns the requester and the number of its probe.
    pub fn handle_ack(&mut self, number: u32, of: &MixerName) -> Option<(SocketAddrV4, u32)> {
        if self
            .in_flight
            .get(&number)
            .is_some_and(|probe| probe.target == *of)
        {
            let probe = self.in_flight.remove(&number);
            if probe.is_some_and(|probe| probe.attempts == 1) {
                self.health_score = self.health_score.saturating_sub(1);
            }
            return None;
        }
        self.relayed
            .remove(&number)
            .map(|relay| (relay.requester, relay.number))
    }

    /// Records a probe for another member and returns its number, unless too many are outstanding.
    pub fn relay(
        &mut self,
        now: Time,
        interval: Span,
        requester: SocketAddrV4,
        number: u32,
    ) -> Option<u32> {
        if self.relayed.len() >= MAX_RELAYED_PROBES {
            return None;
        }
        let relayed_number = self.next_number();
        self.relayed.insert(
            relayed_number,
            RelayedProbe {
                requester,
                number,
                expires_at: now + interval.times(2.0),
            },
        );
        Some(relayed_number)
    }

    /// Expires relayed probes and returns what to do about attempts that timed out.
    pub fn handle_timeouts(&mut self, now: Time, interval: Span) -> Vec<ProbeAction> {
        self.relayed.retain(|_, relay| relay.expires_at > now);
        let (timeout, max_attempts) = (
            self.attempt_timeout(interval),
            BASE_ATTEMPTS + self.health_score / 2,
        );
        let (mut actions, mut failed) = (Vec::new(), Vec::new());
        for (number, probe) in self
            .in_flight
            .iter_mut()
            .filter(|(_, probe)| probe.timeout_at <= now)
        {
            if probe.attempts == 1 {
                self.health_score = (self.health_score + 1).min(MAX_HEALTH_SCORE);
            }
            if probe.attempts >= max_attempts {
                failed.push(*number);
                continue;
            }
            probe.attempts += 1;
            probe.timeout_at = now + timeout;
            actions.push(ProbeAction::Retry(*number, probe.target.clone()));
        }
        let failed = failed
            .into_iter()
            .filter_map(|number| self.in_flight.remove(&number));
        actions.extend(failed.map(|probe| ProbeAction::Failed(probe.target, probe.generation)));
        actions
    }

    /// When the next attempt times out.
    pub fn next_timeout(&self) -> Option<Time> {
        self.in_flight.values().map(|probe| probe.timeout_at).min()
    }

    /// Records by how much a timer fired late.
    pub fn record_lateness(&mut self, lateness: Span) {
        // The newest sample weighs a quarter, so that a mixer whose every other timer fires late still waits noticeably
        // longer.
        self.timer_lateness = self.timer_lateness.times(0.75) + lateness.times(0.25);
    }

    /// After a stall of this mixer, outstanding probes prove nothing about their targets.
    pub fn handle_stall(&mut self) {
        self.in_flight.clear();
        self.relayed.clear();
        self.health_score = (self.health_score + 2).min(MAX_HEALTH_SCORE);
    }
}
