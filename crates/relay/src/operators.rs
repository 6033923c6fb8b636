//! Serves the balancer's health checks, and metrics.

use {
    crate::core::Core,
    bytes::Bytes,
    http::{Request, Response, StatusCode},
    http_body_util::Full,
    hyper::{body::Incoming, server::conn::http1, service::service_fn},
    hyper_util::rt::TokioIo,
    std::{convert::Infallible, rc::Rc, time::Duration},
    tokio::{
        net::{TcpListener, TcpStream},
        time::timeout,
    },
};

/// Connections are closed at this age; each carries only a few short requests.
const MAX_CONNECTION_AGE: Duration = Duration::from_mins(1);
const METRICS_PATH: &str = "/metrics";

/// Serves health checks and metrics on a listener until the task is dropped.
pub async fn serve(core: Rc<Core>, listener: TcpListener) {
    loop {
        match listener.accept().await {
            Ok((stream, _)) => {
                tokio::task::spawn_local(timeout(
                    MAX_CONNECTION_AGE,
                    run(Rc::clone(&core), stream),
                ));
            }
            Err(error) => {
                log::warn!("cannot accept a connection for health checks or metrics: {error}");
                tokio::time::sleep(Duration::from_millis(20)).await;
            }
        }
    }
}

async fn run(core: Rc<Core>, stream: TcpStream) {
    let service = service_fn(move |request| {
        let response = respond(&core, &request);
        async move { Ok::<_, Infallible>(response) }
    });
    let result = http1::Builder::new()
        .serve_connection(TokioIo::new(stream), service)
        .await;
    if let Err(error) = result {
        log::debug!("a connection for health checks or metrics failed: {error}");
    }
}

fn respond(core: &Core, request: &Request<Incoming>) -> Response<Full<Bytes>> {
    let path = request.uri().path();
    let (status, body) = if path == core.settings.health_path {
        if core.is_ready() {
            (StatusCode::OK, Vec::new())
        } else {
            (StatusCode::SERVICE_UNAVAILABLE, Vec::new())
        }
    } else if path == METRICS_PATH {
        (StatusCode::OK, core.metrics.render())
    } else {
        (StatusCode::NOT_FOUND, Vec::new())
    };
    let mut response = Response::new(Full::new(Bytes::from(body)));
    *response.status_mut() = status;
    response
}
