//! Formats a configuration as an INI file.
//!
//! [`parse_configuration`](crate::parse_configuration) reads it back as an equal configuration,
//! except for the version, which is only a comment.

use fl_protocol::{CallClass, Configuration, Model, PlainService, Priority, Workspace};

/// Returns a configuration as the text of an INI file.
pub fn print_configuration(configuration: &Configuration) -> String {
    let mut sections = vec![print_head(configuration)];
    for workspace in &configuration.workspaces {
        sections.push(print_workspace(workspace));
        let classes = workspace.classes.iter().map(|class| print_class(&workspace.name, class));
        sections.extend(classes);
    }
    sections.extend(configuration.models.iter().map(print_model));
    sections.extend(configuration.services.iter().map(print_service));
    sections.join("\n")
}

fn print_head(configuration: &Configuration) -> String {
    let Configuration { version, parent_version, operator, .. } = configuration;
    let comment = if *version == 0 { String::new() } else { format!("; version {version}\n") };
    format!("{comment}[configuration]\noperator = {operator}\nparent_version = {parent_version}\n")
}

fn print_workspace(workspace: &Workspace) -> String {
    format!(
        "[workspace {}]\nkey_sha256_hex = {}\nweight = {}\nlimit_tokens_per_s = {}\n\
         limit_requests_per_s = {}\nmodels = {}\nservices = {}\n",
        workspace.name,
        workspace.key_sha256_hex,
        workspace.weight,
        workspace.limit_tokens_per_s,
        workspace.limit_requests_per_s,
        workspace.models.join(", "),
        workspace.services.join(", "),
    )
}

fn print_class(workspace_name: &str, class: &CallClass) -> String {
    let priority = match class.priority {
        Priority::Counter => "counter",
        Priority::Deferrable => "deferrable",
    };
    format!(
        "[class {workspace_name}/{}]\npriority = {priority}\nfirst_token_target_ms = {}\n\
         between_tokens_target_ms = {}\ndeadline_ms = {}\n",
        class.name, class.first_token_target_ms, class.between_tokens_target_ms, class.deadline_ms,
    )
}

fn print_model(model: &Model) -> String {
    format!(
        "[model {}]\nadapters = {}\nweights_bytes = {}\ncopies_per_data_center = {}\n",
        model.name,
        model.adapters.join(", "),
        model.weights_bytes,
        model.copies_per_data_center,
    )
}

fn print_service(service: &PlainService) -> String {
    let repeatable = if service.repeatable { "yes" } else { "no" };
    format!(
        "[service {}]\npool = {}\nrepeatable = {repeatable}\ntimeout_ms = {}\n",
        service.name, service.pool, service.timeout_ms,
    )
}
