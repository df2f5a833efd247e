//! A test bed on one machine: stand-ins, nodes and the network between them.

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
/// The key of [`WORKSPACE`].
pub const WORKSPACE_KEY: &str = "desk-key";
/// The limit for the start of a node and for a push of a configuration.
const READY_TIMEOUT: Duration = Duration::from_secs(60);
const POLL_PERIOD: Duration = Duration::from_millis(20);
const CALLERS_PORT: u16 = 8080;
const PEER_PORT: u16 = 7000;
const GOSSIP_PORT: u16 = 7001;
const ADMIN_PORT: u16 = 9090;
const RELAYED_PEER_PORT: u16 = 7100;
const RELAYED_GOSSIP_PORT: u16 = 7101;
const SERVICE_PORT: u16 = 8000;
const RELAYED_SERVICE_PORT: u16 = 8100;
// Each `*_HOST` is the last byte of a loopback address. Nodes take the addresses from 1 on.
const FIRST_RUNNER_HOST: u8 = 60;
const FIRST_APPLICATION_HOST: u8 = 120;
const PLATFORM_HOST: u8 = 200;
const TABLE_PORT: u16 = 1;
const FIRST_PLATFORM_RELAY_HOST: u8 = 210;

/// The options of a [`Testbed`].
#[derive(Clone)]
pub struct TestbedOptions {
    /// The binary of the nodes; in a test `env!("CARGO_BIN_EXE_filbertlead")`.
    pub binary: PathBuf,
    /// Number of data centres, named `dc-a`, `dc-b` and so on.
    pub data_centers: usize,
    /// Number of nodes, distributed round-robin over the data centres.
    pub nodes: usize,
    /// Number of runners, distributed round-robin over the data centres.
    pub runners: usize,
    /// Number of application servers of the pool `bookings`, distributed round-robin over the data
    /// centres.
    pub applications: usize,
    /// The options of each engine; the name of the VM is filled in.
    pub engine: EngineOptions,
    /// The options of the cloud.
    pub cloud: CloudOptions,
    /// The options of the table service.
    pub table: TableServiceOptions,
    /// Lines for the settings of the nodes by section, such as `("limits", "give_up_ms = 1000")`.
    pub settings: Vec<(String, String)>,
    /// The configuration pushed before the nodes start; with `None` the test pushes one.
    pub configuration: Option<Configuration>,
    /// Whether traffic to backend servers passes relays, which count its bytes.
    pub relay_backends: bool,
    /// Whether [`Testbed::start`] waits until every node is ready.
    pub wait_ready: bool,
}

impl TestbedOptions {
    /// Returns options for six nodes, three runners and three application servers in three data
    /// centres.
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

    /// Adds a line to a section of the settings of the nodes.
    pub fn with_setting(mut self, section: &str, line: &str) -> Self {
        self.settings.push((section.to_string(), line.to_string()));
        self
    }
}

/// A running test bed. Dropping it stops all parts and, unless the test panics, removes the logs.
pub struct Testbed {
    /// The relays between the VMs, and their partitions.
    pub network: Network,
    /// The stand-in table service.
    pub table: TableServiceHandle,
    /// The stand-in object store.
    pub objects: ObjectStoreHandle,
    /// The stand-in cloud with the VM list.
    pub cloud: CloudHandle,
    /// The stand-in weight store.
    pub weights: WeightStoreHandle,
    /// The stand-in engines, on the VMs `runner-0` and so on.
    pub engines: Vec<EngineHandle>,
    /// The stand-in plain services, on the VMs `application-0` and so on.
    pub applications: Vec<PlainServiceHandle>,
    /// The nodes, on the VMs `entry-0` and so on.
    pub nodes: Vec<NodeProcess>,
    directory: PathBuf,
}

impl Testbed {
    /// Starts the stand-ins, the relays and the nodes.
    pub async fn start(options: TestbedOptions) -> Self {
        let (prefix, table) = reserve_prefix(&options.table).await;
        let [_, second, third] = prefix;
        let directory =
            std::env::temp_dir().join(format!("filbert-{second}-{third}-{}", std::process::id()));
        std::fs::create_dir_all(&directory).unwrap();
        let platform_ip = host_address(prefix, PLATFORM_HOST);
        let at = |port| SocketAddr::new(platform_ip, port);
        let objects = ObjectStore::start(at(2)).await.unwrap();
        let cloud = Cloud::start(at(3), options.cloud.clone()).await.unwrap();
        let weights = WeightStore::start(at(4), WeightStoreOptions::default()).await.unwrap();
        let mut testbed = Testbed {
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
        testbed.start_platform_relays(prefix, &options).await;
        let vms = testbed.start_backends(prefix, &options).await;
        testbed.cloud.set_vms(vms);
        if let Some(configuration) = &options.configuration {
            testbed.push_configuration(configuration).await;
        }
        testbed.create_nodes(prefix, &options).await;
        for node in &mut testbed.nodes {
            node.start();
        }
        if options.wait_ready {
            for index in 0..testbed.nodes.len() {
                testbed.wait_ready(index).await;
            }
        }
        testbed
    }

    /// Pushes a configuration to the table service and the object store, as an operator does.
    pub async fn push_configuration(&self, configuration: &Configuration) {
        let (table, objects) = (self.table.address(), self.objects.address());
        let store = fl_platform::ConfigurationStore::new(table, objects, READY_TIMEOUT);
        let nonce = format!("{:032x}", rand::random::<u128>());
        store.push(configuration, &nonce, READY_TIMEOUT).await.unwrap();
    }

    /// Waits until a node is ready, knows all started nodes as members and knows a backend server.
    /// Panics if the node exits or is not ready in time.
    pub async fn wait_ready(&self, index: usize) {
        let started = self.nodes.iter().filter(|node| node.is_started()).count();
        let http = fl_platform::HttpClient::new(fl_platform::ConnectionReuse::Never);
        let node = &self.nodes[index];
        let uri = format!("http://{}/status", node.admin_address);
        let started_at = Instant::now();
        loop {
            let page =
                http.get_json::<fl_protocol::admin::StatusPage>(&uri, Duration::from_secs(2)).await;
            if let Ok(page) = &page {
                let runners = page.backends.iter().map(|count| count.known).sum::<usize>();
                if page.ready && page.members.len() >= started && runners > 0 {
                    return;
                }
            }
            assert!(!node.has_exited(), "{} exited: {}", node.vm, node.log());
            assert!(
                started_at.elapsed() < READY_TIMEOUT,
                "{} is not ready, status {page:?}, log:\n{}",
                node.vm,
                node.log()
            );
            tokio::time::sleep(POLL_PERIOD).await;
        }
    }

    /// Returns the events on the time line of a node, oldest first; none if it does not respond.
    pub async fn events(&self, node: usize) -> Vec<Event> {
        let http = fl_platform::HttpClient::new(fl_platform::ConnectionReuse::Never);
        let uri = format!("http://{}/timeline", self.nodes[node].admin_address);
        let page = http.get_json::<TimeLinePage>(&uri, Duration::from_secs(1)).await;
        page.map(|page| page.events).unwrap_or_default()
    }

    /// Returns the last event of a kind for a request, over all nodes that respond.
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

    /// Returns the index of the node on a VM; panics if there is none.
    pub fn node_index(&self, vm: &str) -> usize {
        self.nodes.iter().position(|node| node.vm == vm).unwrap()
    }

    /// Returns the index of the engine on a VM; panics if there is none.
    pub fn engine_index(&self, vm: &str) -> usize {
        self.engines.iter().position(|engine| engine.vm() == vm).unwrap()
    }

    /// Returns the indexes of the nodes in a data centre.
    pub fn nodes_in(&self, data_center: &str) -> Vec<usize> {
        let nodes = self.nodes.iter().enumerate();
        nodes.filter(|(_, node)| node.data_center == data_center).map(|(index, _)| index).collect()
    }

    /// Announces that all VMs of a data centre go away at the given wall-clock time.
    pub fn announce_reclaim(&self, data_center: &str, leaving_at_ms: u64) {
        for vm in self.cloud.vms() {
            if vm.data_center == data_center {
                let notice = fl_protocol::platform::ReclaimNotice { vm: vm.name, leaving_at_ms };
                self.cloud.announce_reclaim(notice);
            }
        }
    }

    async fn start_platform_relays(&self, prefix: [u8; 3], options: &TestbedOptions) {
        for index in 0..options.data_centers {
            let ip = host_address(prefix, FIRST_PLATFORM_RELAY_HOST + index as u8);
            let data_center = data_center_name(index);
            let targets = [
                self.table.address(),
                self.objects.address(),
                self.cloud.address(),
                self.weights.address(),
            ];
            for (port, target) in (1..).zip(targets) {
                self.network
                    .relay_to_platform(SocketAddr::new(ip, port), target, &data_center)
                    .await;
            }
        }
    }

    /// Starts the engines and plain services; returns the VM list, which also has the nodes.
    async fn start_backends(&mut self, prefix: [u8; 3], options: &TestbedOptions) -> Vec<Vm> {
        let mut vms = Vec::new();
        for index in 0..options.runners {
            let address = SocketAddr::new(
                host_address(prefix, FIRST_RUNNER_HOST + index as u8),
                SERVICE_PORT,
            );
            let vm = format!("runner-{index}");
            let engine = EngineOptions { vm: vm.clone(), ..options.engine.clone() };
            self.engines.push(Engine::start(address, engine).await.unwrap());
            let data_center = data_center_name(index % options.data_centers);
            let address = self.relay_backend(address, &data_center, options).await;
            vms.push(vm_entry(vm, VmKind::Runner, "runners", data_center, address));
        }
        for index in 0..options.applications {
            let ip = host_address(prefix, FIRST_APPLICATION_HOST + index as u8);
            let address = SocketAddr::new(ip, SERVICE_PORT);
            let vm = format!("application-{index}");
            let service = PlainServiceOptions { vm: vm.clone(), ..PlainServiceOptions::default() };
            self.applications.push(ServiceStandIn::start(address, service).await.unwrap());
            let data_center = data_center_name(index % options.data_centers);
            let address = self.relay_backend(address, &data_center, options).await;
            vms.push(vm_entry(vm, VmKind::Application, "bookings", data_center, address));
        }
        for index in 0..options.nodes {
            let address = SocketAddr::new(host_address(prefix, 1 + index as u8), RELAYED_PEER_PORT);
            let data_center = data_center_name(index % options.data_centers);
            vms.push(vm_entry(
                format!("entry-{index}"),
                VmKind::Entry,
                "entry",
                data_center,
                address,
            ));
        }
        vms
    }

    /// Returns the address for the VM list: that of a backend server, or of a new relay to it.
    async fn relay_backend(
        &self,
        address: SocketAddr,
        data_center: &str,
        options: &TestbedOptions,
    ) -> SocketAddr {
        if !options.relay_backends {
            return address;
        }
        let relay = SocketAddr::new(address.ip(), RELAYED_SERVICE_PORT);
        self.network.relay_tcp(relay, address, data_center, RelayTarget::Backend).await;
        relay
    }

    /// Starts the relays of the nodes and writes their settings.
    async fn create_nodes(&mut self, prefix: [u8; 3], options: &TestbedOptions) {
        let seed = SocketAddr::new(host_address(prefix, 1), RELAYED_GOSSIP_PORT);
        for index in 0..options.nodes {
            let ip = host_address(prefix, 1 + index as u8);
            let data_center = data_center_name(index % options.data_centers);
            let relay_host = FIRST_PLATFORM_RELAY_HOST + (index % options.data_centers) as u8;
            let at = |port| SocketAddr::new(ip, port);
            self.network.set_data_center(ip, &data_center);
            self.network
                .relay_tcp(at(RELAYED_PEER_PORT), at(PEER_PORT), &data_center, RelayTarget::Peer)
                .await;
            self.network.relay_udp(at(RELAYED_GOSSIP_PORT), at(GOSSIP_PORT), &data_center).await;
            let vm = format!("entry-{index}");
            let settings = format_settings(
                &vm,
                &data_center,
                ip,
                host_address(prefix, relay_host),
                seed,
                options,
            );
            let addresses = [at(CALLERS_PORT), at(ADMIN_PORT), at(PEER_PORT)];
            let binary = options.binary.clone();
            let node =
                NodeProcess::new(binary, &self.directory, &vm, &data_center, addresses, &settings);
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

/// Draws random address prefixes until one is free. The table service holds an address of each
/// prefix in use, so that binding it fails if another test bed has the prefix.
async fn reserve_prefix(options: &TableServiceOptions) -> ([u8; 3], TableServiceHandle) {
    loop {
        let [second, third]: [u8; 2] = rand::random();
        let prefix = [127, second.clamp(1, 254), third];
        let address = SocketAddr::new(host_address(prefix, PLATFORM_HOST), TABLE_PORT);
        match TableService::start(address, options.clone()).await {
            Ok(table) => return (prefix, table),
            Err(error) if error.kind() == std::io::ErrorKind::AddrInUse => {}
            Err(error) => panic!("starting the table service at {address} failed: {error}"),
        }
    }
}

/// Returns the name of the data centre with the given index.
pub fn data_center_name(index: usize) -> String {
    format!("dc-{}", char::from(b'a' + index as u8))
}

/// Returns a configuration with one workspace, which may call every model and service.
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

fn vm_entry(
    name: String,
    kind: VmKind,
    pool: &str,
    data_center: String,
    address: SocketAddr,
) -> Vm {
    Vm {
        name,
        kind,
        pool: pool.to_string(),
        data_center,
        address: address.to_string(),
        machine_class: "standard".to_string(),
        reclaimable: true,
        leaving: false,
    }
}

/// Returns the address with the given last byte.
fn host_address(prefix: [u8; 3], last: u8) -> IpAddr {
    IpAddr::V4(Ipv4Addr::new(prefix[0], prefix[1], prefix[2], last))
}

/// Returns the settings file of a node.
fn format_settings(
    vm: &str,
    data_center: &str,
    ip: IpAddr,
    platform: IpAddr,
    seed: SocketAddr,
    options: &TestbedOptions,
) -> String {
    let key_hex = "5a".repeat(32);
    let mut sections = [
        ("node", format!("vm = {vm}\ndata_center = {data_center}\nregion = region-1")),
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
        let entry = found.unwrap_or_else(|| panic!("unknown settings section {section}"));
        entry.1.push('\n');
        entry.1.push_str(line);
    }
    let filled = sections.iter().filter(|entry| !entry.1.is_empty());
    filled.map(|(name, lines)| format!("[{name}]\n{lines}\n\n")).collect()
}
