//! Reads the operators' configuration from an INI file.
//!
//! `docs/CONFIGURATION.md` describes the format.

use crate::check_configuration::check_relations;
use crate::document::{Document, DocumentedKey};
use crate::error::{ConfigError, ConfigErrors};
use crate::value::*;
use fl_protocol::{CallClass, Configuration, Model, PlainService, Priority, Workspace};

const SECTIONS: &str = "one of [configuration], [workspace NAME], [class WORKSPACE/CLASS], \
                        [model NAME], [service NAME], each name of 1 to 63 letters, digits, \
                        '-', '_' or '.'";
const WEIGHT_MAX: u32 = 1_000_000;
const LIMIT_PER_S_MAX: u64 = 1_000_000_000;
const HOUR_MS: u64 = 3_600_000;
const WEIGHTS_BYTES_MAX: u64 = 1 << 50;
const COPIES_MAX: u32 = 10_000;

/// Class of calls that was read, with the name of its workspace.
pub(crate) struct ClassSection {
    pub(crate) workspace: String,
    pub(crate) class: CallClass,
}

/// Reads a configuration and reports all errors of the text at once.
///
/// Its version is 0, since the head row assigns the version when the configuration is accepted.
pub fn parse_configuration(text: &str) -> Result<Configuration, ConfigErrors> {
    let mut document = Document::parse(text)?;
    let configuration = read_sections(&mut document);
    if let Some(configuration) = &configuration {
        check_relations(configuration, &mut document);
    }
    document.finish(configuration, SECTIONS)
}

/// Returns every key of the format with its allowed values and default, for
/// `docs/CONFIGURATION.md`.
pub fn configuration_reference() -> Vec<DocumentedKey> {
    let mut document = Document::default();
    read_head(&mut document);
    read_workspace(&mut document, "NAME");
    read_class(&mut document, "WORKSPACE/CLASS");
    read_model(&mut document, "NAME");
    read_service(&mut document, "NAME");
    document.into_documented_keys()
}

/// Returns whether a text is a configuration rather than the settings of a node.
pub fn is_configuration(text: &str) -> bool {
    const KINDS: [&str; 5] = ["configuration", "workspace", "class", "model", "service"];
    let names = Document::parse(text).map(|document| document.section_names());
    let kind_of = |name: &String| name.split(' ').next().unwrap_or_default().to_string();
    names.unwrap_or_default().iter().any(|name| KINDS.contains(&kind_of(name).as_str()))
}

fn read_sections(document: &mut Document) -> Option<Configuration> {
    let head = read_head(document);
    let workspaces = read_named(document, "workspace ", 1, read_workspace);
    let classes = read_named(document, "class ", 2, read_class);
    let models = read_named(document, "model ", 1, read_model);
    let services = read_named(document, "service ", 1, read_service);
    let mut configuration = head?;
    configuration.workspaces = workspaces?;
    configuration.models = models?;
    configuration.services = services?;
    configuration.workspaces.sort_by(|a, b| a.name.cmp(&b.name));
    configuration.models.sort_by(|a, b| a.name.cmp(&b.name));
    configuration.services.sort_by(|a, b| a.name.cmp(&b.name));
    for class in classes? {
        insert_class(&mut configuration, class, document);
    }
    Some(configuration)
}

/// Reads all sections of one kind, also after an error in one of them, so that all errors are
/// reported.
fn read_named<T>(
    document: &mut Document,
    prefix: &str,
    name_parts: usize,
    read: fn(&mut Document, &str) -> Option<T>,
) -> Option<Vec<T>> {
    let names = document.section_names();
    let names = names.iter().filter_map(|name| name.strip_prefix(prefix));
    let has_valid_name =
        |name: &&str| name.split('/').all(is_name) && name.split('/').count() == name_parts;
    let named = names.filter(has_valid_name);
    let found: Vec<Option<T>> = named.map(|name| read(document, name)).collect();
    found.into_iter().collect()
}

fn read_head(document: &mut Document) -> Option<Configuration> {
    let mut section = document.section("configuration");
    let operator = section.required("operator", name());
    let parent_version = section.optional("parent_version", "0", number(0..=u64::MAX));
    section.finish();
    Some(Configuration {
        operator: operator?,
        parent_version: parent_version?,
        ..Configuration::default()
    })
}

fn read_workspace(document: &mut Document, workspace_name: &str) -> Option<Workspace> {
    let mut section = document.section(&format!("workspace {workspace_name}"));
    let key_sha256_hex = section.required("key_sha256_hex", key_hash());
    let weight = section.optional("weight", "1", small_number(1..=WEIGHT_MAX));
    let limit_tokens_per_s =
        section.optional("limit_tokens_per_s", "0", number(0..=LIMIT_PER_S_MAX));
    let limit_requests_per_s =
        section.optional("limit_requests_per_s", "0", number(0..=LIMIT_PER_S_MAX));
    let models = section.optional("models", "", model_names());
    let services = section.optional("services", "", names());
    section.finish();
    Some(Workspace {
        name: workspace_name.to_string(),
        key_sha256_hex: key_sha256_hex?,
        weight: weight?,
        limit_tokens_per_s: limit_tokens_per_s?,
        limit_requests_per_s: limit_requests_per_s?,
        models: models?,
        services: services?,
        classes: Vec::new(),
    })
}

fn read_class(document: &mut Document, path: &str) -> Option<ClassSection> {
    let (workspace, class_name) = path.split_once('/')?;
    let mut section = document.section(&format!("class {path}"));
    let priority = section.required("priority", one_of(&["counter", "deferrable"]));
    let first_token_target_ms = section.required("first_token_target_ms", number(1..=HOUR_MS));
    let between_tokens_target_ms =
        section.required("between_tokens_target_ms", number(1..=HOUR_MS));
    let deadline_ms = section.required("deadline_ms", number(1..=HOUR_MS));
    section.finish();
    let class = CallClass {
        name: class_name.to_string(),
        priority: read_priority(&priority?),
        first_token_target_ms: first_token_target_ms?,
        between_tokens_target_ms: between_tokens_target_ms?,
        deadline_ms: deadline_ms?,
    };
    Some(ClassSection { workspace: workspace.to_string(), class })
}

fn read_model(document: &mut Document, model_name: &str) -> Option<Model> {
    let mut section = document.section(&format!("model {model_name}"));
    let adapters = section.optional("adapters", "", names());
    let weights_bytes = section.required("weights_bytes", number(1..=WEIGHTS_BYTES_MAX));
    let copies_per_data_center =
        section.optional("copies_per_data_center", "1", small_number(0..=COPIES_MAX));
    section.finish();
    Some(Model {
        name: model_name.to_string(),
        adapters: adapters?,
        weights_bytes: weights_bytes?,
        copies_per_data_center: copies_per_data_center?,
    })
}

fn read_service(document: &mut Document, service_name: &str) -> Option<PlainService> {
    let mut section = document.section(&format!("service {service_name}"));
    let pool = section.required("pool", name());
    let repeatable = section.required("repeatable", yes_or_no());
    let timeout_ms = section.optional("timeout_ms", "2000", number(1..=HOUR_MS));
    section.finish();
    Some(PlainService {
        name: service_name.to_string(),
        pool: pool?,
        repeatable: repeatable?,
        timeout_ms: timeout_ms?,
    })
}

fn read_priority(word: &str) -> Priority {
    if word == "counter" { Priority::Counter } else { Priority::Deferrable }
}

fn insert_class(configuration: &mut Configuration, section: ClassSection, document: &mut Document) {
    let ClassSection { workspace: name, class } = section;
    let found = configuration.workspaces.binary_search_by(|workspace| workspace.name.cmp(&name));
    let Ok(index) = found else {
        document.add_error(ConfigError::Undeclared {
            section: format!("class {name}/{}", class.name),
            what: "workspace".to_string(),
            remedy: format!("add [workspace {name}] or correct the class's section"),
            name,
        });
        return;
    };
    let classes = &mut configuration.workspaces[index].classes;
    let index = classes.partition_point(|other| other.name < class.name);
    classes.insert(index, class);
}
