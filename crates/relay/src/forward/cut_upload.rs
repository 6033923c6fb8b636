//! Servers that close the connection before they have read the request.

use {
    super::end_check::{EndedResponse, runs_on},
    crate::core::Core,
    std::{rc::Rc, time::Duration},
    tokio::time::Instant,
};

/// Time within which the server must show that it runs on.
const CHECK_TIME: Duration = Duration::from_secs(2);

/// Finds out whether the server has ended, and calls `on_ended` if so. A server that answers others has not
/// crashed: it may close connections to refuse long requests, which are sent again.
pub fn check_cut_upload(
    core: &Rc<Core>,
    ended: EndedResponse,
    on_ended: impl FnOnce(&Core) + 'static,
) {
    let core = Rc::clone(core);
    tokio::task::spawn_local(async move {
        let server = ended.server.key;
        let deadline = Instant::now() + CHECK_TIME;
        let ended = EndedResponse { deadline, ..ended };
        if !runs_on(Rc::clone(&core), ended).await {
            let now = core.now();
            core.placer.borrow_mut().on_request_lost(server, now);
            on_ended(&core);
        }
    });
}
