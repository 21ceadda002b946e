//! Observes the frames that cross a socket by their headers: which requests were written to their end, how many streams
//! the searcher allows, which streams it reports as never run. The library's send queue hides whether a request has
//! been written, which decides whether its parts can have run.
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
/// Length of the client connection preface.
const PREFACE_BYTES: usize = 24;
/// Bytes kept of a payload that is interpreted here; SETTINGS frames have few entries.
const MAX_PAYLOAD_BYTES: usize = 1_024;

/// What has been observed on a connection.
#[derive(Default)]
pub struct FrameObserver {
    /// When the last byte of a stream's request was written; kept until [`FrameObserver::forget`].
    written_at: RefCell<HashMap<u32, Instant>>,
    /// The error code of each stream that the searcher reset; kept until [`FrameObserver::forget`].
    reset_codes: RefCell<HashMap<u32, u32>>,
    /// The lowest last stream of all GOAWAY frames, and the error code of the latest one.
    goaway: Cell<Option<(u32, u32)>>,
    max_concurrent_streams: Cell<Option<u32>>,
    settings_received: Cell<bool>,
    last_received: Cell<Option<Instant>>,
    /// Notified when anything is received, including changes of the stream limit and GOAWAY.
    pub changed: Notify,
}

impl FrameObserver {
    /// When the last byte of the request was written.
    pub fn written_at(&self, stream: u32) -> Option<Instant> {
        self.written_at.borrow().get(&stream).copied()
    }

    /// The error code with which the searcher reset the stream.
    pub fn reset_code(&self, stream: u32) -> Option<u32> {
        self.reset_codes.borrow().get(&stream).copied()
    }

    /// The last stream that may run, and the error code, if a GOAWAY was received.
    pub fn goaway(&self) -> Option<(u32, u32)> {
        self.goaway.get()
    }

    /// SETTINGS_MAX_CONCURRENT_STREAMS; none until the searcher has sent it.
    pub fn max_concurrent_streams(&self) -> Option<u32> {
        self.max_concurrent_streams.get()
    }

    /// Whether the searcher's first SETTINGS frame was received.
    pub fn settings_received(&self) -> bool {
        self.settings_received.get()
    }

    /// When bytes were last received.
    pub fn last_received(&self) -> Option<Instant> {
        self.last_received.get()
    }

    /// Drops the state of a stream that has ended.
    pub fn forget(&self, stream: u32) {
        self.written_at.borrow_mut().remove(&stream);
        self.reset_codes.borrow_mut().remove(&stream);
    }

    fn on_received(&self, frame: &Frame) {
        let be_u32 = |at: usize| {
            let bytes = frame.payload.get(at..at + 4)?;
            Some(u32::from_be_bytes([bytes[0], bytes[1], bytes[2], bytes[3]]))
        };
        match frame.kind {
            RST_STREAM => {
                if let Some(code) = be_u32(0) {
                    self.reset_codes.borrow_mut().insert(frame.stream, code);
                }
            }
            SETTINGS if frame.flags & ACK == 0 => {
                self.settings_received.set(true);
                for setting in frame.payload.chunks_exact(6) {
                    if u16::from_be_bytes([setting[0], setting[1]]) == MAX_CONCURRENT_STREAMS {
                        let value = [setting[2], setting[3], setting[4], setting[5]];
                        self.max_concurrent_streams
                            .set(Some(u32::from_be_bytes(value)));
                    }
                }
            }
            GOAWAY => {
                if let (Some(last), Some(code)) = (be_u32(0), be_u32(4)) {
                    let last = last & 0x7fff_ffff;
                    let before = self.goaway.get().map_or(u32::MAX, |(before, _)| before);
                    self.goaway.set(Some((last.min(before), code)));
                }
            }
            _ => {}
        }
    }

    fn on_written(&self, frame: &Frame) {
        if matches!(frame.kind, DATA | HEADERS) && frame.flags & END_STREAM != 0 {
            self.written_at
                .borrow_mut()
                .insert(frame.stream, Instant::now());
        }
    }
}

/// Parses the frames of one direction.
#[derive(Default)]
struct FrameParser {
    preface_bytes_left: usize,
    header: Vec<u8>,
    payload_bytes_left: usize,
    frame: Frame,
}

#[derive(Default)]
struct Frame {
    kind: u8,
    flags: u8,
    stream: u32,
    payload: Vec<u8>,
}

impl FrameParser {
    /// Parses further bytes; calls `on_frame` for each frame at its last byte.
    fn advance(&mut self, mut bytes: &[u8], mut on_frame: impl FnMut(&Frame)) {
        let preface_bytes = self.preface_bytes_left.min(bytes.len());
        self.preface_bytes_left -= preface_bytes;
        bytes = &bytes[preface_bytes..];
        while !bytes.is_empty() {
            if self.header.len() < 9 {
                let consumed = (9 - self.header.len()).min(bytes.len());
                self.header.extend_from_slice(&bytes[..consumed]);
                bytes = &bytes[consumed..];
                if self.header.len() < 9 {
                    return;
                }
                let header = &self.header;
                self.payload_bytes_left = usize::from(header[0]) << 16
                    | usize::from(header[1]) << 8
                    | usize::from(header[2]);
                let stream =
                    u32::from_be_bytes([header[5], header[6], header[7], header[8]]) & 0x7fff_ffff;
                self.frame = Frame {
                    kind: header[3],
                    flags: header[4],
                    stream,
                    payload: Vec::new(),
                };
            }
            let consumed = self.payload_bytes_left.min(bytes.len());
            let keeps_payload = matches!(self.frame.kind, RST_STREAM | SETTINGS | GOAWAY);
            if keeps_payload && self.frame.payload.len() < MAX_PAYLOAD_BYTES {
                self.frame
                    .payload
                    .extend_from_slice(&bytes[..consumed.min(MAX_PAYLOAD_BYTES)]);
            }
            self.payload_bytes_left -= consumed;
            bytes = &bytes[consumed..];
            if self.payload_bytes_left == 0 {
                on_frame(&self.frame);
                self.header.clear();
            }
        }
    }
}

/// A socket whose frames are observed.
pub struct Tap<S> {
    socket: S,
    observer: Rc<FrameObserver>,
    outbound: FrameParser,
    inbound: FrameParser,
}

impl<S> Tap<S> {
    /// Wraps a client's socket before its connection preface is written.
    pub fn new(socket: S, observer: Rc<FrameObserver>) -> Self {
        Tap {
            socket,
            observer,
            outbound: FrameParser {
                preface_bytes_left: PREFACE_BYTES,
                ..FrameParser::default()
            },
            inbound: FrameParser::default(),
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
        let received = &buffer.filled()[before..];
        if !received.is_empty() {
            this.observer.last_received.set(Some(Instant::now()));
            this.inbound
                .advance(received, |frame| this.observer.on_received(frame));
            this.observer.changed.notify_one();
        }
        polled
    }
}

impl<S: AsyncWrite + Unpin> AsyncWrite for Tap<S> {
    fn poll_write(self: Pin<&mut Self>, cx: &mut Context, bytes: &[u8]) -> Poll<io::Result<usize>> {
        let this = self.get_mut();
        let polled = Pin::new(&mut this.socket).poll_write(cx, bytes);
        if let Poll::Ready(Ok(count)) = &polled {
            this.outbound
                .advance(&bytes[..*count], |frame| this.observer.on_written(frame));
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

    /// A stream counts as written at its last byte and not before, however the writes are split.
    #[rstest]
    fn a_request_is_written_with_its_last_byte() {
        let bytes = [
            vec![b'P'; PREFACE_BYTES],
            frame(SETTINGS, 0, 0, &[0; 12]),
            frame(HEADERS, 4, 1, b"head"),
            frame(DATA, 0, 1, b"some"),
            frame(DATA, END_STREAM, 1, b"rest"),
            frame(DATA, END_STREAM, 3, b""),
        ]
        .concat();
        let (observer, mut frames) = (
            FrameObserver::default(),
            FrameParser {
                preface_bytes_left: PREFACE_BYTES,
                ..FrameParser::default()
            },
        );
        for (i, byte) in bytes.iter().enumerate() {
            frames.advance(&[*byte], |frame| observer.on_written(frame));
            assert_eq!(
                observer.written_at(1).is_some(),
                i + 1 >= bytes.len() - 9,
                "at byte {i}"
            );
        }
        assert!(observer.written_at(3).is_some());
        observer.forget(1);
        assert!(observer.written_at(1).is_none());
    }

    #[rstest]
    #[case::one_byte(1)]
    #[case::seven(7)]
    #[case::all(10_000)]
    fn settings_resets_and_goaway_are_observed(#[case] chunk_bytes: usize) {
        let settings_frame = |n: u8| frame(SETTINGS, 0, 0, &[0, 3, 0, 0, 0, n, 0, 4, 0, 0, 1, 0]);
        let goaway_frame = |last: u8, code: u8| {
            frame(
                GOAWAY,
                0,
                0,
                &[0, 0, 0, last, 0, 0, 0, code, b'w', b'h', b'y'],
            )
        };
        let bytes = [
            settings_frame(9),
            frame(SETTINGS, ACK, 0, &[]),
            frame(DATA, 0, 5, &[7; 300]),
            frame(RST_STREAM, 0, 5, &[0, 0, 0, 8]),
            goaway_frame(11, 0),
            goaway_frame(7, 0),
            goaway_frame(9, 2),
            settings_frame(1),
        ]
        .concat();
        let (observer, mut frames) = (FrameObserver::default(), FrameParser::default());
        for chunk in bytes.chunks(chunk_bytes) {
            frames.advance(chunk, |frame| observer.on_received(frame));
        }
        // A later GOAWAY with a higher last stream does not raise it again.
        assert_eq!(
            (
                observer.max_concurrent_streams(),
                observer.reset_code(5),
                observer.goaway()
            ),
            (Some(1), Some(8), Some((7, 2)))
        );
    }
}
