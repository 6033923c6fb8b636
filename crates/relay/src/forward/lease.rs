//! Counts a request against its server until it ends.

use {
    super::job::Job,
    crate::core::Core,
    baobab_place::{ConnectionLimits, Load, Placement, Server, ServerOutcome},
    std::{rc::Rc, time::Duration},
    tokio::time::Instant,
};

/// A request's place at a server. Dropping it gives the place back.
pub struct LoadLease {
    core: Rc<Core>,
    /// The server.
    pub server: Server,
    /// Connections to the server that the router may have.
    pub limits: ConnectionLimits,
    load: Load,
    predicted_first_event: Duration,
    sent_at: Instant,
    outcome: Option<ServerOutcome>,
}

impl LoadLease {
    /// Counts a request that is about to be sent.
    #[must_use]
    pub fn take(core: &Rc<Core>, placement: Placement, job: &Job) -> Self {
        let now = core.now();
        let mut placer = core.placer.borrow_mut();
        let load = placer.on_sent(&placement, job.prompt.as_ref(), now);
        let limits = placer.connection_limits(&placement.server, job.max_connections);
        drop(placer);
        Self {
            core: Rc::clone(core),
            server: placement.server,
            limits,
            load,
            predicted_first_event: placement.predicted_first_event,
            sent_at: Instant::now(),
            outcome: None,
        }
    }

    /// Notes the first event of the answer.
    pub fn on_first_event(&mut self) {
        let after = self.sent_at.elapsed();
        self.core.placer.borrow_mut().on_first_event(
            self.server.key,
            &mut self.load,
            self.predicted_first_event,
            after,
        );
        self.core.room.notify_one();
    }

    /// Gives the place back with the server's part in how it ended.
    pub fn finish(mut self, outcome: ServerOutcome) {
        self.outcome = Some(outcome);
    }
}

impl Drop for LoadLease {
    fn drop(&mut self) {
        let now = self.core.now();
        let is_set_aside = self.core.placer.borrow_mut().on_finished(
            self.server.key,
            self.load,
            self.outcome,
            now,
        );
        if is_set_aside {
            self.core
                .metrics
                .ejections
                .with_label_values(&[self.server.service.as_str()])
                .inc();
            log::info!(server = self.server.id.as_str(), outcome:? = self.outcome; "server is set aside");
        }
        self.core.room.notify_one();
    }
}
