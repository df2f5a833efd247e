//! What the two users send, and when.

mod users;

pub use users::{User, build_configuration, workspace_key};

use fl_protocol::WorkspaceName;
use fl_protocol::chat::{ChatMessage, ChatRequest};
use rand::{RngExt as _, SeedableRng as _};
use rand_chacha::ChaCha8Rng;
use std::time::Duration;
use users::{CallKind, CallParameters};

/// One call of the schedule.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Arrival {
    /// When it is sent, from the start of the run.
    pub at: Duration,
    /// Who sends it.
    pub workspace: WorkspaceName,
    /// Its class.
    pub class: String,
    /// What is sent.
    pub call: ScheduledCall,
}

/// What is sent.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ScheduledCall {
    /// A model call.
    Model(ScheduledModelCall),
    /// A call of a plain service.
    Service(ScheduledServiceCall),
}

/// A model call; its text is built when it is sent.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ScheduledModelCall {
    /// The model.
    pub model: String,
    /// Names the text that other calls share.
    pub history: String,
    /// Tokens of the shared text.
    pub history_tokens: u64,
    /// Names the text of this call alone.
    pub question: String,
    /// Tokens of the text of this call.
    pub question_tokens: u64,
    /// Tokens of the answer.
    pub answer_tokens: u64,
}

/// A call of a plain service.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ScheduledServiceCall {
    /// The service.
    pub service: String,
    /// The method.
    pub method: String,
    /// The path below the service's name.
    pub path: String,
    /// The idempotency key of a call that may not be repeated.
    pub key: Option<String>,
}

impl ScheduledModelCall {
    /// Builds the call as its caller sends it.
    pub fn chat_request(&self) -> ChatRequest {
        let history = words(&self.history, self.history_tokens);
        let question = words(&self.question, self.question_tokens);
        ChatRequest {
            model: self.model.clone(),
            messages: vec![message("system", history), message("user", question)],
            stream: true,
            max_tokens: self.answer_tokens,
        }
    }
}

fn message(role: &str, content: String) -> ChatMessage {
    ChatMessage { role: role.to_string(), content }
}

/// Writes a text of numbered words, which no other name gives.
fn words(name: &str, count: u64) -> String {
    let words: Vec<String> = (0..count).map(|number| format!("{name}.{number}")).collect();
    words.join(" ")
}

/// Fixes every call of a run: a Poisson process of the given rate, drawn from the seed.
pub fn plan_arrivals(user: User, seed: u64, rate_per_s: f64, duration: Duration) -> Vec<Arrival> {
    let mut random = ChaCha8Rng::seed_from_u64(seed);
    let mut arrivals = Vec::new();
    let mut at_s = 0.0;
    loop {
        let uniform: f64 = random.random();
        at_s -= (1.0 - uniform).ln() / rate_per_s;
        if at_s >= duration.as_secs_f64() {
            return arrivals;
        }
        let number = arrivals.len();
        let at = Duration::from_secs_f64(at_s);
        arrivals.push(draw_arrival(user, seed, number, at, &mut random));
    }
}

fn draw_arrival(
    user: User,
    seed: u64,
    number: usize,
    at: Duration,
    random: &mut ChaCha8Rng,
) -> Arrival {
    let workspaces = user.workspaces();
    let shares: Vec<u32> = workspaces.iter().map(|workspace| workspace.load_percent).collect();
    let workspace = workspaces[draw_index(&shares, random)].name.to_string();
    let kinds = user.kinds();
    let shares: Vec<u32> = kinds.iter().map(|kind| kind.load_percent).collect();
    let kind = &kinds[draw_index(&shares, random)];
    let call = draw_call(user, &workspace, kind, &format!("s{seed}n{number}"), random);
    Arrival { at, workspace, class: kind.class.to_string(), call }
}

fn draw_call(
    user: User,
    workspace: &str,
    kind: &CallKind,
    name: &str,
    random: &mut ChaCha8Rng,
) -> ScheduledCall {
    match kind.parameters {
        CallParameters::Model { histories, history_tokens, question_tokens, answer_tokens } => {
            let history = draw_skewed(histories, random);
            ScheduledCall::Model(ScheduledModelCall {
                model: user.model().to_string(),
                history: format!("{workspace}.{}.{history}", kind.class),
                history_tokens,
                question: name.to_string(),
                question_tokens,
                answer_tokens,
            })
        }
        CallParameters::Service { service, path } => ScheduledCall::Service(ScheduledServiceCall {
            service: service.to_string(),
            method: "POST".to_string(),
            path: path.to_string(),
            key: Some(name.to_string()),
        }),
        CallParameters::LookUp { service, items } => ScheduledCall::Service(ScheduledServiceCall {
            service: service.to_string(),
            method: "GET".to_string(),
            path: format!("/stock/item-{}", draw_skewed(items, random)),
            key: None,
        }),
    }
}

/// Draws an index with the given shares.
fn draw_index(shares: &[u32], random: &mut ChaCha8Rng) -> usize {
    let mut left = random.random_range(0..shares.iter().sum::<u32>().max(1));
    for (index, share) in shares.iter().enumerate() {
        if left < *share {
            return index;
        }
        left -= share;
    }
    0
}

/// Draws below the limit, small numbers more often: a quarter of the numbers gets half the draws.
fn draw_skewed(limit: u64, random: &mut ChaCha8Rng) -> u64 {
    let uniform: f64 = random.random();
    (uniform * uniform * limit as f64) as u64
}
