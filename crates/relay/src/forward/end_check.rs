//! Whether a backend server runs on after it has ended a response with its connection.

use {
    super::{
        active_connection::ActiveConnection,
        load_guard::LoadGuard,
        run_check::{RunCheck, ask_run},
    },
    crate::core::Core,
    baobab_place::{ConnectionLimits, Server},
    std::{rc::Rc, time::Duration},
    tokio::time::{Instant, sleep, sleep_until, timeout_at},
};

/// Time after which the server is asked. A process that ends may close its connections one after the other,
/// and answer on those that are still open.
const SETTLE_TIME: Duration = Duration::from_millis(20);
/// Time allowed for the answer. A sound server may be silent for about a second.
const ANSWER_TIMEOUT: Duration = Duration::from_millis(1200);
/// Length of a request's body from which its server may have responded before it had read it whole. A shorter one
/// is usually read at once.
const LONG_REQUEST_BYTES: u64 = 16 * 1024;
/// Time after the end of the response to a long request in which the server may reset the connection, since it
/// has not read the request. Seen were 0.3 s.
const RESET_TIME: Duration = Duration::from_millis(400);
/// Time that is left to pass a response on that ends just before its deadline.
const DEADLINE_MARGIN: Duration = Duration::from_millis(5);

/// The response whose end is checked.
#[derive(Debug, Clone)]
pub struct EndedResponse {
    /// Server that sent it, as it was announced then.
    pub server: Server,
    /// Limits on this router's connections to the server.
    pub limits: ConnectionLimits,
    /// When its head arrived.
    pub began_at: Instant,
    /// When it has to be passed on.
    pub deadline: Instant,
    /// Length of the request's body.
    pub request_bytes: u64,
}

impl EndedResponse {
    /// Describes a response to a request with a body of this length.
    #[must_use]
    pub fn of(load_guard: &LoadGuard, began_at: Instant, request_bytes: u64) -> Self {
        Self {
            server: load_guard.server.clone(),
            limits: load_guard.limits,
            began_at,
            deadline: load_guard.deadline,
            request_bytes,
        }
    }

    /// Whether its server may have responded before it had read the request whole.
    #[must_use]
    pub fn may_be_early(&self) -> bool {
        self.request_bytes >= LONG_REQUEST_BYTES
    }

    fn decide_at(&self) -> Instant {
        self.deadline - DEADLINE_MARGIN
    }
}

/// Returns whether the server of a response that has ended with its connection runs on. After a long request,
/// waits until it would have reset the connection.
pub async fn check_end(core: Rc<Core>, ended: EndedResponse) -> bool {
    let reset_by = (Instant::now() + RESET_TIME).min(ended.decide_at());
    let may_be_early = ended.may_be_early();
    let runs_on = runs_on(core, ended).await;
    if runs_on && may_be_early {
        sleep_until(reset_by).await;
    }
    runs_on
}

/// Returns whether the server of a response that has ended with its connection runs on, by asking it. A
/// process that ends closes its connections, too. What is not known by the deadline counts in the response's
/// favour.
pub async fn runs_on(core: Rc<Core>, ended: EndedResponse) -> bool {
    let since = core.now();
    let check = async {
        sleep(SETTLE_TIME).await;
        // The process at the other end of an older connection is the one that sent the response.
        if is_open_on_idle(&core, &ended).await {
            return true;
        }
        match ask_on_new(&core, &ended).await {
            Some(RunCheck::Announced) => true,
            Some(RunCheck::Unknown) => !core.overload.borrow().has_paused_since(since),
            _ => false,
        }
    };
    let runs_on = timeout_at(ended.decide_at(), check).await.unwrap_or(true);
    if !runs_on {
        log::info!(server = ended.server.id.as_str(); "server may have ended");
    }
    runs_on
}

/// Asks over an idle connection that is older than the response, if there is one. Returns whether the server
/// has answered, or left the connection open.
async fn is_open_on_idle(core: &Rc<Core>, ended: &EndedResponse) -> bool {
    let server = &ended.server;
    let Some((connection, announced)) = core.pool.take_older(server.key, ended.began_at) else {
        return false;
    };
    let mut active = ActiveConnection::new(core, server.key, connection, true);
    let run_check = ask_run(core, server, &mut active, ANSWER_TIMEOUT).await;
    if run_check == RunCheck::Failed {
        return !active.is_closed();
    }
    if !active.is_closed()
        && let Some(connection) = active.release()
    {
        core.pool
            .put(server.key, connection, announced, ended.limits);
    }
    true
}

/// Asks over a new connection, which is closed after that: the server may serve one at a time. Returns none
/// if it accepts none.
async fn ask_on_new(core: &Rc<Core>, ended: &EndedResponse) -> Option<RunCheck> {
    let server = &ended.server;
    core.metrics.connections.on_open(&server.service);
    let opened = core.pool.open(server, ended.limits.max_busy).await;
    let mut active = ActiveConnection::new(core, server.key, opened.ok()?, false);
    Some(ask_run(core, server, &mut active, ANSWER_TIMEOUT).await)
}
