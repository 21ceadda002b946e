//! Case 2: searchers crash while they answer resumable streams whose answers have a length.

#[path = "lib.rs"]
mod lib;

use std::collections::HashMap;
use std::io::Write;
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::process::ExitCode;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use lib::{Fleet, Head, Platform, Record, Wire, message, new_id, trouble};

const CORES: usize = 3;
const SEARCHERS: usize = 9;
const PIECES: u64 = 12;
const PIECE_PACE: Duration = Duration::from_millis(40);
const RATE_PER_S: u32 = 30;
const LOAD_S: f64 = 45.0;
/// One searcher of nine is down for 4.5 s, one after the other.
const FIRST_CRASH_S: f64 = 4.0;
const CRASH_GAP_S: f64 = 5.0;
const CRASHES: usize = 8;
const DOWN: Duration = Duration::from_millis(4_500);

type Runs = Arc<Mutex<HashMap<String, Vec<(String, HashMap<u64, String>)>>>>;

fn main() -> ExitCode {
    let record = match Record::create("review/2/record.txt".as_ref()) {
        Ok(record) => record,
        Err(error) => {
            eprintln!("no record: {error}");
            return ExitCode::from(2);
        }
    };
    match run(&record) {
        Ok(true) => ExitCode::from(1),
        Ok(false) => ExitCode::SUCCESS,
        Err(error) => {
            record.line(format!("the case couldn't run: {error}"));
            eprintln!("the case couldn't run: {error}");
            ExitCode::from(2)
        }
    }
}

fn run(record: &Record) -> std::io::Result<bool> {
    let fleet = Fleet::new(CORES, 1_000, vec!["hall"])?;
    let platform = Platform::default();
    platform.start(fleet.platform())?;
    let runs: Runs = Arc::default();
    let mut searchers = Vec::new();
    for number in 0..SEARCHERS {
        let searcher = Searcher::new(number, fleet.stand_in(number), record, &runs);
        searcher.start()?;
        platform.put(&searcher.identifier(), "reader", searcher.address, "hall", "");
        searchers.push(searcher);
    }
    fleet.bridge(1)?;
    let mut nodes = Vec::new();
    for core in 0..CORES {
        nodes.push(fleet.start("control", core)?);
    }
    nodes.push(fleet.start("agent", 0)?);
    nodes.push(fleet.start("proxy", 0)?);
    fleet.configure(0, CONFIGURATION, Duration::from_secs(15))?;
    if !fleet.wait_ready(0, Duration::from_secs(10)) {
        return Err(std::io::Error::other("the mixer didn't become ready"));
    }
    record.line("the mixer is ready");
    let begin = record.seconds();
    let results: Arc<Mutex<Vec<Answer>>> = Arc::default();
    let mut clients = Vec::new();
    let mut next_crash = 0;
    let count = (LOAD_S * f64::from(RATE_PER_S)) as usize;
    for number in 0..count {
        let due = begin + number as f64 / f64::from(RATE_PER_S);
        std::thread::sleep(Duration::from_secs_f64((due - record.seconds()).max(0.0)));
        let crash_due = begin + FIRST_CRASH_S + CRASH_GAP_S * next_crash as f64;
        if trouble() && next_crash < CRASHES && record.seconds() >= crash_due {
            searchers[next_crash % SEARCHERS].crash(&platform);
            next_crash += 1;
        }
        let (front, record, results) = (fleet.front(0), record.clone(), results.clone());
        clients.push(std::thread::spawn(move || {
            let answer = ask(front, &record);
            results.lock().unwrap().push(answer);
        }));
    }
    for client in clients {
        let _ = client.join();
    }
    if nodes.iter_mut().any(lib::Node::has_ended) {
        return Err(std::io::Error::other("a process of the fleet ended by itself"));
    }
    drop(nodes);
    let broken = judge(record, &results.lock().unwrap(), &runs.lock().unwrap());
    Ok(broken)
}

/// What a client received.
struct Answer {
    id: String,
    head: Option<Head>,
    /// Whether the answer ended as HTTP says that it does.
    complete: bool,
    body: Vec<u8>,
}

/// A sound client: one request on a new connection.
fn ask(front: SocketAddr, record: &Record) -> Answer {
    let id = new_id();
    let mut answer = Answer { id: id.clone(), head: None, complete: false, body: Vec::new() };
    let fields = [("Host", "desk.example"), ("Request-Identifier", id.as_str()), ("Deadline-Remaining", "5000")];
    let request = message("POST /read/7f HTTP/1.1", &fields, b"read this deed");
    record.line(format!("client sends {id}"));
    let Ok(mut wire) = Wire::connect(front, Duration::from_secs(1)) else { return answer };
    let _ = wire.stream.set_read_timeout(Some(Duration::from_secs(5)));
    let ended = wire.stream.write_all(&request).and_then(|()| wire.head()).and_then(|head| {
        answer.head = head;
        let head = answer.head.as_ref().ok_or(std::io::ErrorKind::UnexpectedEof)?;
        wire.body(head, &mut answer.body)
    });
    answer.complete = ended.is_ok();
    let status = answer.head.as_ref().map_or(0, Head::status);
    let how = if answer.complete { "whole" } else { "cut" };
    record.line(format!("client: {id} is answered {status}, {how}, {} bytes", answer.body.len()));
    answer
}

/// ORDER and MIXED, as written: an answer that is complete by HTTP holds each piece once and whole, to the last one. Each
/// piece may be of any run of this request.
fn judge(record: &Record, answers: &[Answer], runs: &HashMap<String, Vec<(String, HashMap<u64, String>)>>) -> bool {
    let (mut whole, mut cut, mut failed, mut resumed, mut broken) = (0, 0, 0, 0, 0);
    for answer in answers {
        let own_runs = runs.get(&answer.id).map_or(&[][..], Vec::as_slice);
        resumed += usize::from(own_runs.len() > 1);
        match (answer.head.as_ref().map(Head::status), answer.complete) {
            (Some(200), true) => {}
            (Some(200), false) | (None, _) => {
                cut += 1;
                continue;
            }
            _ => {
                failed += 1;
                continue;
            }
        }
        let text = String::from_utf8_lossy(&answer.body).into_owned();
        let mut events: Vec<&str> = text.split_inclusive("\n\n").collect();
        let tail = events.pop_if(|event| !event.ends_with("\n\n"));
        let number = |event: &str| event.strip_prefix("id: ")?.split('\n').next()?.parse::<u64>().ok();
        let is_of_a_run = |id: u64, event: &str| own_runs.iter().any(|(_, run)| run.get(&id).is_some_and(|own| own == event));
        let ids: Vec<u64> = events.iter().filter_map(|event| number(event)).collect();
        let in_order = ids == (1..=PIECES).collect::<Vec<u64>>();
        let genuine = events.iter().all(|event| number(event).is_some_and(|id| is_of_a_run(id, event)));
        if in_order && genuine && tail.is_none() {
            whole += 1;
            continue;
        }
        broken += 1;
        let length = answer.head.as_ref().and_then(|head| head.get("content-length")).unwrap_or("none");
        let searchers: Vec<&str> = own_runs.iter().map(|(searcher, _)| searcher.as_str()).collect();
        record.line(format!(
            "ORDER {}: complete by HTTP (200, Content-Length {length}, {} bytes), with pieces {ids:?} of 1 to {PIECES} and {:?} \
             after them; run by {searchers:?}",
            answer.id,
            answer.body.len(),
            tail.unwrap_or("nothing")
        ));
    }
    let summary = format!(
        "{} requests, {resumed} run more than once, {whole} answered whole, {cut} cut, {failed} failed, {broken} complete by \
         HTTP without their last piece",
        answers.len()
    );
    record.line(&summary);
    println!("{summary}");
    broken > 0
}

/// A sound searcher. It knows its answer before it sends it, and says its length; it sends the pieces at a steady pace.
/// Each run has words of its own, so that two runs of one request differ in length.
#[derive(Clone)]
struct Searcher {
    number: usize,
    address: SocketAddr,
    record: Record,
    runs: Runs,
    state: Arc<Mutex<State>>,
    is_up: Arc<AtomicBool>,
}

#[derive(Default)]
struct State {
    incarnation: usize,
    open: Vec<TcpStream>,
}

impl Searcher {
    fn new(number: usize, address: SocketAddr, record: &Record, runs: &Runs) -> Searcher {
        let (record, runs) = (record.clone(), runs.clone());
        Searcher { number, address, record, runs, state: Arc::default(), is_up: Arc::default() }
    }

    fn identifier(&self) -> String {
        format!("i-{}-{}", self.number, self.state.lock().unwrap().incarnation)
    }

    fn start(&self) -> std::io::Result<()> {
        let listener = TcpListener::bind(self.address)?;
        listener.set_nonblocking(true)?;
        self.is_up.store(true, Ordering::SeqCst);
        let searcher = self.clone();
        std::thread::spawn(move || {
            while searcher.is_up.load(Ordering::SeqCst) {
                let Ok((stream, _)) = listener.accept() else {
                    std::thread::sleep(Duration::from_millis(1));
                    continue;
                };
                let _ = stream.set_nonblocking(false);
                if let Ok(copy) = stream.try_clone() {
                    searcher.state.lock().unwrap().open.push(copy);
                }
                let searcher = searcher.clone();
                std::thread::spawn(move || searcher.serve(stream));
            }
        });
        Ok(())
    }

    /// The searcher crashes, and comes back as a new incarnation at its address.
    fn crash(&self, platform: &Platform) {
        self.record.line(format!("searcher {} crashes", self.identifier()));
        self.is_up.store(false, Ordering::SeqCst);
        for stream in std::mem::take(&mut self.state.lock().unwrap().open) {
            let _ = stream.shutdown(Shutdown::Both);
        }
        let (searcher, platform) = (self.clone(), platform.clone());
        std::thread::spawn(move || {
            std::thread::sleep(DOWN);
            platform.remove(&searcher.identifier());
            searcher.state.lock().unwrap().incarnation += 1;
            if searcher.start().is_ok() {
                platform.put(&searcher.identifier(), "reader", searcher.address, "hall", "");
                searcher.record.line(format!("searcher {} is up", searcher.identifier()));
            }
        });
    }

    fn serve(&self, stream: TcpStream) {
        let mut wire = Wire::new(stream);
        while let Ok(Some(head)) = wire.head() {
            let mut body = Vec::new();
            if wire.body(&head, &mut body).is_err() || self.answer(&mut wire, &head).is_none() {
                return;
            }
        }
    }

    fn answer(&self, wire: &mut Wire, head: &Head) -> Option<()> {
        let id = head.get("request-identifier")?;
        let identifier = self.identifier();
        if head.get("expected-instance").is_some_and(|expected| expected != identifier) {
            let fields = [("Request-Identifier", id), ("Not-Executed", "1")];
            return wire.stream.write_all(&message("HTTP/1.1 421 Misdirected Request", &fields, b"")).ok();
        }
        let after: u64 = head.get("last-event-id").and_then(|id| id.parse().ok()).unwrap_or(0);
        let pieces: Vec<(u64, String)> = (after + 1..=PIECES).map(|piece| (piece, self.piece(id, piece))).collect();
        self.record.line(format!("searcher {identifier} runs {id} after piece {after}"));
        let run = (identifier.clone(), pieces.iter().cloned().collect());
        self.runs.lock().unwrap().entry(id.to_owned()).or_default().push(run);
        let length: usize = pieces.iter().map(|(_, event)| event.len()).sum();
        let head = format!(
            "HTTP/1.1 200 OK\r\nRequest-Identifier: {id}\r\nServer-Signature: sig.{identifier}.{id}\r\n\
             Content-Type: text/event-stream\r\nContent-Length: {length}\r\n\r\n"
        );
        wire.stream.write_all(head.as_bytes()).ok()?;
        let start = Instant::now();
        for (number, (_, event)) in (1u32..).zip(&pieces) {
            std::thread::sleep((PIECE_PACE * number).saturating_sub(start.elapsed()));
            wire.stream.write_all(event.as_bytes()).ok()?;
        }
        Some(())
    }

    /// One piece: two to seven words.
    fn piece(&self, id: &str, piece: u64) -> String {
        let seed = id.bytes().chain(self.identifier().bytes()).fold(piece, |sum, byte| {
            (sum ^ u64::from(byte)).wrapping_mul(0x9e37_79b9_7f4a_7c15).rotate_left(23)
        });
        let words = ["field", "farm", "croft", "the roll says", "by the burn", "lot"];
        let count = 2 + seed % 6;
        let text: Vec<&str> = (0..count).map(|word| words[((seed >> (word * 7)) % 6) as usize]).collect();
        format!("id: {piece}\ndata: {}\n\n", text.join(" "))
    }
}

const CONFIGURATION: &str = r#"{"version":1,"routes":[{"name":"read","host":"desk.example","pathPrefix":"/read/",
"kind":"streaming","timeoutMs":5000,"targetLatencyMs":500,"priority":1,"service":"reader","attempts":2,"sticky":true,
"resumable":true,"gap_aim_ms":400}],
"services":[{"name":"reader","healthCheck":"/health","connectionLimit":610,"protocol":"h1","transportSecurity":false}],
"limits":{"headerBytes":16384,"bodyBytes":4194304,"headerTimeoutMs":3000,"idleTimeoutMs":15000}}"#;
