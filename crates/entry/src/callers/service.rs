//! Requests to plain services under `/svc/<name>/...`.

use {
    super::problem::Problem,
    crate::context::AppContext,
    baobab_audit::Decision,
    baobab_conf::Service,
    baobab_engine::{CallOutcome, CallRequest},
    baobab_once::{NotRunReason, RequestOutcome, RequestSender, SendOutcome, ServiceResponse},
    baobab_web::Request,
    std::net::SocketAddr,
};

/// Maximum retries of an idempotent request.
const MAX_RETRIES: usize = 2;
/// Maximum length of an `Idempotency-Key`.
const MAX_KEY_BYTES: usize = 128;

/// An authenticated call of a declared service.
pub struct ServiceCall<'a> {
    /// Request identifier, unique in the fleet.
    pub id: &'a str,
    /// Name of the workspace.
    pub workspace: &'a str,
    /// Declaration of the service.
    pub service: &'a Service,
    /// Path below the service's name, with a leading slash.
    pub path: &'a str,
    /// The caller's request.
    pub request: &'a Request,
}

/// Serves a call, at most once if it is not idempotent.
pub fn serve(context: &AppContext, call: &ServiceCall<'_>) -> Result<ServiceResponse, Problem> {
    if call
        .service
        .is_non_idempotent(&call.request.method, call.path)
    {
        serve_once(context, call)
    } else {
        serve_idempotent(context, call)
    }
}

fn serve_idempotent(
    context: &AppContext,
    call: &ServiceCall<'_>,
) -> Result<ServiceResponse, Problem> {
    let request = call.call_request();
    let mut problem = Problem::SERVICE_UNREACHABLE;
    let replica_addresses = call.replica_addresses();
    for (index, address) in replica_addresses
        .iter()
        .cycle()
        .take(MAX_RETRIES + 1)
        .enumerate()
    {
        if index > 0 {
            context
                .metrics
                .retries
                .with_label_values(&["service_failed"])
                .inc();
        }
        match context
            .services
            .call(context.connect_address(*address), &request)
        {
            CallOutcome::Responded {
                status,
                content_type,
                body,
            } => {
                return Ok(ServiceResponse {
                    status,
                    content_type,
                    body,
                });
            }
            CallOutcome::NotSent => {}
            CallOutcome::Lost => problem = Problem::ANSWER_LOST,
        }
    }
    Err(problem)
}

fn serve_once(context: &AppContext, call: &ServiceCall<'_>) -> Result<ServiceResponse, Problem> {
    let key = call
        .request
        .header("idempotency-key")
        .filter(|key| !key.is_empty() && key.len() <= MAX_KEY_BYTES)
        .ok_or(Problem::KEY_REQUIRED)?;
    let row_key = format!("once/{}/{}/{key}", call.workspace, call.service.name);
    let mut sender = ServiceSender { context, call };
    let outcome = baobab_once::run(
        context.platform.as_ref(),
        row_key,
        call.digest(),
        call.id.to_owned(),
        &mut sender,
    );
    context.audit.record(Decision::Once {
        request: call.id.to_owned(),
        workspace: call.workspace.to_owned(),
        key: key.to_owned(),
        verdict: outcome_label(&outcome).to_owned(),
    });
    match outcome {
        RequestOutcome::Executed(response) | RequestOutcome::Recorded(response) => Ok(response),
        RequestOutcome::ExecutedNotStored => Err(Problem::ANSWER_NOT_KEPT),
        RequestOutcome::Unknown => Err(Problem::OUTCOME_UNKNOWN),
        RequestOutcome::Conflict => Err(Problem::KEY_CONFLICT),
        RequestOutcome::NotRun(NotRunReason::StoreDown) => Err(Problem::STORE_DOWN),
        RequestOutcome::NotRun(NotRunReason::Unreachable) => Err(Problem::SERVICE_UNREACHABLE),
    }
}

fn outcome_label(outcome: &RequestOutcome) -> &'static str {
    match outcome {
        RequestOutcome::Executed(_) => "ran",
        RequestOutcome::Recorded(_) => "recorded",
        RequestOutcome::ExecutedNotStored => "ran_unkept",
        RequestOutcome::Unknown => "unknown",
        RequestOutcome::Conflict => "conflict",
        RequestOutcome::NotRun(_) => "not_run",
    }
}

struct ServiceSender<'a> {
    context: &'a AppContext,
    call: &'a ServiceCall<'a>,
}

impl RequestSender for ServiceSender<'_> {
    fn send(&mut self) -> SendOutcome {
        let request = self.call.call_request();
        for address in self.call.replica_addresses() {
            let address = self.context.connect_address(address);
            match self.context.services.call(address, &request) {
                // No byte was sent, so another replica can be tried.
                CallOutcome::NotSent => {}
                CallOutcome::Lost => return SendOutcome::Lost,
                CallOutcome::Responded {
                    status,
                    content_type,
                    body,
                } => {
                    return SendOutcome::Responded(ServiceResponse {
                        status,
                        content_type,
                        body,
                    });
                }
            }
        }
        SendOutcome::NotSent
    }
}

impl ServiceCall<'_> {
    fn call_request(&self) -> CallRequest {
        let target = if self.request.query.is_empty() {
            self.path.to_owned()
        } else {
            format!("{}?{}", self.path, self.request.query)
        };
        CallRequest {
            method: self.request.method.clone(),
            target,
            content_type: self
                .request
                .header("content-type")
                .unwrap_or("application/octet-stream")
                .to_owned(),
            idempotency_key: self.request.header("idempotency-key").map(str::to_owned),
            body: self.request.body.clone(),
        }
    }

    /// Returns the addresses of all replicas, rotated by a hash of the request identifier.
    fn replica_addresses(&self) -> Vec<SocketAddr> {
        let mut replica_addresses = self.service.addresses.clone();
        let start = baobab_unit::id_of(self.id) as usize % replica_addresses.len().max(1);
        replica_addresses.rotate_left(start);
        replica_addresses
    }

    /// Returns the digest of method, path, query and body, each prefixed with its length.
    fn digest(&self) -> String {
        let mut hasher = blake3::Hasher::new();
        for part in [
            self.request.method.as_bytes(),
            self.path.as_bytes(),
            self.request.query.as_bytes(),
            &self.request.body,
        ] {
            hasher.update(&baobab_unit::to_u64(part.len()).to_le_bytes());
            hasher.update(part);
        }
        hasher.finalize().to_hex().to_string()
    }
}
