//! One call of a plain service, sent again with its key when its answer was cut.

use crate::caller::{Caller, Identity, NoAnswer, Outgoing};
use crate::mix::ScheduledServiceCall;
use bytes::Bytes;
use fl_protocol::chat::{CLASS_HEADER, IDEMPOTENCY_KEY_HEADER, SERVICES_PATH};
use fl_protocol::{ExecutionState, ProblemBody};
use http::{Method, Response};
use http_body_util::BodyExt as _;
use hyper::body::Incoming;
use std::net::SocketAddr;
use std::time::Duration;

/// Times a desk sends one call at most, each with the same key.
const TRIES: usize = 4;
/// Pause between two tries.
const TRY_PAUSE: Duration = Duration::from_millis(100);

/// What a caller was told in the end.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) enum Told {
    /// The service's answer.
    Answered(Bytes),
    /// Not run, and the kind of problem.
    NotRun(String),
    /// It may have run.
    Unknown(String),
    /// No answer at all.
    Nothing,
}

/// Sends the call until something final is told.
pub(crate) async fn call(
    caller: &Caller,
    nodes: &[SocketAddr],
    first_node: usize,
    identity: &Identity<'_>,
    class: &str,
    call: &ScheduledServiceCall,
) -> Told {
    let mut told = Told::Nothing;
    for attempt in 0..TRIES {
        let node = nodes[(first_node + attempt) % nodes.len()];
        told = match caller.send(node, identity, outgoing(class, call)).await {
            Ok(response) => read_answer(response).await,
            Err(NoAnswer::NotSent | NoAnswer::Cut(_)) => Told::Nothing,
        };
        let final_word = match &told {
            Told::Nothing => false,
            Told::NotRun(kind) => kind != "not-ready",
            Told::Unknown(kind) => kind != "still-running",
            Told::Answered(_) => true,
        };
        if final_word {
            return told;
        }
        tokio::time::sleep(TRY_PAUSE).await;
    }
    told
}

fn outgoing(class: &str, call: &ScheduledServiceCall) -> Outgoing {
    let mut headers = vec![(CLASS_HEADER, class.to_string())];
    headers.extend(call.key.iter().map(|key| (IDEMPOTENCY_KEY_HEADER, key.clone())));
    let method = if call.method == "GET" { Method::GET } else { Method::POST };
    let path = format!("{SERVICES_PATH}{}{}", call.service, call.path);
    Outgoing { method, path, headers, body: Bytes::new() }
}

async fn read_answer(response: Response<Incoming>) -> Told {
    let success = response.status().is_success();
    let Ok(body) = response.into_body().collect().await else { return Told::Nothing };
    let body = body.to_bytes();
    if success {
        return Told::Answered(body);
    }
    let Ok(problem) = serde_json::from_slice::<ProblemBody>(&body) else {
        return Told::Unknown("no-problem-body".to_string());
    };
    let kind = problem.kind.rsplit(':').next().unwrap_or_default().to_string();
    match problem.what_was_done {
        ExecutionState::NotRun => Told::NotRun(kind),
        ExecutionState::Unknown | ExecutionState::Partial => Told::Unknown(kind),
    }
}
