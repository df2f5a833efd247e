//! `filbertctl timeline`: merges the events of all nodes into one time line.

use crate::error::CommandError;
use crate::node_discovery::{NODE_TIMEOUT, discover_nodes};
use fl_platform::{ConnectionReuse, HttpClient, HttpError};
use fl_protocol::admin::TIME_LINE_PATH;
use fl_protocol::{UnixMs, parse_request_id};
use fl_timeline::html::render_html;
use fl_timeline::text::render_text;
use fl_timeline::{TimeLine, TimeLinePage, merge_pages};
use futures::future::join_all;
use gumdrop::Options;
use std::net::SocketAddr;
use std::time::{SystemTime, UNIX_EPOCH};

const MS_PER_SECOND: u64 = 1000;

/// Merges the events of all nodes into one time line.
#[derive(Debug, Options)]
pub struct Arguments {
    #[options(help = "print this help")]
    help: bool,
    #[options(help = "admin address of a node, ip:port; may be repeated", meta = "ADDRESS")]
    admin: Vec<SocketAddr>,
    #[options(no_short, help = "ask only the given nodes, not the members they know")]
    only: bool,
    #[options(help = "only events of this request", meta = "ID")]
    request: Option<String>,
    #[options(help = "only events of the last N seconds", meta = "N")]
    last_s: Option<u64>,
    #[options(no_short, help = "write an HTML page with a chart instead of text", meta = "FILE")]
    html: Option<String>,
}

/// Example invocations, printed by `--help`.
pub const EXAMPLES: &str = "  filbertctl timeline --admin 127.0.0.1:9090 --last-s 60
  filbertctl timeline --admin 127.0.0.1:9090 --request 000000000000000000000000000000ab
  filbertctl timeline --admin 127.0.0.1:9090 --html timeline.html
";

/// Reads the events of all nodes and prints them merged.
///
/// Nodes that do not answer are reported on standard error.
pub async fn run(arguments: &Arguments) -> Result<(), CommandError> {
    let query = build_query(arguments)?;
    let client = HttpClient::new(ConnectionReuse::Pooled);
    let nodes = choose_nodes(arguments, &client).await?;
    let pages = join_all(nodes.iter().map(|node| read_page(&client, *node, &query))).await;
    let time_line = merge_responses(pages)?;
    match &arguments.html {
        None => print!("{}", render_text(&time_line)),
        Some(path) => write_html(path, &time_line)?,
    }
    Ok(())
}

fn build_query(arguments: &Arguments) -> Result<String, CommandError> {
    if arguments.admin.is_empty() {
        let message = "timeline needs the admin address of a node, --admin ip:port";
        return Err(CommandError::Usage(message.to_string()));
    }
    let mut query = format!("?since_ms={}", since_ms(arguments.last_s));
    if let Some(id) = &arguments.request {
        if parse_request_id(id).is_none() {
            let message = format!("--request {id}: expected 32 hexadecimal digits");
            return Err(CommandError::Usage(message));
        }
        query.push_str(&format!("&request={id}"));
    }
    Ok(query)
}

fn since_ms(last_s: Option<u64>) -> UnixMs {
    let Some(last_s) = last_s else {
        return 0;
    };
    let now = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    (now.as_millis() as UnixMs).saturating_sub(last_s.saturating_mul(MS_PER_SECOND))
}

async fn choose_nodes(
    arguments: &Arguments,
    client: &HttpClient,
) -> Result<Vec<SocketAddr>, CommandError> {
    if arguments.only {
        return Ok(arguments.admin.clone());
    }
    discover_nodes(client, &arguments.admin).await
}

async fn read_page(
    client: &HttpClient,
    node: SocketAddr,
    query: &str,
) -> Result<TimeLinePage, HttpError> {
    let uri = format!("http://{node}{TIME_LINE_PATH}{query}");
    client.get_json(&uri, NODE_TIMEOUT).await
}

/// Merges the pages that nodes sent; fails only if no node answered, since a time line with gaps is
/// still useful during a network partition.
fn merge_responses(
    responses: Vec<Result<TimeLinePage, HttpError>>,
) -> Result<TimeLine, CommandError> {
    let mut pages = Vec::new();
    let mut last_error = None;
    for response in responses {
        match response {
            Ok(page) => pages.push(page),
            Err(error) => {
                eprintln!("a node is missing on the time line: {error}");
                last_error = Some(error);
            }
        }
    }
    match last_error {
        Some(error) if pages.is_empty() => Err(CommandError::Unreachable(error)),
        _ => Ok(merge_pages(pages)),
    }
}

fn write_html(path: &str, time_line: &TimeLine) -> Result<(), CommandError> {
    let page = render_html(time_line, "filbertlead time line");
    std::fs::write(path, page)
        .map_err(|error| CommandError::Io { path: path.to_string(), message: error.to_string() })?;
    println!("{path}: {} events of {} nodes", time_line.events.len(), time_line.nodes.len());
    Ok(())
}
