//! A schedule depends on its seed alone, and its calls are allowed by the matching configuration.

use fl_load::{
    Arrival, ScheduledCall, User, build_configuration, least_prefill_tokens, plan_arrivals,
};
use fl_protocol::chat::count_tokens;
use rstest::rstest;
use std::time::Duration;

const RATE_PER_S: f64 = 50.0;

fn arrivals(user: User, seed: u64) -> Vec<Arrival> {
    plan_arrivals(user, seed, RATE_PER_S, Duration::from_secs(20))
}

#[rstest]
#[case::piton_frost(User::PitonFrost, "alpine-counter")]
#[case::zagadka(User::Zagadka, "chain")]
#[test]
fn schedule_depends_on_seed(#[case] user: User, #[case] largest: &str) {
    let first = arrivals(user, 7);
    assert_eq!(first, arrivals(user, 7));
    assert_ne!(first, arrivals(user, 8));
    assert!((850..1_150).contains(&first.len()), "{} for 1000", first.len());
    assert!(first.is_sorted_by_key(|arrival| arrival.at));
    let of_largest = first.iter().filter(|arrival| arrival.workspace == largest).count();
    assert!(of_largest * 2 > first.len());
}

#[rstest]
#[case::piton_frost(User::PitonFrost)]
#[case::zagadka(User::Zagadka)]
#[test]
fn calls_allowed_by_configuration(#[case] user: User) {
    let configuration = build_configuration(user);
    for arrival in arrivals(user, 1) {
        let workspace = configuration.workspace(&arrival.workspace);
        let workspace = workspace.unwrap_or_else(|| panic!("{}", arrival.workspace));
        assert!(workspace.class(&arrival.class).is_some(), "{}", arrival.class);
        match &arrival.call {
            ScheduledCall::Model(call) => {
                assert!(workspace.may_call_model(&call.model));
                let tokens = count_tokens(&call.chat_request().prompt_text());
                // Each of the two roles counts as one token.
                assert_eq!(tokens, call.history_tokens + call.question_tokens + 2);
            }
            ScheduledCall::Service(call) => {
                assert!(workspace.may_call_service(&call.service));
                let service = configuration.service(&call.service);
                assert_eq!(service.is_some_and(|service| service.repeatable), call.key.is_none());
            }
        }
    }
}

#[test]
fn shared_blocks_counted_once() {
    let shared = "history ".repeat(32);
    let (one, two) = (format!("{shared}one"), format!("{shared}two"));
    // 32 shared tokens are counted once, and one own token for each prompt. A prompt that consists
    // of full blocks still costs one token.
    assert_eq!(least_prefill_tokens([("m", one.as_str()), ("m", two.as_str())]), 34);
    assert_eq!(least_prefill_tokens([("m", shared.as_str()), ("m", shared.as_str())]), 34);
    assert_eq!(least_prefill_tokens([("m", shared.as_str()), ("n", shared.as_str())]), 66);
}
