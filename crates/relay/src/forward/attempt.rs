//! One sending of a request to one server.

use {
    super::{
        exchange::{Exchange, Keep},
        headers::remove_hop_headers,
        job::Job,
        lease::LoadLease,
    },
    crate::{
        core::Core,
        header_codec::{ForwardHeaders, ResponseOrigin},
        pool::{OpenError, Trust},
    },
    baobab_client::{Connection, SendError},
    baobab_place::{Placement, ServerOutcome},
    baobab_routing::RetrySafety,
    http::{Request, header::CONNECTION, response},
    http_body_util::Full,
    hyper::body::Incoming,
    quick_error::quick_error,
    std::{net::SocketAddr, rc::Rc, time::Duration},
    tokio::time::timeout,
};

/// The head of an answer, and the way to the rest.
pub struct Answer {
    /// Status and headers.
    pub head: response::Parts,
    /// The rest.
    pub exchange: Exchange,
}

quick_error! {
    /// Why an attempt has no answer.
    #[derive(Debug)]
    pub enum Miss {
        /// Nothing was sent.
        NotSent(reason: String) {
            display("nothing was sent: {reason}")
        }
        /// The router's connections to the server are all in use.
        NoConnection(most: usize) {
            display("all {most} connections to the server are in use")
        }
        /// The server says that it has not run the request.
        NotRun {
            display("the server has not run the request")
        }
        /// Another server is at the address; the request has not run.
        WrongServer {
            display("another server is at the address")
        }
        /// The request may have run.
        Lost(reason: String) {
            display("the request may have run: {reason}")
        }
        /// The server has not answered for so long that another one should.
        Stalled {
            display("the server is silent")
        }
    }
}

impl Miss {
    /// Tells whether the server may have run the request.
    #[must_use]
    pub fn may_have_run(&self) -> bool {
        matches!(self, Self::Lost(_) | Self::Stalled)
    }
}

/// Sends a request to the chosen server and waits for the head of its answer, for `stall` at most
/// where that is set.
pub async fn attempt(
    core: &Rc<Core>,
    job: &Job,
    placement: Placement,
    resume_after: Option<&str>,
    stall: Option<Duration>,
) -> Result<Answer, Miss> {
    let fetch_from = placement.fetch_from;
    let lease = LoadLease::take(core, placement, job);
    if fetch_from.is_some() {
        core.metrics
            .fetches
            .with_label_values(&[job.service.as_str()])
            .inc();
    }
    let sending = send(core, job, &lease, fetch_from, resume_after);
    let result = match stall {
        Some(stall) => match timeout(stall, sending).await {
            Ok(result) => result,
            Err(_) => Err(Miss::Stalled),
        },
        None => sending.await,
    };
    match result {
        Ok((in_use, head, body)) => judge(core, job, lease, in_use, head, body),
        Err(miss) => {
            let outcome = match miss {
                Miss::NotSent(_) => ServerOutcome::Unreachable,
                Miss::NoConnection(_) => ServerOutcome::Full,
                _ => ServerOutcome::Failure,
            };
            lease.finish(outcome);
            Err(miss)
        }
    }
}

async fn send(
    core: &Rc<Core>,
    job: &Job,
    lease: &LoadLease,
    fetch_from: Option<SocketAddr>,
    resume_after: Option<&str>,
) -> Result<(InUse, response::Parts, Incoming), Miss> {
    let server = &lease.server;
    let mut kept = core.pool.take(server.key, trust(job.route.retry_safety));
    loop {
        let was_kept = kept.is_some();
        let connection = match kept.take() {
            Some(connection) => connection,
            None => open(core, lease).await?,
        };
        let mut in_use = InUse::new(core, lease, connection);
        let request = request(core, job, lease, fetch_from, resume_after);
        job.was_sent.set(true);
        match in_use.send(request).await {
            Ok(answer) => {
                let (head, body) = answer.into_parts();
                return Ok((in_use, head, body));
            }
            // A kept connection that was closed meanwhile; nothing was sent on it.
            Err(SendError::NotSent(_)) if was_kept => {}
            Err(SendError::NotSent(reason)) => return Err(Miss::NotSent(reason)),
            Err(SendError::Lost(reason)) => return Err(Miss::Lost(reason)),
        }
    }
}

async fn open(core: &Rc<Core>, lease: &LoadLease) -> Result<Connection, Miss> {
    core.metrics
        .connections
        .with_label_values(&[lease.server.service.as_str()])
        .inc();
    core.pool
        .open(&lease.server, lease.limits.max_busy)
        .await
        .map_err(|error| match error {
            OpenError::AllInUse(most) => Miss::NoConnection(most),
            OpenError::Refused(error) => Miss::NotSent(error.to_string()),
        })
}

fn trust(retry_safety: RetrySafety) -> Trust {
    match retry_safety {
        RetrySafety::Idempotent | RetrySafety::ResumableStream => Trust::Kept,
        RetrySafety::Stream => Trust::Recent,
        RetrySafety::Once => Trust::New,
    }
}

fn request(
    core: &Core,
    job: &Job,
    lease: &LoadLease,
    fetch_from: Option<SocketAddr>,
    resume_after: Option<&str>,
) -> Request<Full<bytes::Bytes>> {
    let mut request = Request::new(Full::new(job.body.borrow().clone()));
    *request.method_mut() = job.method.clone();
    *request.uri_mut() = job.uri.clone();
    *request.headers_mut() = job.headers.clone();
    let forward_headers = ForwardHeaders {
        timeout: Some(job.time_left()),
        server: &lease.server.id,
        workspace: job.caller.as_ref().map(|caller| caller.name.as_str()),
        fetch_from,
        resume_after,
    };
    core.header_codec
        .encode_request(request.headers_mut(), &forward_headers);
    request
}

fn judge(
    core: &Rc<Core>,
    job: &Job,
    lease: LoadLease,
    mut in_use: InUse,
    mut head: response::Parts,
    body: Incoming,
) -> Result<Answer, Miss> {
    let origin = core.header_codec.classify_response(&job.id, &head);
    let keep = keep(&head);
    let miss = match origin {
        ResponseOrigin::Genuine => {
            remove_hop_headers(&mut head.headers);
            let Some(connection) = in_use.release() else {
                return Err(Miss::Lost("the connection is gone".to_owned()));
            };
            let exchange = Exchange::new(core, connection, body, lease, keep);
            return Ok(Answer { head, exchange });
        }
        ResponseOrigin::NotRun => Miss::NotRun,
        ResponseOrigin::WrongServer => Miss::WrongServer,
        ResponseOrigin::Foreign => Miss::Lost("an answer to another request".to_owned()),
    };
    // The connection is closed: what else arrives on it belongs to no request.
    drop(in_use);
    lease.finish(match miss {
        Miss::NotRun => ServerOutcome::Full,
        Miss::WrongServer => ServerOutcome::Unreachable,
        _ => ServerOutcome::Failure,
    });
    Err(miss)
}

fn keep(head: &response::Parts) -> Keep {
    let closes = head
        .headers
        .get_all(CONNECTION)
        .iter()
        .filter_map(|value| value.to_str().ok())
        .any(|value| value.to_ascii_lowercase().contains("close"));
    if closes {
        return Keep::Close;
    }
    let time = head
        .headers
        .get("keep-alive")
        .and_then(|value| value.to_str().ok())
        .and_then(|value| value.split("timeout=").nth(1))
        .and_then(|value| value.split(',').next())
        .and_then(|value| value.trim().parse().ok())
        .map(Duration::from_secs);
    Keep::Reuse(time)
}

/// A connection in use. Dropping it closes it and gives its place back.
struct InUse {
    core: Rc<Core>,
    server: baobab_place::ServerKey,
    connection: Option<Connection>,
}

impl InUse {
    fn new(core: &Rc<Core>, lease: &LoadLease, connection: Connection) -> Self {
        Self {
            core: Rc::clone(core),
            server: lease.server.key,
            connection: Some(connection),
        }
    }

    async fn send(
        &mut self,
        request: Request<Full<bytes::Bytes>>,
    ) -> Result<http::Response<Incoming>, SendError> {
        match &mut self.connection {
            Some(connection) => connection.send(request).await,
            None => Err(SendError::NotSent("the connection is gone".to_owned())),
        }
    }

    fn release(&mut self) -> Option<Connection> {
        self.connection.take()
    }
}

impl Drop for InUse {
    fn drop(&mut self) {
        if self.connection.take().is_some() {
            self.core.pool.discard(self.server);
        }
    }
}
