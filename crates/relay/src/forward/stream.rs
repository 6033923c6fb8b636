//! Forwards a streamed response, and resumes it at another server if allowed.

use {
    super::{
        attempts::Attempts,
        broken_stream::BrokenStream,
        buffering::on_not_kept,
        dispatch::may_resume,
        event_framing::{EventFraming, UnsplitEvents},
        events::{EventSplitter, MAX_EVENT_BYTES},
        exchange::Exchange,
        job::Job,
        silence_timer::SilenceTimer,
        standby::{Resuming, Standby, StandbyOutcome, StandbyProgress, exchange_of, resume},
        stream_end::{Received, StreamEnd},
        stream_kind::StreamKind,
        stream_timing::StreamTiming,
    },
    crate::{core::Core, streams},
    baobab_place::ServerOutcome,
    baobab_routing::RetrySafety,
    baobab_unit::millis,
    bytes::Bytes,
    http_body::Frame,
    hyper::body::Body,
    std::{
        pin::Pin,
        rc::Rc,
        task::{Context, Poll, ready},
    },
    tokio::time::{Sleep, sleep_until},
};

enum State {
    Reading(Box<Exchange>),
    Resuming(Resuming),
    Ended,
}

/// The body of a streamed response.
pub struct StreamBody {
    core: Rc<Core>,
    job: Rc<Job>,
    attempts: Rc<Attempts>,
    kind: StreamKind,
    state: State,
    /// Resumption at another server while the present one is silent.
    standby: Option<Standby>,
    framing: EventFraming,
    end: StreamEnd,
    /// Whether it is recorded which version began the stream.
    is_pinned: bool,
    timing: StreamTiming,
    deadline_timer: Pin<Box<Sleep>>,
    silence_timer: Option<SilenceTimer>,
}

impl StreamBody {
    /// Creates a body that forwards what `exchange` reads, as a response of this kind.
    #[must_use]
    pub fn new(
        core: &Rc<Core>,
        job: &Rc<Job>,
        attempts: Attempts,
        exchange: Box<Exchange>,
        kind: StreamKind,
    ) -> Self {
        let has_events = job.route.retry_safety.is_stream() && kind.is_success();
        let is_resumable = has_events && job.route.retry_safety == RetrySafety::ResumableStream;
        let framing = match (has_events, is_resumable) {
            (false, _) => EventFraming::Opaque,
            (true, false) => EventFraming::Unsplit(UnsplitEvents::default()),
            (true, true) => {
                let last_of_caller = job.take_up.and_then(|stream| stream.last_event);
                EventFraming::Split(EventSplitter::after(last_of_caller, &core.kept))
            }
        };
        if !is_resumable {
            job.drop_body();
        }
        Self {
            core: Rc::clone(core),
            job: Rc::clone(job),
            attempts: Rc::new(attempts),
            kind,
            state: State::Reading(exchange),
            standby: None,
            framing,
            end: StreamEnd::default(),
            is_pinned: false,
            timing: StreamTiming::default(),
            deadline_timer: Box::pin(sleep_until(job.deadline)),
            silence_timer: is_resumable.then(|| SilenceTimer::start(&job.route)),
        }
    }

    fn poll_reading(
        &mut self,
        context: &mut Context,
    ) -> Poll<Option<Result<Frame<Bytes>, BrokenStream>>> {
        loop {
            if let Some(reason) = self.event_fault() {
                return self.on_read_error(context, reason.to_owned());
            }
            let State::Reading(exchange) = &mut self.state else {
                return self.poll_resuming(context);
            };
            match exchange.poll_data(context) {
                Poll::Pending => {
                    if self.poll_standby(context).is_pending() {
                        return Poll::Pending;
                    }
                }
                Poll::Ready(Some(Ok(data))) => {
                    let forwarded = self.split(data);
                    if !forwarded.is_empty() {
                        if self.standby.take().is_some() {
                            log::info!(id = self.job.id.as_str(); "silent server goes on");
                        }
                        self.pin_version();
                        self.on_activity();
                        return Poll::Ready(Some(Ok(Frame::data(forwarded))));
                    }
                }
                Poll::Ready(Some(Err(reason))) => return self.on_read_error(context, reason),
                Poll::Ready(None) => return self.poll_end(context),
            }
        }
    }

    /// Ends the stream once its server's response has ended, or goes on elsewhere if that is not complete.
    fn poll_end(
        &mut self,
        context: &mut Context,
    ) -> Poll<Option<Result<Frame<Bytes>, BrokenStream>>> {
        let received = Received {
            is_at_boundary: self.framing.is_at_boundary(),
            has_data: self.timing.has_data(),
            is_taken_up: self.job.take_up.is_some(),
        };
        let State::Reading(exchange) = &mut self.state else {
            return Poll::Pending;
        };
        if let Err(reason) = ready!(self.end.poll(context, exchange, received)) {
            return self.on_read_error(context, reason);
        }
        self.log_end();
        self.finish(self.kind.outcome());
        Poll::Ready(None)
    }

    /// Looks for another server while the present one is silent, and returns ready if it took over
    /// or the search ended.
    fn poll_standby(&mut self, context: &mut Context) -> Poll<()> {
        if self.standby.is_none() && self.is_silent(context) {
            self.standby = self.ask_standby();
        }
        let Some(standby) = &mut self.standby else {
            return Poll::Pending;
        };
        let Poll::Ready(outcome) = standby.poll(context) else {
            return Poll::Pending;
        };
        self.standby = None;
        match outcome {
            StandbyOutcome::TakesOver(progress) => self.take_over(progress),
            StandbyOutcome::Failed(reason) => {
                log::info!(
                    id = self.job.id.as_str(),
                    reason = reason.as_str();
                    "stream stays at its silent server"
                );
                self.reset_silence_timer();
            }
        }
        Poll::Ready(())
    }

    fn poll_resuming(
        &mut self,
        context: &mut Context,
    ) -> Poll<Option<Result<Frame<Bytes>, BrokenStream>>> {
        let State::Resuming(resuming) = &mut self.state else {
            return Poll::Pending;
        };
        let Poll::Ready(result) = resuming.as_mut().poll(context) else {
            return Poll::Pending;
        };
        match exchange_of(result, &self.kind) {
            Ok(exchange) => {
                self.take_over(StandbyProgress::Answering(exchange));
                self.poll_reading(context)
            }
            Err(reason) => self.break_off(reason),
        }
    }

    /// Goes on at another server; the connection to the present one is closed.
    fn take_over(&mut self, progress: StandbyProgress) {
        self.state = match progress {
            StandbyProgress::Asking(resuming) => State::Resuming(resuming),
            StandbyProgress::Answering(exchange) => {
                self.framing.discard_partial();
                self.reset_silence_timer();
                State::Reading(exchange)
            }
        };
    }

    fn on_read_error(
        &mut self,
        context: &mut Context,
        reason: String,
    ) -> Poll<Option<Result<Frame<Bytes>, BrokenStream>>> {
        self.finish(ServerOutcome::Failure);
        let progress = match self.standby.take() {
            Some(standby) => standby.into_progress(),
            None if self.framing.may_go_on()
                && may_resume(&self.core, &self.job, &self.attempts) =>
            {
                StandbyProgress::Asking(self.resume())
            }
            None => return self.break_off(reason),
        };
        log::info!(
            id = self.job.id.as_str(),
            reason = reason.as_str(),
            after:? = self.framing.last_id();
            "stream resumes at another server"
        );
        self.take_over(progress);
        self.poll_reading(context)
    }

    fn last_event(&self) -> Option<String> {
        let last_id = self.framing.last_id();
        last_id.map(|id| id.to_string())
    }

    fn resume(&self) -> Resuming {
        resume(&self.core, &self.job, &self.attempts, self.last_event())
    }

    fn ask_standby(&self) -> Option<Standby> {
        let State::Reading(exchange) = &self.state else {
            return None;
        };
        let silent = exchange.server_key()?;
        let last_event = self.last_event();
        Some(Standby::ask(
            &self.core,
            &self.job,
            &self.attempts,
            silent,
            last_event,
            self.kind.clone(),
        ))
    }

    fn break_off(&mut self, reason: String) -> Poll<Option<Result<Frame<Bytes>, BrokenStream>>> {
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
        let State::Reading(exchange) = &self.state else {
            return;
        };
        let server = exchange.server();
        log::info!(
            id = self.job.id.as_str(),
            server = server.map_or("-", |server| server.id.as_str()),
            version = server.map_or("-", |server| server.software_version.as_str()),
            body_end:? = exchange.body_end(),
            last_event:? = self.framing.last_id(),
            attempts = self.attempts.sent(),
            first_ms = millis(self.timing.first),
            objective_ms = millis(self.job.route.objective),
            longest_pause_ms = millis(self.timing.longest_pause),
            total_ms = millis(self.job.arrived.elapsed());
            "stream is complete"
        );
    }

    fn split(&mut self, data: Bytes) -> Bytes {
        let was_cut = self.framing.is_passed_on_in_part();
        let forwarded = self.framing.push(data);
        if self.framing.is_passed_on_in_part() && !was_cut {
            on_not_kept(&self.core, &self.job, "event_passed_on", forwarded.len());
        }
        forwarded
    }

    /// Returns why the event that is read is given up, if it is.
    fn event_fault(&self) -> Option<&'static str> {
        if !matches!(self.state, State::Reading(_)) {
            return None;
        }
        let event_bytes = self.framing.event_bytes();
        if self.framing.is_beyond_share() {
            on_not_kept(&self.core, &self.job, "event_given_up", event_bytes);
            return Some("an event without an id exceeds the memory for responses");
        }
        (event_bytes > MAX_EVENT_BYTES).then_some("an event exceeds its maximum length")
    }

    /// Records which version began the stream, or goes on with it: no other may.
    fn pin_version(&mut self) {
        let is_due = !self.is_pinned && matches!(self.framing, EventFraming::Split(_));
        if let State::Reading(exchange) = &self.state
            && let Some(server) = exchange.server().filter(|_| is_due)
        {
            self.is_pinned = true;
            self.job
                .version
                .get_or_init(|| server.software_version.clone());
            streams::on_begun(&self.core, self.job.stream_key(), server);
        }
    }

    fn is_silent(&mut self, context: &mut Context) -> bool {
        let may_go_on = self.framing.may_go_on();
        let Some(silence_timer) = &mut self.silence_timer else {
            return false;
        };
        may_go_on
            && self.attempts.sent() < self.job.route.max_attempts
            && !streams::is_doubtful(&self.core, self.job.stream_key())
            && silence_timer.poll(context).is_ready()
    }

    fn on_activity(&mut self) {
        self.timing.on_data(self.job.arrived);
        self.reset_silence_timer();
    }

    fn reset_silence_timer(&mut self) {
        if let Some(silence_timer) = &mut self.silence_timer {
            silence_timer.reset();
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

impl Body for StreamBody {
    type Data = Bytes;
    type Error = BrokenStream;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        context: &mut Context,
    ) -> Poll<Option<Result<Frame<Bytes>, BrokenStream>>> {
        let poll = match &self.state {
            State::Reading(_) => self.poll_reading(context),
            State::Resuming(_) => self.poll_resuming(context),
            State::Ended => return Poll::Ready(None),
        };
        if poll.is_ready() || self.deadline_timer.as_mut().poll(context).is_pending() {
            return poll;
        }
        log::info!(id = self.job.id.as_str(); "stream breaks off at its timeout");
        self.state = State::Ended;
        self.standby = None;
        Poll::Ready(Some(Err(BrokenStream::Timeout)))
    }
}
