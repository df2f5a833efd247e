//! Slow response bodies, as a receiver with a slow link sees them.

use crate::http_util::Body;
use bytes::Bytes;
use futures::stream;
use http::Response;
use http_body_util::{BodyExt as _, StreamBody};
use hyper::body::Frame;
use std::convert::Infallible;
use std::time::Duration;

/// Pause between two parts of a slow body.
const PART_INTERVAL: Duration = Duration::from_millis(50);

/// Returns the response with a body that is sent at a rate; 0 does not limit the rate.
pub async fn limit_rate(response: Response<Body>, bytes_per_s: u64) -> Response<Body> {
    if bytes_per_s == 0 {
        return response;
    }
    let (head, body) = response.into_parts();
    let Ok(whole) = body.collect().await;
    let part_bytes = (bytes_per_s as f64 * PART_INTERVAL.as_secs_f64()).max(1.0) as usize;
    let parts = stream::unfold(whole.to_bytes(), move |mut rest: Bytes| async move {
        if rest.is_empty() {
            return None;
        }
        tokio::time::sleep(PART_INTERVAL).await;
        let part = rest.split_to(part_bytes.min(rest.len()));
        Some((Ok::<_, Infallible>(Frame::data(part)), rest))
    });
    Response::from_parts(head, StreamBody::new(parts).boxed_unsync())
}
