//! One attempt to run a request, as a state machine: results of steps in, the next step out.

use {
    crate::{Answer, Record, RecordState},
    baobab_store::{Insert, Inserted, Replace, Replaced, Row, StoreError},
};

/// What came of sending the request to the service.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Sent {
    /// No byte left this host.
    NotSent,
    /// The service answered.
    Answered(Answer),
    /// Something may have been sent and no answer came.
    Lost,
}

/// Why a request was not run.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum NotRunReason {
    /// The platform could not record its start.
    StoreDown,
    /// The service could not be reached.
    Unreachable,
}

/// What the caller is told.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Verdict {
    /// It ran now.
    Fresh(Answer),
    /// It ran earlier.
    Recorded(Answer),
    /// It ran earlier and its answer was too large to keep.
    RanUnkept,
    /// It may have run.
    Unknown,
    /// The key was used for another request; this one was not run.
    Conflict,
    /// It was not run and will not be.
    NotRun(NotRunReason),
}

/// What to do next.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Step {
    /// Insert a row if absent.
    Insert(Insert),
    /// Read the row with this key.
    Read(String),
    /// Replace the row on condition.
    Replace(Replace),
    /// Send the request to the service.
    Send,
    /// Answer the caller; the attempt is over.
    Answer(Verdict),
}

/// What came of the last step.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Event {
    /// Of an insert.
    Inserted(Result<Inserted, StoreError>),
    /// Of a read.
    Read(Result<Option<Row>, StoreError>),
    /// Of a replace.
    Replaced(Result<Replaced, StoreError>),
    /// Of sending.
    Sent(Sent),
}

#[derive(Debug, Clone, PartialEq, Eq)]
enum Phase {
    Starting,
    ReadingBack,
    Claiming,
    Sending,
    Finishing(Verdict),
    Over,
}

/// One attempt.
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
    /// `digest` stands for the request's content and `token` for this attempt alone.
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

    /// Takes the last step's result in and returns the next step.
    pub fn next(&mut self, event: Event) -> Step {
        match (self.phase.clone(), event) {
            (Phase::Starting, Event::Inserted(result)) => self.on_inserted(result),
            (Phase::ReadingBack, Event::Read(result)) => self.on_read_back(result),
            (Phase::Claiming, Event::Replaced(result)) => self.on_claimed(result),
            (Phase::Sending, Event::Sent(sent)) => self.on_sent(sent),
            // The verdict stands whether or not it could be recorded.
            (Phase::Finishing(verdict), _) => self.over(verdict),
            // A result that doesn't fit must never lead to a second send.
            _ => self.over(Verdict::Unknown),
        }
    }

    fn on_inserted(&mut self, result: Result<Inserted, StoreError>) -> Step {
        match result {
            Ok(Inserted::Done) => self.send(1),
            Ok(Inserted::Exists(row)) => self.judge(&row),
            Err(StoreError::Unavailable(_)) => self.not_run(),
            Err(StoreError::ReplyLost(_)) => self.read_back(),
        }
    }

    fn on_read_back(&mut self, result: Result<Option<Row>, StoreError>) -> Step {
        match result {
            Ok(Some(row)) if self.is_own_start(&row) => self.send(row.version),
            Ok(Some(row)) => self.judge(&row),
            Ok(None) | Err(_) => self.not_run(),
        }
    }

    fn on_claimed(&mut self, result: Result<Replaced, StoreError>) -> Step {
        match result {
            Ok(Replaced::Done(version)) => self.send(version),
            Ok(Replaced::Conflict(Some(row))) => self.judge(&row),
            Ok(Replaced::Conflict(None)) | Err(StoreError::Unavailable(_)) => self.not_run(),
            Err(StoreError::ReplyLost(_)) => self.read_back(),
        }
    }

    fn on_sent(&mut self, sent: Sent) -> Step {
        match sent {
            Sent::NotSent => {
                let record = Record {
                    state: RecordState::NotRun,
                    ..self.record.clone()
                };
                self.finish(&record, Verdict::NotRun(NotRunReason::Unreachable))
            }
            Sent::Answered(answer) => {
                let record = self.record.answered(&answer);
                self.finish(&record, Verdict::Fresh(answer))
            }
            Sent::Lost => self.over(Verdict::Unknown),
        }
    }

    fn judge(&mut self, row: &Row) -> Step {
        let Some(found) = Record::from_text(&row.value) else {
            return self.over(Verdict::Unknown);
        };
        if found.digest != self.record.digest {
            return self.over(Verdict::Conflict);
        }
        match found.state {
            RecordState::Started => self.over(Verdict::Unknown),
            RecordState::Answered(answer) => self.over(Verdict::Recorded(answer)),
            RecordState::AnsweredUnkept => self.over(Verdict::RanUnkept),
            RecordState::NotRun => self.claim(row.version),
        }
    }

    fn claim(&mut self, version: u64) -> Step {
        self.phase = Phase::Claiming;
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

    fn finish(&mut self, record: &Record, verdict: Verdict) -> Step {
        self.phase = Phase::Finishing(verdict);
        self.replace(self.version, record)
    }

    fn not_run(&mut self) -> Step {
        self.over(Verdict::NotRun(NotRunReason::StoreDown))
    }

    fn over(&mut self, verdict: Verdict) -> Step {
        self.phase = Phase::Over;
        Step::Answer(verdict)
    }

    fn replace(&self, expected_version: u64, record: &Record) -> Step {
        Step::Replace(Replace {
            key: self.key.clone(),
            expected_version,
            value: record.to_text(),
        })
    }

    fn is_own_start(&self, row: &Row) -> bool {
        Record::from_text(&row.value).as_ref() == Some(&self.record)
    }
}
