//! What really crossed a socket, by the frames' heads: which streams left whole, what the searcher last allowed, which
//! streams it says it will never run. A library's queue hides whether a request has left; certainty needs that.
//! RFC 9113: section 4.1 (frames), 6.4 (RST_STREAM), 6.5 (SETTINGS), 6.8 (GOAWAY).

use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::io;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll};
use std::time::Instant;

use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::sync::Notify;

const DATA: u8 = 0;
const HEADERS: u8 = 1;
const RST_STREAM: u8 = 3;
const SETTINGS: u8 = 4;
const GOAWAY: u8 = 7;
const END_STREAM: u8 = 1;
const ACK: u8 = 1;
const MAX_CONCURRENT_STREAMS: u16 = 3;
/// What a client says first.
const PREFACE: usize = 24;
/// Of a payload that is read here, so much is kept: settings are few.
const MOST_KEPT: usize = 1_024;

/// What has been seen on a connection.
#[derive(Default)]
pub struct Seen {
    /// Streams whose request has been written to its last byte, and when; until they are forgotten.
    left: RefCell<HashMap<u32, Instant>>,
    /// Streams that the searcher reset, with its code; until they are forgotten.
    reset: RefCell<HashMap<u32, u32>>,
    /// The lowest last stream that any GOAWAY named, and the code of the last one.
    last: Cell<Option<(u32, u32)>>,
    allows: Cell<Option<u32>>,
    settled: Cell<bool>,
    heard: Cell<Option<Instant>>,
    /// Something has changed of what the searcher allows or says of its going, or something came.
    pub changed: Notify,
}

impl Seen {
    pub fn left(&self, stream: u32) -> Option<Instant> {
        self.left.borrow().get(&stream).copied()
    }

    pub fn reset(&self, stream: u32) -> Option<u32> {
        self.reset.borrow().get(&stream).copied()
    }

    /// The last stream that may run, and the code of GOAWAY.
    pub fn last(&self) -> Option<(u32, u32)> {
        self.last.get()
    }

    /// Streams allowed at once; nothing before settings came that say so.
    pub fn allows(&self) -> Option<u32> {
        self.allows.get()
    }

    /// Whether the searcher's first settings have come.
    pub fn settled(&self) -> bool {
        self.settled.get()
    }

    pub fn heard(&self) -> Option<Instant> {
        self.heard.get()
    }

    /// Nothing more is asked of a stream.
    pub fn forget(&self, stream: u32) {
        self.left.borrow_mut().remove(&stream);
        self.reset.borrow_mut().remove(&stream);
    }

    fn came(&self, frame: &Frame) {
        let number = |at: usize| {
            let four = frame.kept.get(at..at + 4)?;
            Some(u32::from_be_bytes([four[0], four[1], four[2], four[3]]))
        };
        match frame.kind {
            RST_STREAM => {
                if let Some(code) = number(0) {
                    self.reset.borrow_mut().insert(frame.stream, code);
                }
            }
            SETTINGS if frame.flags & ACK == 0 => {
                self.settled.set(true);
                for setting in frame.kept.chunks_exact(6) {
                    if u16::from_be_bytes([setting[0], setting[1]]) == MAX_CONCURRENT_STREAMS {
                        let value = [setting[2], setting[3], setting[4], setting[5]];
                        self.allows.set(Some(u32::from_be_bytes(value)));
                    }
                }
            }
            GOAWAY => {
                if let (Some(last), Some(code)) = (number(0), number(4)) {
                    let last = last & 0x7fff_ffff;
                    let before = self.last.get().map_or(u32::MAX, |(before, _)| before);
                    self.last.set(Some((last.min(before), code)));
                }
            }
            _ => {}
        }
    }

    fn went(&self, frame: &Frame) {
        if matches!(frame.kind, DATA | HEADERS) && frame.flags & END_STREAM != 0 {
            self.left.borrow_mut().insert(frame.stream, Instant::now());
        }
    }
}

/// Follows the frames of one direction.
#[derive(Default)]
struct Frames {
    skip: usize,
    head: Vec<u8>,
    rest: usize,
    frame: Frame,
}

#[derive(Default)]
struct Frame {
    kind: u8,
    flags: u8,
    stream: u32,
    kept: Vec<u8>,
}

impl Frames {
    /// Takes what passes; each frame is told once its last byte has passed.
    fn pass(&mut self, mut bytes: &[u8], mut whole: impl FnMut(&Frame)) {
        let skipped = self.skip.min(bytes.len());
        self.skip -= skipped;
        bytes = &bytes[skipped..];
        while !bytes.is_empty() {
            if self.head.len() < 9 {
                let taken = (9 - self.head.len()).min(bytes.len());
                self.head.extend_from_slice(&bytes[..taken]);
                bytes = &bytes[taken..];
                if self.head.len() < 9 {
                    return;
                }
                let head = &self.head;
                self.rest =
                    usize::from(head[0]) << 16 | usize::from(head[1]) << 8 | usize::from(head[2]);
                let stream = u32::from_be_bytes([head[5], head[6], head[7], head[8]]) & 0x7fff_ffff;
                self.frame = Frame {
                    kind: head[3],
                    flags: head[4],
                    stream,
                    kept: Vec::new(),
                };
            }
            let taken = self.rest.min(bytes.len());
            let reads = matches!(self.frame.kind, RST_STREAM | SETTINGS | GOAWAY);
            if reads && self.frame.kept.len() < MOST_KEPT {
                self.frame
                    .kept
                    .extend_from_slice(&bytes[..taken.min(MOST_KEPT)]);
            }
            self.rest -= taken;
            bytes = &bytes[taken..];
            if self.rest == 0 {
                whole(&self.frame);
                self.head.clear();
            }
        }
    }
}

/// A socket that is watched.
pub struct Tap<S> {
    socket: S,
    seen: Rc<Seen>,
    out: Frames,
    into: Frames,
}

impl<S> Tap<S> {
    pub fn new(socket: S, seen: Rc<Seen>) -> Self {
        Tap {
            socket,
            seen,
            out: Frames {
                skip: PREFACE,
                ..Frames::default()
            },
            into: Frames::default(),
        }
    }
}

impl<S: AsyncRead + Unpin> AsyncRead for Tap<S> {
    fn poll_read(
        self: Pin<&mut Self>,
        cx: &mut Context,
        buffer: &mut ReadBuf,
    ) -> Poll<io::Result<()>> {
        let this = self.get_mut();
        let before = buffer.filled().len();
        let polled = Pin::new(&mut this.socket).poll_read(cx, buffer);
        let come = &buffer.filled()[before..];
        if !come.is_empty() {
            this.seen.heard.set(Some(Instant::now()));
            this.into.pass(come, |frame| this.seen.came(frame));
            this.seen.changed.notify_one();
        }
        polled
    }
}

impl<S: AsyncWrite + Unpin> AsyncWrite for Tap<S> {
    fn poll_write(self: Pin<&mut Self>, cx: &mut Context, bytes: &[u8]) -> Poll<io::Result<usize>> {
        let this = self.get_mut();
        let polled = Pin::new(&mut this.socket).poll_write(cx, bytes);
        if let Poll::Ready(Ok(count)) = &polled {
            this.out
                .pass(&bytes[..*count], |frame| this.seen.went(frame));
        }
        polled
    }

    fn poll_flush(self: Pin<&mut Self>, cx: &mut Context) -> Poll<io::Result<()>> {
        Pin::new(&mut self.get_mut().socket).poll_flush(cx)
    }

    fn poll_shutdown(self: Pin<&mut Self>, cx: &mut Context) -> Poll<io::Result<()>> {
        Pin::new(&mut self.get_mut().socket).poll_shutdown(cx)
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use rstest::rstest;

    fn frame(kind: u8, flags: u8, stream: u32, payload: &[u8]) -> Vec<u8> {
        let length = (payload.len() as u32).to_be_bytes();
        [&length[1..], &[kind, flags], &stream.to_be_bytes(), payload].concat()
    }

    /// However the bytes are cut, a stream has left with its last byte and not before.
    #[rstest]
    fn a_request_has_left_with_its_last_byte() {
        let bytes = [
            vec![b'P'; PREFACE],
            frame(SETTINGS, 0, 0, &[0; 12]),
            frame(HEADERS, 4, 1, b"head"),
            frame(DATA, 0, 1, b"some"),
            frame(DATA, END_STREAM, 1, b"rest"),
            frame(DATA, END_STREAM, 3, b""),
        ]
        .concat();
        let (seen, mut frames) = (
            Seen::default(),
            Frames {
                skip: PREFACE,
                ..Frames::default()
            },
        );
        for (i, byte) in bytes.iter().enumerate() {
            frames.pass(&[*byte], |frame| seen.went(frame));
            assert_eq!(
                seen.left(1).is_some(),
                i + 1 >= bytes.len() - 9,
                "at byte {i}"
            );
        }
        assert!(seen.left(3).is_some());
        seen.forget(1);
        assert!(seen.left(1).is_none());
    }

    #[rstest]
    #[case::one_byte(1)]
    #[case::seven(7)]
    #[case::all(10_000)]
    fn what_a_searcher_says(#[case] at_once: usize) {
        let allows = |n: u8| frame(SETTINGS, 0, 0, &[0, 3, 0, 0, 0, n, 0, 4, 0, 0, 1, 0]);
        let goes = |last: u8, code: u8| {
            frame(
                GOAWAY,
                0,
                0,
                &[0, 0, 0, last, 0, 0, 0, code, b'w', b'h', b'y'],
            )
        };
        let bytes = [
            allows(9),
            frame(SETTINGS, ACK, 0, &[]),
            frame(DATA, 0, 5, &[7; 300]),
            frame(RST_STREAM, 0, 5, &[0, 0, 0, 8]),
            goes(11, 0),
            goes(7, 0),
            goes(9, 2),
            allows(1),
        ]
        .concat();
        let (seen, mut frames) = (Seen::default(), Frames::default());
        for some in bytes.chunks(at_once) {
            frames.pass(some, |frame| seen.came(frame));
        }
        // A notice that raises the last stream again takes no promise back.
        assert_eq!(
            (seen.allows(), seen.reset(5), seen.last()),
            (Some(1), Some(8), Some((7, 2)))
        );
    }
}
