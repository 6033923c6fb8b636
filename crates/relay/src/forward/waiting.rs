//! Attempts that wait for the head of a response.

use {
    super::attempt::{AttemptError, ServerResponse},
    baobab_place::ServerKey,
    std::{
        future::{Future, poll_fn},
        pin::Pin,
        task::Poll,
        time::Duration,
    },
    tokio::time::{Instant, sleep_until},
};

/// Time for which two engines may work on one request: another one that has not refused by then has
/// accepted it.
pub const MAX_OVERLAP: Duration = Duration::from_millis(300);

/// Result of an attempt.
pub type AttemptResult = Result<ServerResponse, AttemptError>;

/// An attempt that waits for the head of its response. Dropping it closes the connection.
pub struct WaitingAttempt<'a> {
    /// The server that the request was sent to.
    pub server: ServerKey,
    /// When the request may also be sent to another server.
    pub silent_at: Option<Instant>,
    /// The response.
    pub response: Pin<Box<dyn Future<Output = AttemptResult> + 'a>>,
}

/// What happened first to the attempts of one request.
pub enum WaitingEvent {
    /// An attempt has ended.
    Ended(ServerKey, Box<AttemptResult>),
    /// The only attempt is silent.
    Silent(ServerKey),
}

/// The attempts of one request that wait for a response: the newest one, and an older one whose
/// server is silent.
pub struct WaitingAttempts<'a> {
    newest: Option<WaitingAttempt<'a>>,
    silent: Option<WaitingAttempt<'a>>,
    max_overlap: Option<Duration>,
    overlaps_until: Option<Instant>,
}

impl<'a> WaitingAttempts<'a> {
    /// Creates an empty list. An attempt whose server is silent is cancelled `max_overlap` after the
    /// next one was added, if that is set.
    #[must_use]
    pub fn new(max_overlap: Option<Duration>) -> Self {
        Self {
            newest: None,
            silent: None,
            max_overlap,
            overlaps_until: None,
        }
    }

    /// Adds an attempt. The one that waits so far is silent.
    pub fn push(&mut self, attempt: WaitingAttempt<'a>) {
        self.silent = self.newest.replace(attempt).or(self.silent.take());
        self.overlaps_until = match (&self.silent, self.max_overlap) {
            (Some(_), Some(max_overlap)) => Some(Instant::now() + max_overlap),
            _ => None,
        };
    }

    /// Whether no attempt waits.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.newest.is_none() && self.silent.is_none()
    }

    /// Cancels the attempts that still wait, unless they may run beside another one.
    pub fn on_success(&mut self) {
        if self.max_overlap.is_some() {
            self.newest = None;
            self.silent = None;
        }
    }

    /// Sets when the attempt that waits is silent again.
    pub fn wait_until(&mut self, silent_at: Instant) {
        if let Some(newest) = &mut self.newest {
            newest.silent_at = Some(silent_at);
        }
    }

    /// Waits for the first event.
    pub async fn next(&mut self) -> WaitingEvent {
        let overlaps_until = self.overlaps_until.filter(|_| self.silent.is_some());
        let silent_at = self
            .newest
            .as_ref()
            .filter(|_| self.silent.is_none())
            .and_then(|newest| Some((newest.silent_at?, newest.server)));
        let timer_at = overlaps_until.or(silent_at.map(|(at, _)| at));
        let mut timer = timer_at.map(|at| Box::pin(sleep_until(at)));
        let event = poll_fn(|context| {
            for attempt in [&mut self.newest, &mut self.silent] {
                if let Some(waiting) = attempt
                    && let Poll::Ready(result) = waiting.response.as_mut().poll(context)
                {
                    let server = waiting.server;
                    *attempt = None;
                    return Poll::Ready(Some(WaitingEvent::Ended(server, Box::new(result))));
                }
            }
            match &mut timer {
                Some(timer) => timer.as_mut().poll(context).map(|()| None),
                None => Poll::Pending,
            }
        })
        .await;
        match (event, silent_at) {
            (Some(event), _) => {
                if self.newest.is_none() {
                    self.newest = self.silent.take();
                }
                event
            }
            (None, Some((_, server))) => WaitingEvent::Silent(server),
            (None, None) => {
                self.silent = None;
                Box::pin(self.next()).await
            }
        }
    }
}
