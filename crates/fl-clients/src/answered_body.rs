//! The body of a response that keeps its request active.

use crate::connection_timer::ActiveRequest;
use bytes::Bytes;
use http_body_util::combinators::UnsyncBoxBody;
use hyper::body::{Body, Frame, SizeHint};
use std::pin::Pin;
use std::task::{Context, Poll};

/// The body of a response whose request counts as answered once the body was taken to its end.
pub struct AnsweredBody<E> {
    body: UnsyncBoxBody<Bytes, E>,
    _active_request: ActiveRequest,
}

impl<E> AnsweredBody<E> {
    /// Keeps a request active as long as the body of its response.
    pub fn new(body: UnsyncBoxBody<Bytes, E>, active_request: ActiveRequest) -> Self {
        AnsweredBody { body, _active_request: active_request }
    }
}

impl<E> Body for AnsweredBody<E> {
    type Data = Bytes;
    type Error = E;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, E>>> {
        Pin::new(&mut self.body).poll_frame(cx)
    }

    fn is_end_stream(&self) -> bool {
        self.body.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.body.size_hint()
    }
}
