//! A searcher that implements HTTP/2 (RFC 9113) frame by frame, so that stream errors, settings and GOAWAY can be
//! scripted. Headers use only HPACK's static table (RFC 7541). It updates windows as data arrives, unless scripted
//! otherwise.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use lockusher_http2::outcome::{ENHANCE_YOUR_CALM, NO_ERROR, REFUSED_STREAM};
use prost::Message;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{broadcast, mpsc};

use crate::registry::locked;

mod pb {
    #![allow(missing_docs, clippy::all)]
    include!(concat!(env!("OUT_DIR"), "/lockusher.v1.rs"));
}

/// How the searcher handles a part. `Reset`, `Half`, `Noise` and `Status` concern the whole stream.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum StreamAction {
    /// Answers `good`.
    Good,
    /// Answers `good` after this time.
    Slow(Duration),
    /// Answers `bad`.
    Bad,
    /// Answers `later`.
    Later,
    /// Does not answer.
    Silent,
    /// Resets the stream with this code.
    Reset(u32),
    /// Sends half a message and ends the stream.
    Half,
    /// Sends bytes that are no message and ends the stream.
    Noise,
    /// Answers with this HTTP status.
    Status(u16),
    /// Answers `good` with a value of this many bytes.
    Large(usize),
}

/// What the searcher does on all connections.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum ConnectionAction {
    /// Sends GOAWAY with the highest stream id, and 10 ms later, when streams in transit have arrived, with the real
    /// last one; streams beyond it are not executed.
    Graceful,
    /// Sends GOAWAY that excludes the newest `less` streams, with this code; earlier streams are still executed.
    GoAway { less: u32, code: u32 },
    /// Announces a limit on concurrent streams.
    MaxStreams(u32),
    /// Closes the connection without GOAWAY.
    Close,
    /// Continues to read but sends nothing more.
    Mute,
    /// Stops reading.
    StopReading,
    /// Sends no more window updates.
    WithholdWindows,
    /// Sends a push promise, which the client has disabled.
    PushPromise,
    /// Sends a header block that does not end.
    Endless,
}

type Script = dyn Fn(&str) -> StreamAction + Send + Sync;

/// What the searcher received and executed.
#[derive(Clone, Debug, Default)]
pub struct Log {
    /// Parts executed, with the times.
    pub executed: Vec<(String, Instant)>,
    /// Parts received, executed or not, with the times.
    pub received: Vec<(String, Instant)>,
    /// Connections accepted.
    pub opened: usize,
    /// Connections closed.
    pub closed: usize,
    /// Streams reset by the client.
    pub resets: usize,
    /// The most concurrent streams on one connection.
    pub most_streams: usize,
    /// For each closed connection, the streams opened before the first answer.
    pub first: Vec<usize>,
}

/// A scripted HTTP/2 searcher.
pub struct Http2Searcher {
    pub name: String,
    pub address: SocketAddr,
    script: Mutex<Arc<Script>>,
    log: Mutex<Log>,
    connection_actions: broadcast::Sender<ConnectionAction>,
    /// The limit on concurrent streams in the first SETTINGS; `None` announces none.
    max_streams: Mutex<Option<u32>>,
    /// Whether SETTINGS are acknowledged.
    acks_settings: Mutex<bool>,
}

const DATA: u8 = 0;
const HEADERS: u8 = 1;
const RST_STREAM: u8 = 3;
const SETTINGS: u8 = 4;
const PUSH_PROMISE: u8 = 5;
const PING: u8 = 6;
const GOAWAY: u8 = 7;
const WINDOW_UPDATE: u8 = 8;
const CONTINUATION: u8 = 9;
const END_STREAM: u8 = 1;
const ACK: u8 = 1;
const END_HEADERS: u8 = 4;
const PREFACE_BYTES: usize = 24;
const MAX_STREAM_ID: u32 = 0x7fff_ffff;

/// Encodes a frame.
fn frame(frame_type: u8, flags: u8, stream: u32, payload: &[u8]) -> Vec<u8> {
    let length = (payload.len() as u32).to_be_bytes();
    [
        &length[1..],
        &[frame_type, flags],
        &stream.to_be_bytes(),
        payload,
    ]
    .concat()
}

/// Encodes GOAWAY.
fn goaway_frame(last_stream: u32, code: u32) -> Vec<u8> {
    frame(
        GOAWAY,
        0,
        0,
        &[last_stream.to_be_bytes(), code.to_be_bytes()].concat(),
    )
}

/// Encodes SETTINGS with a limit on concurrent streams.
fn settings_frame(streams: u32) -> Vec<u8> {
    frame(
        SETTINGS,
        0,
        0,
        &[&[0, 3][..], &streams.to_be_bytes()].concat(),
    )
}

/// The header block of a response: 200 is in the static table, any other status is a literal with an indexed name.
fn status_headers(status: u16) -> Vec<u8> {
    match status {
        200 => vec![0x88],
        other => [&[0x08, 3][..], other.to_string().as_bytes()].concat(),
    }
}

/// Encodes the answer to a part; `value_bytes` is the length of its value, 0 for the usual one.
fn encode_part_end(part: &pb::Part, end: pb::part_end::End, value_bytes: usize) -> Vec<u8> {
    let value = match (end, value_bytes) {
        (pb::part_end::End::Good, 0) => format!("v{}", part.id),
        (pb::part_end::End::Good, bytes) => "x".repeat(bytes),
        _ => String::new(),
    };
    let score = 1_000 - i64::from(part.shard);
    let end = pb::PartEnd {
        id: part.id.clone(),
        end: end as i32,
        score,
        report: "load=1".to_owned(),
        value: value.into_bytes(),
    };
    end.encode_length_delimited_to_vec()
}

/// The state of one connection.
struct Connection {
    host: Arc<Http2Searcher>,
    out: mpsc::UnboundedSender<Vec<u8>>,
    bodies: HashMap<u32, Vec<u8>>,
    open_streams: Arc<Mutex<std::collections::HashSet<u32>>>,
    newest_stream: u32,
    /// The last stream named by GOAWAY; those beyond it are not executed.
    last_stream: Arc<Mutex<u32>>,
    answered: Arc<Mutex<bool>>,
    grants_windows: bool,
    first_streams: usize,
}

impl Http2Searcher {
    /// Starts a searcher on a free loopback port. It lasts as long as the runtime.
    pub async fn start(name: &str, max_streams: Option<u32>) -> std::io::Result<Arc<Self>> {
        let listener = TcpListener::bind("127.0.0.1:0").await?;
        let (connection_actions, _) = broadcast::channel(64);
        let host = Arc::new(Http2Searcher {
            name: name.to_owned(),
            address: listener.local_addr()?,
            script: Mutex::new(Arc::new(|_| StreamAction::Good)),
            log: Mutex::default(),
            connection_actions,
            max_streams: Mutex::new(max_streams),
            acks_settings: Mutex::new(true),
        });
        let this = host.clone();
        tokio::spawn(async move {
            while let Ok((stream, _)) = listener.accept().await {
                let host = this.clone();
                // Subscribes before serving, so that no later event is missed.
                let connection_actions = host.connection_actions.subscribe();
                locked(&host.log).opened += 1;
                tokio::spawn(async move {
                    // Errors of a connection concern only its client.
                    let _ = host.clone().serve(stream, connection_actions).await;
                    locked(&host.log).closed += 1;
                });
            }
        });
        Ok(host)
    }

    /// Sets the script.
    pub fn set_script(&self, script: impl Fn(&str) -> StreamAction + Send + Sync + 'static) {
        *locked(&self.script) = Arc::new(script);
    }

    /// Does something on all connections.
    pub fn perform(&self, action: ConnectionAction) {
        if let ConnectionAction::MaxStreams(streams) = action {
            *locked(&self.max_streams) = Some(streams);
        }
        let _ = self.connection_actions.send(action);
    }

    /// Stops acknowledging SETTINGS.
    pub fn stop_acking_settings(&self) {
        *locked(&self.acks_settings) = false;
    }

    /// A copy of the log.
    pub fn log(&self) -> Log {
        locked(&self.log).clone()
    }

    async fn serve(
        self: Arc<Self>,
        stream: TcpStream,
        mut connection_actions: broadcast::Receiver<ConnectionAction>,
    ) -> std::io::Result<()> {
        stream.set_nodelay(true)?;
        let (mut reader, mut writer) = stream.into_split();
        let (out, mut outgoing) = mpsc::unbounded_channel::<Vec<u8>>();
        let writing = tokio::spawn(async move {
            while let Some(bytes) = outgoing.recv().await {
                if bytes.is_empty() || writer.write_all(&bytes).await.is_err() {
                    break;
                }
            }
            let _ = writer.shutdown().await;
        });
        let first = match *locked(&self.max_streams) {
            Some(streams) => settings_frame(streams),
            None => frame(SETTINGS, 0, 0, &[]),
        };
        let _ = out.send(first);
        let mut preface = [0; PREFACE_BYTES];
        reader.read_exact(&mut preface).await?;
        let mut connection = Connection {
            host: self.clone(),
            out,
            bodies: HashMap::new(),
            open_streams: Arc::default(),
            newest_stream: 0,
            last_stream: Arc::new(Mutex::new(MAX_STREAM_ID)),
            answered: Arc::default(),
            grants_windows: true,
            first_streams: 0,
        };
        let (mut received, mut chunk) = (Vec::new(), vec![0; 64 * 1024]);
        let mut final_goaway_at: Option<tokio::time::Instant> = None;
        // Kept so that a muted connection stays open.
        let mut muted_sender = None;
        loop {
            let final_goaway_due = async {
                match final_goaway_at {
                    Some(at) => tokio::time::sleep_until(at).await,
                    None => std::future::pending().await,
                }
            };
            tokio::select! {
                count = reader.read(&mut chunk) => {
                    let count = count?;
                    if count == 0 {
                        break;
                    }
                    received.extend_from_slice(&chunk[..count]);
                    while let Some(length) = complete_frame_bytes(&received) {
                        let frame: Vec<u8> = received.drain(..length).collect();
                        connection.frame(&frame);
                    }
                }
                () = final_goaway_due => {
                    final_goaway_at = None;
                    connection.go_away(connection.newest_stream, NO_ERROR);
                }
                event = connection_actions.recv() => match event {
                    Ok(ConnectionAction::Graceful) => {
                        let _ = connection.out.send(goaway_frame(MAX_STREAM_ID, NO_ERROR));
                        final_goaway_at = Some(tokio::time::Instant::now() + Duration::from_millis(10));
                    }
                    Ok(ConnectionAction::GoAway { less, code }) => {
                        connection.go_away(connection.newest_stream.saturating_sub(2 * less), code);
                    }
                    Ok(ConnectionAction::MaxStreams(streams)) => drop(connection.out.send(settings_frame(streams))),
                    Ok(ConnectionAction::Close) | Err(_) => break,
                    Ok(ConnectionAction::Mute) => muted_sender = Some(std::mem::replace(&mut connection.out, mpsc::unbounded_channel().0)),
                    Ok(ConnectionAction::WithholdWindows) => connection.grants_windows = false,
                    Ok(ConnectionAction::PushPromise) => {
                        let promise = [&2_u32.to_be_bytes()[..], &[0x82]].concat();
                        let _ = connection.out.send(frame(PUSH_PROMISE, END_HEADERS, connection.newest_stream, &promise));
                    }
                    Ok(ConnectionAction::Endless) => {
                        // 2,000 continuations, each with a header of about a kilobyte.
                        let value = [&[0x00, 1, b'x', 0x7f, 0xe9, 0x06][..], &[b'y'; 1_000]].concat();
                        let _ = connection.out.send(frame(HEADERS, 0, connection.newest_stream, &value));
                        for _ in 0..2_000 {
                            let _ = connection.out.send(frame(CONTINUATION, 0, connection.newest_stream, &value));
                        }
                    }
                    Ok(ConnectionAction::StopReading) => std::future::pending().await,
                },
            }
            // Closes the connection once all streams named by GOAWAY have been answered.
            if *locked(&connection.last_stream) != MAX_STREAM_ID
                && locked(&connection.open_streams).is_empty()
                && final_goaway_at.is_none()
            {
                let _ = connection.out.send(Vec::new());
                drop(connection);
                let _ = writing.await;
                // Reads until the client closes, since closing with unread data would reset the connection and lose
                // the last writes.
                while reader.read(&mut chunk).await? > 0 {}
                return Ok(());
            }
        }
        drop(muted_sender);
        locked(&self.log).first.push(connection.first_streams);
        writing.abort();
        Ok(())
    }
}

/// The length of the first frame, if it has been received completely.
fn complete_frame_bytes(received: &[u8]) -> Option<usize> {
    let header = received.first_chunk::<9>()?;
    let length =
        usize::from(header[0]) << 16 | usize::from(header[1]) << 8 | usize::from(header[2]);
    (received.len() >= 9 + length).then_some(9 + length)
}

impl Connection {
    /// Sends GOAWAY; streams beyond the last one are no longer executed.
    fn go_away(&mut self, last_stream: u32, code: u32) {
        let last_stream = {
            let mut limit = locked(&self.last_stream);
            *limit = last_stream.min(*limit);
            *limit
        };
        locked(&self.open_streams).retain(|stream| *stream <= last_stream);
        let _ = self.out.send(goaway_frame(last_stream, code));
    }

    /// Handles a frame.
    fn frame(&mut self, bytes: &[u8]) {
        let (frame_type, flags) = (bytes[3], bytes[4]);
        let stream = u32::from_be_bytes([bytes[5], bytes[6], bytes[7], bytes[8]]) & MAX_STREAM_ID;
        let payload = &bytes[9..];
        match frame_type {
            SETTINGS if flags & ACK == 0 && !*locked(&self.host.acks_settings) => {}
            SETTINGS if flags & ACK == 0 => drop(self.out.send(frame(SETTINGS, ACK, 0, &[]))),
            PING if flags & ACK == 0 => drop(self.out.send(frame(PING, ACK, 0, payload))),
            HEADERS => {
                self.newest_stream = self.newest_stream.max(stream);
                let mut open_streams = locked(&self.open_streams);
                if stream <= *locked(&self.last_stream) {
                    open_streams.insert(stream);
                }
                let mut log = locked(&self.host.log);
                log.most_streams = log.most_streams.max(open_streams.len());
                if !*locked(&self.answered) {
                    self.first_streams += 1;
                }
                self.bodies.insert(stream, Vec::new());
            }
            DATA => {
                if let Some(body) = self.bodies.get_mut(&stream) {
                    body.extend_from_slice(payload);
                }
                if !payload.is_empty() && self.grants_windows {
                    let grant = (payload.len() as u32).to_be_bytes();
                    let _ = self.out.send(frame(WINDOW_UPDATE, 0, 0, &grant));
                    if flags & END_STREAM == 0 {
                        let _ = self.out.send(frame(WINDOW_UPDATE, 0, stream, &grant));
                    }
                }
                if flags & END_STREAM != 0 {
                    self.handle_call(stream);
                }
            }
            RST_STREAM => {
                locked(&self.host.log).resets += 1;
                locked(&self.open_streams).remove(&stream);
                self.bodies.remove(&stream);
            }
            _ => {}
        }
    }

    /// Handles a complete call.
    fn handle_call(&mut self, stream: u32) {
        let Some(body) = self.bodies.remove(&stream) else {
            return;
        };
        let Ok(call) = pb::Call::decode_length_delimited(&body[..]) else {
            let _ = self
                .out
                .send(frame(RST_STREAM, 0, stream, &1_u32.to_be_bytes()));
            return;
        };
        let now = Instant::now();
        locked(&self.host.log)
            .received
            .extend(call.parts.iter().map(|part| (part.id.clone(), now)));
        if stream > *locked(&self.last_stream) {
            return; // Excluded by GOAWAY.
        }
        let script = locked(&self.host.script).clone();
        let actions: Vec<StreamAction> = call.parts.iter().map(|part| script(&part.id)).collect();
        let record_executed = |part: &pb::Part| {
            locked(&self.host.log)
                .executed
                .push((part.id.clone(), Instant::now()));
        };
        let close_stream = |bytes: Vec<u8>| {
            locked(&self.open_streams).remove(&stream);
            let _ = self.out.send(bytes);
        };
        let stream_action = actions.iter().find(|d| {
            matches!(
                d,
                StreamAction::Reset(_)
                    | StreamAction::Half
                    | StreamAction::Noise
                    | StreamAction::Status(_)
            )
        });
        match stream_action {
            Some(StreamAction::Reset(code)) => {
                if !matches!(*code, REFUSED_STREAM | ENHANCE_YOUR_CALM) {
                    call.parts.iter().for_each(record_executed);
                }
                return close_stream(frame(RST_STREAM, 0, stream, &code.to_be_bytes()));
            }
            Some(StreamAction::Status(status)) => {
                if *status != 503 {
                    call.parts.iter().for_each(record_executed);
                }
                return close_stream(frame(
                    HEADERS,
                    END_HEADERS | END_STREAM,
                    stream,
                    &status_headers(*status),
                ));
            }
            Some(action) => {
                call.parts.iter().for_each(record_executed);
                let message = match action {
                    StreamAction::Half => {
                        encode_part_end(&call.parts[0], pb::part_end::End::Good, 0)
                    }
                    _ => vec![3, 0xa5, 0xa5, 0xa5, 0xa5],
                };
                let message = if *action == StreamAction::Half {
                    &message[..message.len() / 2]
                } else {
                    &message
                };
                let _ = self
                    .out
                    .send(frame(HEADERS, END_HEADERS, stream, &status_headers(200)));
                return close_stream(frame(DATA, END_STREAM, stream, message));
            }
            None => {}
        }
        let _ = self
            .out
            .send(frame(HEADERS, END_HEADERS, stream, &status_headers(200)));
        let (out, open_streams, answered, host) = (
            self.out.clone(),
            self.open_streams.clone(),
            self.answered.clone(),
            self.host.clone(),
        );
        let last_stream = self.last_stream.clone();
        tokio::spawn(async move {
            let mut silent = false;
            for (part, action) in call.parts.iter().zip(actions) {
                let end = match action {
                    StreamAction::Later => pb::part_end::End::Later,
                    StreamAction::Bad => pb::part_end::End::Bad,
                    _ => pb::part_end::End::Good,
                };
                if let StreamAction::Slow(span) = action {
                    tokio::time::sleep(span).await;
                }
                if stream > *locked(&last_stream) {
                    return; // Excluded by a GOAWAY sent meanwhile.
                }
                if action != StreamAction::Later {
                    locked(&host.log)
                        .executed
                        .push((part.id.clone(), Instant::now()));
                }
                if action == StreamAction::Silent {
                    silent = true;
                    continue;
                }
                let value_bytes = if let StreamAction::Large(bytes) = action {
                    bytes
                } else {
                    0
                };
                // Below 16,384 bytes, the frame size that every client must accept.
                for chunk in encode_part_end(part, end, value_bytes).chunks(16_000) {
                    let _ = out.send(frame(DATA, 0, stream, chunk));
                }
            }
            *locked(&answered) = true;
            // The stream is closed already if the client has reset it meanwhile.
            if !silent && locked(&open_streams).remove(&stream) {
                let _ = out.send(frame(DATA, END_STREAM, stream, &[]));
            }
        });
    }
}
