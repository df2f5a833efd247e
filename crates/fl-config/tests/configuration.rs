//! Validation of the operators' configuration, and its round trip through the printed form.

use fl_config::{ConfigError, is_configuration, parse_configuration, print_configuration};
use fl_protocol::{
    CallClass, Configuration, Model, PlainService, Priority, Workspace, ids::sha256_hex,
};
use proptest::prelude::*;
use rstest::rstest;
use std::collections::BTreeSet;

const COMPLETE: &str = "
[configuration]
operator = mira
parent_version = 3
[workspace hut]
key_sha256_hex = 5e884898da28047151d0e56f8dc6292773603d0d6aabbdd62a11ef721d1542d8
weight = 2
models = fitter, fitter:boots
services = stock
[class hut/question]
priority = counter
first_token_target_ms = 470
between_tokens_target_ms = 55
deadline_ms = 2000
[class hut/plan]
priority = deferrable
first_token_target_ms = 5000
between_tokens_target_ms = 100
deadline_ms = 30000
[model fitter]
adapters = boots
weights_bytes = 16000000000
[service stock]
pool = desk
repeatable = yes
";

fn error_messages(text: &str) -> Vec<String> {
    let errors = parse_configuration(text).err();
    errors.iter().flat_map(|errors| &errors.errors).map(ConfigError::to_string).collect()
}

#[test]
fn complete_file() {
    let configuration = parse_configuration(COMPLETE).expect("the text is valid");
    let workspace = configuration.workspace("hut").expect("hut is declared");
    assert_eq!((configuration.version, configuration.parent_version), (0, 3));
    assert_eq!(workspace.classes[0].name, "plan");
    assert_eq!(workspace.classes[1].priority, Priority::Counter);
    assert!(workspace.may_call_model("fitter:boots") && workspace.may_call_service("stock"));
    assert_eq!(configuration.service("stock").map(|service| service.timeout_ms), Some(2000));
    assert!(is_configuration(COMPLETE) && !is_configuration("[node]\nvm = a\n"));
}

#[rstest]
#[case::model(
    "models = fitter,",
    "models = fitted,",
    "[workspace hut] refers to model fitted, which is not declared; add [model fitted] or remove it from models"
)]
#[case::adapter(
    "fitter:boots",
    "fitter:skis",
    "[workspace hut] refers to adapter skis, which is not declared; add it to adapters of [model fitter] or remove it"
)]
#[case::service(
    "services = stock",
    "services = store",
    "[workspace hut] refers to service store, which is not declared; add [service store] or remove it from services"
)]
#[case::workspace(
    "[class hut/plan]",
    "[class hat/plan]",
    "[class hat/plan] refers to workspace hat, which is not declared; add [workspace hat] or correct the class's section"
)]
#[case::deadline(
    "deadline_ms = 2000",
    "deadline_ms = 200",
    "[class hut/question] deadline_ms = 200: expected at least first_token_target_ms, 470; correct the value"
)]
#[case::hash(
    "5e88",
    "5e",
    "[workspace hut] key_sha256_hex = 5e4898da28047151d0e56f8dc6292773603d0d6aabbdd62a11ef721d1542d8: expected the SHA-256 of the key as 64 hexadecimal digits; correct the value"
)]
#[case::key(
    "weight = 2",
    "wait = 2",
    "[workspace hut] wait is not a known key: expected one of key_sha256_hex, weight, limit_tokens_per_s, limit_requests_per_s, models, services; correct or remove the line"
)]
#[case::weight(
    "weight = 2",
    "weight = 0",
    "[workspace hut] weight = 0: expected a whole number from 1 to 1000000; correct the value"
)]
#[case::repeatable(
    "repeatable = yes",
    "repeatable = maybe",
    "[service stock] repeatable = maybe: expected yes or no (true or false); correct the value"
)]
fn single_error(#[case] valid: &str, #[case] invalid: &str, #[case] expected: &str) {
    assert_eq!(error_messages(&COMPLETE.replace(valid, invalid)), [expected]);
}

#[rstest]
#[case::section_name("[workspace a b]\n", "[workspace a b] is not a known section")]
#[case::class_path("[class hut]\n", "[class hut] is not a known section")]
#[case::deep_path("[model a/b]\n", "[model a/b] is not a known section")]
#[case::no_class(
    "[workspace bare]\nkey_sha256_hex = 5e884898da28047151d0e56f8dc6292773603d0d6aabbdd62a11ef721d1542d8\nmodels = fitter\n",
    "[workspace bare] refers to class of any name"
)]
#[case::section_twice("[workspace hut]\n", "[workspace hut] occurs 2 times")]
fn invalid_added_section(#[case] added: &str, #[case] expected: &str) {
    let found = error_messages(&format!("{COMPLETE}{added}"));
    assert_eq!(found.len(), 1, "{found:#?}");
    assert!(found[0].starts_with(expected), "{found:#?}");
}

#[test]
fn all_errors_reported() {
    let text = COMPLETE
        .replace("operator = mira\n", "")
        .replace("weight = 2", "weight = heavy")
        .replace("pool = desk", "pool = a desk");
    assert_eq!(error_messages(&text).len(), 3);
}

prop_compose! {
    fn any_class()(name in "[a-z][a-z0-9._-]{0,9}", counter: bool, target in 1u64..3_600_000,
                   between in 1u64..3_600_000, slack in 0u64..1000) -> CallClass {
        CallClass {
            name,
            priority: if counter { Priority::Counter } else { Priority::Deferrable },
            first_token_target_ms: target,
            between_tokens_target_ms: between,
            deadline_ms: (target + slack).min(3_600_000),
        }
    }
}

prop_compose! {
    fn any_model()(name in "[a-z]{1,9}", adapters in prop::collection::btree_set("[a-z]{1,5}", 0..3),
                   weights_bytes in 1u64..(1 << 50), copies in 0u32..9) -> Model {
        Model { name, adapters: adapters.into_iter().collect(), weights_bytes, copies_per_data_center: copies }
    }
}

prop_compose! {
    fn any_workspace()(name in "[a-z]{1,9}", key in ".*", weight in 1u32..1_000_000,
                       limits in (0u64..1_000_000_000, 0u64..1_000_000_000),
                       classes in prop::collection::vec(any_class(), 1..3)) -> Workspace {
        Workspace {
            name,
            key_sha256_hex: sha256_hex(key.as_bytes()),
            weight,
            limit_tokens_per_s: limits.0,
            limit_requests_per_s: limits.1,
            classes: sorted(classes, |class| &class.name),
            ..Workspace::default()
        }
    }
}

prop_compose! {
    fn any_service()(name in "[a-z]{1,9}", pool in "[a-z]{1,9}", repeatable: bool,
                     timeout_ms in 1u64..3_600_000) -> PlainService {
        PlainService { name, pool, repeatable, timeout_ms }
    }
}

fn sorted<T>(mut items: Vec<T>, name_of: fn(&T) -> &String) -> Vec<T> {
    items.sort_by(|a, b| name_of(a).cmp(name_of(b)));
    items.dedup_by(|a, b| name_of(a) == name_of(b));
    items
}

proptest! {
    #[test]
    fn printed_configuration_reads_back(operator in "[a-z]{1,9}", parent_version: u64,
                   workspaces in prop::collection::vec(any_workspace(), 0..4),
                   models in prop::collection::vec(any_model(), 0..4),
                   services in prop::collection::vec(any_service(), 0..4)) {
        let models = sorted(models, |model| &model.name);
        let services = sorted(services, |service| &service.name);
        let callable: BTreeSet<String> = models.iter().flat_map(|model| {
            let adapted = model.adapters.iter().map(|adapter| format!("{}:{adapter}", model.name));
            adapted.chain([model.name.clone()])
        }).collect();
        let mut workspaces = sorted(workspaces, |workspace| &workspace.name);
        for workspace in &mut workspaces {
            workspace.models = callable.iter().cloned().collect();
            workspace.services = services.iter().map(|service| service.name.clone()).collect();
        }
        let configuration = Configuration {
            version: 0, parent_version, operator, workspaces, models, services,
        };
        let printed = print_configuration(&configuration);
        prop_assert_eq!(parse_configuration(&printed), Ok(configuration), "{}", printed);
    }
}
