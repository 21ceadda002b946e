//! Serves one subscriber over TCP: the publisher decides, this module reads and writes.

mod shared_publisher;

use std::rc::Rc;
use std::time::Duration;

use compio::net::{TcpListener, TcpStream};
use derive_more::{Display, Error, From};
use futures_util::{FutureExt, pin_mut, select_biased};
use lockusher_transport::error::TransportError;
use lockusher_transport::frame::{self, FrameReader, FrameWriter};

use crate::message::{Envelope, FromSubscriber, MessageError};
use crate::publisher::SubscriberId;

pub use shared_publisher::SharedPublisher;

/// Pause after a failed accept, so that a lack of descriptors doesn't spin.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(50);

/// Why a subscriber's connection ended.
#[derive(Debug, Display, Error, From)]
pub enum ServeError {
    #[display("{_0}")]
    Transport(TransportError),
    #[display("{_0}")]
    Message(MessageError),
    #[display("the subscriber fell silent")]
    InactivityTimeout,
    #[display("the publisher ends")]
    Closed,
}

/// Accepts subscribers for ever.
pub async fn accept(listener: TcpListener, shared: Rc<SharedPublisher>) {
    loop {
        match listener.accept().await {
            Ok((stream, _)) => compio::runtime::spawn(serve_and_log(stream, Rc::clone(&shared))).detach(),
            Err(error) => {
                log::warn!("accept: {error}");
                compio::time::sleep(ACCEPT_RETRY_DELAY).await;
            }
        }
    }
}

async fn serve_and_log(stream: TcpStream, shared: Rc<SharedPublisher>) {
    if let Err(error) = publish(stream, shared).await {
        log::debug!("subscriber: {error}");
    }
}

/// Serves one subscriber until its connection ends.
pub async fn publish(stream: TcpStream, shared: Rc<SharedPublisher>) -> Result<(), ServeError> {
    lockusher_transport::tcp::set_options(&stream)?;
    let (reader, writer) = frame::split(stream)?;
    publish_on(reader, writer, None, shared).await
}

/// Serves one subscriber on a connection that is split already; `first` is a message that was read from it.
pub async fn publish_on(
    reader: FrameReader<Envelope>,
    writer: FrameWriter<Envelope>,
    first: Option<Envelope>,
    shared: Rc<SharedPublisher>,
) -> Result<(), ServeError> {
    let id = shared.publisher.borrow_mut().connect(shared.clock.millis());
    let connection = Connection { id, shared };
    connection.run(reader, writer, first).await
}

/// One subscriber's connection; ends its subscription when dropped.
struct Connection {
    id: SubscriberId,
    shared: Rc<SharedPublisher>,
}

impl Drop for Connection {
    fn drop(&mut self) {
        self.shared.publisher.borrow_mut().disconnect(self.id);
        self.shared.subscriber_activity.notify();
    }
}

impl Connection {
    async fn run(
        &self,
        mut reader: FrameReader<Envelope>,
        mut writer: FrameWriter<Envelope>,
        first: Option<Envelope>,
    ) -> Result<(), ServeError> {
        if let Some(envelope) = first {
            self.receive(&envelope)?;
        }
        let mut seen = self.shared.changed.generation();
        loop {
            if self.shared.closed.get() {
                return Err(ServeError::Closed);
            }
            self.send_due(&mut writer).await?;
            if self.shared.publisher.borrow().is_inactive(self.id, self.shared.clock.millis()) {
                return Err(ServeError::InactivityTimeout);
            }
            let arrived = reader.read().fuse();
            let changed = self.shared.changed.changed_since(seen).fuse();
            let due = compio::time::sleep(self.time_until_due()).fuse();
            pin_mut!(arrived, changed, due);
            select_biased! {
                envelope = arrived => self.receive(&envelope?)?,
                generation = changed => seen = generation,
                () = due => {}
            }
        }
    }

    async fn send_due(&self, writer: &mut FrameWriter<Envelope>) -> Result<(), ServeError> {
        while let Some(frame) = self.next_frame() {
            writer.write_encoded(&frame).await?;
        }
        Ok(())
    }

    fn next_frame(&self) -> Option<crate::frame::Frame> {
        self.shared.publisher.borrow_mut().next_frame(self.id, self.shared.clock.millis())
    }

    fn receive(&self, envelope: &Envelope) -> Result<(), ServeError> {
        let message: FromSubscriber = envelope.open()?;
        self.shared.publisher.borrow_mut().receive(self.id, self.shared.clock.millis(), message);
        self.shared.subscriber_activity.notify();
        Ok(())
    }

    fn time_until_due(&self) -> Duration {
        let now_ms = self.shared.clock.millis();
        let due_ms = self.shared.publisher.borrow().next_due_ms(self.id).unwrap_or(now_ms);
        Duration::from_millis(due_ms.saturating_sub(now_ms).max(1))
    }
}
