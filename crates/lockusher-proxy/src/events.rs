//! Splits a stream of server-sent events into complete events, so that another searcher can resume the stream exactly after
//! the last event that was forwarded.

use bytes::{Bytes, BytesMut};

/// A longer event is forwarded before it is complete; after that, the stream can't be resumed.
const MAX_HELD_BACK_BYTES: usize = 256 * 1_024;

/// Holds back an incomplete event and keeps the id of the last complete one.
#[derive(Debug, Default)]
pub(crate) struct EventSplitter {
    incomplete: BytesMut,
    last_id: Option<Bytes>,
    /// Data without an event id was forwarded, so that the stream can't be resumed after it.
    has_event_without_id: bool,
}

impl EventSplitter {
    /// Adds a chunk of the stream; returns the events that are complete now, or no bytes.
    pub(crate) fn push(&mut self, chunk: Bytes) -> Bytes {
        let complete = if self.incomplete.is_empty() {
            self.split_first(chunk)
        } else {
            self.incomplete.extend_from_slice(&chunk);
            let end = end_of_events(&self.incomplete);
            self.incomplete.split_to(end).freeze()
        };
        if !complete.is_empty() {
            self.record_last_id(&complete);
        }
        if self.incomplete.len() > MAX_HELD_BACK_BYTES {
            self.has_event_without_id = true;
            return [complete, self.take_incomplete()].concat().into();
        }
        complete
    }

    /// Splits a chunk that starts at the beginning of an event, without copying the complete events.
    fn split_first(&mut self, mut chunk: Bytes) -> Bytes {
        let end = end_of_events(&chunk);
        let complete = chunk.split_to(end);
        self.incomplete.extend_from_slice(&chunk);
        complete
    }

    fn record_last_id(&mut self, complete: &Bytes) {
        match last_id(complete) {
            Some(id) => self.last_id = Some(complete.slice_ref(id)),
            None => self.has_event_without_id = true,
        }
    }

    /// Takes the incomplete event that is held back, at the end of a stream or after it broke.
    pub(crate) fn take_incomplete(&mut self) -> Bytes {
        self.incomplete.split().freeze()
    }

    /// Whether another searcher can resume the stream after the data that was forwarded.
    pub(crate) fn can_resume(&self) -> bool {
        !self.has_event_without_id
    }

    /// The id of the last complete event that has one.
    pub(crate) fn last_id(&self) -> Option<&Bytes> {
        self.last_id.as_ref()
    }
}

/// Whether the first id in these events is greater than the id `last`; false unless both are numbers.
pub(crate) fn begins_after(events: &[u8], last: &[u8]) -> bool {
    let number = |id: &[u8]| std::str::from_utf8(id).ok()?.parse::<u64>().ok();
    let first = ids(events).next().and_then(number);
    match (first, number(last)) {
        (Some(first), Some(last)) => first > last,
        _ => false,
    }
}

/// The position after the last complete event, which ends with an empty line.
fn end_of_events(bytes: &[u8]) -> usize {
    let after_lf = bytes
        .windows(2)
        .rposition(|pair| pair == b"\n\n")
        .map(|position| position + 2);
    let after_crlf = bytes
        .windows(4)
        .rposition(|window| window == b"\r\n\r\n")
        .map(|position| position + 4);
    after_lf.max(after_crlf).unwrap_or(0)
}

/// The value of the last `id` field.
fn last_id(events: &[u8]) -> Option<&[u8]> {
    ids(events).next_back()
}

/// The values of the `id` fields.
fn ids(events: &[u8]) -> impl DoubleEndedIterator<Item = &[u8]> {
    let lines = events.split(|byte| *byte == b'\n');
    lines
        .filter_map(|line| line.strip_prefix(b"id:"))
        .map(<[u8]>::trim_ascii)
}
