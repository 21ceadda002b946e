//! A planned restart of an edge machine while clients keep their connections.
//!
//! Each client sends a stream on a connection, and as soon as it has ended the next one on the same connection, as
//! clients do that keep connections. The machine gets SIGTERM while the first stream is being answered.

use std::io::{self, BufReader, Write};
use std::net::TcpStream;
use std::sync::Arc;
use std::thread;
use std::time::Duration;

use crate::fleet::{self, Fleet, SIGTERM};
use crate::http::{read_chunk, read_message};
use crate::record;
use crate::searcher::World;

const CLIENTS: usize = 4;
/// Time that clients give each request, and `timeoutMs` of the routes.
const DEADLINE: Duration = Duration::from_millis(6_000);
const GRACE: Duration = Duration::from_secs(8);
/// Events of the first and of the second stream; one each 100 ms.
const FIRST_EVENTS: u32 = 56;
const SECOND_EVENTS: u32 = 40;
/// The second request of every other client finds the searcher full, waits there for this long, and then takes this many
/// events.
const QUEUED_MS: u32 = 3_500;
const QUEUED_EVENTS: u32 = 12;
/// How long after its first requests the machine is stopped.
const STOP_AFTER: Duration = Duration::from_millis(1_000);
/// A request that was sent later than this after SIGTERM is counted though a searcher was still at work on it.
const SENT_EARLY: Duration = Duration::from_secs(3);

const CONFIGURATION: &str = r#"{"version":1,"routes":[
{"name":"note","host":"desk.example","pathPrefix":"/note/","kind":"streaming","timeoutMs":6000,"targetLatencyMs":400,"priority":2,"service":"lm","attempts":2,"sticky":true,"resumable":true,"gap_aim_ms":400},
{"name":"check","host":"desk.example","pathPrefix":"/check/","kind":"streaming","timeoutMs":6000,"targetLatencyMs":400,"priority":0,"service":"lm","attempts":1,"sticky":true,"resumable":false,"gap_aim_ms":400}],
"services":[{"name":"lm","healthCheck":"/health","connectionLimit":610,"protocol":"h1","transportSecurity":false,"engine":{"slots":128,"cacheTokens":716362,"cacheTokenBytes":18432,"linkMbps":350000.0,"stride":10,"handleHoldS":5.0,"roleSwitchS":3.6,"models":[{"name":"m"}]}}],
"limits":{"headerBytes":16384,"bodyBytes":4194304,"headerTimeoutMs":3000,"idleTimeoutMs":15000}}"#;

/// What a client saw of a request.
struct Seen {
    id: String,
    sent_at: Duration,
    ended_at: Duration,
    status: u16,
    closes: bool,
    events: usize,
    whole: bool,
}

pub fn run(trouble: bool) -> Result<usize, String> {
    let fleet = Fleet::new(3)?;
    let world = Arc::new(World::default());
    world.serve_platform(fleet.cloud())?;
    for (number, stage) in ["prefill", "decode", "decode"].into_iter().enumerate() {
        world.start_searcher("lm", stage, fleet.searcher(number as u8))?;
    }
    for core in 0..3 {
        fleet.start_control(core, true);
    }
    fleet.start_agent(true);
    fleet.start_proxy(true);
    fleet.put(0, CONFIGURATION, Duration::from_secs(20))?;
    fleet.await_ready(Duration::from_secs(20))?;
    // Nothing else happens for longer than `contactMs` before the first request.
    thread::sleep(Duration::from_secs(5));

    let front = fleet.front();
    let clients: Vec<_> = (0..CLIENTS)
        .map(|number| thread::spawn(move || client(front, number)))
        .collect();
    thread::sleep(STOP_AFTER);
    let mut stopped_at = None;
    if trouble {
        stopped_at = Some(record::now());
        fleet::signal(&["proxy", "agent"], SIGTERM);
        // The platform starts a process that has ended again after a short delay.
        for role in ["agent", "proxy"] {
            if !fleet::await_end(role, GRACE + Duration::from_secs(1)) {
                return Err(format!("the {role} did not end within graceS"));
            }
            thread::sleep(Duration::from_millis(300));
            match role {
                "agent" => fleet.start_agent(false),
                _ => fleet.start_proxy(false),
            }
        }
    }
    let mut broken = 0;
    let mut seen = Vec::new();
    for client in clients {
        seen.extend(
            client
                .join()
                .map_err(|_| "a client failed")?
                .map_err(|error| error.to_string())?,
        );
    }
    let taken = world.taken.lock().unwrap();
    let begun = world.begun.lock().unwrap();
    for request in &seen {
        let passed_on = taken.contains(&request.id);
        let begun = begun.contains(&request.id);
        let took = request.ended_at - request.sent_at;
        record::line(&format!(
            "client: {} sent at {:.3}, ended at {:.3} after {:.3} s: status {}, {} events, {}{}, passed on: {passed_on}, begun: {begun}",
            request.id,
            request.sent_at.as_secs_f64(),
            request.ended_at.as_secs_f64(),
            took.as_secs_f64(),
            request.status,
            request.events,
            if request.whole {
                "complete"
            } else {
                "NOT COMPLETE"
            },
            if request.closes {
                ", Connection: close"
            } else {
                ""
            },
        ));
        let Some(stopped_at) = stopped_at else {
            broken += usize::from(!request.whole);
            continue;
        };
        let counts = request.sent_at > stopped_at + SENT_EARLY
            && request.ended_at < stopped_at + GRACE + Duration::from_secs(1)
            && took < DEADLINE * 7 / 10;
        if !request.whole && passed_on && counts {
            record::line(&format!(
                "LOST: {} was sent {:.3} s after SIGTERM, passed on ({}), and cut {:.3} s after SIGTERM",
                request.id,
                (request.sent_at - stopped_at).as_secs_f64(),
                if begun {
                    "the searcher was at work"
                } else {
                    "waiting in the searcher's queue"
                },
                (request.ended_at - stopped_at).as_secs_f64()
            ));
            broken += 1;
        }
    }
    for line in fleet.log_tail("proxy", "edge-0", 12) {
        record::line(&format!("log of the proxy: {line}"));
    }
    Ok(broken)
}

/// Sends two requests on one connection, the second when the first has ended.
fn client(front: std::net::SocketAddr, number: usize) -> io::Result<Vec<Seen>> {
    let mut stream = TcpStream::connect(front)?;
    stream.set_nodelay(true)?;
    stream.set_read_timeout(Some(DEADLINE + Duration::from_secs(1)))?;
    let mut reader = BufReader::new(stream.try_clone()?);
    let mut seen = Vec::new();
    let second = if number < CLIENTS / 2 {
        (SECOND_EVENTS, 0)
    } else {
        (QUEUED_EVENTS, QUEUED_MS)
    };
    for (turn, (events, queue_ms)) in [("a", (FIRST_EVENTS, 0)), ("b", second)] {
        let id = format!("{number:04x}{turn}{:08x}", record::now().as_micros() as u32);
        let path = if number % 2 == 0 || turn == "a" {
            "/note/x"
        } else {
            "/check/x"
        };
        let request = format!(
            "POST {path} HTTP/1.1\r\nHost: desk.example\r\nRequest-Identifier: {id}\r\nModel: m\r\n\
             Token-Counts: 100,{events}\r\nPrompt-Prefix: 5c1e07a{number}:60,91bd3f{number}{turn}:40\r\n\
             X-Queue-Ms: {queue_ms}\r\nDeadline-Remaining: {}\r\nContent-Length: 6\r\n\r\nprompt",
            DEADLINE.as_millis()
        );
        let sent_at = record::now();
        record::line(&format!(
            "client {number} sends {id} to {path} on its connection"
        ));
        stream.write_all(request.as_bytes())?;
        let answer = read_stream(&mut reader, id, sent_at);
        let goes_on = answer.whole && !answer.closes;
        seen.push(answer);
        if !goes_on {
            break;
        }
    }
    Ok(seen)
}

fn read_stream(reader: &mut BufReader<TcpStream>, id: String, sent_at: Duration) -> Seen {
    let mut seen = Seen {
        id,
        sent_at,
        ended_at: sent_at,
        status: 0,
        closes: false,
        events: 0,
        whole: false,
    };
    if let Ok(Some(head)) = read_message(reader) {
        seen.status = head.status();
        seen.closes = head.field("connection") == Some("close");
        if head.field("transfer-encoding") == Some("chunked") {
            while let Ok(chunk) = read_chunk(reader) {
                if chunk.is_empty() {
                    seen.whole = true;
                    break;
                }
                seen.events += String::from_utf8_lossy(&chunk).matches("id: ").count();
            }
        } else {
            seen.whole = true;
        }
    }
    seen.ended_at = record::now();
    seen
}
