//! State machine of one attempt to execute a request: takes the result of a step, returns the next.

use {
    crate::{Record, RecordState, ServiceResponse},
    baobab_store::{Insert, Inserted, Replace, Replaced, Row, StoreError},
};

/// Result of sending the request to the service.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum SendOutcome {
    /// No byte was sent.
    NotSent,
    /// The service returned a complete response.
    Responded(ServiceResponse),
    /// Bytes may have been sent, and no response arrived.
    Lost,
}

/// Reason why a request was not executed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum NotRunReason {
    /// The start could not be recorded in the platform's table.
    StoreDown,
    /// No connection to the service could be made.
    Unreachable,
}

/// Outcome of a request, as reported to the caller.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum RequestOutcome {
    /// Executed by this attempt.
    Executed(ServiceResponse),
    /// Executed by an earlier attempt, whose response was stored.
    Recorded(ServiceResponse),
    /// Executed by an earlier attempt, whose response was too large to store.
    ExecutedNotStored,
    /// May have been executed.
    Unknown,
    /// The key belongs to another request; this one was not executed.
    Conflict,
    /// Was not executed and will not be.
    NotRun(NotRunReason),
}

/// Next action that the attempt requires.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Step {
    /// Insert the row if it is absent.
    Insert(Insert),
    /// Read the row with this key.
    Read(String),
    /// Replace the row if its version matches.
    Replace(Replace),
    /// Send the request to the service.
    Send,
    /// Respond to the caller; the attempt has ended.
    Respond(RequestOutcome),
}

/// Result of the last step.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Event {
    /// Result of [`Step::Insert`].
    Inserted(Result<Inserted, StoreError>),
    /// Result of [`Step::Read`].
    Read(Result<Option<Row>, StoreError>),
    /// Result of [`Step::Replace`].
    Replaced(Result<Replaced, StoreError>),
    /// Result of [`Step::Send`].
    Sent(SendOutcome),
}

#[derive(Debug, Clone, PartialEq, Eq)]
enum Phase {
    Starting,
    ReadingBack,
    TakingOver,
    Sending,
    StoringOutcome(RequestOutcome),
    Done,
}

/// An attempt to execute one request.
#[derive(Debug, Clone)]
pub struct Attempt {
    key: String,
    record: Record,
    version: u64,
    phase: Phase,
}

impl Attempt {
    /// Starts an attempt and returns its first step.
    ///
    /// `digest` identifies the request's content; `token` is unique to this attempt.
    #[must_use]
    pub fn start(key: String, digest: String, token: String) -> (Self, Step) {
        let record = Record {
            digest,
            token,
            state: RecordState::Started,
        };
        let step = Step::Insert(Insert {
            key: key.clone(),
            value: record.to_text(),
        });
        let attempt = Self {
            key,
            record,
            version: 1,
            phase: Phase::Starting,
        };
        (attempt, step)
    }

    /// Applies the last step's result and returns the next step.
    pub fn next(&mut self, event: Event) -> Step {
        match (self.phase.clone(), event) {
            (Phase::Starting, Event::Inserted(result)) => self.on_inserted(result),
            (Phase::ReadingBack, Event::Read(result)) => self.on_read_back(result),
            (Phase::TakingOver, Event::Replaced(result)) => self.on_taken_over(result),
            (Phase::Sending, Event::Sent(sent)) => self.on_sent(sent),
            // The outcome is final even if it could not be recorded.
            (Phase::StoringOutcome(outcome), _) => self.complete(outcome),
            // An unexpected event must never lead to a second send.
            _ => self.complete(RequestOutcome::Unknown),
        }
    }

    fn on_inserted(&mut self, result: Result<Inserted, StoreError>) -> Step {
        match result {
            Ok(Inserted::Done) => self.send(1),
            Ok(Inserted::Exists(row)) => self.check_existing(&row),
            Err(StoreError::Unavailable(_)) => self.not_run(),
            Err(StoreError::ReplyLost(_)) => self.read_back(),
        }
    }

    fn on_read_back(&mut self, result: Result<Option<Row>, StoreError>) -> Step {
        match result {
            Ok(Some(row)) if self.is_own_record(&row) => self.send(row.version),
            Ok(Some(row)) => self.check_existing(&row),
            Ok(None) | Err(_) => self.not_run(),
        }
    }

    fn on_taken_over(&mut self, result: Result<Replaced, StoreError>) -> Step {
        match result {
            Ok(Replaced::Done(version)) => self.send(version),
            Ok(Replaced::Conflict(Some(row))) => self.check_existing(&row),
            Ok(Replaced::Conflict(None)) | Err(StoreError::Unavailable(_)) => self.not_run(),
            Err(StoreError::ReplyLost(_)) => self.read_back(),
        }
    }

    fn on_sent(&mut self, sent: SendOutcome) -> Step {
        match sent {
            SendOutcome::NotSent => {
                let record = Record {
                    state: RecordState::NotRun,
                    ..self.record.clone()
                };
                self.store_outcome(&record, RequestOutcome::NotRun(NotRunReason::Unreachable))
            }
            SendOutcome::Responded(response) => {
                let record = self.record.with_response(&response);
                self.store_outcome(&record, RequestOutcome::Executed(response))
            }
            SendOutcome::Lost => self.complete(RequestOutcome::Unknown),
        }
    }

    fn check_existing(&mut self, row: &Row) -> Step {
        let Some(found) = Record::from_text(&row.value) else {
            return self.complete(RequestOutcome::Unknown);
        };
        if found.digest != self.record.digest {
            return self.complete(RequestOutcome::Conflict);
        }
        match found.state {
            RecordState::Started => self.complete(RequestOutcome::Unknown),
            RecordState::Answered(response) => self.complete(RequestOutcome::Recorded(response)),
            RecordState::AnsweredUnkept => self.complete(RequestOutcome::ExecutedNotStored),
            RecordState::NotRun => self.take_over(row.version),
        }
    }

    fn take_over(&mut self, version: u64) -> Step {
        self.phase = Phase::TakingOver;
        self.replace(version, &self.record)
    }

    fn send(&mut self, version: u64) -> Step {
        self.version = version;
        self.phase = Phase::Sending;
        Step::Send
    }

    fn read_back(&mut self) -> Step {
        self.phase = Phase::ReadingBack;
        Step::Read(self.key.clone())
    }

    fn store_outcome(&mut self, record: &Record, outcome: RequestOutcome) -> Step {
        self.phase = Phase::StoringOutcome(outcome);
        self.replace(self.version, record)
    }

    fn not_run(&mut self) -> Step {
        self.complete(RequestOutcome::NotRun(NotRunReason::StoreDown))
    }

    fn complete(&mut self, outcome: RequestOutcome) -> Step {
        self.phase = Phase::Done;
        Step::Respond(outcome)
    }

    fn replace(&self, expected_version: u64, record: &Record) -> Step {
        Step::Replace(Replace {
            key: self.key.clone(),
            expected_version,
            value: record.to_text(),
        })
    }

    fn is_own_record(&self, row: &Row) -> bool {
        Record::from_text(&row.value).as_ref() == Some(&self.record)
    }
}
