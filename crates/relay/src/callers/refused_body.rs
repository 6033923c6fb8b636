//! The rest of the body of a request that was refused before its body was in.

use {
    super::activity::BusyGuard,
    crate::core::Core,
    bytes::Bytes,
    http_body_util::BodyExt,
    hyper::body::{Body, Incoming},
    std::time::Duration,
    tokio::{task::spawn_local, time::timeout},
};

/// How long the rest of a refused body is read.
const MAX_READ_DURATION: Duration = Duration::from_secs(2);
/// How much of a refused body is read, as a multiple of the limit for bodies, so that a caller whose
/// body exceeds the limit a little gets its refusal.
const MAX_BODY_LIMITS: usize = 2;
/// How much of a refused body is read before a configuration is received.
const DEFAULT_MAX_BYTES: usize = 1024 * 1024;

/// Reads and drops the rest of `body` while the refusal is sent. Closing the connection instead
/// would reset it if the caller is still sending, and the caller could lose the refusal.
pub fn discard(core: &Core, mut body: Incoming, busy: BusyGuard) {
    if body.is_end_stream() {
        return;
    }
    let (configuration, _) = core.configuration();
    let max_bytes = configuration.map_or(DEFAULT_MAX_BYTES, |configuration| {
        configuration
            .limits
            .body_bytes
            .saturating_mul(MAX_BODY_LIMITS)
    });
    spawn_local(async move {
        let reason = match timeout(MAX_READ_DURATION, read_to_end(&mut body, max_bytes)).await {
            Ok(true) => None,
            Ok(false) => Some("too large"),
            Err(_) => Some("too slow"),
        };
        if let Some(reason) = reason {
            log::info!(reason; "refused body is cut off");
        }
        drop(busy);
    });
}

/// Returns whether `body` ended within `max_bytes`.
async fn read_to_end(body: &mut Incoming, max_bytes: usize) -> bool {
    let mut read_bytes = 0;
    // An error means that the caller has left.
    while let Some(Ok(frame)) = body.frame().await {
        read_bytes += frame.data_ref().map_or(0, Bytes::len);
        if read_bytes > max_bytes {
            return false;
        }
    }
    true
}
