//! The messages of the simulator's protocol. Their names are used in this package only.

use lockusher_multiget::settings::{Names, Settings};
use lockusher_policy::interface::*;
use serde::{Deserialize, Serialize};

/// Events of one point in simulated time.
#[derive(Deserialize)]
pub struct Batch {
    pub sim_time_us: u64,
    pub items: Vec<Event>,
}

/// An event for one instance, or a list that later events refer to.
#[derive(Deserialize)]
#[serde(tag = "event_type")]
pub enum Event {
    #[serde(rename = "SPAWN")]
    Spawn {
        mixer: String,
        random_seed: u64,
        facts: Box<Settings>,
    },
    #[serde(rename = "EXIT")]
    Exit { mixer: String },
    #[serde(rename = "CATALOG")]
    Catalog {
        set_id: u64,
        members_list: Vec<Entry>,
    },
    #[serde(rename = "UPDATE")]
    Update {
        mixer: String,
        mode: Mode,
        set_id: Option<u64>,
    },
    #[serde(rename = "KNOCK")]
    Arrival(Box<Arrival>),
    #[serde(rename = "BEGUN")]
    Begun {},
    #[serde(rename = "CLOSED_ATTEMPT")]
    ClosedAttempt(ClosedAttempt),
    #[serde(rename = "CLIENT_LEFT")]
    ClientLeft { mixer: String, corr: String },
    #[serde(rename = "DEADLINE_HIT")]
    DeadlineHit { mixer: String, token: u64 },
    #[serde(rename = "PING_RESULT")]
    PingResult {},
    #[serde(rename = "INBOX")]
    Inbox {},
}

#[derive(Deserialize)]
pub struct Entry {
    rack_zone: Option<String>,
    up_since_us: Option<u64>,
    rating: Option<f64>,
    stage_state: Stage,
    set_no: Option<usize>,
    searcher: String,
}

#[derive(Deserialize, Clone, Copy)]
enum Stage {
    U,
    L,
    D,
}

#[derive(Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Mode {
    Changes,
    All,
    Remembered,
    Refused,
}

#[derive(Deserialize)]
pub struct Arrival {
    pub mixer: String,
    pub corr: String,
    pub kind: String,
    pub whole_no: u64,
    pub slab: i64,
    pub estimate_us: Option<u64>,
    pub time_left_us: u64,
    #[serde(default)]
    pub amount: f64,
    #[serde(default)]
    pub options: u64,
    pub customer: Option<TenantRef>,
}

impl Arrival {
    pub fn hint(&self) -> Option<Span> {
        let valid = self.options & 1 != 0;
        self.estimate_us.filter(|_| valid).map(Span::from_micros)
    }

    pub fn resubmitted(&self) -> bool {
        self.options & 2 != 0
    }
}

/// A tenant's name; sites without tenants may send 0.
#[derive(Deserialize)]
#[serde(untagged)]
pub enum TenantRef {
    Name(String),
    Number(u64),
}

#[derive(Deserialize)]
pub struct ClosedAttempt {
    pub mixer: String,
    pub corr: String,
    #[serde(default)]
    pub terminal: bool,
    #[serde(default)]
    pub latency_us: u64,
    #[serde(default)]
    pub round_no: usize,
    pub rc: u16,
}

/// Decodes the result code of an attempt.
pub fn outcome(rc: u16) -> Option<Outcome> {
    Some(match rc {
        200 => Outcome::Returned,
        500 => Outcome::Error,
        503 => Outcome::Overloaded,
        504 => Outcome::TimedOut,
        502 => Outcome::NoConnection,
        598 => Outcome::ConnectionLost,
        499 => Outcome::Cancelled,
        410 => Outcome::NotSent,
        _ => return None,
    })
}

impl Entry {
    pub fn searcher_entry(&self, names: &Names) -> SearcherEntry {
        let zone = self.rack_zone.as_ref();
        SearcherEntry {
            id: SearcherId::new(&self.searcher),
            cell: Cell(self.set_no.unwrap_or(0)),
            zone: zone.and_then(|z| names.zones.get(z).copied()),
            state: match self.stage_state {
                Stage::U => SearcherState::Up,
                Stage::L => SearcherState::Draining,
                Stage::D => SearcherState::Gone,
            },
            up_since: self.up_since_us.filter(|&us| us > 0).map(Time::from_micros),
            rating: self.rating.unwrap_or(1.0),
        }
    }
}

#[derive(Serialize)]
pub struct Reply<'a> {
    pub cmds: Vec<InstanceAction<'a>>,
}

/// An action, and the instance that it belongs to.
#[derive(Serialize)]
pub struct InstanceAction<'a> {
    pub mixer: &'a str,
    #[serde(flatten)]
    pub action: Action,
}

/// An action of one instance.
#[derive(Serialize)]
#[serde(tag = "event_type")]
pub enum Action {
    #[serde(rename = "RELAY")]
    Relay {
        corr: String,
        searcher: String,
        limit_us: u64,
    },
    #[serde(rename = "CLOSE")]
    Close { searcher: String },
    #[serde(rename = "WITHDRAW")]
    Withdraw { corr: String, round_no: usize },
    #[serde(rename = "WRAP_UP")]
    WrapUp { corr: String, entire: bool },
    #[serde(rename = "REJECT")]
    Reject {
        corr: String,
        #[serde(skip_serializing_if = "Option::is_none")]
        not_before_for_us: Option<u64>,
    },
    #[serde(rename = "SURRENDER")]
    Surrender { corr: String },
    #[serde(rename = "AFTER")]
    After { offset_us: u64, token: u64 },
    #[serde(rename = "STREAM_CHANGES")]
    StreamChanges { entire: bool },
}
