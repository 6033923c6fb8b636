//! Finds room for a request, within its workspace's share, or refuses it.

use {
    super::{
        dispatch::Attempts,
        job::Job,
        problem::{Problem, Reason},
        retry_after::{Load, retry_after},
    },
    crate::core::Core,
    baobab_place::{AdmissionClass, Congestion, Placement, PlacementError},
    baobab_unit::millis,
    std::{rc::Rc, time::Duration},
    tokio::time::{Instant, timeout_at},
};

/// Part of the objective for which a request may wait for room: beyond an eighth, waiting costs
/// the caller more than an early refusal.
const HOLD_SHARE: f64 = 0.115;
/// When to come back where no server can be used: about the time between two announcements.
const NO_SERVER_PAUSE: Duration = Duration::from_millis(700);

/// Chooses a server, waiting a little for room.
pub async fn place(core: &Rc<Core>, job: &Job, attempts: &Attempts) -> Result<Placement, Problem> {
    let hold_until = job.arrived + job.route.objective.mul_f64(HOLD_SHARE);
    loop {
        let admission_class = admission_class(core, job);
        let request =
            job.placement_request(&core.settings.domain, &attempts.tried, admission_class);
        let result = core.placer.borrow().place(&request, core.now());
        match result {
            Ok(placement) => {
                charge(core, job, admission_class);
                return Ok(placement);
            }
            Err(PlacementError::NoServer) => {
                let pause = retry_after(
                    Load::Passing(NO_SERVER_PAUSE),
                    job.time_left(),
                    core.fraction(),
                );
                return Err(Problem::later(Reason::NoServer, pause));
            }
            Err(PlacementError::Busy(congestion)) => {
                if Instant::now() >= hold_until {
                    return Err(refusal(core, job, admission_class, congestion));
                }
                let _ = timeout_at(hold_until, core.room.notified()).await;
            }
        }
    }
}

fn admission_class(core: &Core, job: &Job) -> AdmissionClass {
    let admission_class = match &job.caller {
        Some(caller) => core.shares.borrow().admission_class(caller.workspace),
        None => AdmissionClass::Modest,
    };
    if job.is_late && !admission_class.is_beyond_share() {
        return AdmissionClass::Late;
    }
    admission_class
}

/// Charges a request to its workspace, once however often it is sent.
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

/// Gives back what was charged for a request that has not run. Servers that went away together
/// would otherwise look like ones that serve more than ever.
pub fn refund(core: &Core, job: &Job) {
    if let (Some(caller), Some(admission_class)) = (&job.caller, job.charged_as.take()) {
        core.shares
            .borrow_mut()
            .refund(caller.workspace, job.claim_tokens(), admission_class);
    }
}

fn refusal(
    core: &Core,
    job: &Job,
    admission_class: AdmissionClass,
    congestion: Congestion,
) -> Problem {
    log::info!(
        id = job.id.as_str(),
        workspace = job.workspace_name(),
        claim_tokens = job.claim_tokens(),
        standing:? = admission_class,
        least_queue_ms = millis(congestion.min_queue),
        late = congestion.late,
        full = congestion.full,
        out_of_memory = congestion.out_of_memory,
        time_left_ms = millis(job.time_left()),
        objective_ms = millis(job.route.objective);
        "no engine would answer on time"
    );
    let room_in = congestion.available_in;
    let (reason, load) = if admission_class.is_beyond_share() {
        (Reason::OverShare, Load::OverShare)
    } else {
        (Reason::Busy, Load::Busy { room_in })
    };
    Problem::later(reason, retry_after(load, job.time_left(), core.fraction()))
}
