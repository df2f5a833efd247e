//! Validation of the references and relations between the sections of a configuration.

use crate::document::Document;
use crate::error::ConfigError;
use fl_protocol::{CallClass, Configuration, Workspace};

/// Adds an error for each reference to an undeclared name and for each class whose times contradict
/// each other.
pub(crate) fn check_relations(configuration: &Configuration, document: &mut Document) {
    for workspace in &configuration.workspaces {
        check_models(workspace, configuration, document);
        check_services(workspace, configuration, document);
        check_classes(workspace, document);
    }
}

fn check_models(workspace: &Workspace, configuration: &Configuration, document: &mut Document) {
    for reference in &workspace.models {
        let (model_name, adapter) = match reference.split_once(':') {
            Some((model_name, adapter)) => (model_name, Some(adapter)),
            None => (reference.as_str(), None),
        };
        let Some(model) = configuration.model(model_name) else {
            let remedy = format!("add [model {model_name}] or remove it from models");
            document.add_error(undeclared(workspace, "model", model_name, remedy));
            continue;
        };
        if let Some(adapter) = adapter.filter(|name| !model.adapters.iter().any(|a| a == name)) {
            let remedy = format!("add it to adapters of [model {model_name}] or remove it");
            document.add_error(undeclared(workspace, "adapter", adapter, remedy));
        }
    }
}

fn check_services(workspace: &Workspace, configuration: &Configuration, document: &mut Document) {
    for name in &workspace.services {
        if configuration.service(name).is_none() {
            let remedy = format!("add [service {name}] or remove it from services");
            document.add_error(undeclared(workspace, "service", name, remedy));
        }
    }
}

/// Checks the classes of a workspace; one that may call a model needs at least one class, since
/// every model call has a class.
fn check_classes(workspace: &Workspace, document: &mut Document) {
    if workspace.classes.is_empty() && !workspace.models.is_empty() {
        let remedy = format!("add [class {}/NAME]", workspace.name);
        document.add_error(undeclared(workspace, "class", "of any name", remedy));
    }
    for class in &workspace.classes {
        check_deadline(workspace, class, document);
    }
}

fn check_deadline(workspace: &Workspace, class: &CallClass, document: &mut Document) {
    if class.deadline_ms < class.first_token_target_ms {
        document.add_error(ConfigError::Value {
            section: format!("class {}/{}", workspace.name, class.name),
            key: "deadline_ms".to_string(),
            value: class.deadline_ms.to_string(),
            allowed: format!("at least first_token_target_ms, {}", class.first_token_target_ms),
        });
    }
}

fn undeclared(workspace: &Workspace, what: &str, name: &str, remedy: String) -> ConfigError {
    ConfigError::Undeclared {
        section: format!("workspace {}", workspace.name),
        what: what.to_string(),
        name: name.to_string(),
        remedy,
    }
}
