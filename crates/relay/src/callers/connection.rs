//! One caller's connection.

use {
    super::{
        gauge::{Gauge, Gauged},
        service,
    },
    crate::core::{Core, Phase},
    hyper::{server::conn::http1, service::service_fn},
    hyper_util::rt::TokioIo,
    std::{pin::pin, rc::Rc, time::Duration},
    tokio::{net::TcpStream, time::sleep},
};

/// Time between two looks at a connection's bounds.
const LOOK_INTERVAL: Duration = Duration::from_millis(500);
/// Head bytes that are accepted while no configuration is known.
const DEFAULT_HEAD_BYTES: usize = 16 * 1024;
/// Smallest read buffer that the HTTP library takes.
const LEAST_BUFFER_BYTES: usize = 8 * 1024;
/// Longest time that an answer's bytes may stay unacknowledged.
const SILENCE: Duration = Duration::from_secs(5);

/// Time for which an unused connection is kept where connections run short.
const CROWDED_IDLE: Duration = Duration::from_millis(500);

/// What a look at a connection's bounds says.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Look {
    Fine,
    End,
    Break,
}

/// Serves a connection until it ends.
pub async fn run(core: Rc<Core>, stream: TcpStream) {
    if let Err(error) = baobab_client::configure_socket(&stream, SILENCE) {
        log::info!("a caller's connection could not be set up: {error}");
        return;
    }
    let gauge = Gauge::new();
    let io = TokioIo::new(Gauged::new(stream, Rc::clone(&gauge)));
    let served_core = Rc::clone(&core);
    let served_gauge = Rc::clone(&gauge);
    let service = service_fn(move |request| {
        let busy = served_gauge.begin();
        service::serve(Rc::clone(&served_core), request, busy)
    });
    let mut connection = pin!(
        http1::Builder::new()
            .max_buf_size(head_bytes(&core).max(LEAST_BUFFER_BYTES))
            .serve_connection(io, service)
    );
    loop {
        tokio::select! {
            // Errors are those of the caller's side; its request has a line of its own.
            _ = connection.as_mut() => return,
            () = sleep(LOOK_INTERVAL) => {}
        }
        match look(&core, &gauge) {
            Look::Fine => {}
            Look::End => connection.as_mut().graceful_shutdown(),
            Look::Break => return,
        }
    }
}

fn look(core: &Core, gauge: &Gauge) -> Look {
    let active_configuration = core.active_configuration.borrow();
    let Some(configuration) = active_configuration.current() else {
        return Look::Fine;
    };
    let limits = &configuration.limits;
    if gauge
        .head_age()
        .is_some_and(|age| age > limits.head_timeout)
    {
        return Look::Break;
    }
    let longest = if core.phase.get() == Phase::Draining {
        Duration::ZERO
    } else if core.is_crowded() {
        CROWDED_IDLE
    } else {
        limits.idle_timeout
    };
    let is_unused = gauge.idle_for().is_some_and(|idle| idle > longest);
    if is_unused { Look::End } else { Look::Fine }
}

fn head_bytes(core: &Core) -> usize {
    let active_configuration = core.active_configuration.borrow();
    active_configuration
        .current()
        .map_or(DEFAULT_HEAD_BYTES, |configuration| {
            configuration.limits.head_bytes
        })
}
