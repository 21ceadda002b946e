//! Marks a request as in progress, from its head to the end of its response's body.

use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll};

use hyper::Response;
use hyper::body::{Body, Frame, SizeHint};

use super::state::ConnectionState;

/// A request in progress on a connection.
#[derive(Debug)]
pub struct RequestInProgress {
    state: Rc<ConnectionState>,
}

impl RequestInProgress {
    /// Records that a request's head is complete.
    pub fn begin(state: Rc<ConnectionState>) -> Self {
        state.begin_request();
        RequestInProgress { state }
    }

    /// Records that the request has been read completely, including its body.
    pub fn received(&self) {
        self.state.request_received();
    }

    /// The response with a body that ends this request.
    pub fn respond<B>(self, response: Response<B>) -> Response<TrackedBody<B>> {
        response.map(|body| TrackedBody {
            body,
            _request: self,
        })
    }
}

impl Drop for RequestInProgress {
    fn drop(&mut self) {
        self.state.end_response();
    }
}

/// The body of a response. The HTTP library drops it when it has taken its last bytes, which ends the request.
#[derive(Debug)]
pub struct TrackedBody<B> {
    body: B,
    _request: RequestInProgress,
}

impl<B: Body + Unpin> Body for TrackedBody<B> {
    type Data = B::Data;
    type Error = B::Error;

    fn poll_frame(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<B::Data>, B::Error>>> {
        Pin::new(&mut self.get_mut().body).poll_frame(cx)
    }

    fn is_end_stream(&self) -> bool {
        self.body.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.body.size_hint()
    }
}
