//! A searcher: it takes calls in frames and does what its script says about each part.

use std::io::{Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Condvar, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use socket2::SockRef;

use super::LONG;

/// What a searcher does about a part.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Act {
    Good,
    Bad,
    Later,
    Silent,
    /// A good answer after so long, during which its connection is not read.
    After(Duration),
    /// The answer is held until `answers_held` says what it is.
    Held,
    /// The connection breaks once the frame has come; or with half an answer.
    Break,
    HalfAnswer,
    /// A frame that can't be read, or one of absurd length.
    Garbage,
    Absurd,
    Unusable,
    /// A frame that never ends, one for nobody, and ends, letters and values that are none.
    Endless,
    OtherId,
    OtherEnd,
    OtherLetter,
    Swallowing,
    /// From here on the connection says nothing.
    Mute,
    /// Good answers with more than belongs to them: another copy, noise, a report that can't be read.
    Twice,
    Noise,
    OddReport,
}

/// A part as it came.
#[derive(Clone, Debug)]
pub struct Seen {
    pub id: String,
    pub shard: usize,
    pub list: String,
    pub text: String,
    /// When the last byte of its frame had come.
    pub at: Instant,
}

type Script = dyn Fn(&Seen) -> Act + Send + Sync;

pub struct Searcher {
    pub name: String,
    pub address: SocketAddr,
    script: Mutex<Arc<Script>>,
    log: Mutex<Log>,
    changed: Condvar,
    stuck: Mutex<bool>,
    resumed: Condvar,
    /// While probes are held: the connections on which an answer is owed, by the order in which they came up.
    owed: Mutex<Option<Vec<(usize, TcpStream)>>>,
    /// Parts whose answers are held, with their connections.
    held: Mutex<Vec<(Seen, TcpStream)>>,
}

#[derive(Default, Clone)]
pub struct Log {
    pub parts: Vec<Seen>,
    pub given_up: Vec<String>,
    pub opened: usize,
    pub closed: usize,
    pub probes: Vec<String>,
}

pub fn frame(letter: u8, rest: &[u8]) -> Vec<u8> {
    let mut out = ((rest.len() + 1) as u32).to_be_bytes().to_vec();
    out.push(letter);
    out.extend_from_slice(rest);
    out
}

fn read_frame(stream: &mut TcpStream) -> Option<(u8, Vec<u8>)> {
    let mut length = [0; 4];
    stream.read_exact(&mut length).ok()?;
    let mut rest = vec![0; u32::from_be_bytes(length) as usize];
    stream.read_exact(&mut rest).ok()?;
    Some((rest[0], rest[1..].to_vec()))
}

/// A listener whose connections take little that is not read.
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
            script: Mutex::new(Arc::new(|_| Act::Good)),
            log: Mutex::default(),
            stuck: Mutex::new(false),
            resumed: Condvar::new(),
            owed: Mutex::new(None),
            held: Mutex::default(),
            changed: Condvar::new(),
        })
    }

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
                this.note(|log| log.opened += 1);
                let number = this.log().opened;
                thread::spawn(move || {
                    this.serve(number, stream);
                    this.note(|log| log.closed += 1);
                });
            }
        });
    }

    /// One to which no further connection comes up, until it is let.
    pub fn clogged(name: &str) -> (Arc<Self>, impl FnOnce()) {
        let listener = listener(1).expect("a port");
        let address = listener.local_addr().expect("an address");
        let mut full = Vec::new();
        while let Ok(stream) = TcpStream::connect_timeout(&address, Duration::from_millis(200)) {
            full.push(stream);
        }
        let searcher = Self::at(name, &listener);
        (searcher.clone(), move || {
            drop(full);
            searcher.accept(listener);
        })
    }

    pub fn does(&self, script: impl Fn(&Seen) -> Act + Send + Sync + 'static) {
        *self.script.lock().unwrap() = Arc::new(script);
    }

    /// Whether it goes on reading.
    pub fn reads(&self, reads: bool) {
        *self.stuck.lock().unwrap() = !reads;
        self.resumed.notify_all();
    }

    /// From here on probes of health are answered when they are told to be.
    pub fn holds_probes(&self) {
        *self.owed.lock().unwrap() = Some(Vec::new());
    }

    /// Answers what is owed on one connection, counted from 1; tells whether anything was.
    pub fn answers_probes(&self, connection: usize) -> bool {
        let mut owed = self.owed.lock().unwrap();
        let owed = owed.as_mut().expect("probes are held");
        let (due, kept) = std::mem::take(owed)
            .into_iter()
            .partition(|(number, _)| *number == connection);
        *owed = kept;
        let due: Vec<(usize, TcpStream)> = due;
        due.iter()
            .for_each(|(_, stream)| drop((&mut &*stream).write_all(&frame(b'o', b"good"))));
        !due.is_empty()
    }

    /// Answers what is held, all alike.
    pub fn answers_held(&self, act: Act) {
        for (part, stream) in std::mem::take(&mut *self.held.lock().unwrap()) {
            let _ = (&stream).write_all(&self.answer(&part, act));
            if act == Act::Break {
                let _ = stream.shutdown(Shutdown::Both);
            }
        }
    }

    fn note(&self, what: impl FnOnce(&mut Log)) {
        what(&mut self.log.lock().unwrap());
        self.changed.notify_all();
    }

    pub fn log(&self) -> Log {
        self.log.lock().unwrap().clone()
    }

    /// Waits until its log is as wanted.
    pub fn until(&self, wanted: impl Fn(&Log) -> bool) -> Log {
        let log = self.log.lock().unwrap();
        let (log, out) = self
            .changed
            .wait_timeout_while(log, LONG, |log| !wanted(log))
            .unwrap();
        assert!(!out.timed_out(), "{} waited in vain", self.name);
        log.clone()
    }

    fn serve(&self, number: usize, mut stream: TcpStream) {
        // Each answer is a write of its own: none waits for the one before to be acknowledged.
        let _ = stream.set_nodelay(true);
        // A probe at once: a searcher may ask as well.
        let _ = stream.write_all(&[frame(b'o', b""), frame(b'p', b"")].concat());
        let mut mute = false;
        loop {
            let stuck = self.stuck.lock().unwrap();
            drop(self.resumed.wait_while(stuck, |stuck| *stuck).unwrap());
            let Some((letter, rest)) = read_frame(&mut stream) else {
                return;
            };
            match letter {
                b'm' => {
                    for part in parts(&rest) {
                        let act = self.script.lock().unwrap().clone()(&part);
                        let answer = self.answer(&part, act);
                        if let Act::After(span) = act {
                            thread::sleep(span);
                        }
                        if act == Act::Held {
                            let own = stream.try_clone().expect("a stream");
                            self.held.lock().unwrap().push((part.clone(), own));
                        }
                        self.note(|log| log.parts.push(part));
                        if act == Act::Break {
                            let _ = stream.shutdown(Shutdown::Both);
                        }
                        if act == Act::HalfAnswer {
                            let _ = stream.write_all(&answer[..answer.len() / 2]);
                            let _ = SockRef::from(&stream).set_linger(Some(Duration::ZERO));
                            return;
                        }
                        mute |= act == Act::Mute;
                        if !mute {
                            let _ = stream.write_all(&answer);
                        }
                    }
                }
                b'n' => self.note(|log| {
                    log.given_up
                        .push(String::from_utf8_lossy(&rest).into_owned());
                }),
                b'o' if rest.is_empty() => {
                    let mut owed = self.owed.lock().unwrap();
                    match (owed.as_mut(), mute) {
                        (_, true) => {}
                        (Some(owed), _) => {
                            owed.extend(stream.try_clone().map(|stream| (number, stream)));
                        }
                        (None, _) => drop(stream.write_all(&frame(b'o', b"good"))),
                    }
                }
                _ => self.note(|log| {
                    log.probes.push(format!(
                        "{}{}",
                        letter as char,
                        String::from_utf8_lossy(&rest)
                    ));
                }),
            }
        }
    }

    fn answer(&self, part: &Seen, act: Act) -> Vec<u8> {
        // The score falls with the shard, so that the second step's shards are known.
        let q = |end: &str, value: &str| {
            frame(
                b'q',
                format!("{} {end} {} load=1\n{value}", part.id, 1_000 - part.shard).as_bytes(),
            )
        };
        let value = format!("v{}", part.id);
        match act {
            Act::Good | Act::After(_) | Act::HalfAnswer => q("good", &value),
            Act::Endless => [&[0, 1, 0, 0][..], b"q", part.id.as_bytes()].concat(),
            Act::OtherId => frame(b'q', b"nobody.3 good 5 load=1\nvalue"),
            Act::OtherEnd => q("fine", &value),
            Act::OtherLetter => frame(b'z', b"what"),
            Act::Swallowing => q("good", &format!("{value}\0\0\0\x20q")),
            Act::Noise => [q("good", &value), vec![0xa5; 40]].concat(),
            Act::OddReport => {
                let line = [
                    part.id.as_bytes(),
                    b" good 7 load=\xff\xfe,,\n",
                    value.as_bytes(),
                ]
                .concat();
                frame(b'q', &line)
            }
            Act::Twice => [q("good", &value), q("good", "another")].concat(),
            Act::Bad => q("bad", ""),
            Act::Later => q("later", ""),
            Act::Silent | Act::Held | Act::Break | Act::Mute => Vec::new(),
            Act::Garbage => frame(b'q', b"no line"),
            Act::Absurd => vec![0xff; 64],
            Act::Unusable => frame(b'r', b"what is this"),
        }
    }
}

/// The parts of a call, as they came just now.
pub fn parts(mut rest: &[u8]) -> Vec<Seen> {
    let mut out = Vec::new();
    while !rest.is_empty() {
        let end = rest.iter().position(|&b| b == b'\n').expect("a line");
        let line = String::from_utf8(rest[..end].to_vec()).expect("text");
        let words: Vec<&str> = line.split(' ').collect();
        let [id, shard, list, length] = words[..] else {
            panic!("not a part's line: {line}")
        };
        let length: usize = length.parse().expect("a length");
        let text = String::from_utf8(rest[end + 1..end + 1 + length].to_vec()).expect("text");
        rest = &rest[end + 1 + length..];
        out.push(Seen {
            id: id.into(),
            shard: shard.parse().expect("a shard"),
            list: list.into(),
            text,
            at: Instant::now(),
        });
    }
    out
}
