//! `filbertctl status`: the version in force and the nodes of each data centre.

use crate::error::CommandError;
use crate::node_discovery::{discover_nodes, read_status};
use fl_platform::{ConnectionReuse, HttpClient};
use fl_protocol::admin::StatusPage;
use fl_protocol::{ConfigurationVersion, DataCenterName, Member, MemberState};
use futures::future::join_all;
use gumdrop::Options;
use std::fmt::{Display, Formatter};
use std::net::SocketAddr;

/// Prints the version in force and the nodes of each data centre.
#[derive(Debug, Options)]
pub struct Arguments {
    #[options(help = "print this help")]
    help: bool,
    #[options(help = "admin address of a node; may be repeated", meta = "IP:PORT")]
    admin: Vec<SocketAddr>,
}

/// Example invocations, printed by `--help`.
pub const EXAMPLES: &str = "  filbertctl status --admin 127.0.0.1:9090
";

/// Status of one node, as the node itself or its peers report it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum NodeStatus {
    /// The node answered with its status page.
    Responding(StatusPage),
    /// The node did not answer; the entry comes from the membership list of its peers.
    Unresponsive(Member),
}

/// Status of all nodes, sorted by data centre and VM.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct FleetStatus {
    nodes: Vec<NodeStatus>,
}

/// Prints the status of all nodes, grouped by data centre.
pub async fn run(arguments: &Arguments) -> Result<(), CommandError> {
    if arguments.admin.is_empty() {
        return Err(CommandError::Usage("status needs --admin IP:PORT of a node".to_string()));
    }
    let client = HttpClient::new(ConnectionReuse::Pooled);
    print!("{}", read_fleet_status(&client, &arguments.admin).await?);
    Ok(())
}

/// Reads the status of the given nodes and of all members they know.
///
/// Nodes that do not answer are taken from the membership lists of the others.
pub async fn read_fleet_status(
    client: &HttpClient,
    admin_addresses: &[SocketAddr],
) -> Result<FleetStatus, CommandError> {
    let addresses = discover_nodes(client, admin_addresses).await?;
    let responses = join_all(addresses.iter().map(|admin| read_status(client, *admin))).await;
    let pages: Vec<StatusPage> = responses.into_iter().flatten().collect();
    Ok(FleetStatus::new(pages))
}

impl FleetStatus {
    /// Creates the status from the pages that nodes sent, and adds the members that sent none.
    ///
    /// Members that their peers consider dead are left out.
    pub fn new(pages: Vec<StatusPage>) -> Self {
        let mut nodes: Vec<NodeStatus> = Vec::new();
        for page in &pages {
            for member in &page.members {
                let answered = pages.iter().any(|page| page.vm == member.vm);
                let listed = nodes.iter().any(|node| *node.vm() == member.vm);
                if !answered && !listed && member.state != MemberState::Dead {
                    nodes.push(NodeStatus::Unresponsive(member.clone()));
                }
            }
        }
        nodes.extend(pages.into_iter().map(NodeStatus::Responding));
        nodes.sort_by(|a, b| (a.data_center(), a.vm()).cmp(&(b.data_center(), b.vm())));
        nodes.dedup_by(|a, b| a.vm() == b.vm());
        FleetStatus { nodes }
    }

    /// Returns the names of all data centres, sorted and without duplicates.
    pub fn data_centers(&self) -> Vec<DataCenterName> {
        let mut names: Vec<DataCenterName> =
            self.nodes.iter().map(|node| node.data_center().clone()).collect();
        names.dedup();
        names
    }

    /// Returns whether every node of a data centre answered and has the version or a higher one.
    pub fn is_in_force(&self, data_center: &str, version: ConfigurationVersion) -> bool {
        self.nodes_of(data_center).iter().all(|node| match node {
            NodeStatus::Responding(page) => page.configuration_version >= version,
            NodeStatus::Unresponsive(_) => false,
        })
    }

    fn nodes_of(&self, data_center: &str) -> Vec<&NodeStatus> {
        self.nodes.iter().filter(|node| node.data_center() == data_center).collect()
    }
}

impl NodeStatus {
    fn vm(&self) -> &String {
        match self {
            NodeStatus::Responding(page) => &page.vm,
            NodeStatus::Unresponsive(member) => &member.vm,
        }
    }

    fn data_center(&self) -> &DataCenterName {
        match self {
            NodeStatus::Responding(page) => &page.data_center,
            NodeStatus::Unresponsive(member) => &member.data_center,
        }
    }
}

impl Display for FleetStatus {
    fn fmt(&self, f: &mut Formatter<'_>) -> std::fmt::Result {
        for data_center in self.data_centers() {
            let nodes = self.nodes_of(&data_center);
            writeln!(f, "{data_center}: {}", format_versions(&nodes))?;
            for node in nodes {
                writeln!(f, "  {node}")?;
            }
        }
        Ok(())
    }
}

impl Display for NodeStatus {
    fn fmt(&self, f: &mut Formatter<'_>) -> std::fmt::Result {
        match self {
            NodeStatus::Responding(page) if page.ready => {
                write!(f, "{}: ready, version {}", page.vm, page.configuration_version)
            }
            NodeStatus::Responding(page) => {
                let reasons = page.not_ready_reasons.join("; ");
                let version = page.configuration_version;
                write!(f, "{}: not ready, version {version}: {reasons}", page.vm)
            }
            NodeStatus::Unresponsive(member) => {
                write!(f, "{}: does not answer, its peers call it {:?}", member.vm, member.state)
            }
        }
    }
}

fn format_versions(nodes: &[&NodeStatus]) -> String {
    let mut versions: Vec<ConfigurationVersion> = Vec::new();
    for node in nodes {
        if let NodeStatus::Responding(page) = node {
            versions.push(page.configuration_version);
        }
    }
    match (versions.iter().min(), versions.iter().max()) {
        (Some(lowest), Some(highest)) if lowest == highest => format!("version {lowest} in force"),
        (Some(lowest), Some(highest)) => format!("versions {lowest} to {highest}"),
        _ => "no node answers".to_string(),
    }
}
