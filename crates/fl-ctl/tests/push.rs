//! `filbertctl push`: accepted, refused with the winner's name, and never with a faulty file.

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
        let places = [format!("--table={table}"), format!("--objects={objects}")];
        let mut words = vec![path.to_str().unwrap(), &places[0], &places[1]];
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

fn built_on(operator: &str, parent_version: u64) -> String {
    format!("[configuration]\noperator = {operator}\nparent_version = {parent_version}\n")
}

#[tokio::test]
async fn second_operator_told() {
    let platform = Platform::start().await;
    platform.push(&built_on("ana", 0), &[]).await.unwrap();
    let refusal = platform.push(&built_on("boris", 0), &[]).await.unwrap_err();
    let text = refusal.to_string();
    assert!(matches!(refusal, CommandError::Conflict(_)), "{text}");
    assert!(text.contains("version 1 by ana") && text.contains("parent_version = 1"), "{text}");
    platform.push(&built_on("boris", 1), &[]).await.unwrap();
    assert_eq!(platform.version().await, 2);
}

#[tokio::test]
async fn faulty_file_kept_out() {
    let platform = Platform::start().await;
    let faulty = "[configuration]\noperator = ana\n[workspace desk]\nweight = -1\ncolour = red\n";
    let refusal = platform.push(faulty, &[]).await.unwrap_err();
    assert!(matches!(refusal, CommandError::InvalidFile { .. }), "{refusal}");
    assert_eq!(platform.version().await, 0);
}

#[tokio::test]
async fn wait_needs_node() {
    let platform = Platform::start().await;
    let refusal = platform.push(&built_on("ana", 0), &["--wait"]).await.unwrap_err();
    assert!(matches!(refusal, CommandError::Usage(_)), "{refusal}");
    assert_eq!(platform.version().await, 0);
}

/// A node that is being started breaks off the first question; the wait goes on.
#[tokio::test]
async fn waits_for_node() {
    let platform = Platform::start().await;
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let admin = format!("--admin={}", listener.local_addr().unwrap());
    let node = tokio::spawn(answer_second(listener));
    platform.push(&built_on("ana", 0), &["--wait", &admin]).await.unwrap();
    node.abort();
}

async fn answer_second(listener: TcpListener) {
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
        let mut question = [0; 1024];
        let size_bytes = stream.read(&mut question).await.unwrap();
        assert!(size_bytes > 0);
        stream.write_all(format!("{head}\r\n\r\n{body}").as_bytes()).await.unwrap();
    }
}
