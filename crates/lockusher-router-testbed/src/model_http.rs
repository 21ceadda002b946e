//! HTTP handler of a model searcher: requests, event streams, prompt handles, reports and stage orders.

use std::sync::atomic::Ordering;
use std::sync::mpsc::{Receiver, RecvTimeoutError};
use std::sync::{Arc, Mutex};

use serde_json::{Value, json};

use crate::engine::{JobKey, Micros, OrderResponse, Output, Rejection, Stage, Submission};
use crate::event_stream::EventStream;
use crate::framing::BodyFraming;
use crate::http::{Connection, HttpError, Request, Response};
use crate::model_searcher::ModelCore;
use crate::record::{ArrivalKey, ArrivalOutcome, EventRecord, Run, RunBody, digest};
use crate::searcher::{
    DISCONNECT_POLL_INTERVAL, Fault, check_preconditions, hang_until_disconnect, health_response,
    new_arrival, not_executed,
};
use crate::server::{Handler, Next, lock};
use crate::submission::parse_submission;

/// Path prefix under which held prompts are deleted.
const HANDLE_PREFIX: &str = "/api/kv-handle/";

/// Serves the requests to one model searcher.
pub(crate) struct ModelHandler {
    core: Arc<ModelCore>,
    /// Highest fencing token of the orders so far.
    highest_fence: Mutex<u64>,
}

impl Handler for ModelHandler {
    fn handle(&self, request: Request, connection: &mut Connection) -> Next {
        let is_healthy = !self.core.draining.load(Ordering::SeqCst);
        match (request.method.as_str(), request.target.as_str()) {
            ("GET", path) if path == self.core.parameters.health_path => {
                self.send(connection, health_response(&self.core.identity, is_healthy))
            }
            ("GET", "/api/report") => self.send(connection, self.report()),
            ("POST", "/api/order") => self.send(connection, self.handle_order(&request)),
            ("DELETE", path) if path.starts_with(HANDLE_PREFIX) => {
                let freed = self
                    .core
                    .take_held_prompt(&path[HANDLE_PREFIX.len()..])
                    .is_some();
                self.send(connection, Response::new(if freed { 200 } else { 404 }))
            }
            _ => self.serve(&request, connection),
        }
    }
}

impl ModelHandler {
    /// Creates the handler of a searcher.
    pub fn new(core: Arc<ModelCore>) -> ModelHandler {
        ModelHandler {
            core,
            highest_fence: Mutex::new(0),
        }
    }

    fn serve(&self, request: &Request, connection: &mut Connection) -> Next {
        let record = new_arrival(request, &self.core.identity, self.core.clock.now());
        let arrival = self.core.arrival_log.record(record);
        if let Some(response) = check_preconditions(request, &self.core.identity) {
            return self.reject(connection, arrival, response);
        }
        let request_id = request
            .headers
            .get("Request-Identifier")
            .unwrap_or_default();
        let mut submission = parse_submission(request, self.core.clock.now());
        let fault = self.core.faults.take_next(submission.prefill_only);
        match fault {
            Some(Fault::ResetAfterRequest) => {
                self.core
                    .arrival_log
                    .set_outcome(arrival, ArrivalOutcome::Failed);
                return Next::Reset;
            }
            Some(Fault::Reject { status }) => {
                return self.reject(connection, arrival, not_executed(status, request_id));
            }
            _ => {}
        }
        if let Err(response) = self.prepare_transfer(request, request_id, arrival, &mut submission)
        {
            return self.reject(connection, arrival, response);
        }
        let tokens_out = submission.tokens_out;
        let tokens_sent = submission.tokens_already_generated;
        match self.core.submit(submission) {
            Err(reason) => self.reject(connection, arrival, rejection_response(reason, request_id)),
            Ok((job, outputs)) => {
                let signature = self.core.new_signature();
                let stream = EventStream {
                    request_id,
                    arrival,
                    signature,
                    tokens_out,
                    tokens_sent,
                    events_sent: 0,
                    framing: BodyFraming::for_request(request_id),
                    fault,
                };
                self.stream_outputs(connection, job, &outputs, stream)
            }
        }
    }

    /// Takes the KV cache that `Kv-From` names, if any; the error is the response to send.
    fn prepare_transfer(
        &self,
        request: &Request,
        request_id: &str,
        arrival: ArrivalKey,
        submission: &mut Submission,
    ) -> Result<(), Response> {
        let Some(kv_from) = request.headers.get("Kv-From") else {
            return Ok(());
        };
        self.core
            .check_admissible(submission)
            .map_err(|reason| rejection_response(reason, request_id))?;
        let Some((transfer, owner)) = self.core.network.take(kv_from, &self.core.identity) else {
            return Err(not_executed(503, request_id));
        };
        self.core
            .arrival_log
            .update(arrival, |arrival| arrival.prompt_owner = Some(owner));
        submission.transfer = Some(transfer);
        Ok(())
    }

    /// Serves one request from the engine's outputs until it ends or the caller disconnects.
    fn stream_outputs(
        &self,
        connection: &mut Connection,
        job: JobKey,
        outputs: &Receiver<Output>,
        mut stream: EventStream<'_>,
    ) -> Next {
        loop {
            let output = match outputs.recv_timeout(DISCONNECT_POLL_INTERVAL) {
                Ok(output) => output,
                Err(RecvTimeoutError::Timeout) if !connection.peer_has_closed() => continue,
                Err(_) => {
                    self.core.cancel(job);
                    return Next::Close;
                }
            };
            if let Some(next) = self.handle_output(connection, output, &mut stream) {
                self.core.cancel(job);
                return next;
            }
        }
    }

    /// Handles one output; returns what to do with the connection once the response has ended.
    fn handle_output(
        &self,
        connection: &mut Connection,
        output: Output,
        stream: &mut EventStream<'_>,
    ) -> Option<Next> {
        match output {
            Output::Preempted { .. } => None,
            Output::Rejected { reason, .. } => Some(self.reject(
                connection,
                stream.arrival,
                rejection_response(reason, stream.request_id),
            )),
            Output::Prefilled { handle, tokens, .. } => {
                self.core
                    .arrival_log
                    .set_outcome(stream.arrival, ArrivalOutcome::Prefilled);
                Some(self.send_prefill_response(
                    connection,
                    self.core.register_handle(handle, stream.request_id),
                    tokens,
                    stream,
                ))
            }
            Output::DeadlineExceeded { .. } => {
                self.core.arrival_log.update(stream.arrival, |arrival| {
                    set_broken_off(&mut arrival.outcome);
                });
                Some(Next::Close)
            }
            Output::Token {
                tokens_generated,
                at,
                ..
            } => self.handle_token(connection, tokens_generated, at, stream),
            Output::Finished { .. } => Some(self.end_stream(connection, stream)),
        }
    }

    fn send_prefill_response(
        &self,
        connection: &mut Connection,
        handle: String,
        tokens: u64,
        stream: &EventStream<'_>,
    ) -> Next {
        match stream.fault {
            Some(Fault::ResetBeforeFirstEvent | Fault::ResetMidEvent { .. }) => return Next::Reset,
            Some(Fault::NoResponse) => {
                hang_until_disconnect(connection);
                return Next::Close;
            }
            _ => {}
        }
        let answered_id = if stream.fault == Some(Fault::WrongIdentifier) {
            "another"
        } else {
            stream.request_id
        };
        let body = json!({"promptHandle": handle, "tokens": tokens, "version": 1});
        let response = Response::new(200)
            .header("Request-Identifier", answered_id)
            .header("Versions", "1")
            .json(&body);
        self.send(connection, response)
    }

    /// Handles a token: the first one starts the run and the response. An event is sent with the first token, after
    /// every `stride` tokens and with the last token.
    fn handle_token(
        &self,
        connection: &mut Connection,
        tokens_generated: u64,
        at: Micros,
        stream: &mut EventStream<'_>,
    ) -> Option<Next> {
        let is_first = stream.events_sent == 0;
        if is_first {
            self.begin_run(stream, at);
            match stream.fault {
                Some(Fault::ResetBeforeFirstEvent) => return Some(Next::Reset),
                Some(Fault::NoResponse) => {
                    hang_until_disconnect(connection);
                    return Some(Next::Close);
                }
                _ => {}
            }
            if connection.write(&self.stream_head(stream)).is_err() {
                return Some(Next::Close);
            }
        }
        let is_event_due = tokens_generated - stream.tokens_sent >= self.core.parameters.stride
            || tokens_generated >= stream.tokens_out;
        if !is_first && !is_event_due {
            return None;
        }
        self.send_event(connection, tokens_generated, at, stream)
    }

    fn begin_run(&self, stream: &EventStream<'_>, at: Micros) {
        let run = Run {
            started_at: at,
            signature: stream.signature.clone(),
            status: 200,
            body: RunBody::Stream { events: Vec::new() },
            complete: false,
            faulty: stream.fault.is_some(),
        };
        self.core
            .arrival_log
            .set_outcome(stream.arrival, ArrivalOutcome::Ran(run));
    }

    fn stream_head(&self, stream: &EventStream<'_>) -> Vec<u8> {
        let answered_id = if stream.fault == Some(Fault::WrongIdentifier) {
            "another"
        } else {
            stream.request_id
        };
        let head = Response::new(200)
            .header("Request-Identifier", answered_id)
            .header("Server-Signature", stream.signature.as_str())
            .header("Versions", "1")
            .header("Content-Type", "text/event-stream");
        let head = if self.core.draining.load(Ordering::SeqCst) {
            head.header("Connection", "close")
        } else {
            head
        };
        let length = stream.total_length(self.core.parameters.stride, &self.core.identity.instance);
        stream.framing.head(&head, length)
    }

    fn send_event(
        &self,
        connection: &mut Connection,
        tokens_generated: u64,
        at: Micros,
        stream: &mut EventStream<'_>,
    ) -> Option<Next> {
        let text = stream.next_event(tokens_generated, &self.core.identity.instance);
        let event = EventRecord {
            id: tokens_generated,
            digest: digest(text.as_bytes()),
            at,
        };
        self.core.arrival_log.update(stream.arrival, |arrival| {
            record_event(&mut arrival.outcome, event);
        });
        if stream.fault
            == Some(Fault::ResetMidEvent {
                complete_events: stream.events_sent,
            })
        {
            // The reset follows whether or not these bytes are sent.
            let _ = connection.write(&stream.framing.part(&text.as_bytes()[..text.len() / 2]));
            return Some(Next::Reset);
        }
        let sent = write_in_two(
            connection,
            &stream.framing.part(text.as_bytes()),
            event.digest,
        );
        stream.events_sent += 1;
        stream.tokens_sent = tokens_generated;
        sent.is_err().then_some(Next::Close)
    }

    fn end_stream(&self, connection: &mut Connection, stream: &EventStream<'_>) -> Next {
        let mut bytes = stream.framing.end().to_vec();
        if stream.fault == Some(Fault::ExtraBytes) {
            bytes.extend_from_slice(b"HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nmore");
        }
        let written = connection.write(&bytes);
        if written.is_ok() {
            self.core
                .arrival_log
                .update(stream.arrival, |arrival| set_complete(&mut arrival.outcome));
        }
        let is_draining = self.core.draining.load(Ordering::SeqCst);
        if written.is_err() || is_draining {
            Next::Close
        } else {
            Next::Keep
        }
    }

    fn reject(&self, connection: &mut Connection, arrival: ArrivalKey, response: Response) -> Next {
        self.core.arrival_log.set_outcome(
            arrival,
            ArrivalOutcome::Rejected {
                status: response.status,
            },
        );
        self.send(connection, response)
    }

    fn send(&self, connection: &mut Connection, response: Response) -> Next {
        let is_draining = self.core.draining.load(Ordering::SeqCst);
        let response = if is_draining {
            response.header("Connection", "close")
        } else {
            response
        };
        let written = connection.write(&response.to_bytes());
        if written.is_err() || is_draining {
            Next::Close
        } else {
            Next::Keep
        }
    }

    /// Builds the response to `GET /api/report`.
    fn report(&self) -> Response {
        let report = self.core.with_engine(|engine, _| engine.report());
        Response::new(200).json(&json!({
            "stage": report.stage.as_str(),
            "models": [{"name": "m", "version": 1, "adapters": []}],
            "busy": report.busy,
            "sequence": report.sequence,
            "waiting": report.waiting,
            "running": report.running,
            "cacheUsed": report.cache_used,
            "cacheTotal": report.cache_total,
            "promptHandles": report.prompt_handles,
        }))
    }

    /// Handles `POST /api/order`, which changes the stage.
    fn handle_order(&self, request: &Request) -> Response {
        let expected = request.headers.get("Expected-Instance");
        if expected.is_some_and(|expected| expected != self.core.identity.instance) {
            return Response::new(421)
                .header("Instance-Identifier", self.core.identity.instance.as_str());
        }
        let body: Value = serde_json::from_slice(&request.body).unwrap_or_default();
        let (Some(stage), Some(fence), true) = (
            parse_stage_order(&body),
            body["fence"].as_u64(),
            body["holder"].is_string(),
        ) else {
            return Response::new(400);
        };
        let mut highest_fence = lock(&self.highest_fence);
        if self.core.parameters.fenced && fence < *highest_fence {
            return Response::new(412);
        }
        *highest_fence = fence.max(*highest_fence);
        let if_sequence = body["ifRevision"].as_u64();
        match self
            .core
            .with_engine(|engine, now| engine.order_stage(now, stage, if_sequence))
        {
            OrderResponse::Accepted => Response::new(202),
            OrderResponse::AlreadyInStage => Response::new(200),
            OrderResponse::Conflict => Response::new(409),
        }
    }
}

/// Parses the stage of an order; `None` for any other operation.
fn parse_stage_order(order: &Value) -> Option<Stage> {
    match (order["operation"].as_str(), order["stage"].as_str()) {
        (Some("stage"), Some("prefill")) => Some(Stage::Prefill),
        (Some("stage"), Some("decode")) => Some(Stage::Decode),
        _ => None,
    }
}

/// Writes bytes in two parts, so that the receiver may see the first one alone; `draw` determines where they are parted.
fn write_in_two(connection: &mut Connection, bytes: &[u8], draw: u64) -> Result<(), HttpError> {
    let (first, rest) = bytes.split_at((draw % bytes.len() as u64) as usize);
    connection.write(first)?;
    connection.write(rest)
}

fn record_event(outcome: &mut ArrivalOutcome, event: EventRecord) {
    if let ArrivalOutcome::Ran(Run {
        body: RunBody::Stream { events },
        ..
    }) = outcome
    {
        events.push(event);
    }
}

/// Records that the searcher itself ends an incomplete response.
fn set_broken_off(outcome: &mut ArrivalOutcome) {
    if let ArrivalOutcome::Ran(run) = outcome {
        run.faulty = true;
    }
}

fn set_complete(outcome: &mut ArrivalOutcome) {
    if let ArrivalOutcome::Ran(run) = outcome {
        run.complete = true;
    }
}

/// Builds the response to a rejected request.
fn rejection_response(reason: Rejection, request_id: &str) -> Response {
    match reason {
        Rejection::WrongStage => not_executed(421, request_id),
        Rejection::Full | Rejection::Busy | Rejection::LinkBusy | Rejection::DeadlineInQueue => {
            not_executed(503, request_id)
        }
    }
}
