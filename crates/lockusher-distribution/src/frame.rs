//! Encoded frames, which a publisher shares between all subscribers that receive the same message.

use std::rc::Rc;

use crate::message::{Envelope, ToSubscriber};

/// An encoded frame: the length, then the envelope.
pub type Frame = Rc<[u8]>;

/// Encodes a message as a frame.
pub fn encode_frame(message: &ToSubscriber) -> Frame {
    lockusher_transport::frame::encode(&Envelope::encode(message)).into()
}
