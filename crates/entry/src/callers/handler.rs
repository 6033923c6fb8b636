//! Routes of the callers' interface.

use {
    super::{
        answer::send_problem,
        chat::{self, ChatCall, Served},
        completion::ChatRequest,
        problem::{Problem, Ran},
        service::{self, ServiceCall},
        turn::Claim,
    },
    crate::{config::InForce, context::AppContext, control::Origin},
    baobab_audit::Decision,
    baobab_conf::Workspace,
    baobab_unit::id_of,
    baobab_web::{Handler, Rejection, Reply, Request},
    std::sync::{Arc, atomic::Ordering},
};

const CLASS_HEADER: &str = "x-urgency-class";

/// Answers callers.
pub struct Callers {
    context: Arc<AppContext>,
}

impl Callers {
    /// Makes the handler.
    pub fn new(context: Arc<AppContext>) -> Self {
        Self { context }
    }

    fn route(&self, request: &Request, reply: Reply) {
        match (request.method.as_str(), request.path.as_str()) {
            ("GET", "/live") => send_text(reply, 200, "live\n"),
            ("GET", "/ready") => self.ready(reply),
            ("POST", "/v1/chat/completions") => self.chat(request, reply),
            ("GET", "/v1/models") => self.models(request, reply),
            (_, path) if path.starts_with("/svc/") => self.service(request, reply),
            _ => self.refuse(reply, "", "", Problem::NOT_FOUND),
        }
    }

    fn ready(&self, reply: Reply) {
        let draining = self.context.draining.load(Ordering::Relaxed);
        if draining || self.context.config.version() == 0 {
            send_text(reply, 503, "not ready\n");
        } else {
            send_text(reply, 200, "ready\n");
        }
    }

    fn models(&self, request: &Request, reply: Reply) {
        let (_, workspace) = match self.authenticate(request) {
            Ok(known) => known,
            Err(problem) => return self.refuse(reply, "", "", problem),
        };
        let data: Vec<_> = workspace
            .models
            .iter()
            .map(|name| serde_json::json!({"id": name, "object": "model"}))
            .collect();
        let body = serde_json::json!({"object": "list", "data": data}).to_string();
        let headers = [("Content-Type", "application/json")];
        note_gone(reply.send(200, &headers, body.as_bytes()));
    }

    fn chat(&self, request: &Request, reply: Reply) {
        let id = self.context.next_request_id();
        let call = match self.check_chat(request, id.clone()) {
            Ok(call) => call,
            Err((workspace, problem)) => return self.refuse(reply, &id, &workspace, problem),
        };
        self.context.audit.add(Decision::Admitted {
            request: id.clone(),
            workspace: call.workspace.clone(),
            target: call.request.model.clone(),
            class: request.header(CLASS_HEADER).unwrap_or_default().to_owned(),
        });
        match chat::serve(&self.context, &call, reply) {
            Served::Complete { tokens } => {
                self.context
                    .metrics
                    .served
                    .with_label_values(&["chat"])
                    .inc();
                self.context.audit.add(Decision::Served {
                    request: id,
                    tokens,
                });
            }
            Served::CallerGone => {
                self.context.metrics.callers_gone.inc();
                self.context.audit.add(Decision::Abandoned { request: id });
            }
            Served::Refused(problem) => self.note_refusal(&id, &call.workspace, problem),
        }
    }

    fn check_chat(&self, request: &Request, id: String) -> Result<ChatCall, (String, Problem)> {
        let anonymous = |problem| (String::new(), problem);
        let (in_force, workspace) = self.authenticate(request).map_err(anonymous)?;
        let named = |problem| (workspace.name.clone(), problem);
        let (chat, forwarded) =
            ChatRequest::parse(&request.body).ok_or_else(|| named(Problem::BAD_JSON))?;
        let declarations = &in_force.declarations;
        if !declarations
            .models
            .iter()
            .any(|model| model.name == chat.model)
        {
            return Err(named(Problem::UNKNOWN_MODEL));
        }
        if !workspace.models.contains(&chat.model) {
            return Err(named(Problem::FORBIDDEN));
        }
        let rank = match request.header(CLASS_HEADER) {
            None => u8::MAX,
            Some(class) => declarations
                .rank_of_class(class)
                .ok_or_else(|| named(Problem::UNKNOWN_CLASS))?,
        };
        let claim = Claim {
            workspace: workspace.id(),
            model: id_of(&chat.model),
            rank,
            prefix: chat.prefix(),
            origin: Origin::New,
        };
        Ok(ChatCall {
            id,
            workspace: workspace.name.clone(),
            request: chat,
            forwarded,
            claim,
        })
    }

    fn service(&self, request: &Request, reply: Reply) {
        let id = self.context.next_request_id();
        let (in_force, workspace) = match self.authenticate(request) {
            Ok(known) => known,
            Err(problem) => return self.refuse(reply, &id, "", problem),
        };
        let rest = request.path.trim_start_matches("/svc/");
        let (name, _) = rest.split_once('/').unwrap_or((rest, ""));
        let path = &rest[name.len()..];
        let declared = in_force
            .declarations
            .services
            .iter()
            .find(|service| service.name == name);
        let allowed = workspace.services.iter().any(|service| service == name);
        let service = match (declared, allowed) {
            (None, _) => {
                return self.refuse(reply, &id, &workspace.name, Problem::UNKNOWN_SERVICE);
            }
            (Some(_), false) => {
                return self.refuse(reply, &id, &workspace.name, Problem::FORBIDDEN);
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
            Ok(answer) => {
                self.context
                    .metrics
                    .served
                    .with_label_values(&["service"])
                    .inc();
                let headers = [
                    ("Content-Type", answer.content_type.as_str()),
                    ("X-Request-Id", id.as_str()),
                ];
                note_gone(reply.send(answer.status, &headers, &answer.body));
            }
            Err(problem) => self.refuse(reply, &id, &workspace.name, problem),
        }
    }

    fn authenticate(&self, request: &Request) -> Result<(Arc<InForce>, Workspace), Problem> {
        let in_force = self.context.config.get().ok_or(Problem::NO_CONFIGURATION)?;
        let key = request.bearer().ok_or(Problem::UNAUTHENTICATED)?;
        let workspace = in_force
            .declarations
            .workspace_of_key(key)
            .ok_or(Problem::UNAUTHENTICATED)?
            .clone();
        Ok((in_force, workspace))
    }

    fn refuse(&self, reply: Reply, id: &str, workspace: &str, problem: Problem) {
        self.note_refusal(id, workspace, problem);
        send_problem(reply, id, problem);
    }

    fn note_refusal(&self, id: &str, workspace: &str, problem: Problem) {
        self.context
            .metrics
            .refusals
            .with_label_values(&[problem.code])
            .inc();
        self.context.audit.add(Decision::Refused {
            request: id.to_owned(),
            workspace: workspace.to_owned(),
            code: problem.code.to_owned(),
            ran: Ran::word(problem.ran).to_owned(),
        });
    }
}

impl Handler for Callers {
    fn handle(&self, request: Request, reply: Reply) {
        self.context.in_flight.fetch_add(1, Ordering::Relaxed);
        self.route(&request, reply);
        self.context.in_flight.fetch_sub(1, Ordering::Relaxed);
    }

    fn reject(&self, rejection: Rejection, reply: Reply) {
        self.refuse(reply, "", "", Problem::of_rejection(rejection));
    }
}

fn send_text(reply: Reply, status: u16, text: &str) {
    note_gone(reply.send(status, &[("Content-Type", "text/plain")], text.as_bytes()));
}

fn note_gone(sent: std::io::Result<()>) {
    if let Err(error) = sent {
        log::debug!("a caller went away before its answer: {error}");
    }
}
