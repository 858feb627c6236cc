//! The body of a received request, of which the server notices whether the handler read it.

use std::pin::Pin;
use std::sync::{Arc, Mutex, PoisonError};
use std::task::{Context, Poll, ready};

use bytes::Bytes;
use http_body::{Body as HttpBody, Frame, SizeHint};
use hyper::body::Incoming;

/// `RequestBody` is the body of a received request.
///
/// If it is dropped before it was read to its end, the rest returns to the server, which decides
/// what becomes of the connection.
#[derive(Debug)]
pub struct RequestBody {
    incoming: Option<Incoming>,
    progress: ReadProgress,
    unread: UnreadSlot,
}

/// `ReadProgress` is how far a request body has been read.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum ReadProgress {
    /// Nothing has been asked for.
    Untouched,
    /// A part may have been read.
    Begun,
    /// The whole body has been read.
    Complete,
    /// Reading has failed.
    Failed,
}

/// `UnreadBody` is the rest of a request body that the handler dropped.
#[derive(Debug)]
pub(crate) struct UnreadBody {
    pub incoming: Incoming,
    pub progress: ReadProgress,
}

/// `UnreadSlot` is where a dropped request body leaves its unread rest.
#[derive(Debug, Clone, Default)]
pub(crate) struct UnreadSlot {
    body: Arc<Mutex<Option<UnreadBody>>>,
}

impl UnreadSlot {
    /// Takes the rest of the body, if the body was dropped before its end.
    pub fn take(&self) -> Option<UnreadBody> {
        self.body.lock().unwrap_or_else(PoisonError::into_inner).take()
    }
}

impl RequestBody {
    /// Wraps a received body, whose unread rest goes to `unread`.
    pub(crate) fn new(incoming: Incoming, unread: UnreadSlot) -> Self {
        let progress = match incoming.is_end_stream() {
            true => ReadProgress::Complete,
            false => ReadProgress::Untouched,
        };
        RequestBody { incoming: Some(incoming), progress, unread }
    }
}

impl HttpBody for RequestBody {
    type Data = Bytes;
    type Error = hyper::Error;

    fn poll_frame(
        self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, hyper::Error>>> {
        let body = self.get_mut();
        let Some(incoming) = &mut body.incoming else {
            return Poll::Ready(None);
        };
        if body.progress == ReadProgress::Untouched {
            body.progress = ReadProgress::Begun;
        }
        let frame = ready!(Pin::new(&mut *incoming).poll_frame(context));
        body.progress = match &frame {
            Some(Err(_)) => ReadProgress::Failed,
            None => ReadProgress::Complete,
            Some(Ok(_)) if incoming.is_end_stream() => ReadProgress::Complete,
            Some(Ok(_)) => ReadProgress::Begun,
        };
        Poll::Ready(frame)
    }

    fn is_end_stream(&self) -> bool {
        self.incoming.as_ref().is_none_or(HttpBody::is_end_stream)
    }

    fn size_hint(&self) -> SizeHint {
        self.incoming.as_ref().map_or(SizeHint::with_exact(0), HttpBody::size_hint)
    }
}

impl Drop for RequestBody {
    fn drop(&mut self) {
        match self.incoming.take() {
            Some(incoming) if self.progress != ReadProgress::Complete => {
                let unread = UnreadBody { incoming, progress: self.progress };
                let mut slot = self.unread.body.lock().unwrap_or_else(PoisonError::into_inner);
                *slot = Some(unread);
            }

            _ => {}
        }
    }
}
