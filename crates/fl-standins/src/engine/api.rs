//! The HTTP API of an engine.

use super::stream::Stream;
use super::{Engine, EngineCounters, EngineFaults, FencingMode, sse};
use crate::clock::unix_ms;
use crate::http_server::{ConnectionId, RequestHandler};
use crate::http_util::*;
use fl_protocol::TokenOffset;
use fl_protocol::engine::{EngineOrder, KvBlocks, StreamRequest};
use futures::FutureExt as _;
use futures::future::BoxFuture;
use http::{Method, Request, Response, StatusCode, header};
use http_body_util::{BodyExt as _, StreamBody};
use hyper::body::Incoming;
use std::sync::Arc;
use std::time::{Duration, Instant};

const STREAMS_PATH: &str = "/v1/streams/";
const LOAD_PATH: &str = "/v1/load";
const CACHE_EVENTS_PATH: &str = "/v1/cache-events";
const STATE_PATH: &str = "/v1/state";
const ORDERS_PATH: &str = "/v1/orders";
const EXPORT_PATH: &str = "/v1/kv/export";
const IMPORT_PATH: &str = "/v1/kv/import";

impl RequestHandler for Engine {
    fn handle_request(
        self: Arc<Self>,
        request: Request<Incoming>,
        connection: ConnectionId,
    ) -> BoxFuture<'static, HandlerResult> {
        self.respond(request, connection).boxed()
    }
}

impl Engine {
    async fn respond(
        self: Arc<Self>,
        request: Request<Incoming>,
        connection: ConnectionId,
    ) -> HandlerResult {
        let counters = self.all_counters();
        match handle_control_request(request, &self.switches, &counters).await {
            ControlOutcome::Responded(response) => response,
            ControlOutcome::SetFaults(faults) => {
                self.set_faults(faults, Some(connection));
                json_response(StatusCode::OK, &self.switches.get())
            }
            ControlOutcome::NotControl(request) => self.serve(request).await,
        }
    }

    async fn serve(&self, request: Request<Incoming>) -> HandlerResult {
        if self.switches.get().freeze {
            std::future::pending::<()>().await;
        }
        let path = request.uri().path().to_string();
        if let Some(id) = path.strip_prefix(STREAMS_PATH) {
            return self.serve_stream(id, request).await;
        }
        match (request.method(), path.as_str()) {
            (&Method::GET, LOAD_PATH) => json_response(StatusCode::OK, &self.published_load()),
            (&Method::GET, CACHE_EVENTS_PATH) => self.cache_events(request.uri().query()),
            (&Method::GET, STATE_PATH) => json_response(StatusCode::OK, &*self.state.lock()),
            (&Method::POST, ORDERS_PATH) => match read_json(request).await? {
                Ok(order) => self.apply_order(order).await,
                Err(response) => response,
            },
            (&Method::POST, EXPORT_PATH) => match read_json(request).await? {
                Ok(blocks) => self.export_blocks(blocks).await,
                Err(response) => response,
            },
            (&Method::POST, IMPORT_PATH) => match read_json(request).await? {
                Ok(blocks) => self.import_blocks(blocks).await,
                Err(response) => response,
            },
            _ => not_found(),
        }
    }

    async fn serve_stream(&self, id: &str, request: Request<Incoming>) -> HandlerResult {
        match *request.method() {
            Method::POST => match read_json(request).await? {
                Ok(stream_request) => self.start_stream(id, &stream_request).await,
                Err(response) => response,
            },
            Method::GET => self.resume_stream(id, request.uri().query()).await,
            Method::DELETE => self.cancel_stream(id),
            _ => text_response(StatusCode::METHOD_NOT_ALLOWED, "use POST, GET or DELETE\n"),
        }
    }

    async fn start_stream(&self, id: &str, stream_request: &StreamRequest) -> HandlerResult {
        let faults = self.switches.get();
        if faults.refuse_streams || self.state.lock().role != "serve" {
            self.counters.lock().refused += 1;
            return text_response(
                StatusCode::SERVICE_UNAVAILABLE,
                "this engine accepts no new streams; choose another engine\n",
            );
        }
        if !self.has_model(&stream_request.model) {
            self.counters.lock().refused += 1;
            return text_response(
                StatusCode::NOT_FOUND,
                "model not loaded; send an order that loads it first\n",
            );
        }
        let marker = faults.crash_on_marker.as_deref();
        let triggers_crash = marker.is_some_and(|marker| stream_request.prompt.contains(marker));
        let started = self.batch.lock().start(id.to_string(), stream_request, triggers_crash);
        let Some(stream) = started else {
            return text_response(
                StatusCode::CONFLICT,
                "stream id already used; choose a new one\n",
            );
        };
        self.count_start(&faults);
        self.advance();
        self.changed.notify_one();
        self.delay_first_byte(&faults).await;
        Ok(sse_response(stream, stream_request.continue_tokens))
    }

    fn count_start(&self, faults: &EngineFaults) {
        let mut counters = self.counters.lock();
        counters.started += 1;
        counters.started_while_leaving += u64::from(faults.leaving_at_ms.is_some());
        counters.last_start_ms = unix_ms();
    }

    async fn resume_stream(&self, id: &str, query: Option<&str>) -> HandlerResult {
        let from = query_value(query, "from").unwrap_or_default();
        let Ok(from) = from.parse::<TokenOffset>() else {
            return text_response(
                StatusCode::BAD_REQUEST,
                "query parameter `from`: expected a token offset\n",
            );
        };
        let Some(stream) = self.batch.lock().find(id) else { return not_found() };
        if from < stream.first {
            let message = format!("this stream begins at token {}\n", stream.first);
            return text_response(StatusCode::RANGE_NOT_SATISFIABLE, &message);
        }
        self.counters.lock().resumed += 1;
        self.delay_first_byte(&self.switches.get()).await;
        Ok(sse_response(stream, from))
    }

    fn cancel_stream(&self, id: &str) -> HandlerResult {
        if !self.batch.lock().cancel(id) {
            return not_found();
        }
        self.counters.lock().cancelled += 1;
        self.changed.notify_one();
        text_response(StatusCode::OK, "")
    }

    async fn delay_first_byte(&self, faults: &EngineFaults) {
        let jitter_ms = self.batch.lock().cache.random_delay_ms(faults.delay_first_byte_jitter_ms);
        delay_ms(faults.delay_first_byte_ms + jitter_ms).await;
    }

    fn has_model(&self, model: &String) -> bool {
        let state = self.state.lock();
        state.models.is_empty() || state.models.binary_search(model).is_ok()
    }

    fn cache_events(&self, query: Option<&str>) -> HandlerResult {
        let after = query_value(query, "after").and_then(|after| after.parse().ok());
        let batch = self.batch.lock();
        let events = batch.cache.events_after(after.unwrap_or_default(), Instant::now());
        drop(batch);
        json_response(StatusCode::OK, &events)
    }

    /// Applies an order, unless its fencing token is stale and this engine checks tokens.
    ///
    /// The token is checked again after the delay, since a later order may have arrived meanwhile.
    async fn apply_order(&self, mut order: EngineOrder) -> HandlerResult {
        if !self.accepts(&order) {
            self.counters.lock().stale_orders += 1;
            return text_response(
                StatusCode::CONFLICT,
                "stale fencing token; read the lease again\n",
            );
        }
        delay_ms(self.options.order_delay_ms).await;
        if !self.accepts(&order) {
            self.counters.lock().stale_orders += 1;
            return text_response(
                StatusCode::CONFLICT,
                "an order with a newer fencing token arrived meanwhile; read the lease again\n",
            );
        }
        order.models.sort();
        let mut state = self.state.lock();
        state.models = order.models;
        state.role = order.role;
        self.counters.lock().orders += 1;
        json_response(StatusCode::OK, &*state)
    }

    /// Returns whether the fencing token of an order is acceptable, and records it if so.
    fn accepts(&self, order: &EngineOrder) -> bool {
        if self.options.fencing == FencingMode::Ignore {
            return true;
        }
        let mut state = self.state.lock();
        if order.fencing < state.fencing {
            return false;
        }
        state.fencing = order.fencing;
        true
    }

    async fn export_blocks(&self, requested: KvBlocks) -> HandlerResult {
        let blocks = self.batch.lock().cache.filter_cached(&requested.blocks);
        self.delay_transfer(blocks.len()).await;
        json_response(StatusCode::OK, &KvBlocks { blocks })
    }

    async fn import_blocks(&self, imported: KvBlocks) -> HandlerResult {
        self.delay_transfer(imported.blocks.len()).await;
        self.batch.lock().cache.store(&imported.blocks, Instant::now());
        self.counters.lock().imported_blocks += imported.blocks.len() as u64;
        json_response(StatusCode::OK, &imported)
    }

    async fn delay_transfer(&self, blocks: usize) {
        let blocks_per_s = self.options.kv_blocks_per_s;
        if blocks_per_s > 0 {
            let duration = Duration::from_secs_f64(blocks as f64 / blocks_per_s as f64);
            tokio::time::sleep(duration).await;
        }
    }

    /// Returns all counters, including those of the batch.
    pub(super) fn all_counters(&self) -> EngineCounters {
        let counters = *self.counters.lock();
        let batch = self.batch.lock();
        EngineCounters {
            connections: self.connections.accepted(),
            ended: batch.ended,
            prefilled_tokens: batch.prefilled_tokens,
            cached_tokens: batch.cached_tokens,
            generated_tokens: batch.generated_tokens,
            ..counters
        }
    }
}

fn sse_response(stream: Arc<Stream>, from: TokenOffset) -> Response<Body> {
    let body = StreamBody::new(sse::body_frames(stream, from)).boxed_unsync();
    let mut response = Response::new(body);
    let event_stream = header::HeaderValue::from_static("text/event-stream");
    response.headers_mut().insert(header::CONTENT_TYPE, event_stream);
    response
}
