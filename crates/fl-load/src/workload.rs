//! Draws the schedule of a run: which calls arrive, and when.

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
    /// Planned time of the call, measured from the start of the run.
    pub at: Duration,
    /// The workspace that sends the call.
    pub workspace: WorkspaceName,
    /// Name of the call class.
    pub class: String,
    /// The call itself.
    pub call: ScheduledCall,
}

/// The call of one arrival.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ScheduledCall {
    /// A call to a model.
    Model(ScheduledModelCall),
    /// A call to a plain service.
    Service(ScheduledServiceCall),
}

/// A model call whose prompt text is generated when the call is sent.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ScheduledModelCall {
    /// Name of the model.
    pub model: String,
    /// Name of the first part of the prompt, which other calls may share.
    pub history: String,
    /// Length of the shared part, in tokens.
    pub history_tokens: u64,
    /// Name of the second part of the prompt, which is unique to this call.
    pub question: String,
    /// Length of the unique part, in tokens.
    pub question_tokens: u64,
    /// Length of the response, in tokens.
    pub answer_tokens: u64,
}

/// A call to a plain service.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ScheduledServiceCall {
    /// Name of the service.
    pub service: String,
    /// HTTP method.
    pub method: String,
    /// Path after the name of the service.
    pub path: String,
    /// Idempotency key; `None` for a call that is safe to retry.
    pub key: Option<String>,
}

impl ScheduledModelCall {
    /// Builds the request that the caller sends.
    pub fn chat_request(&self) -> ChatRequest {
        let history = generate_text(&self.history, self.history_tokens);
        let question = generate_text(&self.question, self.question_tokens);
        ChatRequest {
            model: self.model.clone(),
            messages: vec![new_message("system", history), new_message("user", question)],
            stream: true,
            max_tokens: self.answer_tokens,
        }
    }
}

fn new_message(role: &str, content: String) -> ChatMessage {
    ChatMessage { role: role.to_string(), content }
}

/// Generates a text of numbered words that differs from the text of every other name.
fn generate_text(name: &str, count: u64) -> String {
    let words: Vec<String> = (0..count).map(|number| format!("{name}.{number}")).collect();
    words.join(" ")
}

/// Returns every call of a run, drawn from the seed as a Poisson process of the given rate.
pub fn plan_arrivals(user: User, seed: u64, rate_per_s: f64, duration: Duration) -> Vec<Arrival> {
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    let mut arrivals = Vec::new();
    let mut at_s = 0.0;
    loop {
        let uniform: f64 = rng.random();
        at_s -= (1.0 - uniform).ln() / rate_per_s;
        if at_s >= duration.as_secs_f64() {
            return arrivals;
        }
        let number = arrivals.len();
        let at = Duration::from_secs_f64(at_s);
        arrivals.push(draw_arrival(user, seed, number, at, &mut rng));
    }
}

fn draw_arrival(
    user: User,
    seed: u64,
    number: usize,
    at: Duration,
    rng: &mut ChaCha8Rng,
) -> Arrival {
    let workspaces = user.workspaces();
    let shares: Vec<u32> = workspaces.iter().map(|workspace| workspace.call_percent).collect();
    let workspace = workspaces[draw_index(&shares, rng)].name.to_string();
    let kinds = user.kinds();
    let shares: Vec<u32> = kinds.iter().map(|kind| kind.call_percent).collect();
    let kind = &kinds[draw_index(&shares, rng)];
    let call = draw_call(user, &workspace, kind, &format!("s{seed}n{number}"), rng);
    Arrival { at, workspace, class: kind.class.to_string(), call }
}

fn draw_call(
    user: User,
    workspace: &str,
    kind: &CallKind,
    name: &str,
    rng: &mut ChaCha8Rng,
) -> ScheduledCall {
    match kind.parameters {
        CallParameters::Model { histories, history_tokens, question_tokens, answer_tokens } => {
            let history = draw_skewed(histories, rng);
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
            path: format!("/stock/item-{}", draw_skewed(items, rng)),
            key: None,
        }),
    }
}

/// Draws an index with probabilities proportional to the shares.
fn draw_index(shares: &[u32], rng: &mut ChaCha8Rng) -> usize {
    let mut remainder = rng.random_range(0..shares.iter().sum::<u32>().max(1));
    for (index, share) in shares.iter().enumerate() {
        if remainder < *share {
            return index;
        }
        remainder -= share;
    }
    0
}

/// Draws a number below the limit, small ones more often.
///
/// The lowest quarter of the numbers gets half of the draws.
fn draw_skewed(limit: u64, rng: &mut ChaCha8Rng) -> u64 {
    let uniform: f64 = rng.random();
    (uniform * uniform * limit as f64) as u64
}
