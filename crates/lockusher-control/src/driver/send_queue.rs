//! The bounded queue of frames that wait for one peer. Owned by a peer's link; pure, without I/O.

use std::collections::VecDeque;

/// Bytes that may wait for one peer; the oldest frames give way.
pub const MAX_QUEUED_BYTES: usize = 16 * 1024 * 1024;

/// Frames that wait to be written, oldest first.
#[derive(Debug, Default)]
pub struct SendQueue {
    frames: VecDeque<Vec<u8>>,
    bytes: usize,
}

impl SendQueue {
    /// Queues a frame; the oldest ones give way if there are too many bytes. The newest one always stays.
    pub fn push(&mut self, frame: Vec<u8>) {
        self.bytes += frame.len();
        self.frames.push_back(frame);
        while self.bytes > MAX_QUEUED_BYTES && self.frames.len() > 1 {
            self.pop();
        }
    }

    /// Takes the oldest frame.
    pub fn pop(&mut self) -> Option<Vec<u8>> {
        let frame = self.frames.pop_front()?;
        self.bytes -= frame.len();
        Some(frame)
    }

    /// Drops all frames.
    pub fn clear(&mut self) {
        *self = SendQueue::default();
    }
}
