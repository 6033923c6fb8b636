//! Whether the end of a server's response ends the stream.

use {
    super::{body_end::BodyEnd, exchange::Exchange},
    std::task::{Context, Poll, ready},
};

/// What the caller has of a stream.
#[derive(Debug, Clone, Copy)]
pub struct Received {
    /// Whether the data so far ends with a complete event.
    pub is_at_boundary: bool,
    /// Whether it has had data in this response.
    pub has_data: bool,
    /// Whether it has had events from an earlier request.
    pub is_taken_up: bool,
}

/// Judges the ends of the responses of which a stream consists.
#[derive(Debug, Default)]
pub struct StreamEnd {
    /// Whether a server that runs on had nothing more to send.
    has_empty_rest: bool,
}

impl StreamEnd {
    /// Waits until it is known whether a response that has ended completes the stream.
    ///
    /// One that ends with its connection before its first event does not complete a new stream. A caller that
    /// takes a stream up may have had its last event: then all servers have nothing more to send, so that another
    /// one that runs on has to confirm it. A connection that ends for another reason looks the same, and the
    /// number of events is not known.
    ///
    /// # Errors
    ///
    /// Fails if the response does not complete the stream, or no other server has confirmed that yet.
    pub fn poll(
        &mut self,
        context: &mut Context,
        exchange: &mut Exchange,
        received: Received,
    ) -> Poll<Result<(), String>> {
        let fail = |reason: &str| Poll::Ready(Err(reason.to_owned()));
        if !received.is_at_boundary {
            exchange.on_broken();
            return fail("the response ended within an event");
        }
        let is_empty = !received.has_data && exchange.body_end() == BodyEnd::ConnectionEnd;
        if is_empty && !received.is_taken_up {
            exchange.on_broken();
            return fail("the response ended before its first event");
        }
        if let Err(reason) = ready!(exchange.poll_end(context)) {
            return Poll::Ready(Err(reason));
        }
        if is_empty && !std::mem::replace(&mut self.has_empty_rest, true) {
            return fail("no other server has confirmed that the stream has no more events");
        }
        Poll::Ready(Ok(()))
    }
}
