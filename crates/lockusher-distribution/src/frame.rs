//! Encoded frames.

use std::rc::Rc;

use crate::message::{Envelope, ToSubscriber};

/// An encoded frame; shared between subscribers.
pub type Frame = Rc<[u8]>;

/// Encodes a message as a frame.
pub fn encode_frame(message: &ToSubscriber) -> Frame {
    lockusher_transport::frame::encode(&Envelope::seal(message)).into()
}
