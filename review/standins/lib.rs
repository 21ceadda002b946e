//! Stand-ins for the review's cases, on the standard library alone: HTTP/1.1, the platform's list, the operator, plain
//! searchers, and the processes of a small fleet on loopback addresses.

use std::collections::HashMap;
use std::fs::{self, File, OpenOptions};
use std::io::{self, Read, Write};
use std::net::{Ipv4Addr, SocketAddr, SocketAddrV4, TcpListener, TcpStream};
use std::os::unix::process::CommandExt;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

unsafe extern "C" {
    fn kill(pid: i32, signal: i32) -> i32;
    fn prctl(option: i32, argument: u64) -> i32;
}

/// `PR_SET_PDEATHSIG`: the signal that a process gets when its parent ends.
const SET_PARENT_DEATH_SIGNAL: i32 = 1;

pub const SIGTERM: i32 = 15;
pub const SIGKILL: i32 = 9;
pub const SIGSTOP: i32 = 19;
pub const SIGCONT: i32 = 18;

pub fn signal(pid: u32, number: i32) {
    unsafe { kill(pid as i32, number) };
}

/// The record of a run: one line an event, with the seconds since the start.
#[derive(Clone)]
pub struct Record {
    start: Instant,
    file: Arc<Mutex<File>>,
}

impl Record {
    pub fn create(path: &Path) -> io::Result<Record> {
        Ok(Record { start: Instant::now(), file: Arc::new(Mutex::new(File::create(path)?)) })
    }

    pub fn seconds(&self) -> f64 {
        self.start.elapsed().as_secs_f64()
    }

    pub fn line(&self, text: impl AsRef<str>) {
        let mut file = self.file.lock().unwrap();
        let _ = writeln!(file, "{:8.3} {}", self.seconds(), text.as_ref());
    }
}

/// Head of an HTTP message: the first line, and the fields with names in lower case.
#[derive(Clone, Debug, Default)]
pub struct Head {
    pub first: String,
    pub fields: Vec<(String, String)>,
}

impl Head {
    pub fn get(&self, name: &str) -> Option<&str> {
        self.fields.iter().find(|(field, _)| field == name).map(|(_, value)| value.as_str())
    }

    pub fn status(&self) -> u16 {
        self.first.split(' ').nth(1).and_then(|status| status.parse().ok()).unwrap_or(0)
    }

    pub fn method(&self) -> &str {
        self.first.split(' ').next().unwrap_or("")
    }

    pub fn target(&self) -> &str {
        self.first.split(' ').nth(1).unwrap_or("")
    }

    pub fn closes(&self) -> bool {
        self.get("connection").is_some_and(|value| value.to_ascii_lowercase().contains("close"))
    }
}

/// A buffered connection.
pub struct Wire {
    pub stream: TcpStream,
    buffer: Vec<u8>,
}

impl Wire {
    pub fn new(stream: TcpStream) -> Wire {
        let _ = stream.set_nodelay(true);
        Wire { stream, buffer: Vec::new() }
    }

    pub fn connect(address: SocketAddr, limit: Duration) -> io::Result<Wire> {
        Ok(Wire::new(TcpStream::connect_timeout(&address, limit)?))
    }

    fn fill(&mut self) -> io::Result<usize> {
        let mut chunk = [0; 16_384];
        let read = self.stream.read(&mut chunk)?;
        self.buffer.extend_from_slice(&chunk[..read]);
        Ok(read)
    }

    /// The next head; `None` at the end of the stream before its first byte.
    pub fn head(&mut self) -> io::Result<Option<Head>> {
        loop {
            if let Some(end) = self.buffer.windows(4).position(|window| window == b"\r\n\r\n") {
                let text = String::from_utf8_lossy(&self.buffer[..end]).into_owned();
                self.buffer.drain(..end + 4);
                let mut lines = text.split("\r\n");
                let first = lines.next().unwrap_or("").to_owned();
                let fields = lines.filter_map(|line| line.split_once(':'));
                let fields = fields.map(|(name, value)| (name.to_ascii_lowercase(), value.trim().to_owned()));
                return Ok(Some(Head { first, fields: fields.collect() }));
            }
            if self.fill()? == 0 {
                return if self.buffer.is_empty() { Ok(None) } else { Err(io::ErrorKind::UnexpectedEof.into()) };
            }
        }
    }

    fn take(&mut self, length: usize, body: &mut Vec<u8>) -> io::Result<()> {
        let mut left = length;
        loop {
            let part = left.min(self.buffer.len());
            body.extend(self.buffer.drain(..part));
            left -= part;
            if left == 0 {
                return Ok(());
            }
            if self.fill()? == 0 {
                return Err(io::ErrorKind::UnexpectedEof.into());
            }
        }
    }

    fn line(&mut self) -> io::Result<String> {
        loop {
            if let Some(end) = self.buffer.windows(2).position(|window| window == b"\r\n") {
                let text = String::from_utf8_lossy(&self.buffer[..end]).into_owned();
                self.buffer.drain(..end + 2);
                return Ok(text);
            }
            if self.fill()? == 0 {
                return Err(io::ErrorKind::UnexpectedEof.into());
            }
        }
    }

    /// Reads the body of a message into `body`; what has arrived stays there after an error.
    pub fn body(&mut self, head: &Head, body: &mut Vec<u8>) -> io::Result<()> {
        if head.get("transfer-encoding").is_some() {
            loop {
                let size = usize::from_str_radix(self.line()?.split(';').next().unwrap_or("").trim(), 16);
                let size = size.map_err(|_| io::Error::from(io::ErrorKind::InvalidData))?;
                self.take(size, body)?;
                if self.line()?.is_empty() && size == 0 {
                    return Ok(());
                }
            }
        }
        let length = head.get("content-length").and_then(|length| length.parse().ok()).unwrap_or(0);
        self.take(length, body)
    }
}

/// Bytes of an HTTP message with a body of known length.
pub fn message(first: &str, fields: &[(&str, &str)], body: &[u8]) -> Vec<u8> {
    let mut text = format!("{first}\r\n");
    for (name, value) in fields {
        text.push_str(&format!("{name}: {value}\r\n"));
    }
    text.push_str(&format!("Content-Length: {}\r\n\r\n", body.len()));
    let mut bytes = text.into_bytes();
    bytes.extend_from_slice(body);
    bytes
}

/// Serves every connection of a listener on a thread of its own.
pub fn serve(address: SocketAddr, handle: impl Fn(TcpStream) + Send + Sync + 'static) -> io::Result<()> {
    let listener = TcpListener::bind(address)?;
    let handle = Arc::new(handle);
    std::thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let handle = handle.clone();
            std::thread::spawn(move || handle(stream));
        }
    });
    Ok(())
}

/// The platform's list of instances; its entries, by identifier, are JSON objects.
#[derive(Clone, Default)]
pub struct Platform {
    entries: Arc<Mutex<std::collections::BTreeMap<String, String>>>,
}

impl Platform {
    pub fn start(&self, address: SocketAddr) -> io::Result<()> {
        let platform = self.clone();
        serve(address, move |stream| {
            let mut wire = Wire::new(stream);
            while let Ok(Some(head)) = wire.head() {
                let entries: Vec<String> = platform.entries.lock().unwrap().values().cloned().collect();
                let body = format!("{{\"instances\":[{}],\"nextToken\":null}}", entries.join(","));
                let answer = message("HTTP/1.1 200 OK", &[("Content-Type", "application/json")], body.as_bytes());
                if wire.stream.write_all(&answer).is_err() || head.closes() {
                    return;
                }
            }
        })
    }

    pub fn put(&self, identifier: &str, service: &str, address: SocketAddr, zone: &str, more: &str) {
        let entry = format!(
            "{{\"identifier\":\"{identifier}\",\"service\":\"{service}\",\"address\":\"{address}\",\"zone\":\"{zone}\",\
             \"version\":\"v1\",\"slots\":128,\"state\":\"ready\",\"coldRemainingMs\":0{more}}}"
        );
        self.entries.lock().unwrap().insert(identifier.to_owned(), entry);
    }

    pub fn remove(&self, identifier: &str) {
        self.entries.lock().unwrap().remove(identifier);
    }
}

/// One HTTP exchange on a new connection.
pub fn call(address: SocketAddr, request: &[u8], limit: Duration) -> io::Result<(Head, Vec<u8>)> {
    let mut wire = Wire::connect(address, limit)?;
    wire.stream.set_read_timeout(Some(limit))?;
    wire.stream.write_all(request)?;
    let head = wire.head()?.ok_or(io::ErrorKind::UnexpectedEof)?;
    let mut body = Vec::new();
    wire.body(&head, &mut body)?;
    Ok((head, body))
}

/// A process of the fleet. It is killed when dropped.
pub struct Node {
    pub name: String,
    pub child: Child,
}

impl Node {
    pub fn has_ended(&mut self) -> bool {
        matches!(self.child.try_wait(), Ok(Some(_)))
    }
}

impl Drop for Node {
    fn drop(&mut self) {
        signal(self.child.id(), SIGCONT);
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

/// Addresses and settings of a small fleet: core machines with control nodes, edge machines with agent and proxy. Each
/// machine has a loopback address of its own.
pub struct Fleet {
    pub folder: PathBuf,
    pub program: PathBuf,
    network: (u8, u8),
    ports: u16,
    pub cores: usize,
    pub link_mbps: u32,
    pub zones: Vec<&'static str>,
    first_start: Mutex<HashMap<String, bool>>,
}

impl Fleet {
    pub fn new(cores: usize, link_mbps: u32, zones: Vec<&'static str>) -> io::Result<Fleet> {
        let number = std::process::id();
        let folder = std::env::temp_dir().join(format!("lockusher-review-{number}"));
        fs::create_dir_all(&folder)?;
        let network = ((number % 200 + 20) as u8, (number / 200 % 80 * 3 + 1) as u8);
        // The agent serves its proxy at 127.0.0.1, so that each edge machine needs a port range of its own.
        let ports = (0..2_000u32)
            .map(|step| 10_000 + ((number + step * 7) % 600 * 32) as u16)
            .find(|first| (0..8).all(|edge| TcpListener::bind((Ipv4Addr::LOCALHOST, first + edge * 4)).is_ok()))
            .ok_or(io::ErrorKind::AddrInUse)?;
        Ok(Fleet {
            folder,
            program: PathBuf::from("target/release/lockusher-node"),
            network,
            ports,
            cores,
            link_mbps,
            zones,
            first_start: Mutex::default(),
        })
    }

    pub fn ip(&self, net: u8, number: usize) -> Ipv4Addr {
        Ipv4Addr::new(127, self.network.0, self.network.1 + net, 10 + number as u8)
    }

    pub fn at(&self, net: u8, number: usize, port: u16) -> SocketAddr {
        SocketAddr::V4(SocketAddrV4::new(self.ip(net, number), port))
    }

    pub fn operator(&self, core: usize) -> SocketAddr {
        self.at(0, core, 8146)
    }

    pub fn front(&self, edge: usize) -> SocketAddr {
        self.at(1, edge, 8144)
    }

    pub fn readiness(&self, edge: usize) -> SocketAddr {
        self.at(1, edge, 8140)
    }

    pub fn platform(&self) -> SocketAddr {
        self.at(2, 0, 8142)
    }

    /// An address of a stand-in.
    pub fn stand_in(&self, number: usize) -> SocketAddr {
        self.at(2, 1 + number, 8080)
    }

    fn settings(&self, role: &str, machine: usize, first_start: bool) -> String {
        let is_core = role == "control";
        let zone = self.zones[machine % self.zones.len()];
        let class = if is_core { "core" } else { "edge" };
        let mut text = format!(
            "node={class}-{machine}\nrole={role}\nmachineClass={class}\nipAddress={}\nzone={zone}\nregion=r\n",
            self.ip(u8::from(!is_core), machine)
        );
        for zone in &self.zones {
            text.push_str(&format!("zones.{zone}=r\n"));
        }
        match role {
            "control" => {
                let disk = self.folder.join(format!("disk-{machine}"));
                let _ = fs::create_dir_all(&disk);
                text.push_str(&format!(
                    "serves=control_plane\nlistenAddresses.control={}\ncountsForQuorum=true\nlimits.diskMb=128\n\
                     dataDirectory={}\ninternalPorts=7660,7675\n",
                    self.operator(machine),
                    disk.display()
                ));
            }
            "agent" => text.push_str(&format!(
                "serves=control_plane\nlistenAddresses.control={}\ncountsForQuorum=false\nlimits.diskMb=0\n",
                self.at(1, machine, 8146)
            )),
            _ => text.push_str(&format!(
                "serves=edge\nlistenAddresses.front={}\nlistenAddresses.readiness={}\ncountsForQuorum=false\n\
                 limits.diskMb=0\n",
                self.front(machine),
                self.readiness(machine)
            )),
        }
        if !is_core {
            let first = self.ports + machine as u16 * 4;
            text.push_str(&format!("internalPorts={first},{}\n", first + 3));
        }
        let seeds: Vec<String> = (0..self.cores.min(3)).map(|core| self.operator(core).to_string()).collect();
        text.push_str(&format!(
            "seeds={}\nfirstStart={first_start}\nlimits.cpuShare=0.25\nlimits.cores=1\nlimits.memoryMb=260\n\
             limits.fileDescriptors=4100\nlimits.linkMbps={}.0\ndiscovery=cloud\nentry=virtual_ip\nheartbeatMs=1200\n\
             contracts=base,drain,config,cost,retry,recover,split,stream,engine\nfaultTolerance.machines={}\n\
             faultTolerance.zones=0\nfaultTolerance.regions=0\ncloud.address={}\ncloud.ratePerS=40.0\ncloud.duties=\n\
             cloud.lagMs=800\nbounds.seedLagS=3\nbounds.reuseAfterS=2\nbounds.contactMs=3000\nbounds.acknowledgeMs=4000\n\
             bounds.catchUpS=4\nbounds.drainMs=3000\nbounds.graceS=8\nbounds.lossSlackMs=200\nbounds.configurationMs=2000\n\
             bounds.rollbackSlackMs=250\nbounds.outerBoundMs=5000\nbounds.retryBudgetRatio=0.2\nbounds.budgetWindowS=10\n\
             bounds.retryBudgetSlack=52\nbounds.recoveryS=12\nbounds.transitMs=120\nbounds.again_s=7.5\n\
             bounds.fenced=false\nbounds.leaseMs=3000\nbounds.thawMs=300\n",
            seeds.join(","),
            self.link_mbps,
            (self.cores - 1) / 2,
            self.platform()
        ));
        text
    }

    /// Starts a role on a machine; `firstStart` is true for its first start only.
    pub fn start(&self, role: &str, machine: usize) -> io::Result<Node> {
        let name = format!("{role}-{machine}");
        let first = self.first_start.lock().unwrap().insert(name.clone(), true).is_none();
        let settings = self.folder.join(format!("{name}.conf"));
        fs::write(&settings, self.settings(role, machine, first))?;
        let log = OpenOptions::new().create(true).append(true).open(self.folder.join(format!("{name}.log")))?;
        let mut command = Command::new(&self.program);
        // The processes end with this one, also if it is killed.
        unsafe {
            command.pre_exec(|| {
                prctl(SET_PARENT_DEATH_SIGNAL, SIGKILL as u64);
                Ok(())
            })
        };
        let child = command
            .arg(role)
            .env_clear()
            .env("LOCKUSHER_NODE_FILE", &settings)
            .stdin(Stdio::null())
            .stdout(log.try_clone()?)
            .stderr(log)
            .spawn()?;
        Ok(Node { name, child })
    }

    /// Puts a configuration until it is acknowledged.
    pub fn configure(&self, if_match: u64, configuration: &str, limit: Duration) -> io::Result<()> {
        let end = Instant::now() + limit;
        for core in (0..self.cores).cycle() {
            let host = self.operator(core).to_string();
            let version = if_match.to_string();
            let fields = [("Host", host.as_str()), ("If-Match", &version), ("Content-Type", "application/json")];
            let request = message("PUT /api/configuration HTTP/1.1", &fields, configuration.as_bytes());
            if let Ok((head, body)) = call(self.operator(core), &request, Duration::from_secs(1)) {
                if head.status() == 200 {
                    return Ok(());
                }
                if (400..500).contains(&head.status()) {
                    return Err(io::Error::other(String::from_utf8_lossy(&body).into_owned()));
                }
            }
            if Instant::now() > end {
                break;
            }
            std::thread::sleep(Duration::from_millis(150));
        }
        Err(io::ErrorKind::TimedOut.into())
    }

    pub fn is_ready(&self, edge: usize) -> bool {
        let request = message("GET /api/readiness HTTP/1.1", &[("Host", "mixer"), ("Connection", "close")], b"");
        call(self.readiness(edge), &request, Duration::from_millis(900)).is_ok_and(|(head, _)| head.status() == 200)
    }

    pub fn wait_ready(&self, edge: usize, limit: Duration) -> bool {
        let end = Instant::now() + limit;
        while Instant::now() < end {
            if self.is_ready(edge) {
                return true;
            }
            std::thread::sleep(Duration::from_millis(100));
        }
        false
    }
}

impl Drop for Fleet {
    fn drop(&mut self) {
        remove_folder(&self.folder);
    }
}

/// Removes a fleet's folder, with settings, logs and disks, unless `KEEP` is set.
pub fn remove_folder(folder: &Path) {
    if std::env::var_os("KEEP").is_none() {
        let _ = fs::remove_dir_all(folder);
    }
}

/// A new request identifier.
pub fn new_id() -> String {
    static NEXT: AtomicU64 = AtomicU64::new(1);
    format!("{:016x}", u64::from(std::process::id()) << 32 | NEXT.fetch_add(1, Ordering::SeqCst))
}

pub fn trouble() -> bool {
    std::env::var("TROUBLE").map_or(true, |value| value != "0")
}

/// Forwards the bytes of every connection to `target`.
pub fn forward(listen: SocketAddr, target: SocketAddr) -> io::Result<()> {
    serve(listen, move |stream| {
        if let Ok(other) = TcpStream::connect_timeout(&target, Duration::from_secs(1)) {
            pump_both(stream, other);
        }
    })
}

fn pump_both(one: TcpStream, other: TcpStream) {
    let (Ok(one_copy), Ok(other_copy)) = (one.try_clone(), other.try_clone()) else { return };
    std::thread::spawn(move || pump(one_copy, other_copy));
    pump(other, one);
}

fn pump(mut from: TcpStream, mut to: TcpStream) {
    let mut chunk = [0; 16_384];
    while let Ok(read @ 1..) = from.read(&mut chunk) {
        if to.write_all(&chunk[..read]).is_err() {
            break;
        }
    }
    let _ = from.shutdown(std::net::Shutdown::Both);
    let _ = to.shutdown(std::net::Shutdown::Both);
}

impl Fleet {
    /// A machine's agent expects control nodes at the first port of its own range, since all machines have the same
    /// range elsewhere. Here each edge machine has its own, so that their agents don't meet on 127.0.0.1.
    pub fn bridge(&self, edges: usize) -> io::Result<()> {
        for core in 0..self.cores {
            for edge in 0..edges {
                forward(self.at(0, core, self.ports + edge as u16 * 4), self.at(0, core, 7660))?;
            }
        }
        Ok(())
    }
}
