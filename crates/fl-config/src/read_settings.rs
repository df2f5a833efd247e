//! Reads the settings of a node from an INI file.

use crate::document::{Document, DocumentedKey};
use crate::error::{ConfigError, ConfigErrors};
use crate::settings::*;
use crate::value::*;
use fl_protocol::VmLimits;
use std::path::Path;

const SECTIONS: &str =
    "one of [node], [listen], [platform], [fleet], [limits], [membership], [routing], [log]";
const HOUR_MS: u64 = 3_600_000;
const MINUTE_MS: u64 = 60_000;
const BYTES_PER_MB: usize = 1_000_000;
const HEADER_BYTES_MAX: usize = 1 << 20;
const BODY_BYTES_MAX: usize = 64 << 20;

impl Settings {
    /// Parses settings and reports all errors of the text at once.
    pub fn parse(text: &str) -> Result<Settings, ConfigErrors> {
        let mut document = Document::parse(text)?;
        let settings = read_sections(&mut document);
        if let Some(settings) = &settings {
            check_relations(settings, &mut document);
        }
        document.finish(settings, SECTIONS)
    }

    /// Reads a file of settings and reports all its errors at once.
    pub fn load(path: impl AsRef<Path>) -> Result<Settings, ConfigErrors> {
        let path = path.as_ref();
        let text = std::fs::read_to_string(path).map_err(|error| ConfigError::Unreadable {
            path: path.display().to_string(),
            message: error.to_string(),
        })?;
        Settings::parse(&text)
    }

    /// Returns every key with its allowed values and default, for `docs/OPERATING.md`.
    pub fn reference() -> Vec<DocumentedKey> {
        let mut document = Document::default();
        read_sections(&mut document);
        document.into_documented_keys()
    }
}

fn read_sections(document: &mut Document) -> Option<Settings> {
    let node = read_node(document);
    let listen = read_listen(document);
    let platform = read_platform(document);
    let fleet = read_fleet(document);
    let limits = read_limits(document);
    let membership = read_membership(document);
    let routing = read_routing(document);
    let log = read_log(document);
    Some(Settings {
        node: node?,
        listen: listen?,
        platform: platform?,
        fleet: fleet?,
        limits: limits?,
        membership: membership?,
        routing: routing?,
        log: log?,
    })
}

fn read_node(document: &mut Document) -> Option<NodeSettings> {
    let mut section = document.section("node");
    let vm = section.required("vm", name());
    let data_center = section.required("data_center", name());
    let region = section.required("region", name());
    section.finish();
    Some(NodeSettings { vm: vm?, data_center: data_center?, region: region? })
}

fn read_listen(document: &mut Document) -> Option<ListenSettings> {
    let mut section = document.section("listen");
    let callers = section.required("callers", address());
    let peer = section.required("peer", address());
    let gossip = section.required("gossip", address());
    let admin = section.required("admin", address());
    let peer_advertised = section.optional_or("peer_advertised", "peer", peer, reachable_address());
    let gossip_advertised =
        section.optional_or("gossip_advertised", "gossip", gossip, reachable_address());
    section.finish();
    Some(ListenSettings {
        callers: callers?,
        peer: peer?,
        gossip: gossip?,
        admin: admin?,
        peer_advertised: peer_advertised?,
        gossip_advertised: gossip_advertised?,
    })
}

fn read_platform(document: &mut Document) -> Option<PlatformSettings> {
    let mut section = document.section("platform");
    let table = section.required("table", reachable_address());
    let objects = section.required("objects", reachable_address());
    let vm_list = section.required("vm_list", reachable_address());
    let cloud = section.required("cloud", reachable_address());
    let weights = section.required("weights", reachable_address());
    let request_timeout =
        section.optional("request_timeout_ms", "2000", milliseconds(1..=MINUTE_MS));
    section.finish();
    Some(PlatformSettings {
        table: table?,
        objects: objects?,
        vm_list: vm_list?,
        cloud: cloud?,
        weights: weights?,
        request_timeout: request_timeout?,
    })
}

fn read_fleet(document: &mut Document) -> Option<FleetSettings> {
    let mut section = document.section("fleet");
    let key = section.required("key_hex", secret_key());
    let seeds = section.optional("seeds", "", addresses());
    let control = section.optional("control", "true", yes_or_no());
    section.finish();
    Some(FleetSettings { key: key?, seeds: seeds?, control: control? })
}

fn read_limits(document: &mut Document) -> Option<LimitSettings> {
    let mut section = document.section("limits");
    let mut time_ms =
        |key: &str, default: &str| section.optional(key, default, milliseconds(1..=HOUR_MS));
    let header_timeout = time_ms("header_timeout_ms", "5000");
    let body_timeout = time_ms("body_timeout_ms", "10000");
    let first_token_timeout = time_ms("first_token_timeout_ms", "5000");
    let between_tokens_timeout = time_ms("between_tokens_timeout_ms", "2000");
    let give_up = time_ms("give_up_ms", "60000");
    let resume_window = time_ms("resume_window_ms", "30000");
    let drain_timeout = time_ms("drain_timeout_ms", "20000");
    let header_bytes =
        section.optional("header_bytes", "16384", size_bytes(1024..=HEADER_BYTES_MAX));
    let body_bytes = section.optional("body_bytes", "1048576", size_bytes(1024..=BODY_BYTES_MAX));
    let memory_mb = section.optional("memory_mb", "256", small_number(32..=1_000_000));
    let file_descriptors =
        section.optional("file_descriptors", "1024", small_number(256..=1_000_000));
    let retry_budget_percent =
        section.optional("retry_budget_percent", "10", small_number(0..=100));
    section.finish();
    Some(LimitSettings {
        header_bytes: header_bytes?,
        body_bytes: body_bytes?,
        header_timeout: header_timeout?,
        body_timeout: body_timeout?,
        first_token_timeout: first_token_timeout?,
        between_tokens_timeout: between_tokens_timeout?,
        give_up: give_up?,
        resume_window: resume_window?,
        drain_timeout: drain_timeout?,
        vm: VmLimits {
            memory_bytes: memory_mb? as usize * BYTES_PER_MB,
            file_descriptors: file_descriptors? as usize,
        },
        retry_budget_percent: retry_budget_percent?,
    })
}

fn read_membership(document: &mut Document) -> Option<MembershipSettings> {
    let mut section = document.section("membership");
    let heartbeat = section.optional("heartbeat_ms", "500", milliseconds(10..=MINUTE_MS));
    let suspicion = section.optional("suspicion_ms", "2000", milliseconds(10..=MINUTE_MS));
    section.finish();
    Some(MembershipSettings { heartbeat: heartbeat?, suspicion: suspicion? })
}

fn read_routing(document: &mut Document) -> Option<RoutingSettings> {
    let mut section = document.section("routing");
    let policy =
        section.optional("policy", "prefix", one_of(&["prefix", "least-loaded", "round-robin"]));
    let load_poll = section.optional("load_poll_ms", "500", milliseconds(10..=MINUTE_MS));
    let vm_list_poll = section.optional("vm_list_poll_ms", "1000", milliseconds(10..=MINUTE_MS));
    section.finish();
    Some(RoutingSettings { policy: policy?, load_poll: load_poll?, vm_list_poll: vm_list_poll? })
}

fn read_log(document: &mut Document) -> Option<LogSettings> {
    let mut section = document.section("log");
    let level = section.optional("level", "info", one_of(&["error", "warn", "info", "debug"]));
    let file = section.optional("file", "", text());
    section.finish();
    Some(LogSettings { level: level?, file: file? })
}

fn check_relations(settings: &Settings, document: &mut Document) {
    check_advertised(&settings.listen, document);
    let membership = &settings.membership;
    if membership.suspicion <= membership.heartbeat {
        document.add_error(ConfigError::Value {
            section: "membership".to_string(),
            key: "suspicion_ms".to_string(),
            value: membership.suspicion.as_millis().to_string(),
            allowed: format!("more than heartbeat_ms, {}", membership.heartbeat.as_millis()),
        });
    }
    let limits = &settings.limits;
    if limits.give_up < limits.first_token_timeout {
        document.add_error(ConfigError::Value {
            section: "limits".to_string(),
            key: "give_up_ms".to_string(),
            value: limits.give_up.as_millis().to_string(),
            allowed: format!(
                "at least first_token_timeout_ms, {}",
                limits.first_token_timeout.as_millis()
            ),
        });
    }
}

/// Reports an advertised address that is unspecified, since peers cannot connect to it.
fn check_advertised(listen: &ListenSettings, document: &mut Document) {
    let pairs = [
        ("peer_advertised", listen.peer_advertised),
        ("gossip_advertised", listen.gossip_advertised),
    ];
    for (key, advertised) in pairs {
        if advertised.ip().is_unspecified() {
            document.add_error(ConfigError::Missing {
                section: "listen".to_string(),
                key: key.to_string(),
                allowed: reachable_address().allowed,
            });
        }
    }
}
