//! Accepts callers' connections.

use {
    super::{
        connection,
        turned_away::{UnreadRefusal, discard_request, refuse_unread},
    },
    crate::{core::Core, error::RelayError},
    socket2::{Domain, Socket, Type},
    std::{
        future::{Future, poll_fn},
        net::SocketAddr,
        pin::pin,
        rc::Rc,
        sync::Arc,
        time::Duration,
    },
    tokio::{
        net::{TcpListener, TcpStream},
        sync::{OwnedSemaphorePermit, Semaphore},
        task::{spawn_local, unconstrained, yield_now},
        time::sleep,
    },
};

/// Connections that may wait to be accepted: one second of a connection burst.
const BACKLOG: i32 = 1024;
/// Delay after a failed accept, for instance when no file descriptor is left.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(20);

/// Counts a connection until it is dropped.
#[derive(Debug)]
pub struct ConnectionPermit {
    _permit: OwnedSemaphorePermit,
}

/// Binds a listener to an address.
///
/// # Errors
///
/// Returns [`RelayError::Bind`] if the address cannot be used.
pub fn bind(address: SocketAddr) -> Result<TcpListener, RelayError> {
    let open = || {
        let socket = Socket::new(Domain::for_address(address), Type::STREAM, None)?;
        socket.set_reuse_address(true)?;
        socket.set_nonblocking(true)?;
        socket.bind(&address.into())?;
        socket.listen(BACKLOG)?;
        TcpListener::from_std(socket.into())
    };
    open().map_err(|error| RelayError::Bind(address, error))
}

/// An accepted connection whose first request has not been read.
pub type UnreadConnection = (TcpStream, ConnectionPermit);

/// Accepts and serves callers until the task is dropped.
pub async fn serve(core: Rc<Core>, listener: TcpListener) {
    let turns = core.metrics.load.accept_turns.clone();
    let max_connections = core.settings.max_connections;
    let accepting_core = Rc::clone(&core);
    let on_accepted = move |stream, permit| {
        let core = &accepting_core;
        core.metrics.load.accepted.inc();
        core.connections.set(core.connections.get() + 1);
        core.unread.borrow_mut().push((stream, permit), core.now());
        core.unread_added.notify_one();
    };
    let mut accepting = pin!(accept(listener, max_connections, on_accepted));
    let accepting = poll_fn(|context| {
        turns.inc();
        accepting.as_mut().poll(context)
    });
    tokio::join!(accepting, start_accepted(core));
}

/// Starts to serve accepted connections until the task is dropped. In a large fleet, those that have waited for too
/// long are turned away, since other routers have time for them.
async fn start_accepted(core: Rc<Core>) {
    loop {
        core.unread_added.notified().await;
        while !core.unread.borrow().is_empty() {
            let connections = if core.sheds_to_others() {
                let expired = core.unread.borrow_mut().take_expired(core.now());
                if !expired.is_empty() {
                    core.overload.borrow_mut().on_turned_away(core.now());
                }
                for (stream, permit) in expired {
                    turn_away(&core, stream, permit);
                }
                core.unread.borrow_mut().take_turn()
            } else {
                core.unread.borrow_mut().take_all()
            };
            for (stream, permit) in connections {
                start(&core, stream, permit);
            }
            yield_now().await;
        }
    }
}

fn start(core: &Rc<Core>, stream: TcpStream, permit: ConnectionPermit) {
    let core = Rc::clone(core);
    spawn_local(async move {
        connection::run(Rc::clone(&core), stream).await;
        on_ended(&core, permit);
    });
}

fn on_ended(core: &Core, permit: ConnectionPermit) {
    core.connections.set(core.connections.get() - 1);
    drop(permit);
}

/// Refuses the request of a connection unread, or starts the connection if none has arrived.
fn turn_away(core: &Rc<Core>, stream: TcpStream, permit: ConnectionPermit) {
    let refusal = refuse_unread(
        &stream,
        &mut core.turned_away_buffer.borrow_mut(),
        core.random_fraction(),
    );
    let is_request_complete = match refusal {
        UnreadRefusal::NoRequest => return start(core, stream, permit),
        UnreadRefusal::Sent {
            is_request_complete,
        } => is_request_complete,
    };
    core.metrics.load.turned_away.inc();
    if is_request_complete {
        return on_ended(core, permit);
    }
    let core = Rc::clone(core);
    spawn_local(async move {
        discard_request(stream).await;
        on_ended(&core, permit);
    });
}

/// Accepts connections until the task is dropped, at most `max_connections` at a time. `on_accepted` gets each with
/// a permit, which it drops when the connection has ended.
pub async fn accept(
    listener: TcpListener,
    max_connections: usize,
    on_accepted: impl FnMut(TcpStream, ConnectionPermit),
) {
    // With a budget, a turn of the task would leave connections of a burst in the queue, where nothing measures them.
    unconstrained(accept_all(listener, max_connections, on_accepted)).await;
}

async fn accept_all(
    listener: TcpListener,
    max_connections: usize,
    mut on_accepted: impl FnMut(TcpStream, ConnectionPermit),
) {
    let permits = Arc::new(Semaphore::new(max_connections));
    loop {
        let Ok(permit) = Arc::clone(&permits).acquire_owned().await else {
            return;
        };
        match listener.accept().await {
            Ok((stream, _)) => on_accepted(stream, ConnectionPermit { _permit: permit }),
            Err(error) => {
                log::warn!("cannot accept a caller's connection: {error}");
                sleep(ACCEPT_RETRY_DELAY).await;
            }
        }
    }
}
