//! A streamed call passes from its caller through a node to an engine and back.

use fl_testbed::caller::{chat_request, expected_answer};
use fl_testbed::{Testbed, TestbedOptions};

fn options() -> TestbedOptions {
    TestbedOptions::new(env!("CARGO_BIN_EXE_filbertlead"))
}

#[tokio::test]
async fn response_streamed() {
    let bed = Testbed::start(options()).await;
    let stream = bed.open_chat(0, &chat_request("which size fits", 40), "counter", None).await;
    let outcome = bed.finish(stream.expect("the call was refused"), &[1]).await;
    assert!(outcome.is_complete, "{outcome:?}");
    assert_eq!(outcome.text, expected_answer("which size fits", 40));
    assert_eq!(outcome.connections, 1);
}

#[tokio::test]
async fn response_survives_owner_loss() {
    let mut bed = Testbed::start(options()).await;
    let stream = bed.open_chat(0, &chat_request("plan a night", 200), "plan", None).await;
    let mut stream = stream.expect("the call was refused");
    stream.next().await;
    bed.nodes[0].kill();
    let outcome = bed.finish(stream, &[1, 2, 3, 4, 5]).await;
    assert!(outcome.is_complete, "{outcome:?}");
    assert_eq!(outcome.connections, 2);
}
