//! Doubt whether a server is still the run that it has announced, and so of the announced version.

use {
    crate::{Placer, Server, ServerKey, placer::ServerState},
    std::time::Duration,
};

/// Time within which a server that has started again is announced.
const ANNOUNCEMENT_LAG: Duration = Duration::from_secs(3);
/// Time after which a router that has been out of step has read the list of servers again, if it can.
const RESYNC_TIME: Duration = Duration::from_millis(1200);
/// Minimum time until it is asked again whether a server has started as another version.
const MIN_DOUBT: Duration = Duration::from_millis(300);
/// Minimum time until a server is asked again that has not shown that it is the announced run.
const MIN_ASK_INTERVAL: Duration = Duration::from_millis(300);

/// What is known of a server's run.
#[derive(Debug, Default)]
pub(crate) struct Doubt {
    /// When there was last a reason to believe that it has started again.
    latest_reason: Option<Duration>,
    /// When it was asked last and has shown that it is the run that was announced.
    shown_at: Option<Duration>,
    /// When it was asked last and has not.
    not_shown_at: Option<Duration>,
    /// Whether it has been announced as another run, and not been asked since.
    is_newly_announced: bool,
}

impl Doubt {
    /// Records that a connection to it failed.
    pub(crate) fn on_lost(&mut self, now: Duration) {
        self.latest_reason = Some(now);
    }

    /// Records that it is announced as another run.
    pub(crate) fn on_announced(&mut self) {
        *self = Self {
            is_newly_announced: true,
            ..Self::default()
        };
    }

    /// Whether `at` is a reason that it has not refuted.
    fn is_open(&self, at: Duration) -> bool {
        self.shown_at.is_none_or(|shown_at| shown_at <= at)
    }
}

impl Placer {
    /// Records that a server has closed an idle connection, as if it had ended.
    pub fn on_connection_lost(&mut self, key: ServerKey, now: Duration) {
        if let Some(state) = self.states.get_mut(&key) {
            state.doubt.on_lost(now);
        }
    }

    /// Records that a server has closed the connection of a request, as if it had ended. The other
    /// routers are told.
    pub fn on_request_lost(&mut self, key: ServerKey, now: Duration) {
        self.on_connection_lost(key, now);
        self.on_crash(key, now);
        self.unreported_losses.insert(key);
    }

    /// Records that another router has lost the connection of a request to a server.
    pub fn on_peer_loss(&mut self, key: ServerKey, now: Duration) {
        if self.registry.get(key).is_some() {
            self.doubt_mut(key).on_lost(now);
            self.on_crash(key, now);
        }
    }

    /// Removes and returns up to `max` servers to which connections were lost, for the other routers.
    pub fn take_unreported_losses(&mut self, max: usize) -> Vec<ServerKey> {
        std::iter::from_fn(|| self.unreported_losses.pop_first())
            .take(max)
            .collect()
    }

    /// Records that a server is announced as another run.
    pub fn on_other_run_announced(&mut self, key: ServerKey) {
        self.doubt_mut(key).on_announced();
    }

    /// Records that a server has shown, asked at `asked_at`, that it is the run that was announced.
    pub fn on_run_shown(&mut self, key: ServerKey, asked_at: Duration) {
        let doubt = self.doubt_mut(key);
        doubt.shown_at = doubt.shown_at.max(Some(asked_at));
        doubt.not_shown_at = None;
        doubt.is_newly_announced = false;
        self.availability.on_run_shown(key, asked_at);
    }

    /// Records that a server was asked and has not shown that it is the run that was announced.
    pub fn on_run_not_shown(&mut self, key: ServerKey, now: Duration) {
        let doubt = self.doubt_mut(key);
        doubt.not_shown_at = Some(now);
        doubt.is_newly_announced = false;
    }

    /// Records that a server has shown that it is another run than was announced. The other routers are told.
    pub fn on_other_run(&mut self, key: ServerKey, now: Duration) {
        let doubt = self.doubt_mut(key);
        doubt.latest_reason = Some(now);
        doubt.not_shown_at = Some(now);
        doubt.is_newly_announced = false;
        self.on_crash(key, now);
        self.unreported_losses.insert(key);
    }

    /// Returns whether a server is of this version, and cannot have started again as another one.
    #[must_use]
    pub fn is_surely(&self, key: ServerKey, version: &str, now: Duration) -> bool {
        let server = self.registry.get(key);
        server.is_some_and(|server| server.software_version == version)
            && self.doubt_left(key, now).is_none()
    }

    /// Whether a server is to be asked which run it is before a stream begins there. An announcement may be
    /// older than the run, as in a store that comes back.
    #[must_use]
    pub fn is_to_be_asked(&self, key: ServerKey, now: Duration) -> bool {
        let state = self.states.get(&key);
        state.is_some_and(|state| state.doubt.is_newly_announced)
            || self.doubt_left(key, now).is_some()
    }

    /// Records that this router has stood still or was cut off, and may have missed that servers have
    /// started again.
    pub fn on_out_of_step(&mut self, now: Duration) {
        self.out_of_step_at = Some(now);
    }

    /// Returns for how long a server may be another version than it has announced, because it may have
    /// started again. While the list of servers is not current, that does not end.
    pub(crate) fn doubt_left(&self, key: ServerKey, now: Duration) -> Option<Duration> {
        let doubt = self.states.get(&key).map(|state| &state.doubt);
        let is_open = |at: &Duration| doubt.is_none_or(|doubt| doubt.is_open(*at));
        let raised_at = doubt.and_then(|doubt| doubt.latest_reason).filter(is_open);
        let out_of_step_at = self.out_of_step_at.filter(is_open);
        let until = raised_at
            .map(|at| at + ANNOUNCEMENT_LAG)
            .max(out_of_step_at.map(|at| at + RESYNC_TIME))?;
        let left = until.saturating_sub(now);
        match (left.is_zero(), self.registry.is_current()) {
            (true, true) => None,
            (true, false) => Some(MIN_DOUBT),
            (false, _) => Some(left),
        }
    }

    /// Whether a server that may be another version by now can be asked whether it is the run that was
    /// announced.
    pub(crate) fn may_ask(&self, server: &Server, now: Duration) -> bool {
        let state = self.states.get(&server.key);
        let not_shown_at = state.and_then(|state| state.doubt.not_shown_at);
        server.started_unix_ms.is_some()
            && not_shown_at.is_none_or(|at| now >= at + MIN_ASK_INTERVAL)
    }

    fn doubt_mut(&mut self, key: ServerKey) -> &mut Doubt {
        let state = self.states.entry(key).or_insert_with(ServerState::new);
        &mut state.doubt
    }
}
