//! What the end of a stream means for the parts of its call that have not ended by themselves: whether they never ran,
//! or may have. RFC 9113: sections 6.4, 6.8, 7 and 8.7.

use lockusher_policy::interface::Outcome;

/// How a stream ended, as seen from here.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum End {
    /// The answer's end came.
    Whole,
    /// The answer ended in the middle of a message, or with one that can't be read.
    Spoilt,
    /// An answer other than 200.
    Status(u16),
    /// RST_STREAM with this code.
    Reset(u32),
    /// GOAWAY named a last stream before this one.
    BeyondLast,
    /// The connection ended, or was never there.
    ConnectionOver,
    /// The connection fell silent, and was given up for it.
    Silent,
    /// This side ended the connection, for a fault of another stream.
    GivenUp,
}

/// What is known of the stream besides.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Known {
    /// The last byte of the call has been written.
    pub left: bool,
    /// Some of an answer has come: whatever else is said, it was not left alone.
    pub answered: bool,
}

pub const NO_ERROR: u32 = 0;
pub const REFUSED_STREAM: u32 = 7;
pub const CANCEL: u32 = 8;
pub const ENHANCE_YOUR_CALM: u32 = 11;

/// What the parts that have not ended come to.
pub fn outcome(end: End, known: Known) -> Outcome {
    // A call runs only once it is whole there.
    if !known.left {
        return match end {
            End::GivenUp => Outcome::NotSent,
            _ => Outcome::NoConnection,
        };
    }
    match end {
        // A promise that it never ran is void once some of it has.
        End::BeyondLast | End::Reset(REFUSED_STREAM) if !known.answered => Outcome::Overloaded,
        End::Status(503) if !known.answered => Outcome::Overloaded,
        End::Whole | End::Spoilt | End::Status(_) | End::Reset(_) => Outcome::Error,
        End::BeyondLast | End::ConnectionOver => Outcome::ConnectionLost,
        End::Silent => Outcome::ConnectionStalled,
        End::GivenUp => Outcome::Cancelled,
    }
}
