//! Maps the end of a stream to the outcome of its parts without a result of their own: whether they never ran, or may
//! have run. RFC 9113: sections 6.4, 6.8, 7 and 8.7.

use lockusher_policy::interface::Outcome;

/// How a stream ended, as observed by this client.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum StreamEnd {
    /// The response was received to its end.
    Complete,
    /// The response ended within a message, or contained one that can't be decoded.
    Malformed,
    /// A response with a status other than 200.
    Status(u16),
    /// RST_STREAM with this error code.
    Reset(u32),
    /// GOAWAY named a last stream before this one.
    BeyondLastStream,
    /// The connection was closed, or was never established.
    ConnectionClosed,
    /// The connection was aborted because the searcher stopped responding.
    Unresponsive,
    /// Ended by this client: the call was cancelled, or no connection could be opened for it.
    Abandoned,
}

/// What is known about the stream apart from how it ended.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct StreamProgress {
    /// The last byte of the call has been written to the socket.
    pub written: bool,
    /// At least one part end has been received, so the call did run, whatever the searcher reports later.
    pub answered: bool,
}

/// Error code NO_ERROR.
pub const NO_ERROR: u32 = 0;
/// Error code REFUSED_STREAM: the stream was not processed.
pub const REFUSED_STREAM: u32 = 7;
/// Error code CANCEL.
pub const CANCEL: u32 = 8;
/// Error code ENHANCE_YOUR_CALM: the peer asks for a lower load.
pub const ENHANCE_YOUR_CALM: u32 = 11;

/// The outcome of the parts without a result of their own.
pub fn outcome(end: StreamEnd, progress: StreamProgress) -> Outcome {
    // A searcher runs a call only after receiving all of it.
    if !progress.written {
        return match end {
            StreamEnd::Abandoned => Outcome::NotSent,
            _ => Outcome::NoConnection,
        };
    }
    match end {
        // A searcher that has answered a part contradicts its own claim that the stream never ran.
        StreamEnd::BeyondLastStream | StreamEnd::Reset(REFUSED_STREAM) if !progress.answered => {
            Outcome::Overloaded
        }
        StreamEnd::Status(503) if !progress.answered => Outcome::Overloaded,
        StreamEnd::Complete | StreamEnd::Malformed | StreamEnd::Status(_) | StreamEnd::Reset(_) => {
            Outcome::Error
        }
        StreamEnd::BeyondLastStream | StreamEnd::ConnectionClosed => Outcome::ConnectionLost,
        StreamEnd::Unresponsive => Outcome::ConnectionStalled,
        StreamEnd::Abandoned => Outcome::Cancelled,
    }
}
