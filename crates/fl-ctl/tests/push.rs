//! `filbertctl push`: accepted pushes, conflicts, invalid files and waiting for nodes.

#![allow(clippy::unwrap_used, reason = "helpers of tests may panic as tests do")]

use fl_ctl::commands::push::{Arguments, run};
use fl_ctl::error::CommandError;
use fl_platform::ConfigurationStore;
use fl_protocol::admin::StatusPage;
use fl_standins::{
    ObjectStore, ObjectStoreHandle, TableService, TableServiceHandle, TableServiceOptions,
};
use gumdrop::Options;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::time::Duration;
use tokio::io::{AsyncReadExt as _, AsyncWriteExt as _};
use tokio::net::TcpListener;

struct Platform {
    table: TableServiceHandle,
    objects: ObjectStoreHandle,
    directory: PathBuf,
}

impl Platform {
    async fn start() -> Platform {
        let any = SocketAddr::from(([127, 0, 0, 1], 0));
        let table = TableService::start(any, TableServiceOptions::default()).await.unwrap();
        let name = format!("filbert-push-{:016x}", rand::random::<u64>());
        let directory = std::env::temp_dir().join(name);
        std::fs::create_dir_all(&directory).unwrap();
        Platform { table, objects: ObjectStore::start(any).await.unwrap(), directory }
    }

    async fn push(&self, text: &str, more: &[&str]) -> Result<(), CommandError> {
        let path = self.directory.join("fleet.ini");
        std::fs::write(&path, text).unwrap();
        let (table, objects) = (self.table.address(), self.objects.address());
        let options = [format!("--table={table}"), format!("--objects={objects}")];
        let mut words = vec![path.to_str().unwrap(), &options[0], &options[1]];
        words.extend(more);
        run(&Arguments::parse_args_default(&words).unwrap()).await
    }

    async fn version(&self) -> u64 {
        let timeout = Duration::from_secs(5);
        let store = ConfigurationStore::new(self.table.address(), self.objects.address(), timeout);
        store.read_head().await.unwrap().version
    }
}

impl Drop for Platform {
    fn drop(&mut self) {
        let _ = std::fs::remove_dir_all(&self.directory);
    }
}

fn configuration_text(operator: &str, parent_version: u64) -> String {
    format!("[configuration]\noperator = {operator}\nparent_version = {parent_version}\n")
}

#[tokio::test]
async fn second_operator_gets_conflict() {
    let platform = Platform::start().await;
    platform.push(&configuration_text("ana", 0), &[]).await.unwrap();
    let error = platform.push(&configuration_text("boris", 0), &[]).await.unwrap_err();
    let text = error.to_string();
    assert!(matches!(error, CommandError::Conflict(_)), "{text}");
    assert!(text.contains("version 1 by ana") && text.contains("parent_version = 1"), "{text}");
    platform.push(&configuration_text("boris", 1), &[]).await.unwrap();
    assert_eq!(platform.version().await, 2);
}

#[tokio::test]
async fn invalid_file_not_pushed() {
    let platform = Platform::start().await;
    let invalid = "[configuration]\noperator = ana\n[workspace desk]\nweight = -1\ncolour = red\n";
    let error = platform.push(invalid, &[]).await.unwrap_err();
    assert!(matches!(error, CommandError::InvalidFile { .. }), "{error}");
    assert_eq!(platform.version().await, 0);
}

#[tokio::test]
async fn wait_needs_admin_address() {
    let platform = Platform::start().await;
    let error = platform.push(&configuration_text("ana", 0), &["--wait"]).await.unwrap_err();
    assert!(matches!(error, CommandError::Usage(_)), "{error}");
    assert_eq!(platform.version().await, 0);
}

/// A node that is still starting closes the first connection; `--wait` must ask it again.
#[tokio::test]
async fn wait_survives_starting_node() {
    let platform = Platform::start().await;
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let admin = format!("--admin={}", listener.local_addr().unwrap());
    let node = tokio::spawn(serve_after_first_connection(listener));
    platform.push(&configuration_text("ana", 0), &["--wait", &admin]).await.unwrap();
    node.abort();
}

async fn serve_after_first_connection(listener: TcpListener) {
    drop(listener.accept().await.unwrap());
    let page = StatusPage {
        vm: "entry-1".to_string(),
        data_center: "dc-a".to_string(),
        now_ms: 0,
        ready: true,
        not_ready_reasons: Vec::new(),
        configuration_version: 1,
        members: Vec::new(),
        backends: Vec::new(),
    };
    let body = serde_json::to_string(&page).unwrap();
    let head = format!("HTTP/1.1 200 OK\r\nconnection: close\r\ncontent-length: {}", body.len());
    loop {
        let (mut stream, _) = listener.accept().await.unwrap();
        let mut request = [0; 1024];
        let size_bytes = stream.read(&mut request).await.unwrap();
        assert!(size_bytes > 0);
        stream.write_all(format!("{head}\r\n\r\n{body}").as_bytes()).await.unwrap();
    }
}
