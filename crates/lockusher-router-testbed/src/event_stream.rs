//! The event stream that a model searcher sends in response to a request: its events, their length and framing. No I/O.

use crate::framing::BodyFraming;
use crate::record::ArrivalKey;
use crate::searcher::Fault;

/// The state of a response stream.
pub(crate) struct EventStream<'a> {
    pub request_id: &'a str,
    /// The request's entry in the log of arrivals.
    pub arrival: ArrivalKey,
    /// The value of `Server-Signature`.
    pub signature: String,
    /// Number of the last token of the stream.
    pub tokens_out: u64,
    /// Number of the last token sent.
    pub tokens_sent: u64,
    pub events_sent: usize,
    pub framing: BodyFraming,
    pub fault: Option<Fault>,
}

impl EventStream<'_> {
    /// The text of the next event, which ends with the token `id`.
    pub fn next_event(&self, id: u64, instance: &str) -> String {
        self.event(self.tokens_sent, id, instance)
    }

    /// The length of a stream that has not begun, with one event for the first token and one after every `stride` tokens.
    pub fn total_length(&self, stride: u64, instance: &str) -> usize {
        let mut previous = self.tokens_sent;
        let mut length = 0;
        for id in self.event_ids(stride) {
            length += self.event(previous, id, instance).len();
            previous = id;
        }
        length
    }

    /// The ids of the events of a stream that has not begun.
    fn event_ids(&self, stride: u64) -> impl Iterator<Item = u64> {
        let last = self.tokens_out;
        let next = move |id: &u64| (*id < last).then(|| (id + stride).min(last));
        std::iter::successors(Some(self.tokens_sent + 1), next)
    }

    /// The text of the event with the tokens after `previous` up to `id`.
    fn event(&self, previous: u64, id: u64, instance: &str) -> String {
        let (request_id, total) = (self.request_id, self.tokens_out);
        format!("id: {id}\ndata: {request_id} {previous} {id} {total} {instance}\n\n")
    }
}
