//! Encoded frames of publishers, shared between the subscribers that they are due to.

use std::rc::Rc;

use crate::message::{Envelope, ToSubscriber};

/// An encoded frame: a length, then the envelope.
pub type Frame = Rc<[u8]>;

/// Encodes a message as a frame.
pub fn encode_frame(message: &ToSubscriber) -> Frame {
    lockusher_transport::frame::encode(&Envelope::encode(message)).into()
}
