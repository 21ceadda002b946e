//! The processes of a small fleet, started by the commands of the deploy file, and their settings files.

use std::fmt::Write;
use std::net::{Ipv4Addr, SocketAddr, SocketAddrV4, TcpListener};
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::sync::Mutex;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use crate::http::{Message, call};
use crate::record;

pub const SIGTERM: i32 = 15;

const FRONT_PORT: u16 = 8144;
const READINESS_PORT: u16 = 8140;
const CONTROL_PORT: u16 = 8146;
const CLOUD_PORT: u16 = 8142;

unsafe extern "C" {
    fn kill(process: i32, signal: i32) -> i32;
}

/// All processes that were started and not waited for.
static STARTED: Mutex<Vec<(String, Child)>> = Mutex::new(Vec::new());
static FOLDER: Mutex<Option<PathBuf>> = Mutex::new(None);

/// The machines of one run: core machines, one edge machine, and the addresses of the stand-ins.
pub struct Fleet {
    network: (u8, u8),
    cores: usize,
    internal_ports: (u16, u16),
    folder: PathBuf,
}

impl Fleet {
    /// Chooses addresses in 127.0.0.0/8, free ports and a temporary folder.
    pub fn new(cores: usize) -> Result<Fleet, String> {
        let nanos = SystemTime::now()
            .duration_since(UNIX_EPOCH)
            .map_err(|error| error.to_string())?
            .subsec_nanos();
        let seed = nanos ^ std::process::id().wrapping_mul(2_654_435_761);
        let network = ((seed % 200 + 20) as u8, (seed / 200 % 80 * 3 + 1) as u8);
        let first = (0..500u32)
            .map(|attempt| 10_000 + (((seed >> 8) + attempt * 97) % 1_300 * 16) as u16)
            .find(|port| TcpListener::bind((Ipv4Addr::LOCALHOST, *port)).is_ok())
            .ok_or("no free ports")?;
        let folder =
            std::env::temp_dir().join(format!("lockusher-review-2-{}-{nanos}", std::process::id()));
        std::fs::create_dir_all(&folder).map_err(|error| error.to_string())?;
        *FOLDER.lock().unwrap() = Some(folder.clone());
        Ok(Fleet {
            network,
            cores,
            internal_ports: (first, first + 15),
            folder,
        })
    }

    fn ip(&self, kind: u8, number: u8) -> Ipv4Addr {
        Ipv4Addr::new(127, self.network.0, self.network.1 + kind, 10 + number)
    }

    pub fn operator(&self, core: usize) -> SocketAddr {
        SocketAddrV4::new(self.ip(0, core as u8), CONTROL_PORT).into()
    }

    pub fn front(&self) -> SocketAddr {
        SocketAddrV4::new(self.ip(1, 0), FRONT_PORT).into()
    }

    pub fn readiness(&self) -> SocketAddr {
        SocketAddrV4::new(self.ip(1, 0), READINESS_PORT).into()
    }

    pub fn cloud(&self) -> SocketAddr {
        SocketAddrV4::new(self.ip(2, 0), CLOUD_PORT).into()
    }

    /// The address of a searcher.
    pub fn searcher(&self, number: u8) -> SocketAddr {
        SocketAddrV4::new(self.ip(2, 1 + number), 9_000).into()
    }

    /// Starts a control node on a core machine.
    pub fn start_control(&self, core: usize, first_start: bool) {
        let disk = self.folder.join(format!("disk-{core}"));
        std::fs::create_dir_all(&disk).expect("a folder for a disk");
        let mut text = self.common("core", core, self.ip(0, core as u8), first_start);
        let _ = write!(
            text,
            "role=control\nserves=control_plane\nlistenAddresses.control={}\ncountsForQuorum=true\n\
             limits.cpuShare=0.15\nlimits.memoryMb=256\nlimits.fileDescriptors=4096\nlimits.diskMb=128\ndataDirectory={}\n",
            self.operator(core),
            disk.display()
        );
        self.start("control", &format!("core-{core}"), &text);
    }

    /// Starts the agent of the edge machine.
    pub fn start_agent(&self, first_start: bool) {
        let mut text = self.common("edge", 0, self.ip(1, 0), first_start);
        let control = SocketAddrV4::new(self.ip(1, 0), CONTROL_PORT);
        let _ = write!(
            text,
            "role=agent\nserves=control_plane\nlistenAddresses.control={control}\n{EDGE_LIMITS}"
        );
        self.start("agent", "edge-0", &text);
    }

    /// Starts the proxy of the edge machine.
    pub fn start_proxy(&self, first_start: bool) {
        let mut text = self.common("edge", 0, self.ip(1, 0), first_start);
        let _ = write!(
            text,
            "role=proxy\nserves=edge\nlistenAddresses.front={}\nlistenAddresses.readiness={}\n{EDGE_LIMITS}",
            self.front(),
            self.readiness()
        );
        self.start("proxy", "edge-0", &text);
    }

    fn common(&self, class: &str, number: usize, ip: Ipv4Addr, first_start: bool) -> String {
        let seeds: Vec<String> = (0..self.cores.min(3))
            .map(|core| self.operator(core).to_string())
            .collect();
        format!(
            "node={class}-{number}\nmachineClass={class}\nipAddress={ip}\nzone=hall\nregion=area\nzones.hall=area\n\
             internalPorts={},{}\nseeds={}\nfirstStart={first_start}\nlimits.cores=1\nlimits.linkMbps=1000.0\n\
             discovery=cloud\nentry=virtual_ip\nheartbeatMs=1200\n\
             contracts=base,drain,config,cost,retry,recover,split,stream,engine\n\
             faultTolerance.machines={}\nfaultTolerance.zones=0\nfaultTolerance.regions=0\n\
             cloud.address={}\ncloud.ratePerS=40.0\ncloud.duties=\ncloud.lagMs=800\n{BOUNDS}",
            self.internal_ports.0,
            self.internal_ports.1,
            seeds.join(","),
            (self.cores - 1) / 2,
            self.cloud(),
        )
    }

    fn start(&self, role: &str, node: &str, settings: &str) {
        let file = self.folder.join(format!("{role}-{node}.conf"));
        std::fs::write(&file, settings).expect("a settings file");
        let log = std::fs::OpenOptions::new()
            .create(true)
            .append(true)
            .open(self.folder.join(format!("{role}-{node}.log")));
        let log = log.expect("a log file");
        let mut command = Command::new("target/release/lockusher-node");
        command
            .arg(role)
            .env_clear()
            .env("LOCKUSHER_NODE_FILE", &file);
        for name in ["PATH", "HOME", "LANG"] {
            if let Some(value) = std::env::var_os(name) {
                command.env(name, value);
            }
        }
        let child = command
            .stdin(Stdio::null())
            .stdout(Stdio::null())
            .stderr(log)
            .spawn();
        let child = child.expect("target/release/lockusher-node can't be started");
        record::line(&format!(
            "started {role} {node}, process {}, firstStart {}",
            child.id(),
            settings.contains("firstStart=true")
        ));
        STARTED.lock().unwrap().push((role.to_owned(), child));
    }

    /// The last lines of a process's log.
    pub fn log_tail(&self, role: &str, node: &str, lines: usize) -> Vec<String> {
        let text = std::fs::read_to_string(self.folder.join(format!("{role}-{node}.log")))
            .unwrap_or_default();
        let all: Vec<&str> = text.lines().collect();
        all.iter()
            .rev()
            .take(lines)
            .rev()
            .map(|line| (*line).to_owned())
            .collect()
    }

    /// Puts a configuration as the operator does, until it is taken or `time_limit` is over; the last answer.
    pub fn put(&self, if_match: u64, body: &str, time_limit: Duration) -> Result<Message, String> {
        let end = Instant::now() + time_limit;
        let mut last = Err("no call".to_owned());
        let mut attempt = 0;
        while Instant::now() < end {
            let address = self.operator(attempt % self.cores);
            attempt += 1;
            let head = format!(
                "PUT /api/configuration HTTP/1.1\r\nIf-Match: {if_match}\r\nContent-Type: application/json"
            );
            let answer = call(address, &head, body.as_bytes(), Duration::from_secs(1));
            last = answer.map_err(|error| error.to_string());
            if last.as_ref().is_ok_and(|answer| answer.status() == 200) {
                record::line(&format!(
                    "operator: PUT at {address} acknowledged, call {attempt}"
                ));
                return last;
            }
            std::thread::sleep(Duration::from_millis(200));
        }
        record::line(&format!(
            "operator: PUT not acknowledged in {attempt} calls, last {:?}",
            last.as_ref().map(Message::status)
        ));
        last
    }

    /// Waits until the proxy calls itself ready.
    pub fn await_ready(&self, time_limit: Duration) -> Result<(), String> {
        let end = Instant::now() + time_limit;
        while Instant::now() < end {
            let answer = call(
                self.readiness(),
                "GET /api/readiness HTTP/1.1",
                b"",
                Duration::from_secs(1),
            );
            if answer.is_ok_and(|answer| answer.status() == 200) {
                record::line("the proxy is ready");
                return Ok(());
            }
            std::thread::sleep(Duration::from_millis(100));
        }
        Err("the proxy does not become ready".to_owned())
    }
}

/// Sends a signal to the newest process of each of these roles.
pub fn signal(roles: &[&str], signal: i32) {
    for (name, child) in STARTED.lock().unwrap().iter() {
        if roles.contains(&name.as_str()) {
            // SAFETY: the process was started here and has not been waited for, so that its id is its own.
            let result = unsafe { kill(child.id() as i32, signal) };
            record::line(&format!(
                "signal {signal} to {name}, process {}: {result}",
                child.id()
            ));
        }
    }
}

/// Waits until the processes of a role have ended, and forgets them.
pub fn await_end(role: &str, time_limit: Duration) -> bool {
    let end = Instant::now() + time_limit;
    loop {
        let mut started = STARTED.lock().unwrap();
        started.retain_mut(|(name, child)| {
            let ended = name == role && matches!(child.try_wait(), Ok(Some(_)));
            if ended {
                record::line(&format!("{name}, process {}, has ended", child.id()));
            }
            !ended
        });
        let left = started.iter().any(|(name, _)| name == role);
        drop(started);
        if !left || Instant::now() >= end {
            return !left;
        }
        std::thread::sleep(Duration::from_millis(5));
    }
}

/// Ends all processes and removes the folder.
pub fn end_all() {
    for (_, child) in STARTED
        .lock()
        .unwrap_or_else(|error| error.into_inner())
        .iter_mut()
    {
        let _ = child.kill();
        let _ = child.wait();
    }
    if let Some(folder) = FOLDER
        .lock()
        .unwrap_or_else(|error| error.into_inner())
        .take()
    {
        let _ = std::fs::remove_dir_all(folder);
    }
}

const EDGE_LIMITS: &str = "countsForQuorum=false\nlimits.cpuShare=0.25\nlimits.memoryMb=260\n\
    limits.fileDescriptors=4100\nlimits.diskMb=0\n";

const BOUNDS: &str = "bounds.seedLagS=3\nbounds.reuseAfterS=2\nbounds.contactMs=3000\nbounds.acknowledgeMs=4000\n\
    bounds.catchUpS=4\nbounds.drainMs=3000\nbounds.graceS=8\nbounds.lossSlackMs=200\nbounds.configurationMs=2000\n\
    bounds.rollbackSlackMs=250\nbounds.outerBoundMs=5000\nbounds.retryBudgetRatio=0.2\nbounds.budgetWindowS=10\n\
    bounds.retryBudgetSlack=52\nbounds.recoveryS=12\nbounds.transitMs=120\nbounds.again_s=7.5\nbounds.fenced=false\n\
    bounds.leaseMs=3000\nbounds.thawMs=300\n";
