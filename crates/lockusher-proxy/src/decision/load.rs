//! Measures the load that this proxy puts on the searchers of each service. The control plane assigns searchers to
//! stages by it.
//!
//! Owned by `RequestRouter`; read by the proxy's load report. Holds counts and time averages of this proxy's own sends
//! since the last report.

use std::collections::HashMap;

use lockusher_distribution::load::{HUNDREDTHS_PER_UNIT, ServiceLoad};

use super::plan::SendRecord;
use super::types::{MICROS_PER_MS, Micros, Purpose};

/// Microseconds in a second.
const MICROS_PER_SECOND: Micros = 1_000 * MICROS_PER_MS;

/// Loads over a shorter interval than this aren't reported.
const MIN_REPORT_INTERVAL: Micros = MICROS_PER_SECOND / 4;

/// The time average of a value that changes in steps.
#[derive(Clone, Copy, Debug, Default)]
struct TimeAverage {
    value: u64,
    /// Integral of the value over time, in microseconds.
    integral: u64,
    updated_at: Micros,
}

impl TimeAverage {
    fn accumulate(&mut self, now: Micros) {
        self.integral += self.value * now.saturating_sub(self.updated_at);
        self.updated_at = self.updated_at.max(now);
    }

    fn add(&mut self, now: Micros, amount: u64) {
        self.accumulate(now);
        self.value += amount;
    }

    fn subtract(&mut self, now: Micros, amount: u64) {
        self.accumulate(now);
        self.value = self.value.saturating_sub(amount);
    }

    /// The mean since the last call, in hundredths; starts a new interval.
    fn take_hundredths(&mut self, now: Micros, interval: Micros) -> u32 {
        self.accumulate(now);
        let integral = std::mem::take(&mut self.integral);
        saturating_u32(integral.saturating_mul(u64::from(HUNDREDTHS_PER_UNIT)) / interval)
    }
}

/// The load of one service since the last report.
#[derive(Clone, Copy, Debug, Default)]
struct ServiceMeter {
    requests: u64,
    prefill_tokens: u64,
    prefill: TimeAverage,
    decode: TimeAverage,
    decode_waiting: TimeAverage,
    decode_tokens: TimeAverage,
}

/// The loads of all services, by service index.
#[derive(Debug, Default)]
pub struct LoadMeters {
    meters: HashMap<usize, ServiceMeter>,
    last_report: Micros,
}

impl LoadMeters {
    /// Counts a client request.
    pub fn record_request(&mut self, service: usize) {
        self.meter(service).requests += 1;
    }

    /// Records a send.
    pub fn record_send(&mut self, now: Micros, record: &SendRecord) {
        let meter = self.meter(record.service);
        let tokens = u64::from(record.expected_tokens);
        if record.purpose == Purpose::Prefill {
            meter.prefill_tokens += tokens;
            meter.prefill.add(now, 1);
        } else {
            meter.decode.add(now, 1);
            meter.decode_waiting.add(now, 1);
            meter.decode_tokens.add(now, tokens);
        }
    }

    /// Records the first event of a send.
    pub fn record_first_event(&mut self, now: Micros, record: &SendRecord) {
        if record.purpose != Purpose::Prefill {
            self.meter(record.service).decode_waiting.subtract(now, 1);
        }
    }

    /// Records the end of a send.
    pub fn record_end(&mut self, now: Micros, record: &SendRecord) {
        let meter = self.meter(record.service);
        if record.purpose == Purpose::Prefill {
            meter.prefill.subtract(now, 1);
        } else {
            meter.decode.subtract(now, 1);
            if !record.has_response {
                meter.decode_waiting.subtract(now, 1);
            }
            meter
                .decode_tokens
                .subtract(now, u64::from(record.expected_tokens));
        }
    }

    /// The loads since the last call, for the services that `name` resolves; `None` if the last call was too recent.
    pub fn take<'a>(
        &mut self,
        now: Micros,
        name: impl Fn(usize) -> Option<&'a str>,
    ) -> Option<Vec<ServiceLoad>> {
        let interval = now.saturating_sub(self.last_report);
        if interval < MIN_REPORT_INTERVAL {
            return None;
        }
        self.last_report = now;
        let mut loads = Vec::new();
        for (service, meter) in &mut self.meters {
            let load = meter.take(now, interval);
            if let Some(name) = name(*service) {
                loads.push(ServiceLoad {
                    service: name.to_owned(),
                    ..load
                });
            }
        }
        Some(loads)
    }

    fn meter(&mut self, service: usize) -> &mut ServiceMeter {
        self.meters.entry(service).or_default()
    }
}

impl ServiceMeter {
    fn take(&mut self, now: Micros, interval: Micros) -> ServiceLoad {
        let per_second =
            |count: u64| saturating_u32(count.saturating_mul(MICROS_PER_SECOND) / interval);
        ServiceLoad {
            service: String::new(),
            proxies: 1,
            requests_per_s: per_second(std::mem::take(&mut self.requests)),
            prefill_tokens_per_s: per_second(std::mem::take(&mut self.prefill_tokens)),
            prefill_in_flight: self.prefill.take_hundredths(now, interval),
            decode_in_flight: self.decode.take_hundredths(now, interval),
            decode_waiting: self.decode_waiting.take_hundredths(now, interval),
            decode_tokens: self.decode_tokens.take_hundredths(now, interval) / HUNDREDTHS_PER_UNIT,
        }
    }
}

fn saturating_u32(number: u64) -> u32 {
    u32::try_from(number).unwrap_or(u32::MAX)
}
