//! Connections that callers open all at once.

use {
    baobab_relay::{accept, bind},
    std::{cell::RefCell, net::TcpStream, rc::Rc},
    tokio::task::{LocalSet, spawn_local, yield_now},
};

const CONNECTIONS: usize = 600;
/// Turns of all other tasks in which the connections may wait.
const MAX_TURNS: usize = 3;

/// Returns the turns that another task had until the connections were accepted.
async fn turns_until_accepted(max_connections: usize) -> usize {
    let listener = bind("127.0.0.1:0".parse().unwrap()).unwrap();
    let address = listener.local_addr().unwrap();
    let callers: Vec<TcpStream> = (0..CONNECTIONS)
        .map(|_| TcpStream::connect(address).unwrap())
        .collect();
    let accepted = Rc::new(RefCell::new(Vec::new()));
    let kept = Rc::clone(&accepted);
    spawn_local(accept(listener, max_connections, move |stream, permit| {
        kept.borrow_mut().push((stream, permit));
    }));
    let mut turns = 0;
    while accepted.borrow().len() < CONNECTIONS.min(max_connections) {
        yield_now().await;
        turns += 1;
    }
    drop(callers);
    turns
}

#[tokio::test(flavor = "current_thread")]
async fn connections_do_not_wait_for_many_turns_of_other_tasks() {
    let turns = LocalSet::new()
        .run_until(turns_until_accepted(CONNECTIONS))
        .await;
    assert!(turns <= MAX_TURNS, "accepted after {turns} turns");
}
