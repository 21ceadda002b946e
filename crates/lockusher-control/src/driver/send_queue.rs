//! Bounded queue of the frames to be sent to one peer. Owned by a peer's link; pure, without I/O.

use std::collections::VecDeque;

/// Bound on the bytes queued for one peer; the oldest frames are dropped beyond it.
pub const MAX_QUEUED_BYTES: usize = 16 * 1024 * 1024;

/// Frames to be written, oldest first.
#[derive(Debug, Default)]
pub struct SendQueue {
    frames: VecDeque<Vec<u8>>,
    bytes: usize,
}

impl SendQueue {
    /// Queues a frame and drops the oldest ones while the queue exceeds [`MAX_QUEUED_BYTES`]. The newest one is never
    /// dropped.
    pub fn push(&mut self, frame: Vec<u8>) {
        self.bytes += frame.len();
        self.frames.push_back(frame);
        while self.bytes > MAX_QUEUED_BYTES && self.frames.len() > 1 {
            self.pop();
        }
    }

    /// Removes and returns the oldest frame.
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
