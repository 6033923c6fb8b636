//! Admits a request to a server within its workspace's share, or refuses it.

use {
    super::{
        attempts::Attempts,
        job::Job,
        problem::{Problem, Reason},
        retry_after::{RefusalCause, retry_after},
    },
    crate::{
        core::Core,
        gossip::Owned,
        idle_connections::ConnectionReuse,
        limits::{self, Permit},
        loads, streams,
    },
    baobab_place::{
        AdmissionClass, CallerAttempt, Congestion, Placement, PlacementError, ShareBasis,
        SoftwareVersion,
    },
    baobab_quarantine::Verdict,
    baobab_routing::RetrySafety,
    baobab_unit::millis,
    std::{rc::Rc, time::Duration},
    tokio::time::{Instant, sleep_until, timeout_at},
};

/// Fraction of the objective for which a request may wait for capacity: beyond an eighth, waiting
/// costs the caller more than an early refusal.
const MAX_WAIT_OBJECTIVE_FRACTION: f64 = 0.115;
/// Delay before another sample of servers is asked for their load.
const NEXT_SAMPLE_DELAY: Duration = Duration::from_millis(15);
/// Maximum number of samples for a request within its workspace's share.
const MAX_SAMPLES: u32 = 3;
/// Permits for servers with a limit that are refused to a request that can't wait any longer, before it
/// goes to others only.
const MAX_REFUSED_PERMITS: u32 = 3;
/// Delay before a retry if no server can be used: about the interval between announcements.
const NO_SERVER_RETRY_AFTER: Duration = Duration::from_millis(700);
/// Delay before a retry if all servers are evacuated. That ends when operators return a domain to service.
const EVACUATED_RETRY_AFTER: Duration = Duration::from_secs(2);

/// Chooses a server; waits briefly if none has capacity.
pub async fn place(core: &Rc<Core>, job: &Job, attempts: &Attempts) -> Result<Placement, Problem> {
    // The first attempt was checked when the request arrived.
    if attempts.sent() > 0 {
        check_quarantine(core, job)?;
    }
    let wait_until = job.arrived + job.route.objective.mul_f64(MAX_WAIT_OBJECTIVE_FRACTION);
    let mut round = 0;
    let mut refused_permits = 0;
    loop {
        let admission_class = admission_class(core, job);
        let tried = attempts.tried();
        let beginning = beginning(core, job);
        let reuse = ConnectionReuse::from(job.route.retry_safety);
        let request = job.placement_request(
            &core.settings.domain,
            &tried,
            admission_class,
            may_ask_permit(core, refused_permits, wait_until),
            &beginning,
        );
        let asks_owners = loads::asks_owners(core);
        core.metrics.load.placements.inc();
        let result = if asks_owners {
            loads::place(core, &request, round, reuse).await
        } else {
            core.placer.borrow().place(&request, core.now())
        };
        match result {
            Ok(mut placement) => {
                let priority = core.placer.borrow().permit_priority(&request);
                let asked_at = core.now();
                let permit = limits::take_permit(core, job, &placement.server, priority).await;
                if permit == Permit::Refused {
                    refused_permits += 1;
                } else {
                    placement.permit_asked_at = (permit == Permit::Granted).then_some(asked_at);
                    charge(core, job, admission_class);
                    return Ok(placement);
                }
            }
            Err(PlacementError::NoServer) if job.version.get().is_some() => {
                return Err(streams::hopeless(Reason::VersionGone, job.time_left()));
            }
            Err(PlacementError::NoServer) => {
                return Err(temporary(
                    core,
                    job,
                    Reason::NoServer,
                    NO_SERVER_RETRY_AFTER,
                ));
            }
            Err(PlacementError::Evacuated) => return Err(evacuated(core, job)),
            Err(PlacementError::Unverified(left)) => {
                return Err(temporary(core, job, Reason::Unverified, left));
            }
            Err(PlacementError::BackingOff(backoff)) => {
                return Err(backing_off(core, job, backoff));
            }
            Err(PlacementError::Limited(wait)) => {
                round += 1;
                if asks_owners && round < max_samples(core, admission_class) {
                    continue;
                }
                let retry_at = Instant::now() + wait;
                // No wait: the servers with a limit were left out.
                if wait.is_zero() || retry_at >= wait_until {
                    return Err(limited(core, job, admission_class, wait));
                }
                sleep_until(retry_at).await;
            }
            Err(PlacementError::Busy(congestion)) => {
                round += 1;
                let is_last = asks_owners && round >= max_samples(core, admission_class);
                if is_last || Instant::now() >= wait_until {
                    return Err(refusal(
                        core,
                        job,
                        admission_class,
                        congestion,
                        refused_permits,
                    ));
                }
                if asks_owners {
                    sleep_until(wait_until.min(Instant::now() + NEXT_SAMPLE_DELAY)).await;
                } else {
                    let _ = timeout_at(wait_until, core.capacity_freed.notified()).await;
                }
            }
        }
    }
}

/// Refuses a request for a reason that is expected to last for `time`.
fn temporary(core: &Core, job: &Job, reason: Reason, time: Duration) -> Problem {
    let cause = RefusalCause::Temporary(time);
    let delay = retry_after(cause, job.time_left(), core.random_fraction());
    Problem::with_retry_after(reason, delay)
}

/// Refuses a request that crashes servers, or whose prompt has a part that crashes engines.
pub fn check_quarantine(core: &Core, job: &Job) -> Result<(), Problem> {
    let parts = job.suspect_parts();
    let now = core.now();
    let is_owner = |part| {
        core.peer_directory
            .borrow()
            .owner(Owned::Part(part), now)
            .is_none()
    };
    let verdict = core
        .evidence
        .borrow_mut()
        .check(job.workspace(), &parts, is_owner, now);
    match verdict {
        Verdict::Pass => Ok(()),
        Verdict::Probe(part) => {
            log::info!(id = job.id.as_str(), part; "request probes what is quarantined");
            Ok(())
        }
        Verdict::Held { part, remaining } => {
            log::info!(
                id = job.id.as_str(),
                workspace = job.workspace_name(),
                part,
                remaining_ms = millis(remaining);
                "request is quarantined"
            );
            let reason = if part == job.content_key.get() {
                Reason::RequestQuarantined
            } else {
                Reason::Quarantined
            };
            Err(Problem::with_retry_after(reason, remaining))
        }
    }
}

/// Returns whether a request may go to a server that has named a limit. The answers of the servers'
/// owners would reach an overloaded router late.
fn may_ask_permit(core: &Core, refused_permits: u32, wait_until: Instant) -> bool {
    !core.overload.borrow().is_overloaded()
        && (refused_permits < MAX_REFUSED_PERMITS || Instant::now() < wait_until)
}

/// Returns how many samples of servers are asked for a request. Each costs a dozen datagrams, which
/// a flood would multiply: requests beyond the share, late ones and those at an overloaded router
/// get one.
fn max_samples(core: &Core, admission_class: AdmissionClass) -> u32 {
    let is_spare = matches!(
        admission_class,
        AdmissionClass::Late | AdmissionClass::BeyondShare { .. }
    );
    if is_spare || core.overload.borrow().is_overloaded() {
        1
    } else {
        MAX_SAMPLES
    }
}

/// Refuses a request at once: all servers that could run it are in evacuated failure domains.
fn evacuated(core: &Core, job: &Job) -> Problem {
    log::info!(
        id = job.id.as_str(),
        service = job.service.as_str();
        "all servers are in evacuated failure domains"
    );
    let cause = RefusalCause::Temporary(EVACUATED_RETRY_AFTER);
    let delay = retry_after(cause, job.time_left(), core.random_fraction());
    Problem::with_retry_after(Reason::NoServer, delay)
}

/// Refuses a request at once: no server of the service takes any for `backoff`.
fn backing_off(core: &Core, job: &Job, backoff: Duration) -> Problem {
    log::info!(
        id = job.id.as_str(),
        service = job.service.as_str(),
        backoff_ms = millis(backoff);
        "all servers have asked for no requests"
    );
    let cause = RefusalCause::Busy {
        available_in: backoff,
    };
    let delay = retry_after(cause, job.time_left(), core.random_fraction());
    Problem::with_retry_after(Reason::BackingOff, delay.max(backoff))
}

/// Refuses a request at once: the limits that the servers have named leave none for `wait`.
fn limited(core: &Core, job: &Job, admission_class: AdmissionClass, wait: Duration) -> Problem {
    log::info!(
        id = job.id.as_str(),
        service = job.service.as_str(),
        workspace = job.workspace_name(),
        standing:? = admission_class,
        wait_ms = millis(wait);
        "limits of all servers are used up"
    );
    let cause = RefusalCause::Busy { available_in: wait };
    let delay = retry_after(cause, job.time_left(), core.random_fraction());
    Problem::with_retry_after(Reason::Limited, delay.max(wait))
}

fn admission_class(core: &Core, job: &Job) -> AdmissionClass {
    let attempt = match (job.take_up, job.is_late) {
        (Some(_), _) => CallerAttempt::TakeUp,
        (None, true) => CallerAttempt::Late,
        (None, false) => CallerAttempt::First,
    };
    core.shares
        .borrow()
        .admission_class(job.workspace(), attempt)
}

/// Returns the versions that may begin the stream of a request.
fn beginning(core: &Core, job: &Job) -> Vec<SoftwareVersion> {
    if job.route.retry_safety != RetrySafety::ResumableStream || job.version.get().is_some() {
        return Vec::new();
    }
    core.streams.borrow().origins.beginning(&job.service)
}

/// Charges a request to its workspace, only once for all attempts.
fn charge(core: &Core, job: &Job, admission_class: AdmissionClass) {
    let Some(caller) = &job.caller else {
        return;
    };
    if job.charged_as.get().is_none() {
        core.shares
            .borrow_mut()
            .charge(caller.workspace, job.claim_tokens(), admission_class);
        job.charged_as.set(Some(admission_class));
    }
}

/// Refunds the charge of a request that has not run. Otherwise an outage of several servers
/// would look like a rise in served tokens.
pub fn refund(core: &Core, job: &Job) {
    if let (Some(caller), Some(admission_class)) = (&job.caller, job.charged_as.take()) {
        core.shares
            .borrow_mut()
            .refund(caller.workspace, job.claim_tokens(), admission_class);
    }
}

/// Returns what decided the standing of the job's workspace.
pub fn share_basis(core: &Core, job: &Job) -> ShareBasis {
    core.shares.borrow().basis(job.workspace())
}

fn refusal(
    core: &Core,
    job: &Job,
    admission_class: AdmissionClass,
    congestion: Congestion,
    refused_permits: u32,
) -> Problem {
    let basis = share_basis(core, job);
    log::info!(
        id = job.id.as_str(),
        workspace = job.workspace_name(),
        claim_tokens = job.claim_tokens(),
        standing:? = admission_class,
        share = basis.share,
        requested = basis.total.requested,
        served = basis.total.served,
        balance = basis.balance,
        is_overloaded = core.overload.borrow().is_overloaded(),
        least_queue_ms = millis(congestion.min_queue),
        late = congestion.late,
        full = congestion.full,
        out_of_memory = congestion.out_of_memory,
        refused_permits,
        time_left_ms = millis(job.time_left()),
        objective_ms = millis(job.route.objective);
        "no engine would answer on time"
    );
    let available_in = congestion.available_in;
    let (reason, cause) = if admission_class.is_beyond_share() {
        (Reason::OverShare, RefusalCause::OverShare)
    } else {
        (Reason::Busy, RefusalCause::Busy { available_in })
    };
    Problem::with_retry_after(
        reason,
        retry_after(cause, job.time_left(), core.random_fraction()),
    )
}
