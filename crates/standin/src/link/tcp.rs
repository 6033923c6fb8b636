//! Relays TCP connections.

use {
    super::{LinkState, RouteConf},
    crate::StandinError,
    flume::{Receiver, Sender},
    std::{
        io::{Read, Write},
        net::{Shutdown, TcpListener, TcpStream},
        sync::Arc,
        thread,
        time::{Duration, Instant},
    },
};

const BUFFER_BYTES: usize = 16 * 1024;
const STACK_BYTES: usize = 128 * 1024;
const CONNECT_TIMEOUT: Duration = Duration::from_secs(2);
/// Interval of the checks whether a cut has healed.
const CUT_CHECK_INTERVAL: Duration = Duration::from_millis(50);

struct Segment {
    due: Instant,
    content: Vec<u8>,
}

/// Starts the accept thread of a TCP route.
pub fn spawn(route: &RouteConf, state: Arc<LinkState>) -> Result<(), StandinError> {
    let listener = TcpListener::bind(route.listen)
        .map_err(|error| StandinError::Bind(route.listen, error.to_string()))?;
    let route = Arc::new(route.clone());
    thread::spawn(move || {
        for client in listener.incoming().flatten() {
            let (route, state) = (Arc::clone(&route), Arc::clone(&state));
            spawn_thread(move || connect(&client, &route, &state));
        }
    });
    Ok(())
}

fn spawn_thread(work: impl FnOnce() + Send + 'static) {
    let spawned = thread::Builder::new().stack_size(STACK_BYTES).spawn(work);
    if let Err(error) = spawned {
        log::error!("cannot start a thread for a relayed connection: {error}");
    }
}

fn connect(client: &TcpStream, route: &Arc<RouteConf>, state: &Arc<LinkState>) {
    // The first segment of a connection waits for the handshake's round trip.
    thread::sleep(route.delay * 2);
    wait_while_cut(route, state);
    let Ok(target) = TcpStream::connect_timeout(&route.to, CONNECT_TIMEOUT) else {
        return;
    };
    for (from, to, forward) in [(client, &target, true), (&target, client, false)] {
        let options = [from.set_nodelay(true), to.set_nodelay(true)];
        let clones = (from.try_clone(), to.try_clone());
        if options.iter().any(std::result::Result::is_err) {
            return;
        }
        if let (Ok(from), Ok(to)) = clones {
            relay(from, to, forward, route, state);
        }
    }
}

fn relay(
    from: TcpStream,
    to: TcpStream,
    forward: bool,
    route: &Arc<RouteConf>,
    state: &Arc<LinkState>,
) {
    let (segments, received) = flume::unbounded();
    let (reading_route, reading_state) = (Arc::clone(route), Arc::clone(state));
    spawn_thread(move || read_segments(from, &segments, forward, &reading_route, &reading_state));
    let (writing_route, writing_state) = (Arc::clone(route), Arc::clone(state));
    spawn_thread(move || write_segments(to, &received, &writing_route, &writing_state));
}

fn read_segments(
    mut from: TcpStream,
    segments: &Sender<Segment>,
    forward: bool,
    route: &RouteConf,
    state: &LinkState,
) {
    let mut buffer = vec![0; BUFFER_BYTES];
    loop {
        let size_bytes = match from.read(&mut buffer) {
            Ok(0) | Err(_) => return,
            Ok(size_bytes) => size_bytes,
        };
        let segment = Segment {
            due: Instant::now() + state.segment_delay(route, forward, size_bytes),
            content: buffer[..size_bytes].to_vec(),
        };
        if segments.send(segment).is_err() {
            return;
        }
    }
}

fn write_segments(
    mut to: TcpStream,
    received: &Receiver<Segment>,
    route: &RouteConf,
    state: &LinkState,
) {
    for segment in received {
        thread::sleep(segment.due.saturating_duration_since(Instant::now()));
        // A cut delays the segments; the connection stays open.
        wait_while_cut(route, state);
        if to.write_all(&segment.content).is_err() {
            break;
        }
    }
    // Signals the end to the remote side and wakes this socket's reading thread.
    if to.shutdown(Shutdown::Both).is_err() {
        log::trace!("a relayed connection was already closed");
    }
}

fn wait_while_cut(route: &RouteConf, state: &LinkState) {
    while state.is_cut(&route.from_domain, &route.to_domain)
        || state.is_cut(&route.to_domain, &route.from_domain)
    {
        thread::sleep(CUT_CHECK_INTERVAL);
    }
}
