//! Records what callers observe.

use {
    hdrhistogram::Histogram,
    std::{
        collections::BTreeMap,
        sync::{Mutex, MutexGuard, PoisonError},
        time::{Duration, Instant},
    },
};

/// Upper bound of the latency histograms, in microseconds.
const MAX_LATENCY_US: u64 = 600_000_000;

/// Outcome of a request, as its caller saw it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum RequestOutcome {
    /// Complete, with the expected content.
    Correct,
    /// Complete, with other content than expected.
    Incorrect,
    /// Ended early with an error event or a broken connection, for this reason.
    Incomplete(String),
    /// Refused with a problem body.
    Refused(Refusal),
}

/// Fields of a problem body.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Refusal {
    /// Machine-readable error code.
    pub code: String,
    /// Whether the request ran, as stated to the caller.
    pub ran: String,
    /// Request identifier.
    pub request_id: String,
}

/// Latencies of one urgency class, in microseconds.
#[derive(Debug, Clone)]
pub struct ClassLatencies {
    /// Time from sending the request to the first token.
    pub first_token_us: Histogram<u64>,
    /// Time between consecutive tokens.
    pub between_tokens_us: Histogram<u64>,
}

impl ClassLatencies {
    fn new() -> Self {
        let histogram = || {
            Histogram::new_with_bounds(1, MAX_LATENCY_US, 3)
                .expect("the histogram bounds are valid")
        };
        Self {
            first_token_us: histogram(),
            between_tokens_us: histogram(),
        }
    }
}

/// Progress of one workspace.
#[derive(Debug, Clone, Default)]
pub struct WorkspaceProgress {
    /// Tokens received.
    pub tokens: u64,
    /// Send times of streamed requests that wait for their first token, by number.
    pub waiting: BTreeMap<u64, Instant>,
    /// Tokens in its longest response.
    pub max_response_tokens: u64,
}

/// A finished request.
#[derive(Debug, Clone)]
pub struct FinishedRequest {
    /// Idempotency key, if the request is a call with one.
    pub key: Option<String>,
    /// Its outcome.
    pub outcome: RequestOutcome,
}

/// Everything recorded so far.
#[derive(Debug, Clone, Default)]
pub struct Recorded {
    /// Progress by workspace.
    pub workspaces: BTreeMap<String, WorkspaceProgress>,
    /// Latencies by urgency class; those of a flood as `CLASS (flood)`.
    pub classes: BTreeMap<String, ClassLatencies>,
    /// Finished requests, in the order in which they ended.
    pub finished: Vec<FinishedRequest>,
    /// Requests in flight.
    pub in_flight: u64,
}

/// Thread-safe collector of caller observations.
#[derive(Debug, Default)]
pub struct Recorder {
    recorded: Mutex<Recorded>,
}

impl Recorder {
    /// Records a sent request; a streamed one starts waiting for its first token.
    pub fn request_sent(&self, workspace: &str, number: u64, is_streamed: bool) {
        let mut recorded = self.lock();
        recorded.in_flight += 1;
        let progress = recorded.workspaces.entry(workspace.to_owned()).or_default();
        if is_streamed {
            progress.waiting.insert(number, Instant::now());
        }
    }

    /// Records a token; `since` is the time since the previous token, or since sending.
    pub fn token_received(
        &self,
        workspace: &str,
        class: &str,
        number: u64,
        is_first: bool,
        since: Duration,
    ) {
        let mut recorded = self.lock();
        if let Some(progress) = recorded.workspaces.get_mut(workspace) {
            progress.tokens += 1;
            progress.waiting.remove(&number);
        }
        let latencies = recorded
            .classes
            .entry(class.to_owned())
            .or_insert_with(ClassLatencies::new);
        let histogram = if is_first {
            &mut latencies.first_token_us
        } else {
            &mut latencies.between_tokens_us
        };
        histogram.saturating_record(baobab_unit::micros(since).max(1));
    }

    /// Records the tokens of a response that was not streamed.
    pub fn response_received(&self, workspace: &str, number: u64, tokens: u64) {
        if let Some(progress) = self.lock().workspaces.get_mut(workspace) {
            progress.tokens += tokens;
            progress.waiting.remove(&number);
        }
    }

    /// Records the outcome of a request; `tokens` is its expected response length.
    pub fn request_ended(
        &self,
        workspace: &str,
        number: u64,
        tokens: u64,
        finished: FinishedRequest,
    ) {
        let mut recorded = self.lock();
        recorded.in_flight -= 1;
        if let Some(progress) = recorded.workspaces.get_mut(workspace) {
            progress.waiting.remove(&number);
            progress.max_response_tokens = progress.max_response_tokens.max(tokens);
        }
        recorded.finished.push(finished);
    }

    /// Returns a copy of the recorded data.
    pub fn snapshot(&self) -> Recorded {
        self.lock().clone()
    }

    /// Applies a function to the recorded data, under the lock.
    pub fn inspect<T>(&self, inspect: impl FnOnce(&Recorded) -> T) -> T {
        inspect(&self.lock())
    }

    fn lock(&self) -> MutexGuard<'_, Recorded> {
        self.recorded.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
