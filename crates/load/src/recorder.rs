//! Collects what callers see.

use {
    hdrhistogram::Histogram,
    std::{
        collections::BTreeMap,
        sync::{Mutex, MutexGuard, PoisonError},
        time::{Duration, Instant},
    },
};

/// Longest time that a histogram holds, in microseconds.
const LONGEST_US: u64 = 600_000_000;

/// How a request ended, as its caller saw it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Ending {
    /// Complete and as expected.
    Right,
    /// Complete and not as expected.
    Wrong,
    /// It ended early and said so, or the connection broke, for this reason.
    Incomplete(String),
    /// Refused with a problem.
    Refused(Refusal),
}

/// A refusal.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Refusal {
    /// Code.
    pub code: String,
    /// Whether it ran, as the caller was told.
    pub ran: String,
    /// Request identifier.
    pub request_id: String,
}

/// Times of one class.
#[derive(Debug, Clone)]
pub struct ClassTimes {
    /// Time to the first token.
    pub first_token_us: Histogram<u64>,
    /// Time between two tokens.
    pub between_tokens_us: Histogram<u64>,
}

impl ClassTimes {
    fn new() -> Self {
        let histogram =
            || Histogram::new_with_bounds(1, LONGEST_US, 3).expect("the bounds fit a histogram");
        Self {
            first_token_us: histogram(),
            between_tokens_us: histogram(),
        }
    }
}

/// What a workspace has.
#[derive(Debug, Clone, Default)]
pub struct WorkspaceState {
    /// Tokens received.
    pub tokens: u64,
    /// Requests that wait for their first token: when each was sent, by its number.
    pub waiting: BTreeMap<u64, Instant>,
    /// Tokens of its largest answer.
    pub largest_tokens: u64,
}

/// The end of a request.
#[derive(Debug, Clone)]
pub struct Ended {
    /// Idempotency key of a call.
    pub key: Option<String>,
    /// How it ended.
    pub ending: Ending,
}

/// All that was collected.
#[derive(Debug, Clone, Default)]
pub struct Collected {
    /// By workspace.
    pub workspaces: BTreeMap<String, WorkspaceState>,
    /// By class.
    pub classes: BTreeMap<String, ClassTimes>,
    /// Ends of requests.
    pub endings: Vec<Ended>,
    /// Requests sent and not yet ended.
    pub open: u64,
}

/// Collects from many threads.
#[derive(Debug, Default)]
pub struct Recorder {
    collected: Mutex<Collected>,
}

impl Recorder {
    /// Notes that a request is sent; a streamed one waits for its first token from now on.
    pub fn sent(&self, workspace: &str, number: u64, is_streamed: bool) {
        let mut collected = self.lock();
        collected.open += 1;
        let state = collected
            .workspaces
            .entry(workspace.to_owned())
            .or_default();
        if is_streamed {
            state.waiting.insert(number, Instant::now());
        }
    }

    /// Notes a token; `since` is the time since the sending or the token before.
    pub fn token(
        &self,
        workspace: &str,
        class: &str,
        number: u64,
        is_first: bool,
        since: Duration,
    ) {
        let mut collected = self.lock();
        if let Some(state) = collected.workspaces.get_mut(workspace) {
            state.tokens += 1;
            state.waiting.remove(&number);
        }
        let times = collected
            .classes
            .entry(class.to_owned())
            .or_insert_with(ClassTimes::new);
        let histogram = if is_first {
            &mut times.first_token_us
        } else {
            &mut times.between_tokens_us
        };
        histogram.saturating_record(baobab_unit::micros(since).max(1));
    }

    /// Notes the tokens of an answer that came whole.
    pub fn whole_answer(&self, workspace: &str, number: u64, tokens: u64) {
        if let Some(state) = self.lock().workspaces.get_mut(workspace) {
            state.tokens += tokens;
            state.waiting.remove(&number);
        }
    }

    /// Notes the end of a request.
    pub fn ended(&self, workspace: &str, number: u64, tokens: u64, ended: Ended) {
        let mut collected = self.lock();
        collected.open -= 1;
        if let Some(state) = collected.workspaces.get_mut(workspace) {
            state.waiting.remove(&number);
            state.largest_tokens = state.largest_tokens.max(tokens);
        }
        collected.endings.push(ended);
    }

    /// Returns a copy of all that was collected so far.
    pub fn collected(&self) -> Collected {
        self.lock().clone()
    }

    /// Applies a function to what was collected so far.
    pub fn read<T>(&self, read: impl FnOnce(&Collected) -> T) -> T {
        read(&self.lock())
    }

    fn lock(&self) -> MutexGuard<'_, Collected> {
        self.collected
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }
}
