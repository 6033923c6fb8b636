//! Counts a request towards the load of its server until it ends.

use {
    super::job::Job,
    crate::core::Core,
    baobab_place::{ConnectionLimits, Load, Placement, Server, ServerOutcome},
    std::{rc::Rc, time::Duration},
    tokio::time::Instant,
};

/// A request's load on a server. Dropping it releases the load.
pub struct LoadGuard {
    core: Rc<Core>,
    /// The server that the request is sent to.
    pub server: Server,
    /// Limits on this router's connections to the server.
    pub limits: ConnectionLimits,
    /// When the permit was asked for with which the request may be sent although the server has a limit.
    pub permit_asked_at: Option<Duration>,
    /// Time of the last answer of the server when the request was sent.
    pub answered_at: Option<Duration>,
    /// When the response must be complete.
    pub deadline: Instant,
    load: Load,
    predicted_first_event: Duration,
    sent_at: Instant,
    outcome: Option<ServerOutcome>,
}

impl LoadGuard {
    /// Adds the load of a request that is about to be sent.
    #[must_use]
    pub fn acquire(core: &Rc<Core>, placement: Placement, job: &Job) -> Self {
        let now = core.now();
        let answered_at = core.evidence.borrow().answered_at(placement.server.key);
        let mut placer = core.placer.borrow_mut();
        let load = placer.on_sent(&placement, job.prompt.as_ref(), now);
        let limits = placer.connection_limits(&placement.server, job.max_connections);
        drop(placer);
        core.loads_changed.notify_one();
        Self {
            core: Rc::clone(core),
            server: placement.server,
            limits,
            permit_asked_at: placement.permit_asked_at,
            answered_at,
            deadline: job.deadline,
            load,
            predicted_first_event: placement.predicted_first_event,
            sent_at: Instant::now(),
            outcome: None,
        }
    }

    /// Records that the response has begun, and wakes a waiting request.
    pub fn on_first_event(&mut self) {
        let elapsed = self.sent_at.elapsed();
        let time_to_first_event = self.core.overload.borrow().server_time(elapsed);
        self.core.placer.borrow_mut().on_first_event(
            self.server.key,
            &mut self.load,
            self.predicted_first_event,
            time_to_first_event,
        );
        self.core.loads_changed.notify_one();
        self.core.capacity_freed.notify_one();
    }

    /// Releases the load of a response that has ended, before it is known how.
    pub fn release_load(&mut self) {
        let load = std::mem::take(&mut self.load);
        let now = self.core.now();
        self.core
            .placer
            .borrow_mut()
            .on_finished(self.server.key, load, None, now);
        self.core.loads_changed.notify_one();
        self.core.capacity_freed.notify_one();
    }

    /// Records that the server has answered, so that it runs.
    pub fn on_answer(&self) {
        let now = self.core.now();
        let sent_at = now.saturating_sub(self.sent_at.elapsed());
        let mut placer = self.core.placer.borrow_mut();
        let availability = &mut placer.availability;
        availability.on_answer(self.server.key, sent_at, now);
    }

    /// Releases the load and reports how the server handled the request.
    pub fn finish(mut self, outcome: ServerOutcome) {
        self.outcome = Some(outcome);
    }
}

impl Drop for LoadGuard {
    fn drop(&mut self) {
        let now = self.core.now();
        let is_ejected = self.core.placer.borrow_mut().on_finished(
            self.server.key,
            self.load,
            self.outcome,
            now,
        );
        if is_ejected {
            self.core
                .metrics
                .ejections
                .with_label_values(&[self.server.service.as_str()])
                .inc();
            log::info!(server = self.server.id.as_str(), outcome:? = self.outcome; "server is ejected");
        }
        self.core.loads_changed.notify_one();
        self.core.capacity_freed.notify_one();
    }
}
