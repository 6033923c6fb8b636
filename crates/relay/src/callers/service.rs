//! Serves one request of a caller.

use {
    super::{
        admit::admit,
        answer::{AnswerBody, ServiceResult, problem_answer, server_answer},
        gauge::Busy,
        under_way::UnderWay,
    },
    crate::{
        core::{Core, Phase},
        forward::{
            Attempts, Job, Problem, Reason, Reply, RetryLoad, StreamBody, dispatch, retry_after,
        },
    },
    baobab_unit::millis,
    bytes::{Bytes, BytesMut},
    http::{HeaderValue, Request, Response, header::CONNECTION},
    http_body_util::BodyExt,
    hyper::body::{Body, Incoming},
    std::{cell::RefCell, rc::Rc, time::Duration},
    tokio::time::{Instant, timeout_at},
};

/// When to come back to a router whose memory is full.
const MEMORY_PAUSE: Duration = Duration::from_millis(300);

/// Serves a request; failures become answers.
pub async fn serve(core: Rc<Core>, request: Request<Incoming>, busy: Busy) -> ServiceResult {
    let arrived = Instant::now();
    let (head, body) = request.into_parts();
    let request_headers = core.header_codec.decode_request(&head.headers);
    let id = request_headers
        .as_ref()
        .ok()
        .map(|request_headers| request_headers.id.clone());
    let mut under_way = UnderWay::begin(&core, id);
    let admitted = request_headers
        .map_err(|_| Problem::new(Reason::BadRequest))
        .and_then(|request_headers| admit(&core, head, request_headers, arrived));
    let result = match admitted {
        Ok(job) => run(&core, job, body, &mut under_way).await,
        Err(problem) => Err(problem),
    };
    under_way.on_answer();
    let mut answer = match result {
        Ok(answer) => answer,
        Err(problem) => {
            note_refusal(&core, &problem, under_way.id());
            problem_answer(&problem)
        }
    };
    if core.phase.get() != Phase::Serving
        || core.is_crowded()
        || core.overload.borrow().is_congested()
    {
        answer
            .headers_mut()
            .insert(CONNECTION, HeaderValue::from_static("close"));
    }
    Ok(answer.map(|body| body.hold(busy, under_way)))
}

async fn run(
    core: &Rc<Core>,
    mut job: Job,
    body: Incoming,
    under_way: &mut UnderWay,
) -> Result<Response<AnswerBody>, Problem> {
    let ends_at = job.ends_at;
    match timeout_at(ends_at, read_body(core, body, under_way)).await {
        Ok(Ok(body)) => job.body = RefCell::new(body),
        Ok(Err(problem)) => return Err(problem),
        Err(_) => return Err(Problem::new(Reason::BodyTooSlow)),
    }
    core.count_request(&job.service);
    // A request that comes back was counted when it came first.
    if let Some(caller) = &job.caller
        && !job.is_late
    {
        core.shares
            .borrow_mut()
            .claim(caller.workspace, job.claim_tokens());
    }
    let job = Rc::new(job);
    let mut attempts = Attempts::default();
    let result = timeout_at(ends_at, dispatch(core, &job, &mut attempts, None)).await;
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
        Ok(Ok(Reply::Whole(head, body))) => {
            log::info!(
                id = job.id.as_str(),
                status = head.status.as_u16(),
                total_ms = millis(job.arrived.elapsed());
                "answer is complete"
            );
            Ok(server_answer(head, AnswerBody::whole(body)))
        }
        Ok(Ok(Reply::Stream(head, exchange))) => {
            let stream = StreamBody::new(core, &job, attempts, exchange);
            Ok(server_answer(head, AnswerBody::stream(stream)))
        }
        Ok(Err(problem)) => Err(problem),
        Err(_) => Err(timeout_problem(core, &job)),
    }
}

async fn read_body(
    core: &Rc<Core>,
    mut body: Incoming,
    under_way: &mut UnderWay,
) -> Result<Bytes, Problem> {
    let (configuration, _) = core.configuration();
    let most = configuration.map_or(0, |configuration| configuration.limits.body_bytes);
    let too_large = || Problem::new(Reason::BodyTooLarge);
    if body.size_hint().lower() > most as u64 {
        return Err(too_large());
    }
    let mut whole = BytesMut::new();
    while let Some(frame) = body.frame().await {
        let frame = frame.map_err(|_| Problem::new(Reason::BadRequest))?;
        let Ok(data) = frame.into_data() else {
            continue;
        };
        if whole.len() + data.len() > most {
            return Err(too_large());
        }
        if !under_way.hold(data.len()) {
            let pause = retry_after(
                RetryLoad::Passing(MEMORY_PAUSE),
                MEMORY_PAUSE * 6,
                core.fraction(),
            );
            return Err(Problem::later(Reason::NoMemory, pause));
        }
        whole.extend_from_slice(&data);
    }
    Ok(whole.freeze())
}

fn timeout_problem(core: &Core, job: &Job) -> Problem {
    if job.was_sent.get() {
        return Problem::new(Reason::Timeout);
    }
    let load = RetryLoad::Busy {
        room_in: Duration::ZERO,
    };
    Problem::later(
        Reason::TimeoutUnsent,
        retry_after(load, job.route.timeout, core.fraction()),
    )
}

fn note_refusal(core: &Core, problem: &Problem, id: Option<&str>) {
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
