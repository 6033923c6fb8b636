//! Accepts callers' connections.

use {
    super::connection,
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

/// Accepts and serves callers until the task is dropped.
pub async fn serve(core: Rc<Core>, listener: TcpListener) {
    let turns = core.metrics.load.accept_turns.clone();
    let max_connections = core.settings.max_connections;
    let on_accepted = move |stream, permit: ConnectionPermit| {
        let core = Rc::clone(&core);
        core.metrics.load.accepted.inc();
        core.connections.set(core.connections.get() + 1);
        tokio::task::spawn_local(async move {
            connection::run(Rc::clone(&core), stream).await;
            core.connections.set(core.connections.get() - 1);
            drop(permit);
        });
    };
    let mut accepting = pin!(accept(listener, max_connections, on_accepted));
    poll_fn(|context| {
        turns.inc();
        accepting.as_mut().poll(context)
    })
    .await;
}

/// Accepts connections until the task is dropped, at most `max_connections` at a time. `on_accepted` gets each with
/// a permit, which it drops when the connection has ended.
pub async fn accept(
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
