//! A searcher of a language-model service: runs the engine model in real time behind an HTTP server.

use std::collections::HashMap;
use std::net::{SocketAddr, TcpListener};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::mpsc::{Receiver, Sender, channel};
use std::sync::{Arc, Condvar, Mutex, PoisonError};
use std::thread::JoinHandle;
use std::time::Duration;

use serde_json::Value;

use crate::engine::{
    Engine, EngineParameters, HandleId, JobKey, Micros, Output, Part, Rejection, Report, Stage,
    Submission,
};
use crate::kv_network::KvNetwork;
use crate::model_http::ModelHandler;
use crate::record::{ArrivalLog, TestClock};
use crate::searcher::{FaultPlan, Identity, list_entry};
use crate::server::{Handler, Server, lock};

/// Parameters of a model searcher.
#[derive(Clone, Debug)]
pub struct ModelParameters {
    pub engine: EngineParameters,
    /// Tokens per event of a stream.
    pub stride: u64,
    pub connection_limit: usize,
    /// Path of the health check.
    pub health_path: String,
    /// Whether orders with a lower fencing token than an earlier order's are refused.
    pub fenced: bool,
}

/// A held prompt and the request that prefilled it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct HeldPrompt {
    pub handle: HandleId,
    pub request_id: String,
}

/// The engine with the channels for its outputs and the names of its handles.
struct EngineState {
    engine: Engine,
    output_senders: HashMap<JobKey, Sender<Output>>,
    held_prompts: HashMap<String, HeldPrompt>,
}

/// State shared by the threads of one searcher.
pub(crate) struct ModelCore {
    pub parameters: ModelParameters,
    pub identity: Identity,
    pub clock: TestClock,
    pub arrival_log: ArrivalLog,
    pub faults: FaultPlan,
    pub network: KvNetwork,
    pub draining: AtomicBool,
    next_run: AtomicU64,
    core: Mutex<EngineState>,
    engine_changed: Condvar,
    stopped: AtomicBool,
}

impl ModelCore {
    /// Submits a request to the engine; its outputs arrive on the receiver.
    pub fn submit(&self, submission: Submission) -> Result<(JobKey, Receiver<Output>), Rejection> {
        let mut core = lock(&self.core);
        let key = core.engine.submit(self.clock.now(), submission)?;
        let (sender, receiver) = channel();
        core.output_senders.insert(key, sender);
        self.engine_changed.notify_one();
        Ok((key, receiver))
    }

    /// Checks whether the engine would accept a request now; the error is the reason for its rejection.
    pub fn check_admissible(&self, submission: &Submission) -> Result<(), Rejection> {
        lock(&self.core)
            .engine
            .check_admissible(self.clock.now(), submission)
    }

    /// Drops a request whose caller has disconnected.
    pub fn cancel(&self, key: JobKey) {
        let mut core = lock(&self.core);
        core.engine.cancel(key);
        core.output_senders.remove(&key);
    }

    /// Runs `operation` on the engine and wakes the engine thread.
    pub fn with_engine<T>(&self, operation: impl FnOnce(&mut Engine, Micros) -> T) -> T {
        let mut core = lock(&self.core);
        let result = operation(&mut core.engine, self.clock.now());
        self.engine_changed.notify_one();
        result
    }

    /// Registers the handle of a prefilled prompt and returns its name on the wire.
    pub fn register_handle(&self, handle: HandleId, request_id: &str) -> String {
        let name = format!(
            "{:06x}{:06x}",
            crate::record::digest(self.identity.instance.as_bytes()) >> 40,
            handle.0
        );
        let held_prompt = HeldPrompt {
            handle,
            request_id: request_id.to_owned(),
        };
        lock(&self.core)
            .held_prompts
            .insert(name.clone(), held_prompt);
        name
    }

    /// Removes a held prompt and returns it with the id of the request that prefilled it.
    pub fn take_held_prompt(&self, name: &str) -> Option<(Vec<Part>, String)> {
        let now = self.clock.now();
        let mut core = lock(&self.core);
        let held_prompt = core.held_prompts.remove(name)?;
        let parts = core.engine.take_handle(now, held_prompt.handle)?;
        self.engine_changed.notify_one();
        Some((parts, held_prompt.request_id))
    }

    /// Creates a signature that is unique to a run.
    pub fn new_signature(&self) -> String {
        format!(
            "{}.{:x}",
            self.identity.instance,
            self.next_run.fetch_add(1, Ordering::SeqCst)
        )
    }

    /// Advances the engine in real time until the searcher is stopped.
    fn run_engine(&self) {
        let mut core = lock(&self.core);
        while !self.stopped.load(Ordering::SeqCst) {
            let outputs = core.engine.advance(self.clock.now());
            for output in outputs {
                deliver(&mut core.output_senders, output);
            }
            let now = self.clock.now();
            let wait = core
                .engine
                .next_event_at()
                .map(|at| Duration::from_micros(at.saturating_sub(now)));
            core = match wait {
                Some(wait) => {
                    self.engine_changed
                        .wait_timeout(core, wait)
                        .unwrap_or_else(PoisonError::into_inner)
                        .0
                }
                None => self
                    .engine_changed
                    .wait(core)
                    .unwrap_or_else(PoisonError::into_inner),
            };
        }
    }
}

/// Sends an output to the thread that serves its request; the last output closes the channel.
fn deliver(output_senders: &mut HashMap<JobKey, Sender<Output>>, output: Output) {
    let (job, is_last) = match output {
        Output::Token { job, .. } | Output::Preempted { job, .. } => (job, false),
        Output::Finished { job, .. }
        | Output::Prefilled { job, .. }
        | Output::Rejected { job, .. }
        | Output::DeadlineExceeded { job, .. } => (job, true),
    };
    if let Some(sender) = output_senders.get(&job) {
        // Without a receiver the request is already cancelled.
        let _ = sender.send(output);
    }
    if is_last {
        output_senders.remove(&job);
    }
}

/// A model searcher that serves until it is stopped or dropped.
pub struct ModelSearcher {
    core: Arc<ModelCore>,
    server: Server,
    engine_thread: Option<JoinHandle<()>>,
}

impl ModelSearcher {
    /// Listens on the identity's address and serves `stage`.
    pub fn start(
        mut identity: Identity,
        stage: Stage,
        parameters: ModelParameters,
        clock: TestClock,
        arrival_log: ArrivalLog,
        network: KvNetwork,
    ) -> std::io::Result<ModelSearcher> {
        let listener = TcpListener::bind(identity.address)?;
        identity.address = listener.local_addr()?;
        let (address, limit) = (identity.address, parameters.connection_limit);
        let engine = Engine::new(parameters.engine.clone(), stage);
        let core = Arc::new(ModelCore {
            parameters,
            identity,
            clock,
            arrival_log,
            faults: FaultPlan::default(),
            network,
            draining: AtomicBool::new(false),
            next_run: AtomicU64::new(0),
            core: Mutex::new(EngineState {
                engine,
                output_senders: HashMap::new(),
                held_prompts: HashMap::new(),
            }),
            engine_changed: Condvar::new(),
            stopped: AtomicBool::new(false),
        });
        let handler: Arc<dyn Handler> = Arc::new(ModelHandler::new(Arc::clone(&core)));
        let server = Server::start(listener, limit, handler)?;
        core.network.register(address, &core);
        let engine_core = Arc::clone(&core);
        let engine_thread = std::thread::spawn(move || engine_core.run_engine());
        Ok(ModelSearcher {
            core,
            server,
            engine_thread: Some(engine_thread),
        })
    }

    /// The identity, with the bound address.
    pub fn identity(&self) -> &Identity {
        &self.core.identity
    }

    /// The entry for the platform's list, without `state`.
    pub fn entry(&self) -> Value {
        let stage = self.report().stage.as_str();
        list_entry(
            &self.core.identity,
            self.core.parameters.engine.slots,
            Some(stage),
        )
    }

    /// The current state of the engine.
    pub fn report(&self) -> Report {
        self.core.with_engine(|engine, _| engine.report())
    }

    /// The faults to inject.
    pub fn faults(&self) -> &FaultPlan {
        &self.core.faults
    }

    /// Makes every later KV transfer to this searcher `factor` times as long.
    pub fn set_link_slow_down(&self, factor: u64) {
        self.core
            .with_engine(|engine, _| engine.set_link_slow_down(factor));
    }

    /// Makes every later step `factor` times as long.
    pub fn set_slow_down(&self, factor: u64) {
        self.core
            .with_engine(|engine, _| engine.set_slow_down(factor));
    }

    /// Expires all held prompts at once.
    pub fn expire_all_handles(&self) {
        self.core
            .with_engine(|engine, _| engine.expire_all_handles());
    }

    /// Starts to drain: health checks fail and responses carry `Connection: close`, but requests are still served.
    pub fn drain(&self) {
        self.core.draining.store(true, Ordering::SeqCst);
    }

    /// The address it listens on.
    pub fn address(&self) -> SocketAddr {
        self.server.address()
    }

    /// Stops abruptly, like a crash. Afterwards another searcher can use the address.
    pub fn stop(&mut self) {
        if self.core.stopped.swap(true, Ordering::SeqCst) {
            return;
        }
        self.core.network.unregister(self.server.address());
        self.core
            .arrival_log
            .fail_unfinished(&self.core.identity.instance);
        self.server.stop();
        // The engine thread checks `stopped` and starts to wait under this lock. Without taking it, the notification
        // could come between the two and be lost.
        drop(
            self.core
                .core
                .lock()
                .unwrap_or_else(PoisonError::into_inner),
        );
        self.core.engine_changed.notify_all();
        if let Some(engine_thread) = self.engine_thread.take() {
            // A panic of the engine thread appears in the test output.
            let _ = engine_thread.join();
        }
    }
}

impl Drop for ModelSearcher {
    fn drop(&mut self) {
        self.stop();
    }
}
