//! Routes requests of the callers' HTTP interface.

use {
    super::{
        chat::{self, ChatCall, ChatOutcome},
        chat_response::send_problem,
        completion::ChatRequest,
        problem::{Executed, Problem},
        queueing::SchedulingParams,
        service::{self, ServiceCall},
    },
    crate::{config::Configuration, context::AppContext, control::QueueReason},
    baobab_audit::Decision,
    baobab_conf::Workspace,
    baobab_unit::id_of,
    baobab_web::{Handler, Rejection, Request, ResponseWriter},
    std::sync::{Arc, atomic::Ordering},
};

/// Header with the name of the urgency class.
const CLASS_HEADER: &str = "x-urgency-class";

/// Handles the HTTP requests of callers.
pub struct CallerHandler {
    context: Arc<AppContext>,
}

impl CallerHandler {
    /// Creates a handler that serves from the shared context.
    pub fn new(context: Arc<AppContext>) -> Self {
        Self { context }
    }

    fn route(&self, request: &Request, writer: ResponseWriter) {
        match (request.method.as_str(), request.path.as_str()) {
            ("GET", "/live") => send_text(writer, 200, "live\n"),
            ("GET", "/ready") => self.send_readiness(writer),
            ("POST", "/v1/chat/completions") => self.chat(request, writer),
            ("GET", "/v1/models") => self.models(request, writer),
            (_, path) if path.starts_with("/svc/") => self.service(request, writer),
            _ => self.refuse(writer, "", "", Problem::NOT_FOUND),
        }
    }

    fn send_readiness(&self, writer: ResponseWriter) {
        let draining = self.context.draining.load(Ordering::Relaxed);
        if draining || self.context.config.version() == 0 {
            send_text(writer, 503, "not ready\n");
        } else {
            send_text(writer, 200, "ready\n");
        }
    }

    fn models(&self, request: &Request, writer: ResponseWriter) {
        let (_, workspace) = match self.authenticate(request) {
            Ok(authenticated) => authenticated,
            Err(problem) => return self.refuse(writer, "", "", problem),
        };
        let data: Vec<_> = workspace
            .models
            .iter()
            .map(|name| serde_json::json!({"id": name, "object": "model"}))
            .collect();
        let body = serde_json::json!({"object": "list", "data": data}).to_string();
        let headers = [("Content-Type", "application/json")];
        log_send_error(writer.send(200, &headers, body.as_bytes()));
    }

    fn chat(&self, request: &Request, writer: ResponseWriter) {
        let id = self.context.next_request_id();
        let call = match self.validate_chat(request, id.clone()) {
            Ok(call) => call,
            Err((workspace, problem)) => return self.refuse(writer, &id, &workspace, problem),
        };
        self.context.audit.record(Decision::Admitted {
            request: id.clone(),
            workspace: call.workspace.clone(),
            target: call.request.model.clone(),
            class: request.header(CLASS_HEADER).unwrap_or_default().to_owned(),
        });
        match chat::serve(&self.context, &call, writer) {
            ChatOutcome::Complete { tokens } => {
                self.context
                    .metrics
                    .served
                    .with_label_values(&["chat"])
                    .inc();
                self.context.audit.record(Decision::Served {
                    request: id,
                    tokens,
                });
            }
            ChatOutcome::CallerGone => {
                self.context.metrics.callers_gone.inc();
                self.context
                    .audit
                    .record(Decision::Abandoned { request: id });
            }
            ChatOutcome::Refused(problem) => self.record_refusal(&id, &call.workspace, problem),
        }
    }

    fn validate_chat(&self, request: &Request, id: String) -> Result<ChatCall, (String, Problem)> {
        let without_workspace = |problem| (String::new(), problem);
        let (configuration, workspace) = self.authenticate(request).map_err(without_workspace)?;
        let with_workspace = |problem| (workspace.name.clone(), problem);
        let (chat, engine_body) =
            ChatRequest::parse(&request.body).ok_or_else(|| with_workspace(Problem::BAD_JSON))?;
        let declarations = &configuration.declarations;
        if !declarations
            .models
            .iter()
            .any(|model| model.name == chat.model)
        {
            return Err(with_workspace(Problem::UNKNOWN_MODEL));
        }
        if !workspace.models.contains(&chat.model) {
            return Err(with_workspace(Problem::FORBIDDEN));
        }
        let rank = match request.header(CLASS_HEADER) {
            None => u8::MAX,
            Some(class) => declarations
                .rank_of_class(class)
                .ok_or_else(|| with_workspace(Problem::UNKNOWN_CLASS))?,
        };
        let params = SchedulingParams {
            workspace: workspace.id(),
            model: id_of(&chat.model),
            rank,
            prefix: chat.prefix(),
            reason: QueueReason::New,
        };
        Ok(ChatCall {
            id,
            workspace: workspace.name.clone(),
            request: chat,
            engine_body,
            params,
        })
    }

    fn service(&self, request: &Request, writer: ResponseWriter) {
        let id = self.context.next_request_id();
        let (configuration, workspace) = match self.authenticate(request) {
            Ok(authenticated) => authenticated,
            Err(problem) => return self.refuse(writer, &id, "", problem),
        };
        let rest = request.path.trim_start_matches("/svc/");
        let (name, _) = rest.split_once('/').unwrap_or((rest, ""));
        let path = &rest[name.len()..];
        let declared = configuration
            .declarations
            .services
            .iter()
            .find(|service| service.name == name);
        let allowed = workspace.services.iter().any(|service| service == name);
        let service = match (declared, allowed) {
            (None, _) => {
                return self.refuse(writer, &id, &workspace.name, Problem::UNKNOWN_SERVICE);
            }
            (Some(_), false) => {
                return self.refuse(writer, &id, &workspace.name, Problem::FORBIDDEN);
            }
            (Some(service), true) => service,
        };
        let call = ServiceCall {
            id: &id,
            workspace: &workspace.name,
            service,
            path: if path.is_empty() { "/" } else { path },
            request,
        };
        match service::serve(&self.context, &call) {
            Ok(response) => {
                self.context
                    .metrics
                    .served
                    .with_label_values(&["service"])
                    .inc();
                let headers = [
                    ("Content-Type", response.content_type.as_str()),
                    ("X-Request-Id", id.as_str()),
                ];
                log_send_error(writer.send(response.status, &headers, &response.body));
            }
            Err(problem) => self.refuse(writer, &id, &workspace.name, problem),
        }
    }

    fn authenticate(&self, request: &Request) -> Result<(Arc<Configuration>, Workspace), Problem> {
        let configuration = self.context.config.get().ok_or(Problem::NO_CONFIGURATION)?;
        let key = request.bearer().ok_or(Problem::UNAUTHENTICATED)?;
        let workspace = configuration
            .declarations
            .workspace_of_key(key)
            .ok_or(Problem::UNAUTHENTICATED)?
            .clone();
        Ok((configuration, workspace))
    }

    fn refuse(&self, writer: ResponseWriter, id: &str, workspace: &str, problem: Problem) {
        self.record_refusal(id, workspace, problem);
        send_problem(writer, id, problem);
    }

    fn record_refusal(&self, id: &str, workspace: &str, problem: Problem) {
        self.context
            .metrics
            .refusals
            .with_label_values(&[problem.code])
            .inc();
        self.context.audit.record(Decision::Refused {
            request: id.to_owned(),
            workspace: workspace.to_owned(),
            code: problem.code.to_owned(),
            ran: Executed::as_str(problem.executed).to_owned(),
        });
    }
}

impl Handler for CallerHandler {
    fn handle(&self, request: Request, writer: ResponseWriter) {
        self.context.in_flight.fetch_add(1, Ordering::Relaxed);
        self.route(&request, writer);
        self.context.in_flight.fetch_sub(1, Ordering::Relaxed);
    }

    fn reject(&self, rejection: Rejection, writer: ResponseWriter) {
        self.refuse(writer, "", "", Problem::from_rejection(rejection));
    }
}

fn send_text(writer: ResponseWriter, status: u16, text: &str) {
    log_send_error(writer.send(status, &[("Content-Type", "text/plain")], text.as_bytes()));
}

fn log_send_error(result: std::io::Result<()>) {
    if let Err(error) = result {
        log::debug!("caller disconnected before its response was sent: {error}");
    }
}
