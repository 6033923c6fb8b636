//! Serves one request of a caller, from its head to its response.

use {
    super::{
        activity::BusyGuard,
        admit::{admit, claim},
        in_flight::InFlight,
        refused_body,
        response::{ResponseBody, ServiceResult, problem_response, server_response},
    },
    crate::{
        core::{Core, Phase},
        forward::{
            Attempts, ForwardedResponse, Job, Problem, Reason, RefusalCause, StreamBody,
            StreamKind, check_quarantine, dispatch, retry_after,
        },
        retries, streams,
    },
    baobab_routing::RetrySafety,
    baobab_unit::millis,
    bytes::{Bytes, BytesMut},
    http::{
        HeaderValue, Request, Response,
        header::{CONNECTION, EXPECT},
    },
    http_body_util::BodyExt,
    hyper::body::{Body, Incoming},
    std::{
        cell::{OnceCell, RefCell},
        rc::Rc,
        time::Duration,
    },
    tokio::time::{Instant, timeout_at},
};

/// Delay before a retry at a router whose memory for bodies is full.
const MEMORY_RETRY_AFTER: Duration = Duration::from_millis(300);

/// Serves a request; failures become error responses.
pub async fn serve(core: Rc<Core>, request: Request<Incoming>, busy: BusyGuard) -> ServiceResult {
    let arrived = Instant::now();
    let (head, mut body) = request.into_parts();
    // A caller that waits for `100 Continue` does not send the body of a refused request.
    let is_body_awaited = !head.headers.contains_key(EXPECT);
    let request_headers = core.header_codec.decode_request(&head.headers);
    let id = request_headers
        .as_ref()
        .ok()
        .map(|request_headers| request_headers.id.clone());
    let mut in_flight = InFlight::begin(&core, id);
    let admitted = request_headers
        .map_err(|_| Problem::new(Reason::BadRequest))
        .and_then(|request_headers| admit(&core, head, request_headers, arrived));
    let result = match admitted {
        Ok(job) => forward_request(&core, job, &mut body, &mut in_flight).await,
        Err(problem) => Err(problem),
    };
    in_flight.on_response();
    let mut response = match result {
        Ok(response) => response,
        Err(problem) => {
            record_refusal(&core, &problem, in_flight.id());
            if is_body_awaited {
                refused_body::discard(&core, body, busy.share());
            }
            problem_response(&problem)
        }
    };
    if core.phase.get() != Phase::Serving
        || core.is_low_on_connections()
        || core.overload.borrow().is_overloaded()
    {
        response
            .headers_mut()
            .insert(CONNECTION, HeaderValue::from_static("close"));
    }
    Ok(response.map(|body| body.with_guards(busy, in_flight)))
}

async fn forward_request(
    core: &Rc<Core>,
    mut job: Job,
    body: &mut Incoming,
    in_flight: &mut InFlight,
) -> Result<Response<ResponseBody>, Problem> {
    let deadline = job.deadline;
    match timeout_at(deadline, read_body(core, body, in_flight)).await {
        Ok(Ok(body)) => job.body = RefCell::new(body),
        Ok(Err(problem)) => return Err(problem),
        Err(_) => return Err(Problem::new(Reason::BodyTooSlow)),
    }
    job.set_content_key();
    check_quarantine(core, &job)?;
    if let Some(stream) = job.take_up
        && job.route.retry_safety == RetrySafety::ResumableStream
    {
        let version = streams::look_up(core, &job, stream.key).await?;
        job.version = OnceCell::from(version);
    }
    retries::on_request(core, &job);
    // A late request was counted at its first attempt, unless a router was too busy to read that.
    let is_counted = job.is_late && !core.overload.borrow().is_overloaded();
    if !is_counted {
        claim(core, &job);
    }
    let job = Rc::new(job);
    let attempts = Attempts::default();
    let result = timeout_at(deadline, dispatch(core, &job, &attempts, None, None)).await;
    core.metrics
        .first_byte
        .observe(job.arrived.elapsed().as_secs_f64());
    let outcome = match &result {
        Ok(Ok(_)) => "answered",
        Ok(Err(problem)) => problem.reason.code(),
        Err(_) => "timeout",
    };
    core.metrics
        .requests
        .with_label_values(&[job.service.as_str(), outcome])
        .inc();
    match result {
        Ok(Ok(ForwardedResponse::Buffered(head, body))) => {
            log::info!(
                id = job.id.as_str(),
                status = head.status.as_u16(),
                total_ms = millis(job.arrived.elapsed());
                "answer is complete"
            );
            Ok(server_response(head, ResponseBody::buffered(body)))
        }
        Ok(Ok(ForwardedResponse::Stream(head, exchange))) => {
            let kind = StreamKind::from(&head);
            let stream = StreamBody::new(core, &job, attempts, exchange, kind);
            Ok(server_response(head, ResponseBody::stream(stream)))
        }
        Ok(Err(problem)) => Err(problem),
        Err(_) => Err(timeout_problem(core, &job)),
    }
}

async fn read_body(
    core: &Rc<Core>,
    body: &mut Incoming,
    in_flight: &mut InFlight,
) -> Result<Bytes, Problem> {
    let (configuration, _) = core.configuration();
    let max_bytes = configuration.map_or(0, |configuration| configuration.limits.body_bytes);
    let too_large = || Problem::new(Reason::BodyTooLarge);
    if body.size_hint().lower() > max_bytes as u64 {
        return Err(too_large());
    }
    let mut buffered = BytesMut::new();
    while let Some(frame) = body.frame().await {
        let frame = frame.map_err(|_| Problem::new(Reason::BadRequest))?;
        let Ok(data) = frame.into_data() else {
            continue;
        };
        if buffered.len() + data.len() > max_bytes {
            return Err(too_large());
        }
        if !in_flight.add_body_bytes(data.len()) {
            let delay = retry_after(
                RefusalCause::Temporary(MEMORY_RETRY_AFTER),
                MEMORY_RETRY_AFTER * 6,
                core.random_fraction(),
            );
            return Err(Problem::with_retry_after(Reason::NoMemory, delay));
        }
        buffered.extend_from_slice(&data);
    }
    Ok(buffered.freeze())
}

fn timeout_problem(core: &Core, job: &Job) -> Problem {
    if job.was_sent() {
        return Problem::new(Reason::Timeout);
    }
    let cause = RefusalCause::Busy {
        available_in: Duration::ZERO,
    };
    Problem::with_retry_after(
        Reason::TimeoutUnsent,
        retry_after(cause, job.route.timeout, core.random_fraction()),
    )
}

fn record_refusal(core: &Core, problem: &Problem, id: Option<&str>) {
    let reason = problem.reason.code();
    core.metrics.refusals.with_label_values(&[reason]).inc();
    let age_ms = core
        .active_configuration
        .borrow()
        .age(baobab_watch::suspension_clock())
        .map(millis);
    log::info!(
        id = id.unwrap_or("-"),
        reason,
        configuration_age_ms:? = age_ms,
        retry_after_ms:? = problem.retry_after.map(millis);
        "request is refused"
    );
}
