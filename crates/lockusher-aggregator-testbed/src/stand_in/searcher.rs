//! A searcher that receives calls in frames and handles each part as scripted.

use std::io::{Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Condvar, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use socket2::SockRef;

use super::LONG;

/// How a searcher handles a part.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum PartAction {
    /// Answers `good`.
    Good,
    /// Answers `bad`.
    Bad,
    /// Answers `later`.
    Later,
    /// Does not answer.
    Silent,
    /// Answers `good` after this time, during which the connection is not read.
    After(Duration),
    /// Holds the answer until `answer_held` is called.
    Held,
    /// Closes the connection when the frame has arrived.
    Break,
    /// Sends half an answer and resets the connection.
    HalfAnswer,
    /// Sends an answer frame that cannot be parsed.
    MalformedAnswer,
    /// Sends a frame of an excessive length.
    ExcessiveLength,
    /// Sends a well-formed frame of a type that no mixer uses.
    UnusedFrame,
    /// Sends the start of a frame that never ends.
    Endless,
    /// Answers a part that does not exist.
    UnknownPart,
    /// Answers with an unknown end.
    UnknownEnd,
    /// Sends a frame of an unknown type.
    UnknownFrameType,
    /// Answers with a value that looks like the start of another frame.
    EmbeddedFrame,
    /// Sends nothing more on the connection.
    Mute,
    /// Answers `good`, and then once more with another value.
    Twice,
    /// Answers `good`, followed by bytes that are no frame.
    Noise,
    /// Answers `good` with a load report that cannot be parsed.
    OddReport,
}

/// A part as received.
#[derive(Clone, Debug)]
pub struct PartRequest {
    pub id: String,
    pub shard: usize,
    pub list: String,
    pub text: String,
    /// When its frame had been received completely.
    pub at: Instant,
}

type Script = dyn Fn(&PartRequest) -> PartAction + Send + Sync;

/// A scripted searcher.
pub struct Searcher {
    pub name: String,
    pub address: SocketAddr,
    script: Mutex<Arc<Script>>,
    log: Mutex<Log>,
    changed: Condvar,
    reading_paused: Mutex<bool>,
    reading_resumed: Condvar,
    /// While health checks are held: the connections with an unanswered one, with their numbers in order of acceptance.
    pending_health_checks: Mutex<Option<Vec<(usize, TcpStream)>>>,
    /// The parts whose answers are held, with their connections.
    held_parts: Mutex<Vec<(PartRequest, TcpStream)>>,
}

/// What a searcher received.
#[derive(Default, Clone)]
pub struct Log {
    /// The parts received.
    pub parts: Vec<PartRequest>,
    /// The payloads of cancellations.
    pub cancellations: Vec<String>,
    /// Connections accepted.
    pub opened: usize,
    /// Connections closed.
    pub closed: usize,
    /// All other frames: type and payload.
    pub other_frames: Vec<String>,
}

/// Encodes a frame: length, type and payload.
pub fn frame(frame_type: u8, payload: &[u8]) -> Vec<u8> {
    let mut out = ((payload.len() + 1) as u32).to_be_bytes().to_vec();
    out.push(frame_type);
    out.extend_from_slice(payload);
    out
}

fn read_frame(stream: &mut TcpStream) -> Option<(u8, Vec<u8>)> {
    let mut length = [0; 4];
    stream.read_exact(&mut length).ok()?;
    let mut payload = vec![0; u32::from_be_bytes(length) as usize];
    stream.read_exact(&mut payload).ok()?;
    Some((payload[0], payload[1..].to_vec()))
}

/// A listener whose connections have small receive buffers.
fn listener(backlog: u32) -> std::io::Result<TcpListener> {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_io()
        .build()?;
    let _entered = runtime.enter();
    let socket = tokio::net::TcpSocket::new_v4()?;
    socket.set_recv_buffer_size(64 * 1024)?;
    socket.bind("127.0.0.1:0".parse().expect("an address"))?;
    let listener = socket.listen(backlog)?.into_std()?;
    listener.set_nonblocking(false)?;
    Ok(listener)
}

impl Searcher {
    fn at(name: &str, listener: &TcpListener) -> Arc<Self> {
        Arc::new(Searcher {
            name: name.to_owned(),
            address: listener.local_addr().expect("an address"),
            script: Mutex::new(Arc::new(|_| PartAction::Good)),
            log: Mutex::default(),
            reading_paused: Mutex::new(false),
            reading_resumed: Condvar::new(),
            pending_health_checks: Mutex::new(None),
            held_parts: Mutex::default(),
            changed: Condvar::new(),
        })
    }

    /// Starts a searcher that answers all parts with `good`.
    pub fn start(name: &str) -> Arc<Self> {
        let listener = listener(64).expect("a port");
        let searcher = Self::at(name, &listener);
        searcher.clone().accept(listener);
        searcher
    }

    fn accept(self: Arc<Self>, listener: TcpListener) {
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let this = self.clone();
                this.record(|log| log.opened += 1);
                let number = this.log().opened;
                thread::spawn(move || {
                    this.serve(number, stream);
                    this.record(|log| log.closed += 1);
                });
            }
        });
    }

    /// A searcher whose listen backlog is full, so that no connection is established until the returned function is
    /// called.
    pub fn with_full_backlog(name: &str) -> (Arc<Self>, impl FnOnce()) {
        let listener = listener(1).expect("a port");
        let address = listener.local_addr().expect("an address");
        let mut backlog = Vec::new();
        while let Ok(stream) = TcpStream::connect_timeout(&address, Duration::from_millis(200)) {
            backlog.push(stream);
        }
        let searcher = Self::at(name, &listener);
        (searcher.clone(), move || {
            drop(backlog);
            searcher.accept(listener);
        })
    }

    /// Sets the script.
    pub fn set_script(&self, script: impl Fn(&PartRequest) -> PartAction + Send + Sync + 'static) {
        *self.script.lock().unwrap() = Arc::new(script);
    }

    /// Pauses or resumes reading from connections.
    pub fn set_reading(&self, reads: bool) {
        *self.reading_paused.lock().unwrap() = !reads;
        self.reading_resumed.notify_all();
    }

    /// Holds the answers to health checks until `answer_health_checks` is called.
    pub fn hold_health_checks(&self) {
        *self.pending_health_checks.lock().unwrap() = Some(Vec::new());
    }

    /// Answers the held health checks of one connection, counted from 1; returns whether there were any.
    pub fn answer_health_checks(&self, connection: usize) -> bool {
        let mut pending_health_checks = self.pending_health_checks.lock().unwrap();
        let pending_health_checks = pending_health_checks
            .as_mut()
            .expect("health checks are held");
        let (due, remaining) = std::mem::take(pending_health_checks)
            .into_iter()
            .partition(|(number, _)| *number == connection);
        *pending_health_checks = remaining;
        let due: Vec<(usize, TcpStream)> = due;
        due.iter()
            .for_each(|(_, stream)| drop((&mut &*stream).write_all(&frame(b'o', b"good"))));
        !due.is_empty()
    }

    /// Handles all held parts in the same way.
    pub fn answer_held(&self, act: PartAction) {
        for (part, stream) in std::mem::take(&mut *self.held_parts.lock().unwrap()) {
            let _ = (&stream).write_all(&self.answer(&part, act));
            if act == PartAction::Break {
                let _ = stream.shutdown(Shutdown::Both);
            }
        }
    }

    fn record(&self, change: impl FnOnce(&mut Log)) {
        change(&mut self.log.lock().unwrap());
        self.changed.notify_all();
    }

    /// A copy of the log.
    pub fn log(&self) -> Log {
        self.log.lock().unwrap().clone()
    }

    /// Waits until the log satisfies a condition, and returns it.
    pub fn until(&self, condition: impl Fn(&Log) -> bool) -> Log {
        let log = self.log.lock().unwrap();
        let (log, out) = self
            .changed
            .wait_timeout_while(log, LONG, |log| !condition(log))
            .unwrap();
        assert!(
            !out.timed_out(),
            "searcher {}: the log did not satisfy the condition in time",
            self.name
        );
        log.clone()
    }

    fn serve(&self, number: usize, mut stream: TcpStream) {
        // Each answer is a write of its own; without this, it would wait for the acknowledgement of the one before.
        let _ = stream.set_nodelay(true);
        // Sends a health check at once, since searchers may send them as well.
        let _ = stream.write_all(&[frame(b'o', b""), frame(b'p', b"")].concat());
        let mut muted = false;
        loop {
            let reading_paused = self.reading_paused.lock().unwrap();
            drop(
                self.reading_resumed
                    .wait_while(reading_paused, |reading_paused| *reading_paused)
                    .unwrap(),
            );
            let Some((frame_type, payload)) = read_frame(&mut stream) else {
                return;
            };
            match frame_type {
                b'm' => {
                    for part in parts(&payload) {
                        let act = self.script.lock().unwrap().clone()(&part);
                        let answer = self.answer(&part, act);
                        if let PartAction::After(span) = act {
                            thread::sleep(span);
                        }
                        if act == PartAction::Held {
                            let connection = stream.try_clone().expect("a stream");
                            self.held_parts
                                .lock()
                                .unwrap()
                                .push((part.clone(), connection));
                        }
                        self.record(|log| log.parts.push(part));
                        if act == PartAction::Break {
                            let _ = stream.shutdown(Shutdown::Both);
                        }
                        if act == PartAction::HalfAnswer {
                            let _ = stream.write_all(&answer[..answer.len() / 2]);
                            let _ = SockRef::from(&stream).set_linger(Some(Duration::ZERO));
                            return;
                        }
                        muted |= act == PartAction::Mute;
                        if !muted {
                            let _ = stream.write_all(&answer);
                        }
                    }
                }
                b'n' => self.record(|log| {
                    log.cancellations
                        .push(String::from_utf8_lossy(&payload).into_owned());
                }),
                b'o' if payload.is_empty() => {
                    let mut pending_health_checks = self.pending_health_checks.lock().unwrap();
                    match (pending_health_checks.as_mut(), muted) {
                        (_, true) => {}
                        (Some(pending_health_checks), _) => {
                            pending_health_checks
                                .extend(stream.try_clone().map(|stream| (number, stream)));
                        }
                        (None, _) => drop(stream.write_all(&frame(b'o', b"good"))),
                    }
                }
                _ => self.record(|log| {
                    log.other_frames.push(format!(
                        "{}{}",
                        frame_type as char,
                        String::from_utf8_lossy(&payload)
                    ));
                }),
            }
        }
    }

    fn answer(&self, part: &PartRequest, act: PartAction) -> Vec<u8> {
        // The score decreases with the shard, which determines the shards of the second step.
        let answer_frame = |end: &str, value: &str| {
            frame(
                b'q',
                format!("{} {end} {} load=1\n{value}", part.id, 1_000 - part.shard).as_bytes(),
            )
        };
        let value = format!("v{}", part.id);
        match act {
            PartAction::Good | PartAction::After(_) | PartAction::HalfAnswer => {
                answer_frame("good", &value)
            }
            PartAction::Endless => [&[0, 1, 0, 0][..], b"q", part.id.as_bytes()].concat(),
            PartAction::UnknownPart => frame(b'q', b"nobody.3 good 5 load=1\nvalue"),
            PartAction::UnknownEnd => answer_frame("fine", &value),
            PartAction::UnknownFrameType => frame(b'z', b"what"),
            PartAction::EmbeddedFrame => answer_frame("good", &format!("{value}\0\0\0\x20q")),
            PartAction::Noise => [answer_frame("good", &value), vec![0xa5; 40]].concat(),
            PartAction::OddReport => {
                let line = [
                    part.id.as_bytes(),
                    b" good 7 load=\xff\xfe,,\n",
                    value.as_bytes(),
                ]
                .concat();
                frame(b'q', &line)
            }
            PartAction::Twice => [
                answer_frame("good", &value),
                answer_frame("good", "another"),
            ]
            .concat(),
            PartAction::Bad => answer_frame("bad", ""),
            PartAction::Later => answer_frame("later", ""),
            PartAction::Silent | PartAction::Held | PartAction::Break | PartAction::Mute => {
                Vec::new()
            }
            PartAction::MalformedAnswer => frame(b'q', b"no line"),
            PartAction::ExcessiveLength => vec![0xff; 64],
            PartAction::UnusedFrame => frame(b'r', b"what is this"),
        }
    }
}

/// Parses the parts of a call, as received now.
pub fn parts(mut payload: &[u8]) -> Vec<PartRequest> {
    let mut out = Vec::new();
    while !payload.is_empty() {
        let end = payload.iter().position(|&b| b == b'\n').expect("a line");
        let line = String::from_utf8(payload[..end].to_vec()).expect("text");
        let words: Vec<&str> = line.split(' ').collect();
        let [id, shard, list, length] = words[..] else {
            panic!("invalid line of a part: {line}")
        };
        let length: usize = length.parse().expect("a length");
        let text = String::from_utf8(payload[end + 1..end + 1 + length].to_vec()).expect("text");
        payload = &payload[end + 1 + length..];
        out.push(PartRequest {
            id: id.into(),
            shard: shard.parse().expect("a shard"),
            list: list.into(),
            text,
            at: Instant::now(),
        });
    }
    out
}
