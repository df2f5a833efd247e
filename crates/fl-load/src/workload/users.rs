//! Workspaces, call classes and shares of calls of the two users.

use crate::error::LoadError;
use fl_protocol::{CallClass, Configuration, Model, PlainService, Priority, Workspace, sha256_hex};
use std::str::FromStr;

/// Target of both users for the time to the first token of calls at the counter, in milliseconds.
const COUNTER_FIRST_TOKEN_MS: u64 = 470;
/// Target of both users for the time between two tokens, in milliseconds.
const BETWEEN_TOKENS_MS: u64 = 55;
/// Deadline for the first token of calls at the counter, in milliseconds.
const COUNTER_DEADLINE_MS: u64 = 5_000;
/// Target for the time to the first token of deferrable calls, in milliseconds.
const DEFERRABLE_FIRST_TOKEN_MS: u64 = 4_000;
/// Deadline for the first token of deferrable calls, in milliseconds.
const DEFERRABLE_DEADLINE_MS: u64 = 30_000;
/// Timeout of one call to a plain service, in milliseconds.
const SERVICE_TIMEOUT_MS: u64 = 2_000;

/// One of the two users whose mix of calls can be generated.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum User {
    /// Piton Frost Outfitters: gear rental.
    PitonFrost,
    /// Zagadka Rooms: escape rooms.
    Zagadka,
}

impl FromStr for User {
    type Err = LoadError;

    fn from_str(text: &str) -> Result<Self, LoadError> {
        match text {
            "piton-frost" => Ok(User::PitonFrost),
            "zagadka" => Ok(User::Zagadka),
            _ => Err(LoadError::UnknownUser(text.to_string())),
        }
    }
}

/// A workspace and its share of the calls.
pub(crate) struct WorkspaceShare {
    pub(crate) name: &'static str,
    pub(crate) call_percent: u32,
}

/// A kind of call and its share of the calls.
pub(crate) struct CallKind {
    pub(crate) class: &'static str,
    pub(crate) call_percent: u32,
    pub(crate) parameters: CallParameters,
}

/// The parameters from which the calls of one kind are drawn.
pub(crate) enum CallParameters {
    Model { histories: u64, history_tokens: u64, question_tokens: u64, answer_tokens: u64 },
    Service { service: &'static str, path: &'static str },
    LookUp { service: &'static str, items: u64 },
}

const PITON_FROST_WORKSPACES: [WorkspaceShare; 5] = [
    WorkspaceShare { name: "alpine-counter", call_percent: 55 },
    WorkspaceShare { name: "basin-counter", call_percent: 20 },
    WorkspaceShare { name: "canyon-counter", call_percent: 12 },
    WorkspaceShare { name: "delta-counter", call_percent: 8 },
    WorkspaceShare { name: "workshop", call_percent: 5 },
];

const ZAGADKA_WORKSPACES: [WorkspaceShare; 5] = [
    WorkspaceShare { name: "burgas", call_percent: 7 },
    WorkspaceShare { name: "chain", call_percent: 60 },
    WorkspaceShare { name: "plovdiv", call_percent: 11 },
    WorkspaceShare { name: "sofia", call_percent: 15 },
    WorkspaceShare { name: "varna", call_percent: 7 },
];

/// Quick questions share the rules of the shop in their prompts; plans share the rental history of
/// a customer.
const PITON_FROST_KINDS: [CallKind; 4] = [
    CallKind {
        class: "counter",
        call_percent: 65,
        parameters: CallParameters::Model {
            histories: 1,
            history_tokens: 160,
            question_tokens: 24,
            answer_tokens: 24,
        },
    },
    CallKind {
        class: "plan",
        call_percent: 25,
        parameters: CallParameters::Model {
            histories: 40,
            history_tokens: 1_600,
            question_tokens: 48,
            answer_tokens: 96,
        },
    },
    CallKind {
        class: "counter",
        call_percent: 6,
        parameters: CallParameters::Service { service: "bookings", path: "/bookings" },
    },
    CallKind {
        class: "counter",
        call_percent: 4,
        parameters: CallParameters::LookUp { service: "stock", items: 200 },
    },
];

/// Quick questions share the house rules in their prompts; briefings share the history of a room.
const ZAGADKA_KINDS: [CallKind; 4] = [
    CallKind {
        class: "counter",
        call_percent: 50,
        parameters: CallParameters::Model {
            histories: 1,
            history_tokens: 96,
            question_tokens: 32,
            answer_tokens: 24,
        },
    },
    CallKind {
        class: "briefing",
        call_percent: 40,
        parameters: CallParameters::Model {
            histories: 24,
            history_tokens: 2_400,
            question_tokens: 64,
            answer_tokens: 128,
        },
    },
    CallKind {
        class: "counter",
        call_percent: 5,
        parameters: CallParameters::Service { service: "bookings", path: "/bookings" },
    },
    CallKind {
        class: "counter",
        call_percent: 5,
        parameters: CallParameters::Service { service: "bookings", path: "/deposits" },
    },
];

impl User {
    /// Returns the name that stands for the user on the command line and in results.
    pub fn name(self) -> &'static str {
        match self {
            User::PitonFrost => "piton-frost",
            User::Zagadka => "zagadka",
        }
    }

    /// Returns the name of the model that the user's desks call.
    pub fn model(self) -> &'static str {
        match self {
            User::PitonFrost => "fitting",
            User::Zagadka => "storyteller",
        }
    }

    pub(crate) fn workspaces(self) -> &'static [WorkspaceShare] {
        match self {
            User::PitonFrost => &PITON_FROST_WORKSPACES,
            User::Zagadka => &ZAGADKA_WORKSPACES,
        }
    }

    pub(crate) fn kinds(self) -> &'static [CallKind] {
        match self {
            User::PitonFrost => &PITON_FROST_KINDS,
            User::Zagadka => &ZAGADKA_KINDS,
        }
    }

    fn deferrable_class(self) -> &'static str {
        match self {
            User::PitonFrost => "plan",
            User::Zagadka => "briefing",
        }
    }

    /// Returns the latency targets of a class, in milliseconds: to the first token, then
    /// between two tokens.
    pub fn targets_ms(self, class: &str) -> (u64, u64) {
        let first_token_ms =
            if class == "counter" { COUNTER_FIRST_TOKEN_MS } else { DEFERRABLE_FIRST_TOKEN_MS };
        (first_token_ms, BETWEEN_TOKENS_MS)
    }
}

/// Returns the key with which a workspace authenticates in load runs. No real customer uses it.
pub fn workspace_key(workspace: &str) -> String {
    format!("load-key-of-{workspace}")
}

/// Builds the configuration that a fleet needs to serve the user's calls.
pub fn build_configuration(user: User) -> Configuration {
    let workspaces = user.workspaces().iter().map(|share| build_workspace(user, share.name));
    Configuration {
        operator: "load".to_string(),
        workspaces: workspaces.collect(),
        models: vec![Model {
            name: user.model().to_string(),
            copies_per_data_center: 1,
            weights_bytes: 4 * 1024 * 1024,
            ..Model::default()
        }],
        services: vec![build_service("bookings", false), build_service("stock", true)],
        ..Configuration::default()
    }
}

fn build_workspace(user: User, name: &str) -> Workspace {
    let mut classes = vec![
        build_class(user, "counter", Priority::Counter, COUNTER_DEADLINE_MS),
        build_class(user, user.deferrable_class(), Priority::Deferrable, DEFERRABLE_DEADLINE_MS),
    ];
    classes.sort_by(|left, right| left.name.cmp(&right.name));
    Workspace {
        name: name.to_string(),
        key_sha256_hex: sha256_hex(workspace_key(name).as_bytes()),
        weight: 1,
        models: vec![user.model().to_string()],
        services: vec!["bookings".to_string(), "stock".to_string()],
        classes,
        ..Workspace::default()
    }
}

fn build_class(user: User, name: &str, priority: Priority, deadline_ms: u64) -> CallClass {
    let (first_token_target_ms, between_tokens_target_ms) = user.targets_ms(name);
    CallClass {
        name: name.to_string(),
        priority,
        first_token_target_ms,
        between_tokens_target_ms,
        deadline_ms,
    }
}

fn build_service(name: &str, repeatable: bool) -> PlainService {
    PlainService {
        name: name.to_string(),
        pool: "application".to_string(),
        repeatable,
        timeout_ms: SERVICE_TIMEOUT_MS,
    }
}
