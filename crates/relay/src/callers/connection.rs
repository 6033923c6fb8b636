//! Serves one caller's connection.

use {
    super::{
        activity::{ConnectionActivity, TrackedStream},
        service,
    },
    crate::core::{Core, Phase},
    http::{Request, Version},
    hyper::{body::Incoming, server::conn::http1, service::service_fn},
    hyper_util::rt::TokioIo,
    std::{cell::Cell, pin::Pin, rc::Rc, time::Duration},
    tokio::{net::TcpStream, task::yield_now, time::sleep},
};

/// Interval of checks of a connection's limits.
const CHECK_INTERVAL: Duration = Duration::from_millis(500);
/// Maximum size of a head before a configuration is received.
const DEFAULT_HEAD_BYTES: usize = 16 * 1024;
/// Smallest read buffer that `hyper` accepts.
const MIN_BUFFER_BYTES: usize = 8 * 1024;
/// How long bytes sent to a caller may stay unacknowledged.
const USER_TIMEOUT: Duration = Duration::from_secs(5);

/// Idle timeout while connections run short.
const LOW_CONNECTIONS_IDLE_TIMEOUT: Duration = Duration::from_millis(500);

/// Result of a check of a connection's limits.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum LimitCheck {
    WithinLimits,
    CloseGracefully,
    Abort,
}

/// Counts a connection as unread until it is dropped.
struct UnreadGuard(Rc<Core>);

impl UnreadGuard {
    fn count(core: &Rc<Core>) -> Self {
        core.metrics.load.unread_connections.inc();
        Self(Rc::clone(core))
    }
}

impl Drop for UnreadGuard {
    fn drop(&mut self) {
        self.0.metrics.load.unread_connections.dec();
    }
}

/// Serves a connection until it ends.
pub async fn run(core: Rc<Core>, stream: TcpStream) {
    if let Err(error) = baobab_client::configure_socket(&stream, USER_TIMEOUT) {
        log::info!("cannot set the socket options of a caller's connection: {error}");
        return;
    }
    let activity = ConnectionActivity::new();
    let unread = Cell::new(Some(UnreadGuard::count(&core)));
    let io = TokioIo::new(TrackedStream::new(stream, Rc::clone(&activity)));
    let service_core = Rc::clone(&core);
    let service_activity = Rc::clone(&activity);
    let service = service_fn(move |request: Request<Incoming>| {
        unread.take();
        if request.version() == Version::HTTP_10 {
            service_activity.on_http_1_0();
        }
        let busy = service_activity.begin_request();
        service::serve(Rc::clone(&service_core), request, busy)
    });
    let mut connection = http1::Builder::new()
        .max_buf_size(head_bytes(&core).max(MIN_BUFFER_BYTES))
        .serve_connection(io, service);
    let result = loop {
        tokio::select! {
            biased;
            result = &mut connection => break result,
            () = sleep(CHECK_INTERVAL) => {}
        }
        if check_limits(&core, &activity) == LimitCheck::WithinLimits {
            continue;
        }
        // After a pause of the thread, timers can expire before the runtime has seen the bytes that
        // were received meanwhile. A yield makes it look for them.
        tokio::select! {
            biased;
            result = &mut connection => break result,
            () = yield_now() => {}
        }
        match check_limits(&core, &activity) {
            LimitCheck::WithinLimits => {}
            LimitCheck::CloseGracefully => Pin::new(&mut connection).graceful_shutdown(),
            LimitCheck::Abort => return,
        }
    };
    // Other errors are on the caller's side; its request is logged separately.
    if result.is_err() && activity.ends_responses() {
        reset(&connection.into_parts().io.into_inner().into_inner());
    }
}

/// Resets a connection, so that a response that ends with it does not look complete.
fn reset(stream: &TcpStream) {
    if let Err(error) = stream.set_zero_linger() {
        log::info!("cannot reset a caller's connection: {error}");
    }
}

fn check_limits(core: &Core, activity: &ConnectionActivity) -> LimitCheck {
    let active_configuration = core.active_configuration.borrow();
    let Some(configuration) = active_configuration.current() else {
        return LimitCheck::WithinLimits;
    };
    let limits = &configuration.limits;
    if activity
        .head_age()
        .is_some_and(|age| age > limits.head_timeout)
    {
        return LimitCheck::Abort;
    }
    let idle_timeout = if core.phase.get() == Phase::Draining {
        Duration::ZERO
    } else if core.is_low_on_connections() {
        LOW_CONNECTIONS_IDLE_TIMEOUT
    } else {
        limits.idle_timeout
    };
    let is_idle = activity.idle_for().is_some_and(|idle| idle > idle_timeout);
    if is_idle {
        LimitCheck::CloseGracefully
    } else {
        LimitCheck::WithinLimits
    }
}

fn head_bytes(core: &Core) -> usize {
    let active_configuration = core.active_configuration.borrow();
    active_configuration
        .current()
        .map_or(DEFAULT_HEAD_BYTES, |configuration| {
            configuration.limits.head_bytes
        })
}
