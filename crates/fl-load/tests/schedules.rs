//! Schedules follow from their seed alone.

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
fn seed_decides(#[case] user: User, #[case] largest: &str) {
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
fn calls_allowed(#[case] user: User) {
    let configuration = build_configuration(user);
    for arrival in arrivals(user, 1) {
        let workspace = configuration.workspace(&arrival.workspace);
        let workspace = workspace.unwrap_or_else(|| panic!("{}", arrival.workspace));
        assert!(workspace.class(&arrival.class).is_some(), "{}", arrival.class);
        match &arrival.call {
            ScheduledCall::Model(call) => {
                assert!(workspace.may_call_model(&call.model));
                let tokens = count_tokens(&call.chat_request().prompt_text());
                // The two roles are tokens too.
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
fn least_prefill() {
    let shared = "history ".repeat(32);
    let (one, two) = (format!("{shared}one"), format!("{shared}two"));
    // 32 shared tokens once and one of each own; a prompt of whole blocks still costs a token.
    assert_eq!(least_prefill_tokens([("m", one.as_str()), ("m", two.as_str())]), 34);
    assert_eq!(least_prefill_tokens([("m", shared.as_str()), ("m", shared.as_str())]), 34);
    assert_eq!(least_prefill_tokens([("m", shared.as_str()), ("n", shared.as_str())]), 66);
}
