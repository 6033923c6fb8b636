//! Asks a server which run of it is at the other end of a connection.

use {
    super::active_connection::ActiveConnection,
    crate::core::Core,
    baobab_place::Server,
    bytes::{Bytes, BytesMut},
    http::{HeaderValue, Request, StatusCode, header::HOST},
    http_body_util::{BodyExt, Full},
    std::time::Duration,
    tokio::time::timeout,
};

/// Time allowed for the answer, which needs no slot.
const ANSWER_TIMEOUT: Duration = Duration::from_millis(200);
/// Maximum size of an answer.
const MAX_ANSWER_BYTES: usize = 64 * 1024;

/// Which run of a server is at the other end of a connection.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RunCheck {
    /// The announced one.
    Announced,
    /// Another one: the announcement is outdated.
    Other,
    /// It does not say.
    Unknown,
    /// The connection can't be used any more.
    Failed,
}

/// Asks which run is at the other end of a connection, unless that is known: it is the same for as long as
/// the connection is open.
pub async fn check_run(core: &Core, server: &Server, active: &mut ActiveConnection) -> RunCheck {
    if server.started_unix_ms.is_none() {
        return RunCheck::Unknown;
    }
    if active.run().is_some() {
        return compare(server, active);
    }
    match ask_run(core, server, active, ANSWER_TIMEOUT).await {
        // The connection is needed after the answer.
        _ if active.is_closed() => RunCheck::Failed,
        run_check => run_check,
    }
}

/// Asks which run is at the other end of a connection, also if that is known, and so whether it is running.
pub async fn ask_run(
    core: &Core,
    server: &Server,
    active: &mut ActiveConnection,
    answer_timeout: Duration,
) -> RunCheck {
    let answer = timeout(answer_timeout, ask(core, server, active)).await;
    let started = match &answer {
        Ok(Some(answer)) => core.header_codec.decode_report(answer),
        _ => None,
    };
    log::info!(
        server = server.id.as_str(),
        announced:? = server.started_unix_ms,
        started:?,
        has_answered = matches!(answer, Ok(Some(_)));
        "server was asked when it started"
    );
    if let Some(started) = started {
        active.set_run(started);
    }
    match answer {
        Ok(Some(_)) => compare(server, active),
        _ => RunCheck::Failed,
    }
}

fn compare(server: &Server, active: &ActiveConnection) -> RunCheck {
    match (active.run(), server.started_unix_ms) {
        (Some(started), Some(announced)) if started == announced => RunCheck::Announced,
        (Some(_), Some(_)) => RunCheck::Other,
        _ => RunCheck::Unknown,
    }
}

/// Returns the server's report on itself, empty if it has none; or none if it has not answered.
async fn ask(core: &Core, server: &Server, active: &mut ActiveConnection) -> Option<Bytes> {
    let mut request = Request::new(Full::default());
    *request.uri_mut() = core.header_codec.report_uri();
    let host = HeaderValue::from_str(&server.address.to_string()).ok()?;
    request.headers_mut().insert(HOST, host);
    let (head, mut body) = active.send(request).await.ok()?.into_parts();
    let mut answer = BytesMut::new();
    while let Some(frame) = body.frame().await {
        if let Ok(data) = frame.ok()?.into_data() {
            answer.extend_from_slice(&data);
        }
        if answer.len() > MAX_ANSWER_BYTES {
            return None;
        }
    }
    if head.status != StatusCode::OK {
        answer.clear();
    }
    Some(answer.freeze())
}
