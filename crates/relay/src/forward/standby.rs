//! Another server that goes on with a stream: beside a silent one, or after one that broke off.

use {
    super::{
        admission::place,
        attempts::Attempts,
        dispatch::{ForwardedResponse, dispatch, place_beside},
        events::{MAX_EVENT_BYTES, has_event},
        exchange::Exchange,
        job::Job,
        kept::KeptBytes,
        problem::{Problem, Reason},
        stream_kind::StreamKind,
        waiting::MAX_OVERLAP,
    },
    crate::core::Core,
    baobab_place::{ServerKey, ServerOutcome},
    std::{
        future::Future,
        pin::Pin,
        rc::Rc,
        task::{Context, Poll},
        time::Duration,
    },
    tokio::time::{Instant, Sleep, sleep, sleep_until},
};

/// Time for which a broken stream waits for a server with capacity; callers wait longer for an event.
const MAX_RESUME_WAIT: Duration = Duration::from_secs(1);
/// Delay before a server is looked for again.
const RESUME_RETRY_DELAY: Duration = Duration::from_millis(100);

/// A request that is sent to resume a stream.
pub type Resuming = Pin<Box<dyn Future<Output = Result<ForwardedResponse, Problem>>>>;

/// Resumption of a stream beside the exchange with a silent server. That server may be sound, so it is
/// not given up before the other one has sent an event, or has not refused the request for
/// [`MAX_OVERLAP`].
pub struct Standby {
    kind: StreamKind,
    progress: StandbyProgress,
    /// What it has sent so far.
    received: KeptBytes,
    takes_over: Pin<Box<Sleep>>,
}

/// How far a standby has come.
pub enum StandbyProgress {
    /// It waits for a response.
    Asking(Resuming),
    /// It reads the response.
    Answering(Box<Exchange>),
}

/// How a standby ends.
pub enum StandbyOutcome {
    /// It goes on with the stream.
    TakesOver(StandbyProgress),
    /// The stream stays at its silent server.
    Failed(String),
}

impl Standby {
    /// Asks another server, if one has capacity, to resume a stream of this kind after `last_event`.
    #[must_use]
    pub fn ask(
        core: &Rc<Core>,
        job: &Rc<Job>,
        attempts: &Rc<Attempts>,
        silent: ServerKey,
        last_event: Option<String>,
        kind: StreamKind,
    ) -> Self {
        let received = KeptBytes::new(&core.kept);
        let (core, job, attempts) = (Rc::clone(core), Rc::clone(job), Rc::clone(attempts));
        let asking = async move {
            let Some(placement) = place_beside(&core, &job, &attempts, silent).await else {
                return Err(Problem::new(Reason::ServerFailed));
            };
            let last_event = last_event.as_deref();
            dispatch(&core, &job, &attempts, last_event, Some(placement)).await
        };
        Self {
            kind,
            progress: StandbyProgress::Asking(Box::pin(asking)),
            received,
            takes_over: Box::pin(sleep_until(Instant::now() + MAX_OVERLAP)),
        }
    }

    /// Takes over once the silent server has broken off.
    #[must_use]
    pub fn into_progress(mut self) -> StandbyProgress {
        self.take_progress()
    }

    /// Waits until it ends. Must not be polled after that.
    pub fn poll(&mut self, context: &mut Context) -> Poll<StandbyOutcome> {
        if let StandbyProgress::Asking(asking) = &mut self.progress
            && let Poll::Ready(result) = asking.as_mut().poll(context)
        {
            match exchange_of(result, &self.kind) {
                Ok(exchange) => self.progress = StandbyProgress::Answering(exchange),
                Err(reason) => return Poll::Ready(StandbyOutcome::Failed(reason)),
            }
        }
        while let StandbyProgress::Answering(exchange) = &mut self.progress {
            match exchange.poll_data(context) {
                Poll::Ready(Some(Ok(data))) => self.received.push(&data),
                Poll::Ready(_) => return Poll::Ready(self.fail("the other server broke off")),
                Poll::Pending => break,
            }
            if has_event(&self.received) || self.received.len() > MAX_EVENT_BYTES {
                return Poll::Ready(self.take_over());
            }
            if !self.received.is_within_share() {
                let reason = "the other server's event exceeds the memory for responses";
                return Poll::Ready(self.fail(reason));
            }
        }
        self.takes_over
            .as_mut()
            .poll(context)
            .map(|()| self.take_over())
    }

    fn take_over(&mut self) -> StandbyOutcome {
        StandbyOutcome::TakesOver(self.take_progress())
    }

    fn fail(&mut self, reason: &str) -> StandbyOutcome {
        if let StandbyProgress::Answering(exchange) = self.take_progress() {
            exchange.finish(ServerOutcome::Failure);
        }
        StandbyOutcome::Failed(reason.to_owned())
    }

    /// Takes the progress; an exchange returns what it has sent so far once more.
    fn take_progress(&mut self) -> StandbyProgress {
        let ended = StandbyProgress::Asking(Box::pin(std::future::pending()));
        let mut progress = std::mem::replace(&mut self.progress, ended);
        if let StandbyProgress::Answering(exchange) = &mut progress {
            exchange.put_back(self.received.take());
        }
        progress
    }
}

/// Sends a request to resume a broken stream after `last_event`, once a server has capacity.
pub fn resume(
    core: &Rc<Core>,
    job: &Rc<Job>,
    attempts: &Rc<Attempts>,
    last_event: Option<String>,
) -> Resuming {
    let (core, job, attempts) = (Rc::clone(core), Rc::clone(job), Rc::clone(attempts));
    Box::pin(async move {
        let wait_until = Instant::now() + MAX_RESUME_WAIT;
        let placement = loop {
            match place(&core, &job, &attempts).await {
                Ok(placement) => break placement,
                Err(problem) if Instant::now() >= wait_until => return Err(problem),
                Err(_) => sleep(RESUME_RETRY_DELAY).await,
            }
        };
        let last_event = last_event.as_deref();
        dispatch(&core, &job, &attempts, last_event, Some(placement)).await
    })
}

/// Returns the exchange of a response that resumes a stream of this kind, or why there is none.
pub fn exchange_of(
    result: Result<ForwardedResponse, Problem>,
    kind: &StreamKind,
) -> Result<Box<Exchange>, String> {
    match result {
        Ok(ForwardedResponse::Stream(head, exchange)) if StreamKind::from(&head) == *kind => {
            Ok(exchange)
        }
        Ok(ForwardedResponse::Stream(head, _) | ForwardedResponse::Buffered(head, _)) => {
            Err(format!(
                "the server chosen to resume the stream responded with {:?}",
                StreamKind::from(&head)
            ))
        }
        Err(problem) => Err(format!(
            "no server can resume the stream: {}",
            problem.reason.code()
        )),
    }
}
