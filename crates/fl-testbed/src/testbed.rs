//! A whole system on one machine: stand-ins, nodes and the network between them.

use crate::network::{Network, RelayTarget};
use crate::node::NodeProcess;
use fl_protocol::event::{Event, EventKind};
use fl_protocol::platform::{Vm, VmKind};
use fl_protocol::{CallClass, Configuration, Model, PlainService, Priority, Workspace, sha256_hex};
use fl_standins::{
    Cloud, CloudHandle, CloudOptions, Engine, EngineHandle, EngineOptions, ObjectStore,
    ObjectStoreHandle, PlainService as ServiceStandIn, PlainServiceHandle, PlainServiceOptions,
    TableService, TableServiceHandle, TableServiceOptions, WeightStore, WeightStoreHandle,
    WeightStoreOptions,
};
use fl_timeline::TimeLinePage;
use std::net::{IpAddr, Ipv4Addr, SocketAddr};
use std::path::{Path, PathBuf};
use std::time::{Duration, Instant};

/// The workspace of the default configuration.
pub const WORKSPACE: &str = "desk";
/// Its key.
pub const WORKSPACE_KEY: &str = "desk-key";
const READY_TIMEOUT: Duration = Duration::from_secs(60);
const POLL: Duration = Duration::from_millis(20);
const CALLERS_PORT: u16 = 8080;
const PEER_PORT: u16 = 7000;
const GOSSIP_PORT: u16 = 7001;
const ADMIN_PORT: u16 = 9090;
const RELAYED_PEER_PORT: u16 = 7100;
const RELAYED_GOSSIP_PORT: u16 = 7101;
const SERVICE_PORT: u16 = 8000;
const RELAYED_SERVICE_PORT: u16 = 8100;
const FIRST_RUNNER: u8 = 60;
const FIRST_APPLICATION: u8 = 120;
const PLATFORM_HOST: u8 = 200;
const TABLE_PORT: u16 = 1;
const FIRST_PLATFORM_RELAY: u8 = 210;

/// What a testbed consists of.
#[derive(Clone)]
pub struct TestbedOptions {
    /// The node's binary, `env!("CARGO_BIN_EXE_filbertlead")`.
    pub binary: PathBuf,
    /// Data centres, named `dc-a`, `dc-b` and so on.
    pub data_centers: usize,
    /// Nodes, dealt over the data centres.
    pub nodes: usize,
    /// Runners, dealt over the data centres.
    pub runners: usize,
    /// Application servers of the pool `bookings`, dealt over the data centres.
    pub applications: usize,
    /// How each engine is set up; the VM is filled in.
    pub engine: EngineOptions,
    /// How the cloud is set up.
    pub cloud: CloudOptions,
    /// How the table service is set up.
    pub table: TableServiceOptions,
    /// Lines for the nodes' settings, by section: `("limits", "give_up_ms = 1000")`.
    pub settings: Vec<(String, String)>,
    /// The configuration pushed at the start; `None` leaves that to the test.
    pub configuration: Option<Configuration>,
    /// Whether traffic to backend servers passes relays, which count it.
    pub relay_backends: bool,
    /// Whether the start waits until every node is ready.
    pub wait_ready: bool,
}

impl TestbedOptions {
    /// Six nodes over three data centres, three runners and three application servers.
    pub fn new(binary: &str) -> Self {
        TestbedOptions {
            binary: PathBuf::from(binary),
            data_centers: 3,
            nodes: 6,
            runners: 3,
            applications: 3,
            engine: EngineOptions { models: vec!["fit".to_string()], ..EngineOptions::default() },
            cloud: CloudOptions::default(),
            table: TableServiceOptions::default(),
            settings: Vec::new(),
            configuration: Some(default_configuration()),
            relay_backends: false,
            wait_ready: true,
        }
    }

    /// Adds a line to a section of the nodes' settings.
    pub fn with_setting(mut self, section: &str, line: &str) -> Self {
        self.settings.push((section.to_string(), line.to_string()));
        self
    }
}

/// A whole system on one machine.
pub struct Testbed {
    /// The links between the VMs.
    pub network: Network,
    /// The table service.
    pub table: TableServiceHandle,
    /// The object store.
    pub objects: ObjectStoreHandle,
    /// The cloud and its VM list.
    pub cloud: CloudHandle,
    /// The weight store.
    pub weights: WeightStoreHandle,
    /// The engines, `runner-0` and so on.
    pub engines: Vec<EngineHandle>,
    /// The application servers, `application-0` and so on.
    pub applications: Vec<PlainServiceHandle>,
    /// The nodes, `entry-0` and so on.
    pub nodes: Vec<NodeProcess>,
    directory: PathBuf,
}

impl Testbed {
    /// Starts everything.
    pub async fn start(options: TestbedOptions) -> Self {
        let (base, table) = claim_addresses(&options.table).await;
        let [_, second, third] = base;
        let directory =
            std::env::temp_dir().join(format!("filbert-{second}-{third}-{}", std::process::id()));
        std::fs::create_dir_all(&directory).unwrap();
        let platform_ip = host(base, PLATFORM_HOST);
        let at = |port| SocketAddr::new(platform_ip, port);
        let objects = ObjectStore::start(at(2)).await.unwrap();
        let cloud = Cloud::start(at(3), options.cloud.clone()).await.unwrap();
        let weights = WeightStore::start(at(4), WeightStoreOptions::default()).await.unwrap();
        let mut bed = Testbed {
            network: Network::default(),
            table,
            objects,
            cloud,
            weights,
            engines: Vec::new(),
            applications: Vec::new(),
            nodes: Vec::new(),
            directory,
        };
        bed.start_platform_relays(base, &options).await;
        let vms = bed.start_backends(base, &options).await;
        bed.cloud.set_vms(vms);
        if let Some(configuration) = &options.configuration {
            bed.push_configuration(configuration).await;
        }
        bed.describe_nodes(base, &options).await;
        for node in &mut bed.nodes {
            node.start();
        }
        if options.wait_ready {
            for index in 0..bed.nodes.len() {
                bed.wait_ready(index).await;
            }
        }
        bed
    }

    /// Puts a configuration into force through the platform.
    pub async fn push_configuration(&self, configuration: &Configuration) {
        let (table, objects) = (self.table.address(), self.objects.address());
        let store = fl_platform::ConfigurationStore::new(table, objects, READY_TIMEOUT);
        let nonce = format!("{:032x}", rand::random::<u128>());
        store.push(configuration, &nonce, READY_TIMEOUT).await.unwrap();
    }

    /// Waits until a node is ready and knows all others that are started.
    pub async fn wait_ready(&self, index: usize) {
        let started = self.nodes.iter().filter(|node| node.is_started()).count();
        let http = fl_platform::HttpClient::new(fl_platform::ConnectionReuse::Never);
        let node = &self.nodes[index];
        let uri = format!("http://{}/status", node.admin_address);
        let begun = Instant::now();
        loop {
            let page =
                http.get_json::<fl_protocol::admin::StatusPage>(&uri, Duration::from_secs(2)).await;
            if let Ok(page) = &page {
                let runners = page.backends.iter().map(|count| count.known).sum::<usize>();
                if page.ready && page.members.len() >= started && runners > 0 {
                    return;
                }
            }
            assert!(!node.has_exited(), "{} ended: {}", node.vm, node.log());
            assert!(begun.elapsed() < READY_TIMEOUT, "{} {page:?}\n{}", node.vm, node.log());
            tokio::time::sleep(POLL).await;
        }
    }

    /// The events of a node, oldest first; none if it does not answer.
    pub async fn events(&self, node: usize) -> Vec<Event> {
        let http = fl_platform::HttpClient::new(fl_platform::ConnectionReuse::Never);
        let uri = format!("http://{}/timeline", self.nodes[node].admin_address);
        let page = http.get_json::<TimeLinePage>(&uri, Duration::from_secs(1)).await;
        page.map(|page| page.events).unwrap_or_default()
    }

    /// The last event of a kind for a request over all nodes that answer.
    pub async fn last_event(&self, kind: EventKind, request_id: &str) -> Option<Event> {
        let mut found: Vec<Event> = Vec::new();
        for node in 0..self.nodes.len() {
            let events = self.events(node).await;
            found.extend(events.into_iter().filter(|event| {
                event.kind == kind && event.request_id.as_deref() == Some(request_id)
            }));
        }
        found.into_iter().max_by_key(|event| event.stamp)
    }

    /// The index of a node by its VM.
    pub fn node_index(&self, vm: &str) -> usize {
        self.nodes.iter().position(|node| node.vm == vm).unwrap()
    }

    /// The index of a runner's engine by its VM.
    pub fn engine_index(&self, vm: &str) -> usize {
        self.engines.iter().position(|engine| engine.vm() == vm).unwrap()
    }

    /// The nodes that run in a data centre.
    pub fn nodes_in(&self, data_center: &str) -> Vec<usize> {
        let nodes = self.nodes.iter().enumerate();
        nodes.filter(|(_, node)| node.data_center == data_center).map(|(index, _)| index).collect()
    }

    /// Announces that all VMs of a data centre go away.
    pub fn announce_reclaim(&self, data_center: &str, leaving_at_ms: u64) {
        for vm in self.cloud.vms() {
            if vm.data_center == data_center {
                let notice = fl_protocol::platform::ReclaimNotice { vm: vm.name, leaving_at_ms };
                self.cloud.announce_reclaim(notice);
            }
        }
    }

    async fn start_platform_relays(&self, base: [u8; 3], options: &TestbedOptions) {
        for index in 0..options.data_centers {
            let ip = host(base, FIRST_PLATFORM_RELAY + index as u8);
            let place = data_center_name(index);
            let targets = [
                self.table.address(),
                self.objects.address(),
                self.cloud.address(),
                self.weights.address(),
            ];
            for (port, target) in (1..).zip(targets) {
                self.network.relay_to_platform(SocketAddr::new(ip, port), target, &place).await;
            }
        }
    }

    async fn start_backends(&mut self, base: [u8; 3], options: &TestbedOptions) -> Vec<Vm> {
        let mut vms = Vec::new();
        for index in 0..options.runners {
            let address = SocketAddr::new(host(base, FIRST_RUNNER + index as u8), SERVICE_PORT);
            let vm = format!("runner-{index}");
            let engine = EngineOptions { vm: vm.clone(), ..options.engine.clone() };
            self.engines.push(Engine::start(address, engine).await.unwrap());
            let place = data_center_name(index % options.data_centers);
            let address = self.relayed(address, &place, options).await;
            vms.push(backend(vm, VmKind::Runner, "runners", place, address));
        }
        for index in 0..options.applications {
            let host = host(base, FIRST_APPLICATION + index as u8);
            let address = SocketAddr::new(host, SERVICE_PORT);
            let vm = format!("application-{index}");
            let service = PlainServiceOptions { vm: vm.clone(), ..PlainServiceOptions::default() };
            self.applications.push(ServiceStandIn::start(address, service).await.unwrap());
            let place = data_center_name(index % options.data_centers);
            let address = self.relayed(address, &place, options).await;
            vms.push(backend(vm, VmKind::Application, "bookings", place, address));
        }
        for index in 0..options.nodes {
            let address = SocketAddr::new(host(base, 1 + index as u8), RELAYED_PEER_PORT);
            let place = data_center_name(index % options.data_centers);
            vms.push(backend(format!("entry-{index}"), VmKind::Entry, "entry", place, address));
        }
        vms
    }

    /// The address under which nodes find a backend server.
    async fn relayed(
        &self,
        address: SocketAddr,
        place: &str,
        options: &TestbedOptions,
    ) -> SocketAddr {
        if !options.relay_backends {
            return address;
        }
        let relay = SocketAddr::new(address.ip(), RELAYED_SERVICE_PORT);
        self.network.relay_tcp(relay, address, place, RelayTarget::Backend).await;
        relay
    }

    async fn describe_nodes(&mut self, base: [u8; 3], options: &TestbedOptions) {
        let seed = SocketAddr::new(host(base, 1), RELAYED_GOSSIP_PORT);
        for index in 0..options.nodes {
            let ip = host(base, 1 + index as u8);
            let place = data_center_name(index % options.data_centers);
            let relay_host = FIRST_PLATFORM_RELAY + (index % options.data_centers) as u8;
            let at = |port| SocketAddr::new(ip, port);
            self.network.set_data_center(ip, &place);
            self.network
                .relay_tcp(at(RELAYED_PEER_PORT), at(PEER_PORT), &place, RelayTarget::Peer)
                .await;
            self.network.relay_udp(at(RELAYED_GOSSIP_PORT), at(GOSSIP_PORT), &place).await;
            let vm = format!("entry-{index}");
            let settings = settings(&vm, &place, ip, host(base, relay_host), seed, options);
            let addresses = [at(CALLERS_PORT), at(ADMIN_PORT), at(PEER_PORT)];
            let binary = options.binary.clone();
            let node = NodeProcess::new(binary, &self.directory, &vm, &place, addresses, &settings);
            self.nodes.push(node);
        }
    }
}

impl Drop for Testbed {
    fn drop(&mut self) {
        self.nodes.clear();
        self.network.stop();
        if !std::thread::panicking() {
            let _ = std::fs::remove_dir_all(Path::new(&self.directory));
        }
    }
}

/// Draws addresses until no other testbed has them: its table service holds one of them.
async fn claim_addresses(options: &TableServiceOptions) -> ([u8; 3], TableServiceHandle) {
    loop {
        let [second, third]: [u8; 2] = rand::random();
        let base = [127, second.clamp(1, 254), third];
        let address = SocketAddr::new(host(base, PLATFORM_HOST), TABLE_PORT);
        match TableService::start(address, options.clone()).await {
            Ok(table) => return (base, table),
            Err(error) if error.kind() == std::io::ErrorKind::AddrInUse => {}
            Err(error) => panic!("the table service at {address}: {error}"),
        }
    }
}

/// Names a data centre by its index.
pub fn data_center_name(index: usize) -> String {
    format!("dc-{}", char::from(b'a' + index as u8))
}

/// One workspace that may call everything.
pub fn default_configuration() -> Configuration {
    let class = |name: &str, priority, deadline_ms| CallClass {
        name: name.to_string(),
        priority,
        first_token_target_ms: 470,
        between_tokens_target_ms: 55,
        deadline_ms,
    };
    let service = |name: &str, repeatable| PlainService {
        name: name.to_string(),
        pool: "bookings".to_string(),
        repeatable,
        timeout_ms: 3_000,
    };
    Configuration {
        version: 1,
        parent_version: 0,
        operator: "test".to_string(),
        workspaces: vec![Workspace {
            name: WORKSPACE.to_string(),
            key_sha256_hex: sha256_hex(WORKSPACE_KEY.as_bytes()),
            weight: 1,
            limit_tokens_per_s: 0,
            limit_requests_per_s: 0,
            models: vec!["fit".to_string()],
            services: vec!["bookings".to_string(), "stock".to_string()],
            classes: vec![
                class("counter", Priority::Counter, 20_000),
                class("plan", Priority::Deferrable, 60_000),
            ],
        }],
        models: vec![Model {
            name: "fit".to_string(),
            adapters: Vec::new(),
            weights_bytes: 1_000,
            copies_per_data_center: 1,
        }],
        services: vec![service("bookings", false), service("stock", true)],
    }
}

fn backend(name: String, kind: VmKind, pool: &str, place: String, address: SocketAddr) -> Vm {
    Vm {
        name,
        kind,
        pool: pool.to_string(),
        data_center: place,
        address: address.to_string(),
        machine_class: "standard".to_string(),
        reclaimable: true,
        leaving: false,
    }
}

fn host(base: [u8; 3], last: u8) -> IpAddr {
    IpAddr::V4(Ipv4Addr::new(base[0], base[1], base[2], last))
}

fn settings(
    vm: &str,
    place: &str,
    ip: IpAddr,
    platform: IpAddr,
    seed: SocketAddr,
    options: &TestbedOptions,
) -> String {
    let key_hex = "5a".repeat(32);
    let mut sections = [
        ("node", format!("vm = {vm}\ndata_center = {place}\nregion = region-1")),
        (
            "listen",
            format!(
                "callers = {ip}:{CALLERS_PORT}\npeer = {ip}:{PEER_PORT}\n\
                 gossip = {ip}:{GOSSIP_PORT}\nadmin = {ip}:{ADMIN_PORT}\n\
                 peer_advertised = {ip}:{RELAYED_PEER_PORT}\n\
                 gossip_advertised = {ip}:{RELAYED_GOSSIP_PORT}"
            ),
        ),
        (
            "platform",
            format!(
                "table = {platform}:1\nobjects = {platform}:2\nvm_list = {platform}:3\n\
                 cloud = {platform}:3\nweights = {platform}:4"
            ),
        ),
        ("fleet", format!("key_hex = {key_hex}\nseeds = {seed}")),
        ("limits", String::new()),
        ("membership", String::new()),
        ("routing", String::new()),
        ("log", String::new()),
    ];
    for (section, line) in &options.settings {
        let found = sections.iter_mut().find(|entry| entry.0 == section);
        let entry = found.unwrap_or_else(|| panic!("no section {section}"));
        entry.1.push('\n');
        entry.1.push_str(line);
    }
    let filled = sections.iter().filter(|entry| !entry.1.is_empty());
    filled.map(|(name, lines)| format!("[{name}]\n{lines}\n\n")).collect()
}
