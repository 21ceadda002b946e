//! One subscriber's connection.
//!
//! Owned by the connection's task. Invariant: the publisher has the subscription for as long as this value exists.

use std::convert::Infallible;
use std::rc::Rc;
use std::time::Duration;

use futures_util::{FutureExt, pin_mut, select_biased};
use lockusher_transport::frame::{FrameReader, FrameWriter};

use crate::frame::Frame;
use crate::message::{Envelope, FromSubscriber};
use crate::publisher::{SUBSCRIBER_INACTIVITY_TIMEOUT_MS, SubscriberId};
use crate::serve::error::ServeError;
use crate::serve::shared_publisher::SharedPublisher;

/// Size above which a frame isn't buffered completely, so that its write completes only as the subscriber reads it. The
/// subscriber receives no heartbeat to answer meanwhile; having read the frame therefore counts as a message.
const MAX_BUFFERED_FRAME_BYTES: usize = 256 * 1024;

/// A subscription at the publisher; removed when dropped.
pub struct Connection {
    id: SubscriberId,
    shared: Rc<SharedPublisher>,
}

impl Drop for Connection {
    fn drop(&mut self) {
        self.shared.disconnect(self.id);
    }
}

impl Connection {
    /// Adds a subscription for a new connection.
    pub fn open(shared: Rc<SharedPublisher>) -> Self {
        let id = shared.connect();
        Connection { id, shared }
    }

    /// Sends the messages that are due and handles those that arrive until the connection ends.
    pub async fn run(
        &self,
        mut reader: FrameReader<Envelope>,
        mut writer: FrameWriter<Envelope>,
    ) -> Result<Infallible, ServeError> {
        let mut seen = self.shared.changed().generation();
        loop {
            self.check_open()?;
            self.send_due(&mut writer).await?;
            self.check_activity()?;
            let received = reader.read().fuse();
            let changed = self.shared.changed().changed_since(seen).fuse();
            let due = compio::time::sleep(self.time_until_due()).fuse();
            pin_mut!(received, changed, due);
            select_biased! {
                envelope = received => self.receive(&envelope?)?,
                generation = changed => seen = generation,
                () = due => {}
            }
        }
    }

    fn check_open(&self) -> Result<(), ServeError> {
        if self.shared.is_closed() {
            Err(ServeError::Closed)
        } else {
            Ok(())
        }
    }

    fn check_activity(&self) -> Result<(), ServeError> {
        let now_ms = self.shared.now_ms();
        let is_inactive = self
            .shared
            .read(|publisher| publisher.is_inactive(self.id, now_ms));
        if is_inactive {
            Err(ServeError::InactivityTimeout)
        } else {
            Ok(())
        }
    }

    async fn send_due(&self, writer: &mut FrameWriter<Envelope>) -> Result<(), ServeError> {
        let stall_timeout = Duration::from_millis(SUBSCRIBER_INACTIVITY_TIMEOUT_MS);
        while let Some(frame) = self.next_frame() {
            writer.write_within(&frame, stall_timeout).await?;
            if frame.len() > MAX_BUFFERED_FRAME_BYTES {
                self.shared.record_activity(self.id);
            }
        }
        Ok(())
    }

    fn next_frame(&self) -> Option<Frame> {
        let now_ms = self.shared.now_ms();
        self.shared
            .update_no_wake(|publisher| publisher.next_frame(self.id, now_ms))
    }

    fn receive(&self, envelope: &Envelope) -> Result<(), ServeError> {
        let message: FromSubscriber = envelope.decode()?;
        self.shared.receive(self.id, message);
        Ok(())
    }

    fn time_until_due(&self) -> Duration {
        let now_ms = self.shared.now_ms();
        let due_ms = self
            .shared
            .read(|publisher| publisher.next_due_ms(self.id))
            .unwrap_or(now_ms);
        Duration::from_millis(due_ms.saturating_sub(now_ms).max(1))
    }
}
