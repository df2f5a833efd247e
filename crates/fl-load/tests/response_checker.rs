//! The response checker finds missing, foreign and repeated tokens, and the event parser accepts
//! bytes that are split anywhere.

#![allow(clippy::unwrap_used, reason = "a step that fails shall fail the test")]

use fl_load::{ResponseChecker, ResponseEvent, SseEvent, SseParser};
use fl_protocol::chat::{ChatChunk, END_MARKER, MOVED_EVENT, PROBLEM_EVENT, RESTART_EVENT};
use fl_protocol::chat::{ChatMessage, ChatRequest, ChunkChoice, ChunkDelta};
use fl_protocol::engine::stand_in_token;
use rstest::rstest;

fn request(content: &str) -> ChatRequest {
    let message = ChatMessage { role: "user".to_string(), content: content.to_string() };
    let model = "fitting".to_string();
    ChatRequest { model, messages: vec![message], stream: true, max_tokens: 3 }
}

fn token(content: &str, id: u64) -> SseEvent {
    let content = stand_in_token(&request(content).prompt_text(), id);
    let choices = vec![ChunkChoice { index: 0, delta: ChunkDelta { content } }];
    let data = serde_json::to_string(&ChatChunk { id: String::new(), choices }).unwrap();
    SseEvent { id: Some(id.to_string()), name: String::new(), data }
}

fn named(name: &str, data: &str) -> SseEvent {
    SseEvent { id: None, name: name.to_string(), data: data.to_string() }
}

/// Returns the letter that stands for a response event in the expected sequences.
fn letter(event: &ResponseEvent) -> char {
    match event {
        ResponseEvent::Token => 't',
        ResponseEvent::Ignored => 'i',
        ResponseEvent::Restart => 'r',
        ResponseEvent::Moved => 'm',
        ResponseEvent::Complete => 'w',
        ResponseEvent::Problem(_) => 'p',
        ResponseEvent::Mismatch(_) => '!',
    }
}

#[rstest]
#[case::complete(&[token("own", 0), token("own", 1), token("own", 2), named("", END_MARKER)], "tttw")]
#[case::too_short(&[token("own", 0), named("", END_MARKER)], "t!")]
#[case::other_response(&[token("own", 0), token("other", 1)], "t!")]
#[case::skipped(&[token("own", 0), token("own", 2)], "t!")]
#[case::twice(&[token("own", 0), token("own", 0)], "t!")]
#[case::restarted(&[token("own", 0), named(RESTART_EVENT, "x"), token("own", 0)], "trt")]
#[case::moved(&[token("own", 0), named(MOVED_EVENT, "")], "tm")]
#[case::problem(&[named(PROBLEM_EVENT, "{}")], "p")]
#[case::comment(&[named("", ""), token("own", 0)], "it")]
#[case::invalid_chunk(&[named("", "hello")], "!")]
#[test]
fn events_classified(#[case] events: &[SseEvent], #[case] expected: &str) {
    let mut check = ResponseChecker::new(&request("own"));
    let letters: String = events.iter().map(|event| letter(&check.check_event(event))).collect();
    assert_eq!(letters, expected);
}

#[rstest]
#[case::byte_by_byte(1)]
#[case::in_threes(3)]
#[case::at_once(1_000)]
#[test]
fn split_events_parsed(#[case] piece_bytes: usize) {
    let text = ": comment\n\nid: 7\ndata: a\ndata: b\n\nevent: moved\ndata:\n\nid: 8\ndata: unfini";
    let mut parser = SseParser::default();
    let events: Vec<SseEvent> =
        text.as_bytes().chunks(piece_bytes).flat_map(|piece| parser.parse(piece)).collect();
    let seven = SseEvent { id: Some("7".to_string()), ..named("", "a\nb") };
    assert_eq!(events, [named("", ""), seven, named("moved", "")]);
}
