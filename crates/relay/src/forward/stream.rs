//! Passes a stream on, and goes on at another server where that is allowed.

use {
    super::{
        dispatch::{Attempts, Reply, dispatch, may_resume},
        events::EventSplitter,
        exchange::Exchange,
        job::Job,
        problem::Problem,
    },
    crate::core::Core,
    baobab_place::ServerOutcome,
    baobab_routing::RetrySafety,
    baobab_unit::millis,
    bytes::Bytes,
    http_body::Frame,
    hyper::body::Body,
    quick_error::quick_error,
    std::{
        future::Future,
        pin::Pin,
        rc::Rc,
        task::{Context, Poll},
        time::Duration,
    },
    tokio::time::{Instant, Sleep, sleep_until},
};

quick_error! {
    /// Why a stream ends before its end; the caller sees its connection break.
    #[derive(Debug, Clone, PartialEq, Eq)]
    pub enum BrokenStream {
        /// The server broke off.
        Server(reason: String) {
            display("the server broke off: {reason}")
        }
        /// The time for the request ran out.
        Timeout {
            display("the time for the request ran out")
        }
    }
}

/// Shortest silence after which a resumable stream goes on elsewhere. An engine that reads a
/// preempted request again is silent for as long.
const LEAST_SILENCE: Duration = Duration::from_millis(1200);
/// Times the longest pause that is on time after which it does.
const SILENCE_PAUSES: u32 = 3;

type Resuming = Pin<Box<dyn Future<Output = (Result<Reply, Problem>, Attempts)>>>;

enum State {
    Reading(Box<Exchange>),
    Resuming(Resuming),
    Ended,
}

/// The body of a streamed answer.
pub struct StreamBody {
    core: Rc<Core>,
    job: Rc<Job>,
    attempts: Attempts,
    state: State,
    splitter: Option<EventSplitter>,
    tail: [u8; 2],
    timing: Timing,
    end: Pin<Box<Sleep>>,
    silence: Option<Pin<Box<Sleep>>>,
}

impl StreamBody {
    /// Passes on the answer that an exchange reads.
    #[must_use]
    pub fn new(
        core: &Rc<Core>,
        job: &Rc<Job>,
        attempts: Attempts,
        exchange: Box<Exchange>,
    ) -> Self {
        let is_resumable = job.route.retry_safety == RetrySafety::ResumableStream;
        if !is_resumable {
            job.drop_body();
        }
        let first_silence = LEAST_SILENCE.max(job.route.objective * 2);
        Self {
            core: Rc::clone(core),
            job: Rc::clone(job),
            attempts,
            state: State::Reading(exchange),
            splitter: is_resumable.then(EventSplitter::default),
            tail: [b'\n'; 2],
            timing: Timing::default(),
            end: Box::pin(sleep_until(job.ends_at)),
            silence: is_resumable.then(|| Box::pin(sleep_until(Instant::now() + first_silence))),
        }
    }

    fn poll_reading(
        &mut self,
        context: &mut Context,
    ) -> Poll<Option<Result<Frame<Bytes>, BrokenStream>>> {
        loop {
            let State::Reading(exchange) = &mut self.state else {
                return Poll::Pending;
            };
            match exchange.poll_data(context) {
                Poll::Pending if self.is_silent(context) => {
                    return self.on_broken(context, "it fell silent".to_owned());
                }
                Poll::Pending => return Poll::Pending,
                Poll::Ready(Some(Ok(data))) => {
                    self.on_activity();
                    let passed_on = self.split(data);
                    if !passed_on.is_empty() {
                        return Poll::Ready(Some(Ok(Frame::data(passed_on))));
                    }
                }
                Poll::Ready(Some(Err(reason))) => return self.on_broken(context, reason),
                Poll::Ready(None) if self.is_at_boundary() => {
                    self.log_end();
                    self.finish(ServerOutcome::Success);
                    return Poll::Ready(None);
                }
                Poll::Ready(None) => {
                    return self.on_broken(context, "it ended within an event".to_owned());
                }
            }
        }
    }

    fn poll_resuming(
        &mut self,
        context: &mut Context,
    ) -> Poll<Option<Result<Frame<Bytes>, BrokenStream>>> {
        let State::Resuming(resuming) = &mut self.state else {
            return Poll::Pending;
        };
        let Poll::Ready((result, attempts)) = resuming.as_mut().poll(context) else {
            return Poll::Pending;
        };
        self.attempts = attempts;
        match result {
            Ok(Reply::Stream(head, exchange)) if head.status.is_success() => {
                self.state = State::Reading(exchange);
                self.on_activity();
                self.poll_reading(context)
            }
            Ok(_) => self.give_up("the server that should go on failed".to_owned()),
            Err(problem) => self.give_up(format!("no server goes on: {}", problem.reason.code())),
        }
    }

    fn on_broken(
        &mut self,
        context: &mut Context,
        reason: String,
    ) -> Poll<Option<Result<Frame<Bytes>, BrokenStream>>> {
        if let State::Reading(exchange) = &self.state {
            self.attempts.tried.extend(exchange.server_key());
        }
        self.finish(ServerOutcome::Failure);
        if !may_resume(&self.core, &self.job, &self.attempts) {
            return self.give_up(reason);
        }
        log::info!(
            id = self.job.id.as_str(),
            reason = reason.as_str(),
            after:? = self.splitter.as_ref().and_then(EventSplitter::last_id);
            "stream goes on at another server"
        );
        self.state = State::Resuming(self.resume());
        self.poll_resuming(context)
    }

    fn resume(&mut self) -> Resuming {
        let last_id = self.splitter.as_mut().and_then(|splitter| {
            splitter.restart();
            splitter.last_id()
        });
        let core = Rc::clone(&self.core);
        let job = Rc::clone(&self.job);
        let mut attempts = std::mem::take(&mut self.attempts);
        Box::pin(async move {
            let last_id = last_id.map(|id| id.to_string());
            let result = dispatch(&core, &job, &mut attempts, last_id.as_deref()).await;
            (result, attempts)
        })
    }

    fn give_up(&mut self, reason: String) -> Poll<Option<Result<Frame<Bytes>, BrokenStream>>> {
        log::info!(id = self.job.id.as_str(), reason = reason.as_str(); "stream breaks off");
        self.core
            .metrics
            .requests
            .with_label_values(&[self.job.service.as_str(), "broken"])
            .inc();
        self.state = State::Ended;
        Poll::Ready(Some(Err(BrokenStream::Server(reason))))
    }

    fn finish(&mut self, outcome: ServerOutcome) {
        if let State::Reading(exchange) = std::mem::replace(&mut self.state, State::Ended) {
            exchange.finish(outcome);
        }
    }

    fn log_end(&self) {
        log::info!(
            id = self.job.id.as_str(),
            first_ms = millis(self.timing.first),
            objective_ms = millis(self.job.route.objective),
            longest_pause_ms = millis(self.timing.longest_pause),
            total_ms = millis(self.job.arrived.elapsed());
            "stream is complete"
        );
    }

    fn split(&mut self, data: Bytes) -> Bytes {
        if let Some(splitter) = &mut self.splitter {
            return splitter.push(&data);
        }
        for byte in &data[data.len().saturating_sub(2)..] {
            self.tail = [self.tail[1], *byte];
        }
        data
    }

    fn is_at_boundary(&self) -> bool {
        match &self.splitter {
            Some(splitter) => splitter.is_at_boundary(),
            None => !self.job.route.retry_safety.is_stream() || self.tail == *b"\n\n",
        }
    }

    fn is_silent(&mut self, context: &mut Context) -> bool {
        let Some(silence) = &mut self.silence else {
            return false;
        };
        self.attempts.sent < self.job.route.max_attempts
            && silence.as_mut().poll(context).is_ready()
    }

    fn on_activity(&mut self) {
        self.timing.on_data(self.job.arrived);
        if let Some(silence) = &mut self.silence {
            let longest = LEAST_SILENCE.max(self.job.route.gap_objective * SILENCE_PAUSES);
            silence.as_mut().reset(Instant::now() + longest);
        }
    }
}

impl Drop for StreamBody {
    fn drop(&mut self) {
        if !matches!(self.state, State::Ended) {
            log::info!(
                id = self.job.id.as_str(),
                total_ms = millis(self.job.arrived.elapsed());
                "caller has left"
            );
        }
    }
}

/// When the data of a stream came.
#[derive(Debug, Default)]
struct Timing {
    first: Duration,
    longest_pause: Duration,
    last_at: Option<Instant>,
}

impl Timing {
    fn on_data(&mut self, arrived: Instant) {
        let now = Instant::now();
        match self.last_at {
            Some(last_at) => self.longest_pause = self.longest_pause.max(now - last_at),
            None => self.first = now - arrived,
        }
        self.last_at = Some(now);
    }
}

impl Body for StreamBody {
    type Data = Bytes;
    type Error = BrokenStream;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        context: &mut Context,
    ) -> Poll<Option<Result<Frame<Bytes>, BrokenStream>>> {
        let polled = match &self.state {
            State::Reading(_) => self.poll_reading(context),
            State::Resuming(_) => self.poll_resuming(context),
            State::Ended => return Poll::Ready(None),
        };
        if polled.is_ready() || self.end.as_mut().poll(context).is_pending() {
            return polled;
        }
        log::info!(id = self.job.id.as_str(); "stream breaks off at its timeout");
        self.state = State::Ended;
        Poll::Ready(Some(Err(BrokenStream::Timeout)))
    }
}
