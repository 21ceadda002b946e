//! The platform's list and model searchers, as PROTOCOL describes them: sound, and with nothing else to do.

use std::collections::HashSet;
use std::io::{self, BufReader, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use crate::http::{Message, read_message};
use crate::record;

/// Time between two events of a stream.
pub const EVENT_INTERVAL: Duration = Duration::from_millis(100);
/// How long a change of the stage takes.
const ROLE_SWITCH: Duration = Duration::from_millis(3_600);

/// One searcher as the platform lists it.
#[derive(Debug)]
pub struct Searcher {
    pub identifier: String,
    pub service: &'static str,
    pub address: SocketAddr,
    stage: Mutex<Stage>,
}

#[derive(Clone, Debug)]
struct Stage {
    name: &'static str,
    /// A change in progress: its end, and the stage that follows.
    change: Option<(Instant, &'static str)>,
    orders: u64,
}

/// The searchers, and the handles that they hold.
#[derive(Default)]
pub struct World {
    searchers: Mutex<Vec<Arc<Searcher>>>,
    handles: Mutex<HashSet<String>>,
    /// The requests that reached a searcher and were taken up, whether it has begun working on them or not.
    pub taken: Mutex<HashSet<String>>,
    /// The requests that a searcher has begun working on.
    pub begun: Mutex<HashSet<String>>,
}

impl World {
    /// Serves the platform's list at this address.
    pub fn serve_platform(self: &Arc<Self>, address: SocketAddr) -> Result<(), String> {
        let world = Arc::clone(self);
        serve(address, move |request, stream| {
            let entries: Vec<String> = world
                .searchers
                .lock()
                .unwrap()
                .iter()
                .map(|searcher| entry(searcher))
                .collect();
            let body = format!(
                "{{\"instances\":[{}],\"nextToken\":null}}",
                entries.join(",")
            );
            let _ = request;
            respond(
                stream,
                "200 OK",
                "Content-Type: application/json\r\n",
                body.as_bytes(),
            )
        })
    }

    /// Starts a searcher and lists it.
    pub fn start_searcher(
        self: &Arc<Self>,
        service: &'static str,
        stage: &'static str,
        address: SocketAddr,
    ) -> Result<(), String> {
        let stage = Stage {
            name: stage,
            change: None,
            orders: 0,
        };
        let identifier = format!("i-{}", address.ip().to_string().replace('.', "-"));
        let searcher = Arc::new(Searcher {
            identifier,
            service,
            address,
            stage: Mutex::new(stage),
        });
        self.searchers.lock().unwrap().push(Arc::clone(&searcher));
        let world = Arc::clone(self);
        serve(address, move |request, stream| {
            world.answer(&searcher, request, stream)
        })
    }

    fn answer(
        &self,
        searcher: &Searcher,
        request: &Message,
        stream: &mut TcpStream,
    ) -> io::Result<()> {
        let id = request
            .field("request-identifier")
            .map(|id| format!("Request-Identifier: {id}\r\n"))
            .unwrap_or_default();
        if request
            .field("expected-instance")
            .is_some_and(|expected| expected != searcher.identifier)
        {
            return respond(stream, "421 Misdirected Request", &id, b"");
        }
        let stage = searcher.stage_now();
        match request.method_and_target() {
            ("GET", "/health") => respond(
                stream,
                "200 OK",
                &format!("Instance-Identifier: {}\r\n", searcher.identifier),
                b"",
            ),
            ("POST", "/api/order") => self.take_order(searcher, request, stream),
            ("DELETE", target) => {
                let handle = target.rsplit('/').next().unwrap_or("");
                self.handles.lock().unwrap().remove(handle);
                respond(stream, "200 OK", &id, b"")
            }
            _ if stage.change.is_some() => respond(
                stream,
                "503 Service Unavailable",
                &format!("{id}Not-Executed: 1\r\n"),
                b"",
            ),
            _ => self.work(searcher, stage.name, request, &id, stream),
        }
    }

    fn take_order(
        &self,
        searcher: &Searcher,
        request: &Message,
        stream: &mut TcpStream,
    ) -> io::Result<()> {
        let body = String::from_utf8_lossy(&request.body).into_owned();
        record::line(&format!("{} gets an order: {body}", searcher.identifier));
        let to = if body.contains("\"prefill\"") {
            "prefill"
        } else {
            "decode"
        };
        let mut stage = searcher.stage.lock().unwrap();
        let status = if stage.name == to {
            "200 OK"
        } else if stage.change.is_some() {
            "409 Conflict"
        } else {
            stage.change = Some((Instant::now() + ROLE_SWITCH, to));
            stage.orders += 1;
            "202 Accepted"
        };
        drop(stage);
        respond(stream, status, "", b"")
    }

    fn work(
        &self,
        searcher: &Searcher,
        stage: &str,
        request: &Message,
        id: &str,
        stream: &mut TcpStream,
    ) -> io::Result<()> {
        let name = request.field("request-identifier").unwrap_or("").to_owned();
        let is_prefill = request.field("stage") == Some("prefill");
        if is_prefill != (stage == "prefill") {
            return respond(stream, "421 Misdirected Request", id, b"");
        }
        if is_prefill {
            let handle = format!("h{name}{}", record::now().as_micros());
            self.handles.lock().unwrap().insert(handle.clone());
            let body = format!("{{\"promptHandle\":\"{handle}\",\"tokens\":100,\"version\":1}}");
            return respond(
                stream,
                "200 OK",
                &format!("{id}Content-Type: application/json\r\n"),
                body.as_bytes(),
            );
        }
        if let Some(handle) = request
            .field("kv-from")
            .and_then(|from| from.split_once('/'))
            .map(|(_, handle)| handle)
            && !self.handles.lock().unwrap().remove(handle)
        {
            return respond(
                stream,
                "503 Service Unavailable",
                &format!("{id}Not-Executed: 1\r\n"),
                b"",
            );
        }
        let events = request
            .field("token-counts")
            .and_then(|counts| counts.split(',').nth(1)?.trim().parse().ok())
            .unwrap_or(1u32);
        let first = request
            .field("last-event-id")
            .and_then(|id| id.parse::<u32>().ok())
            .unwrap_or(0)
            + 1;
        self.taken.lock().unwrap().insert(name.clone());
        let queue_ms = request
            .field("x-queue-ms")
            .and_then(|wait| wait.parse().ok())
            .unwrap_or(0);
        if queue_ms > 0 {
            record::line(&format!(
                "{} queues {name}: its slots are taken by other callers' work",
                searcher.identifier
            ));
            if !waits_in_queue(stream, Duration::from_millis(queue_ms))? {
                record::line(&format!(
                    "{} drops {name} from its queue: its connection was closed",
                    searcher.identifier
                ));
                return Err(io::ErrorKind::ConnectionAborted.into());
            }
        }
        self.begun.lock().unwrap().insert(name.clone());
        record::line(&format!(
            "{} runs {name}, events {first} to {events}",
            searcher.identifier
        ));
        let result = send_stream(stream, id, &searcher.identifier, first, events);
        match &result {
            Ok(()) => record::line(&format!("{} has sent all of {name}", searcher.identifier)),
            Err(error) => record::line(&format!(
                "{} finds the connection of {name} closed: {error}",
                searcher.identifier
            )),
        }
        result
    }
}

impl Searcher {
    fn stage_now(&self) -> Stage {
        let mut stage = self.stage.lock().unwrap();
        if let Some((end, to)) = stage.change
            && Instant::now() >= end
        {
            stage.name = to;
            stage.change = None;
        }
        stage.clone()
    }
}

fn entry(searcher: &Searcher) -> String {
    format!(
        "{{\"service\":\"{}\",\"address\":\"{}\",\"zone\":\"hall\",\"version\":\"v1\",\"slots\":128,\"state\":\"ready\",\
         \"coldRemainingMs\":0,\"stage\":\"{}\",\"models\":[{{\"name\":\"m\",\"version\":1,\"adapters\":[]}}],\
         \"identifier\":\"{}\"}}",
        searcher.service,
        searcher.address,
        searcher.stage_now().name,
        searcher.identifier
    )
}

/// Lets a request wait; false if its connection is closed meanwhile.
fn waits_in_queue(stream: &TcpStream, wait: Duration) -> io::Result<bool> {
    let end = Instant::now() + wait;
    stream.set_nonblocking(true)?;
    let mut is_open = true;
    while is_open && Instant::now() < end {
        thread::sleep(Duration::from_millis(10));
        is_open = matches!(stream.peek(&mut [0]), Err(error) if error.kind() == io::ErrorKind::WouldBlock);
    }
    stream.set_nonblocking(false)?;
    Ok(is_open)
}

fn send_stream(
    stream: &mut TcpStream,
    id: &str,
    signature: &str,
    first: u32,
    events: u32,
) -> io::Result<()> {
    let head = format!(
        "HTTP/1.1 200 OK\r\n{id}Server-Signature: {signature}\r\nVersions: 1\r\nContent-Type: text/event-stream\r\n\
         Transfer-Encoding: chunked\r\n\r\n"
    );
    stream.write_all(head.as_bytes())?;
    for number in first..=events {
        thread::sleep(EVENT_INTERVAL);
        let event = format!("id: {number}\ndata: token {number}\n\n");
        stream.write_all(format!("{:x}\r\n{event}\r\n", event.len()).as_bytes())?;
    }
    stream.write_all(b"0\r\n\r\n")
}

fn respond(stream: &mut TcpStream, status: &str, fields: &str, body: &[u8]) -> io::Result<()> {
    let head = format!(
        "HTTP/1.1 {status}\r\n{fields}Content-Length: {}\r\n\r\n",
        body.len()
    );
    stream.write_all(&[head.as_bytes(), body].concat())
}

/// Serves an address with a thread for each connection, one request after another.
fn serve(
    address: SocketAddr,
    handler: impl Fn(&Message, &mut TcpStream) -> io::Result<()> + Send + Sync + 'static,
) -> Result<(), String> {
    let listener = TcpListener::bind(address).map_err(|error| format!("{address}: {error}"))?;
    let handler = Arc::new(handler);
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let handler = Arc::clone(&handler);
            thread::spawn(move || serve_connection(stream, &*handler));
        }
    });
    Ok(())
}

fn serve_connection(
    mut stream: TcpStream,
    handler: &(impl Fn(&Message, &mut TcpStream) -> io::Result<()> + ?Sized),
) -> io::Result<()> {
    stream.set_nodelay(true)?;
    let mut reader = BufReader::new(stream.try_clone()?);
    while let Some(request) = read_message(&mut reader)? {
        handler(&request, &mut stream)?;
        if request.field("connection") == Some("close") {
            break;
        }
    }
    Ok(())
}
