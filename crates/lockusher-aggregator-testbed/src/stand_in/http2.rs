//! A searcher that speaks HTTP/2, frame by frame, so that all it says of streams and of its going can be scripted.
//! RFC 9113; headers by HPACK's static table alone (RFC 7541). It grants windows as data comes, unless told not to.

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

/// What it does about a part. All but `Good` and `Later` concern the whole stream.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Does {
    Good,
    /// The same after a while.
    Slow(Duration),
    Bad,
    Later,
    Silent,
    Reset(u32),
    /// It answers half a message, and ends the stream.
    Half,
    Noise,
    Status(u16),
    /// A value of so many bytes.
    Large(usize),
}

/// What is said on all connections.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Says {
    /// GOAWAY with the highest stream id, then, once what was on its way has come, with the real one; streams
    /// beyond it are not run.
    Graceful,
    /// GOAWAY with so many streams less than have come, and this code; what is named still runs.
    Goes { less: u32, code: u32 },
    /// So many streams at once.
    Allows(u32),
    /// The connection ends without a word.
    Close,
    /// It reads on and says nothing more.
    Mute,
    /// It reads nothing more.
    Stuck,
    /// It grants no more windows.
    Grudges,
    /// A push, which its client has forbidden.
    Pushes,
    /// A list of headers that never ends.
    Endless,
}

type Script = dyn Fn(&str) -> Does + Send + Sync;

#[derive(Clone, Debug, Default)]
pub struct Log {
    /// Parts that ran, as they did.
    pub ran: Vec<(String, Instant)>,
    /// Parts that came, run or not.
    pub came: Vec<(String, Instant)>,
    pub opened: usize,
    pub closed: usize,
    pub resets: usize,
    /// The most streams that were open at once on one connection.
    pub most_streams: usize,
    /// Streams that came first on each connection before any had been answered.
    pub first: Vec<usize>,
}

pub struct Http2Searcher {
    pub name: String,
    pub address: SocketAddr,
    script: Mutex<Arc<Script>>,
    log: Mutex<Log>,
    says: broadcast::Sender<Says>,
    /// What the first settings allow, if they say so.
    allows: Mutex<Option<u32>>,
    /// Whether it acknowledges settings.
    acks: Mutex<bool>,
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
const PREFACE: usize = 24;
const HIGHEST: u32 = 0x7fff_ffff;

fn frame(kind: u8, flags: u8, stream: u32, payload: &[u8]) -> Vec<u8> {
    let length = (payload.len() as u32).to_be_bytes();
    [&length[1..], &[kind, flags], &stream.to_be_bytes(), payload].concat()
}

fn going(last: u32, code: u32) -> Vec<u8> {
    frame(
        GOAWAY,
        0,
        0,
        &[last.to_be_bytes(), code.to_be_bytes()].concat(),
    )
}

fn allowing(streams: u32) -> Vec<u8> {
    frame(
        SETTINGS,
        0,
        0,
        &[&[0, 3][..], &streams.to_be_bytes()].concat(),
    )
}

/// The head of an answer: 200 is in the static table, any other status is a literal of its name's entry.
fn head(status: u16) -> Vec<u8> {
    match status {
        200 => vec![0x88],
        other => [&[0x08, 3][..], other.to_string().as_bytes()].concat(),
    }
}

fn end_of(part: &pb::Part, end: pb::part_end::End, large: usize) -> Vec<u8> {
    let value = match (end, large) {
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

/// One connection's side of things.
struct Line {
    host: Arc<Http2Searcher>,
    out: mpsc::UnboundedSender<Vec<u8>>,
    bodies: HashMap<u32, Vec<u8>>,
    open: Arc<Mutex<std::collections::HashSet<u32>>>,
    newest: u32,
    /// Streams beyond this are not run.
    last: Arc<Mutex<u32>>,
    answered: Arc<Mutex<bool>>,
    grants: bool,
    first: usize,
}

impl Http2Searcher {
    /// Starts one on a free port of the loopback, as long as the runtime serves.
    pub async fn start(name: &str, allows: Option<u32>) -> std::io::Result<Arc<Self>> {
        let listener = TcpListener::bind("127.0.0.1:0").await?;
        let (says, _) = broadcast::channel(64);
        let host = Arc::new(Http2Searcher {
            name: name.to_owned(),
            address: listener.local_addr()?,
            script: Mutex::new(Arc::new(|_| Does::Good)),
            log: Mutex::default(),
            says,
            allows: Mutex::new(allows),
            acks: Mutex::new(true),
        });
        let this = host.clone();
        tokio::spawn(async move {
            while let Ok((stream, _)) = listener.accept().await {
                let host = this.clone();
                // Subscribed before it serves, so that what is said from here on is heard.
                let says = host.says.subscribe();
                locked(&host.log).opened += 1;
                tokio::spawn(async move {
                    // What ends a connection concerns its client alone.
                    let _ = host.clone().serve(stream, says).await;
                    locked(&host.log).closed += 1;
                });
            }
        });
        Ok(host)
    }

    pub fn does(&self, script: impl Fn(&str) -> Does + Send + Sync + 'static) {
        *locked(&self.script) = Arc::new(script);
    }

    pub fn says(&self, what: Says) {
        if let Says::Allows(streams) = what {
            *locked(&self.allows) = Some(streams);
        }
        let _ = self.says.send(what);
    }

    /// It never acknowledges settings from here on.
    pub fn acknowledges_nothing(&self) {
        *locked(&self.acks) = false;
    }

    pub fn log(&self) -> Log {
        locked(&self.log).clone()
    }

    async fn serve(
        self: Arc<Self>,
        stream: TcpStream,
        mut says: broadcast::Receiver<Says>,
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
        let first = match *locked(&self.allows) {
            Some(streams) => allowing(streams),
            None => frame(SETTINGS, 0, 0, &[]),
        };
        let _ = out.send(first);
        let mut preface = [0; PREFACE];
        reader.read_exact(&mut preface).await?;
        let mut line = Line {
            host: self.clone(),
            out,
            bodies: HashMap::new(),
            open: Arc::default(),
            newest: 0,
            last: Arc::new(Mutex::new(HIGHEST)),
            answered: Arc::default(),
            grants: true,
            first: 0,
        };
        let (mut read, mut some) = (Vec::new(), vec![0; 64 * 1024]);
        let mut settling: Option<tokio::time::Instant> = None;
        // A line that says nothing more stays open.
        let mut muted = None;
        loop {
            let due = async {
                match settling {
                    Some(at) => tokio::time::sleep_until(at).await,
                    None => std::future::pending().await,
                }
            };
            tokio::select! {
                count = reader.read(&mut some) => {
                    let count = count?;
                    if count == 0 {
                        break;
                    }
                    read.extend_from_slice(&some[..count]);
                    while let Some(length) = whole(&read) {
                        let frame: Vec<u8> = read.drain(..length).collect();
                        line.frame(&frame);
                    }
                }
                () = due => {
                    settling = None;
                    line.goes(line.newest, NO_ERROR);
                }
                said = says.recv() => match said {
                    Ok(Says::Graceful) => {
                        let _ = line.out.send(going(HIGHEST, NO_ERROR));
                        settling = Some(tokio::time::Instant::now() + Duration::from_millis(10));
                    }
                    Ok(Says::Goes { less, code }) => {
                        line.goes(line.newest.saturating_sub(2 * less), code);
                    }
                    Ok(Says::Allows(streams)) => drop(line.out.send(allowing(streams))),
                    Ok(Says::Close) | Err(_) => break,
                    Ok(Says::Mute) => muted = Some(std::mem::replace(&mut line.out, mpsc::unbounded_channel().0)),
                    Ok(Says::Grudges) => line.grants = false,
                    Ok(Says::Pushes) => {
                        let promise = [&2_u32.to_be_bytes()[..], &[0x82]].concat();
                        let _ = line.out.send(frame(PUSH_PROMISE, END_HEADERS, line.newest, &promise));
                    }
                    Ok(Says::Endless) => {
                        // One header after another, each of a kilobyte.
                        let value = [&[0x00, 1, b'x', 0x7f, 0xe9, 0x06][..], &[b'y'; 1_000]].concat();
                        let _ = line.out.send(frame(HEADERS, 0, line.newest, &value));
                        for _ in 0..2_000 {
                            let _ = line.out.send(frame(CONTINUATION, 0, line.newest, &value));
                        }
                    }
                    Ok(Says::Stuck) => std::future::pending().await,
                },
            }
            // Gone for good once what it named has been answered.
            if *locked(&line.last) != HIGHEST && locked(&line.open).is_empty() && settling.is_none()
            {
                let _ = line.out.send(Vec::new());
                drop(line);
                let _ = writing.await;
                // What still comes is read to its end, so that what was written last is not lost with a reset.
                while reader.read(&mut some).await? > 0 {}
                return Ok(());
            }
        }
        drop(muted);
        locked(&self.log).first.push(line.first);
        writing.abort();
        Ok(())
    }
}

fn whole(read: &[u8]) -> Option<usize> {
    let head = read.first_chunk::<9>()?;
    let length = usize::from(head[0]) << 16 | usize::from(head[1]) << 8 | usize::from(head[2]);
    (read.len() >= 9 + length).then_some(9 + length)
}

impl Line {
    /// From here on nothing beyond this stream is run.
    fn goes(&mut self, last: u32, code: u32) {
        let last = {
            let mut held = locked(&self.last);
            *held = last.min(*held);
            *held
        };
        locked(&self.open).retain(|stream| *stream <= last);
        let _ = self.out.send(going(last, code));
    }

    fn frame(&mut self, bytes: &[u8]) {
        let (kind, flags) = (bytes[3], bytes[4]);
        let stream = u32::from_be_bytes([bytes[5], bytes[6], bytes[7], bytes[8]]) & HIGHEST;
        let payload = &bytes[9..];
        match kind {
            SETTINGS if flags & ACK == 0 && !*locked(&self.host.acks) => {}
            SETTINGS if flags & ACK == 0 => drop(self.out.send(frame(SETTINGS, ACK, 0, &[]))),
            PING if flags & ACK == 0 => drop(self.out.send(frame(PING, ACK, 0, payload))),
            HEADERS => {
                self.newest = self.newest.max(stream);
                let mut open = locked(&self.open);
                if stream <= *locked(&self.last) {
                    open.insert(stream);
                }
                let mut log = locked(&self.host.log);
                log.most_streams = log.most_streams.max(open.len());
                if !*locked(&self.answered) {
                    self.first += 1;
                }
                self.bodies.insert(stream, Vec::new());
            }
            DATA => {
                if let Some(body) = self.bodies.get_mut(&stream) {
                    body.extend_from_slice(payload);
                }
                if !payload.is_empty() && self.grants {
                    let grant = (payload.len() as u32).to_be_bytes();
                    let _ = self.out.send(frame(WINDOW_UPDATE, 0, 0, &grant));
                    if flags & END_STREAM == 0 {
                        let _ = self.out.send(frame(WINDOW_UPDATE, 0, stream, &grant));
                    }
                }
                if flags & END_STREAM != 0 {
                    self.call(stream);
                }
            }
            RST_STREAM => {
                locked(&self.host.log).resets += 1;
                locked(&self.open).remove(&stream);
                self.bodies.remove(&stream);
            }
            _ => {}
        }
    }

    /// A call is whole.
    fn call(&mut self, stream: u32) {
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
            .came
            .extend(call.parts.iter().map(|part| (part.id.clone(), now)));
        if stream > *locked(&self.last) {
            return; // It said so; its client knows.
        }
        let script = locked(&self.host.script).clone();
        let does: Vec<Does> = call.parts.iter().map(|part| script(&part.id)).collect();
        let ran = |part: &pb::Part| {
            locked(&self.host.log)
                .ran
                .push((part.id.clone(), Instant::now()));
        };
        let closes = |bytes: Vec<u8>| {
            locked(&self.open).remove(&stream);
            let _ = self.out.send(bytes);
        };
        let whole_stream = does.iter().find(|d| {
            matches!(
                d,
                Does::Reset(_) | Does::Half | Does::Noise | Does::Status(_)
            )
        });
        match whole_stream {
            Some(Does::Reset(code)) => {
                if !matches!(*code, REFUSED_STREAM | ENHANCE_YOUR_CALM) {
                    call.parts.iter().for_each(ran);
                }
                return closes(frame(RST_STREAM, 0, stream, &code.to_be_bytes()));
            }
            Some(Does::Status(status)) => {
                if *status != 503 {
                    call.parts.iter().for_each(ran);
                }
                return closes(frame(
                    HEADERS,
                    END_HEADERS | END_STREAM,
                    stream,
                    &head(*status),
                ));
            }
            Some(half) => {
                call.parts.iter().for_each(ran);
                let message = match half {
                    Does::Half => end_of(&call.parts[0], pb::part_end::End::Good, 0),
                    _ => vec![3, 0xa5, 0xa5, 0xa5, 0xa5],
                };
                let message = if *half == Does::Half {
                    &message[..message.len() / 2]
                } else {
                    &message
                };
                let _ = self
                    .out
                    .send(frame(HEADERS, END_HEADERS, stream, &head(200)));
                return closes(frame(DATA, END_STREAM, stream, message));
            }
            None => {}
        }
        let _ = self
            .out
            .send(frame(HEADERS, END_HEADERS, stream, &head(200)));
        let (out, open, answered, host) = (
            self.out.clone(),
            self.open.clone(),
            self.answered.clone(),
            self.host.clone(),
        );
        let last = self.last.clone();
        tokio::spawn(async move {
            let mut silent = false;
            for (part, does) in call.parts.iter().zip(does) {
                let end = match does {
                    Does::Later => pb::part_end::End::Later,
                    Does::Bad => pb::part_end::End::Bad,
                    _ => pb::part_end::End::Good,
                };
                if let Does::Slow(span) = does {
                    tokio::time::sleep(span).await;
                }
                if stream > *locked(&last) {
                    return; // It said meanwhile that it would not run this.
                }
                if does != Does::Later {
                    locked(&host.log)
                        .ran
                        .push((part.id.clone(), Instant::now()));
                }
                if does == Does::Silent {
                    silent = true;
                    continue;
                }
                let large = if let Does::Large(bytes) = does {
                    bytes
                } else {
                    0
                };
                // No frame is larger than what every client takes.
                for some in end_of(part, end, large).chunks(16_000) {
                    let _ = out.send(frame(DATA, 0, stream, some));
                }
            }
            *locked(&answered) = true;
            // Reset by its client meanwhile, it is closed already.
            if !silent && locked(&open).remove(&stream) {
                let _ = out.send(frame(DATA, END_STREAM, stream, &[]));
            }
        });
    }
}
