//! Measures the load that this proxy puts on the searchers of each service: the control plane assigns their stages by it.
//!
//! Owned by `RequestRouter`; taken by the proxy's load report. Counts and time averages since the
//! last report, from own sends alone.

use std::collections::HashMap;

use lockusher_distribution::load::{HUNDREDTHS, ServiceLoad};

use super::plan::SendRecord;
use super::types::{MICROS_PER_MS, Micros, Purpose};

/// A second in microseconds.
const SECOND: Micros = 1_000 * MICROS_PER_MS;

/// Loads over less time than this aren't reported.
const MIN_WINDOW: Micros = SECOND / 4;

/// A number that changes by steps, averaged over time.
#[derive(Clone, Copy, Debug, Default)]
struct TimeAverage {
    now: u64,
    /// Integral over time, in microseconds.
    area: u64,
    changed: Micros,
}

impl TimeAverage {
    fn accumulate(&mut self, now: Micros) {
        self.area += self.now * now.saturating_sub(self.changed);
        self.changed = self.changed.max(now);
    }

    fn rise(&mut self, now: Micros, by: u64) {
        self.accumulate(now);
        self.now += by;
    }

    fn fall(&mut self, now: Micros, by: u64) {
        self.accumulate(now);
        self.now = self.now.saturating_sub(by);
    }

    /// The mean since the last call, in hundredths; starts anew.
    fn take_hundredths(&mut self, now: Micros, window: Micros) -> u32 {
        self.accumulate(now);
        let area = std::mem::take(&mut self.area);
        saturate(area.saturating_mul(u64::from(HUNDREDTHS)) / window)
    }
}

/// The load on one service.
#[derive(Clone, Copy, Debug, Default)]
struct Meter {
    requests: u64,
    read_tokens: u64,
    prefill: TimeAverage,
    decode: TimeAverage,
    decode_waiting: TimeAverage,
    decode_tokens: TimeAverage,
}

/// The loads on all services, by their index.
#[derive(Debug, Default)]
pub struct Loads {
    meters: HashMap<usize, Meter>,
    taken: Micros,
}

impl Loads {
    /// Counts a request of a client.
    pub fn request(&mut self, service: usize) {
        self.meter(service).requests += 1;
    }

    /// Notes a send.
    pub fn sent(&mut self, now: Micros, record: &SendRecord) {
        let meter = self.meter(record.service);
        let tokens = u64::from(record.tokens);
        if record.purpose == Purpose::Prefill {
            meter.read_tokens += tokens;
            meter.prefill.rise(now, 1);
        } else {
            meter.decode.rise(now, 1);
            meter.decode_waiting.rise(now, 1);
            meter.decode_tokens.rise(now, tokens);
        }
    }

    /// Notes the first event of a send.
    pub fn first_event(&mut self, now: Micros, record: &SendRecord) {
        if record.purpose != Purpose::Prefill {
            self.meter(record.service).decode_waiting.fall(now, 1);
        }
    }

    /// Notes the end of a send.
    pub fn ended(&mut self, now: Micros, record: &SendRecord) {
        let meter = self.meter(record.service);
        if record.purpose == Purpose::Prefill {
            meter.prefill.fall(now, 1);
        } else {
            meter.decode.fall(now, 1);
            if !record.has_response {
                meter.decode_waiting.fall(now, 1);
            }
            meter.decode_tokens.fall(now, u64::from(record.tokens));
        }
    }

    /// The loads since the last call of the services that `name` knows; nothing if that was just before.
    pub fn take<'a>(
        &mut self,
        now: Micros,
        name: impl Fn(usize) -> Option<&'a str>,
    ) -> Option<Vec<ServiceLoad>> {
        let window = now.saturating_sub(self.taken);
        if window < MIN_WINDOW {
            return None;
        }
        self.taken = now;
        let mut loads = Vec::new();
        for (service, meter) in &mut self.meters {
            let load = meter.take(now, window);
            if let Some(name) = name(*service) {
                loads.push(ServiceLoad {
                    service: name.to_owned(),
                    ..load
                });
            }
        }
        Some(loads)
    }

    fn meter(&mut self, service: usize) -> &mut Meter {
        self.meters.entry(service).or_default()
    }
}

impl Meter {
    fn take(&mut self, now: Micros, window: Micros) -> ServiceLoad {
        let per_second = |count: u64| saturate(count.saturating_mul(SECOND) / window);
        ServiceLoad {
            service: String::new(),
            proxies: 1,
            requests_per_s: per_second(std::mem::take(&mut self.requests)),
            prefill_tokens_per_s: per_second(std::mem::take(&mut self.read_tokens)),
            prefill_in_flight: self.prefill.take_hundredths(now, window),
            decode_in_flight: self.decode.take_hundredths(now, window),
            decode_waiting: self.decode_waiting.take_hundredths(now, window),
            decode_tokens: self.decode_tokens.take_hundredths(now, window) / HUNDREDTHS,
        }
    }
}

fn saturate(number: u64) -> u32 {
    u32::try_from(number).unwrap_or(u32::MAX)
}
