//! The admin pages that operators and the load balancer read: health, readiness, metrics, status
//! and events.

#![allow(clippy::unwrap_used, reason = "helpers of tests may panic as tests do")]

use fl_config::Settings;
use fl_kernel::names;
use fl_kernel::services::{ConfigurationSource, EventLog};
use fl_node::readiness::{READINESS, Readiness};
use fl_node::{ServiceContext, admin, event_log};
use fl_platform::http::build_json_request;
use fl_platform::{ConnectionReuse, HttpClient, HttpError};
use fl_protocol::admin::StatusPage;
use fl_protocol::event::{EventKind, HlcTimestamp};
use fl_protocol::{Configuration, format_request_id};
use fl_timeline::TimeLinePage;
use http::Method;
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::watch;

const TIMEOUT: Duration = Duration::from_secs(20);
const DAY_MS: u64 = 86_400_000;

struct TestConfigurationSource(watch::Sender<Arc<Configuration>>);

impl ConfigurationSource for TestConfigurationSource {
    fn current(&self) -> Arc<Configuration> {
        self.0.borrow().clone()
    }

    fn subscribe(&self) -> watch::Receiver<Arc<Configuration>> {
        self.0.subscribe()
    }

    fn apply_if_newer(&self, configuration: Configuration) -> bool {
        self.0.send_replace(Arc::new(configuration));
        true
    }
}

fn context() -> ServiceContext {
    let [a, b, c]: [u8; 3] = rand::random();
    let ip = format!("127.{a}.{b}.{}", c.clamp(1, 254));
    let key = "07".repeat(32);
    let text = format!(
        "[node]\nvm = a1\ndata_center = dc-a\nregion = r\n[listen]\ncallers = {ip}:1\n\
         peer = {ip}:2\ngossip = {ip}:3\nadmin = {ip}:9090\n[platform]\ntable = {ip}:4\n\
         objects = {ip}:5\nvm_list = {ip}:6\ncloud = {ip}:7\nweights = {ip}:8\n\
         [fleet]\nkey_hex = {key}\n"
    );
    let node = fl_kernel::Node::new();
    ServiceContext {
        settings: Arc::new(Settings::parse(&text).unwrap()),
        registry: node.registry(),
        draining: node.draining_token(),
        shutdown: node.shutdown_token(),
        tasks: node.tasks(),
        runtime: tokio::runtime::Handle::current(),
    }
}

struct PageReader {
    client: HttpClient,
    root: String,
}

impl PageReader {
    async fn status_and_body(&self, method: Method, path: &str) -> (u16, String) {
        let uri = format!("{}{path}", self.root);
        let request = build_json_request(method, &uri, bytes::Bytes::new()).unwrap_or_default();
        let reply = self.client.fetch(request, TIMEOUT).await;
        let reply = reply.unwrap();
        (reply.status.as_u16(), String::from_utf8_lossy(&reply.body).into_owned())
    }

    async fn get(&self, path: &str) -> (u16, String) {
        self.status_and_body(Method::GET, path).await
    }

    async fn events(&self, query: &str) -> Result<TimeLinePage, HttpError> {
        self.client.get_json(&format!("{}/timeline{query}", self.root), TIMEOUT).await
    }
}

/// Covers all pages in one test, since a process can have only one metrics recorder.
#[tokio::test]
async fn admin_pages_report_state() {
    let context = context();
    admin::install_metrics(&context).unwrap();
    let log = event_log::start(&context).unwrap();
    admin::start(&context).unwrap();
    let root = format!("http://{}", context.settings.listen.admin);
    let reader = PageReader { client: HttpClient::new(ConnectionReuse::Pooled), root };

    // Health, and the status codes of unknown paths, parameters and methods.
    assert_eq!(reader.get("/healthz").await, (200, "ok\n".to_string()));
    for (path, status) in [
        ("/nothing", 404),
        ("/timeline?request=12", 400),
        ("/timeline?since_ms=soon", 400),
        ("/timeline?until=1", 400),
    ] {
        assert_eq!(reader.get(path).await.0, status, "{path}");
    }
    assert_eq!(reader.status_and_body(Method::POST, "/status").await.0, 405);

    // The node is ready once it has a configuration.
    assert_eq!(reader.get("/readyz").await, (503, "the node is starting\n".to_string()));
    let readiness = Arc::new(Readiness::new(&context));
    context.registry.register(READINESS, readiness.clone()).unwrap();
    let source = Arc::new(TestConfigurationSource(watch::Sender::new(Arc::default())));
    context
        .registry
        .register::<dyn ConfigurationSource>(names::CONFIGURATION, source.clone())
        .unwrap();
    assert!(reader.get("/readyz").await.1.starts_with("no configuration was learned"));
    source.apply_if_newer(Configuration { version: 4, ..Configuration::default() });
    assert_eq!(reader.get("/readyz").await.0, 200);
    let (_, body) = reader.get("/status").await;
    let status: StatusPage = serde_json::from_str(&body).unwrap();
    assert_eq!((status.ready, status.configuration_version), (true, 4));

    // Events can be selected by request and by time, and come after the timestamps of peers that
    // were observed before them.
    let events: Arc<dyn EventLog> = context.registry.find(names::EVENT_LOG).unwrap();
    events.record(EventKind::Accepted, Some(7), "first".to_string());
    let ahead_ms = log.stamp().time_ms + 30_000;
    log.observe(HlcTimestamp { time_ms: ahead_ms, counter: 5 });
    events.record(EventKind::Whole, Some(8), "second".to_string());
    let all = reader.events("").await.unwrap();
    assert_eq!(all.events.len(), 2);
    assert!(all.events[1].stamp > HlcTimestamp { time_ms: ahead_ms, counter: 5 });
    let query = format!("?request={}", format_request_id(7));
    assert_eq!(reader.events(&query).await.unwrap().events[0].detail, "first");
    let query = format!("?since_ms={ahead_ms}");
    assert_eq!(reader.events(&query).await.unwrap().events[0].detail, "second");
    let query = format!("?since_ms={}", ahead_ms + DAY_MS);
    assert!(reader.events(&query).await.unwrap().events.is_empty());

    // The metrics count events by kind.
    let (_, metrics) = reader.get("/metrics").await;
    assert!(metrics.contains("fl_events_total{kind=\"accepted\"} 1"), "{metrics}");

    // A node that shuts down reports that it is not ready, and serves the pages until its tasks
    // end.
    readiness.set_leaving();
    assert_eq!(reader.get("/readyz").await, (503, "the node is leaving\n".to_string()));
    context.shutdown.cancel();
    context.tasks.close();
    context.tasks.wait().await;
    let request =
        build_json_request(Method::GET, &format!("{}/healthz", reader.root), bytes::Bytes::new());
    assert!(reader.client.fetch(request.unwrap(), TIMEOUT).await.is_err());
}
