//! `filbertctl push`: submits a configuration and waits until it is in force.

use super::status::{FleetStatus, read_fleet_status};
use crate::error::CommandError;
use fl_config::parse_configuration;
use fl_platform::{ConfigurationHead, ConfigurationStore, ConnectionReuse, HttpClient, PushError};
use fl_protocol::{Configuration, ConfigurationVersion, DataCenterName};
use gumdrop::Options;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

const PLATFORM_TIMEOUT: Duration = Duration::from_secs(2);
const DEFAULT_TIMEOUT_S: u64 = 30;
const POLL_INTERVAL: Duration = Duration::from_millis(200);

/// Submits a configuration and, with --wait, waits until it is in force.
#[derive(Debug, Options)]
pub struct Arguments {
    #[options(help = "print this help")]
    help: bool,
    #[options(free, required, help = "configuration file")]
    file: String,
    #[options(
        no_short,
        required,
        help = "address of the platform's table service",
        meta = "IP:PORT"
    )]
    table: Option<SocketAddr>,
    #[options(
        no_short,
        required,
        help = "address of the platform's object store",
        meta = "IP:PORT"
    )]
    objects: Option<SocketAddr>,
    #[options(no_short, help = "wait until it is in force in every data centre")]
    wait: bool,
    #[options(help = "admin address of a node; may be repeated", meta = "IP:PORT")]
    admin: Vec<SocketAddr>,
    #[options(no_short, help = "give up after N seconds (default 30)", meta = "N")]
    patience_s: Option<u64>,
}

/// Example invocations, printed by `--help`.
pub const EXAMPLES: &str =
    "  filbertctl push fleet.ini --table 127.0.0.1:7300 --objects 127.0.0.1:7301
  filbertctl push fleet.ini --table 127.0.0.1:7300 --objects 127.0.0.1:7301 \\
      --wait --admin 127.0.0.1:9090
";

/// Checks the file, submits it and, with `--wait`, reports each data centre where it is in force.
pub async fn run(arguments: &Arguments) -> Result<(), CommandError> {
    if arguments.wait && arguments.admin.is_empty() {
        return Err(CommandError::Usage("--wait needs --admin IP:PORT of a node".to_string()));
    }
    let timeout = Duration::from_secs(arguments.patience_s.unwrap_or(DEFAULT_TIMEOUT_S));
    let configuration = read_file(&arguments.file)?;
    let head = submit(arguments, &configuration, timeout).await?;
    let accepted_at = Instant::now();
    println!("accepted: version {} by {}", head.version, head.operator);
    if !arguments.wait {
        return Ok(());
    }
    wait_in_force(arguments, head.version, accepted_at, timeout).await
}

fn read_file(path: &str) -> Result<Configuration, CommandError> {
    let text = std::fs::read_to_string(path)
        .map_err(|error| CommandError::Io { path: path.to_string(), message: error.to_string() })?;
    parse_configuration(&text)
        .map_err(|errors| CommandError::InvalidFile { path: path.to_string(), errors })
}

async fn submit(
    arguments: &Arguments,
    configuration: &Configuration,
    timeout: Duration,
) -> Result<ConfigurationHead, CommandError> {
    let missing = || CommandError::Usage("push needs --table and --objects".to_string());
    let table = arguments.table.ok_or_else(missing)?;
    let objects = arguments.objects.ok_or_else(missing)?;
    let store = ConfigurationStore::new(table, objects, PLATFORM_TIMEOUT);
    let nonce = format!("{:032x}", rand::random::<u128>());
    store.push(configuration, &nonce, timeout).await.map_err(command_error)
}

fn command_error(error: PushError) -> CommandError {
    let message = error.to_string();
    match error {
        PushError::Conflict { .. } => CommandError::Conflict(message),
        PushError::Unavailable(_)
        | PushError::OutcomeUnknown(_)
        | PushError::NotSerializable(_) => CommandError::Failed(message),
    }
}

/// Prints each data centre as soon as all its nodes have the version.
///
/// Returns when that holds for all data centres, and fails after `timeout`.
async fn wait_in_force(
    arguments: &Arguments,
    version: ConfigurationVersion,
    accepted_at: Instant,
    timeout: Duration,
) -> Result<(), CommandError> {
    let client = HttpClient::new(ConnectionReuse::Pooled);
    let mut printed: Vec<DataCenterName> = Vec::new();
    loop {
        let fleet = match read_fleet_status(&client, &arguments.admin).await {
            Ok(fleet) => fleet,
            Err(error) if accepted_at.elapsed() >= timeout => return Err(error),
            // Nodes that are still starting answer soon.
            Err(_) => {
                tokio::time::sleep(POLL_INTERVAL).await;
                continue;
            }
        };
        for data_center in data_centers_now_in_force(&fleet, version, &printed) {
            let elapsed_ms = accepted_at.elapsed().as_millis();
            println!("in force: {data_center}, version {version} after {elapsed_ms} ms");
            printed.push(data_center);
        }
        if fleet.data_centers().iter().all(|data_center| printed.contains(data_center)) {
            return Ok(());
        }
        if accepted_at.elapsed() >= timeout {
            print!("{fleet}");
            let message =
                format!("version {version} is accepted but not yet in force on all nodes");
            return Err(CommandError::Failed(format!("{message}; see filbertctl status")));
        }
        tokio::time::sleep(POLL_INTERVAL).await;
    }
}

fn data_centers_now_in_force(
    fleet: &FleetStatus,
    version: ConfigurationVersion,
    printed: &[DataCenterName],
) -> Vec<DataCenterName> {
    let mut names = fleet.data_centers();
    names.retain(|name| !printed.contains(name) && fleet.is_in_force(name, version));
    names
}
