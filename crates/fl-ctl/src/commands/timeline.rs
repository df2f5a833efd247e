//! `filbertctl timeline`: merges the events of all nodes.

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

const SECOND_MS: u64 = 1000;

/// Which events to show, and how.
#[derive(Debug, Options)]
pub struct Arguments {
    #[options(help = "print this help")]
    help: bool,
    #[options(help = "admin address of a node, ip:port; may be given again", meta = "ADDRESS")]
    admin: Vec<SocketAddr>,
    #[options(no_short, help = "ask only the given nodes, not the members they know")]
    only: bool,
    #[options(help = "only events of this request", meta = "ID")]
    request: Option<String>,
    #[options(help = "only events of the last N seconds", meta = "N")]
    last_s: Option<u64>,
    #[options(no_short, help = "write a page with a drawing instead of text", meta = "FILE")]
    html: Option<String>,
}

/// Example invocations, printed by `--help`.
pub const EXAMPLES: &str = "  filbertctl timeline --admin 127.0.0.1:9090 --last-s 60
  filbertctl timeline --admin 127.0.0.1:9090 --request 000000000000000000000000000000ab
  filbertctl timeline --admin 127.0.0.1:9090 --html timeline.html
";

/// Asks all nodes and prints the merged events; nodes that do not answer are named.
pub async fn run(arguments: &Arguments) -> Result<(), CommandError> {
    let query = make_query(arguments)?;
    let client = HttpClient::new(ConnectionReuse::Pooled);
    let nodes = choose_nodes(arguments, &client).await?;
    let pages = join_all(nodes.iter().map(|node| read_page(&client, *node, &query))).await;
    let time_line = merge_answers(pages)?;
    match &arguments.html {
        None => print!("{}", render_text(&time_line)),
        Some(path) => write_page(path, &time_line)?,
    }
    Ok(())
}

fn make_query(arguments: &Arguments) -> Result<String, CommandError> {
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
    (now.as_millis() as UnixMs).saturating_sub(last_s.saturating_mul(SECOND_MS))
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

/// A time line with gaps is better than none during a cut, so only a complete failure is one.
fn merge_answers(answers: Vec<Result<TimeLinePage, HttpError>>) -> Result<TimeLine, CommandError> {
    let mut pages = Vec::new();
    let mut last_error = None;
    for answer in answers {
        match answer {
            Ok(page) => pages.push(page),
            Err(error) => {
                eprintln!("missing on the time line: {error}");
                last_error = Some(error);
            }
        }
    }
    match last_error {
        Some(error) if pages.is_empty() => Err(CommandError::Unreachable(error)),
        _ => Ok(merge_pages(pages)),
    }
}

fn write_page(path: &str, time_line: &TimeLine) -> Result<(), CommandError> {
    let page = render_html(time_line, "filbertlead time line");
    std::fs::write(path, page)
        .map_err(|error| CommandError::Io { path: path.to_string(), message: error.to_string() })?;
    println!("{path}: {} events of {} nodes", time_line.events.len(), time_line.nodes.len());
    Ok(())
}
