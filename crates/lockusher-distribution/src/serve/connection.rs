//! One subscriber's connection.
//!
//! Owned by the connection's task. Invariant: the publisher knows the subscription for as long as this value lives.

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

/// A frame that is longer leaves this process only as the subscriber takes it: meanwhile that gets no heartbeat to answer,
/// so that having taken the frame counts as a message.
const MAX_BUFFERED_FRAME_BYTES: usize = 256 * 1024;

/// A subscription with the publisher; ends when dropped.
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
    /// Adds a subscription for a connection that has come up.
    pub fn open(shared: Rc<SharedPublisher>) -> Self {
        let id = shared.connect();
        Connection { id, shared }
    }

    /// Sends what is due and takes what arrives until the connection ends.
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
            let arrived = reader.read().fuse();
            let changed = self.shared.changed().changed_since(seen).fuse();
            let due = compio::time::sleep(self.time_until_due()).fuse();
            pin_mut!(arrived, changed, due);
            select_biased! {
                envelope = arrived => self.receive(&envelope?)?,
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
                self.shared.record_contact(self.id);
            }
        }
        Ok(())
    }

    fn next_frame(&self) -> Option<Frame> {
        let now_ms = self.shared.now_ms();
        self.shared
            .update_quietly(|publisher| publisher.next_frame(self.id, now_ms))
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
